package crowd

import (
	"bytes"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2/hpack"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/certs/certstest"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/test/harness"
)

// startEncryptedServe starts the program serve with one plain service and with TLS for callers.
func startEncryptedServe(t *testing.T, l limits) *router {
	f := harness.StartFleet(t)
	f.StartTarget("booking-1", objectstore.RoleService, "booking")
	f.Authority = certstest.NewAuthority(t)
	files := f.Authority.Issue("callers")
	p := f.StartRouter(harness.RouterOptions{
		ID: "r1", Authority: f.Authority, ServerSettings: l.serverSettings(),
		TLSSettings: map[string]string{"caller_cert": files.Cert, "caller_key": files.Key},
	})
	harness.WaitReady(t, p)
	r := newServe(f, p)
	r.tlsConfig = &tls.Config{RootCAs: f.Authority.Pool(), ServerName: "127.0.0.1"}
	return r
}

// encrypt sends a crowd's bytes over TLS.
func (c crowd) encrypt(protocols ...string) crowd {
	return crowd{connections: c.connections, send: func(r *router, conn net.Conn, n int) {
		config := r.tlsConfig.Clone()
		config.NextProtos = protocols
		encrypted := tls.Client(conn, config)
		if encrypted.Handshake() == nil {
			c.send(r, encrypted, n)
		}
	}}
}

// Frames of HTTP/2.
const (
	preface           = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameData         = 0
	frameHeaders      = 1
	frameSettings     = 4
	frameWindowUpdate = 8
	flagEndHeaders    = 4
)

func writeFrame(b *bytes.Buffer, kind, flags byte, stream uint32, payload []byte) {
	b.Write([]byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags})
	_ = binary.Write(b, binary.BigEndian, stream) // a buffer takes all
	b.Write(payload)
}

const (
	streamsPerConn = 100
	streamFields   = 1500 // a byte each, once they are in the table of the decoder
	streamBytes    = 16 << 10
)

// manyStreams opens as many streams with as many fields as the router takes, which stay short
// of their bodies.
var manyStreams = crowd{connections: 200, send: func(r *router, conn net.Conn, _ int) {
	_ = conn.SetDeadline(time.Now().Add(takingTime))
	var out, block bytes.Buffer
	out.WriteString(preface)
	writeFrame(&out, frameSettings, 0, 0, nil)
	encoder := hpack.NewEncoder(&block)
	for stream := uint32(1); stream < 2*streamsPerConn; stream += 2 {
		block.Reset()
		for _, field := range r.http2Head() {
			_ = encoder.WriteField(field) // a buffer takes all
		}
		for n := range streamFields {
			_ = encoder.WriteField(hpack.HeaderField{Name: fmt.Sprintf("f%d", n%50)})
		}
		writeFrame(&out, frameHeaders, flagEndHeaders, stream, block.Bytes())
		writeFrame(&out, frameData, 0, stream, bytes.Repeat([]byte("1"), streamBytes))
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	_, _ = conn.Write(out.Bytes())
}}

// http2Head returns the fields of the ordinary request.
func (r *router) http2Head() []hpack.HeaderField {
	lines := strings.Split(strings.TrimSuffix(r.requestLines, "\r\n"), "\r\n")
	fields := []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "https"}, {Name: ":path", Value: strings.Fields(lines[0])[1]}}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		if name = strings.ToLower(name); name == "host" {
			name = ":authority"
		}
		fields = append(fields, hpack.HeaderField{Name: name, Value: value})
	}
	return fields
}

// openHandshakes send a record of a handshake without its end.
var openHandshakes = crowd{connections: 800, send: func(_ *router, conn net.Conn, _ int) {
	const recordHead, handshakeHead = "\x16\x03\x01\x40\x00", "\x01\x00\xff\xff"
	_, _ = io.WriteString(conn, recordHead+handshakeHead+strings.Repeat("x", 1<<14-len(handshakeHead)))
	for range 2 {
		_, _ = io.WriteString(conn, recordHead+strings.Repeat("x", 1<<14))
	}
}}

func TestServeSurvivesManyStreams(t *testing.T) {
	manyStreams.encrypt("h2").run(t, startEncryptedServe, serveLimits)
}

func TestServeSurvivesOpenHandshakes(t *testing.T) {
	openHandshakes.run(t, startEncryptedServe, smallestServe)
}

func TestServeSurvivesOpenEncryptedConnections(t *testing.T) {
	openConnections.encrypt("http/1.1").run(t, startEncryptedServe, limits{memory: smallestServe.memory, descriptors: serveLimits.descriptors})
}

func TestServeSurvivesEncryptedHeadsWithoutEnd(t *testing.T) {
	openHeads.encrypt("http/1.1").run(t, startEncryptedServe, smallestServe)
}

func TestServeSurvivesEncryptedBodiesThatStopShort(t *testing.T) {
	openBodies.encrypt("http/1.1").run(t, startEncryptedServe, serveLimits)
}

func TestServeServesTheLargestEncryptedRequestInCalm(t *testing.T) {
	const largestBody = 16 << 20
	r := startEncryptedServe(t, serveLimits)
	r.awaitAnswer(t)
	status, err := r.request(shortLines(largestServeHead), strings.Repeat("1", largestBody))
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
}
