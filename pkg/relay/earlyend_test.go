package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// startRawTarget starts a target that reads the head of each request and then calls respond,
// after which the connection is reset.
func startRawTarget(t *testing.T, respond func(conn net.Conn, requestID string)) *platformtest.Target {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				respond(conn, request.Header.Get(platformtest.HeaderRequestID))
				_ = conn.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return &platformtest.Target{ID: "i-1", Address: listener.Addr().String()}
}

// A target answered a long upload at once without a length, sent a part and reset the
// connection. The writer of the upload got the reset and the reader a clean end, so that the
// caller got the part as a complete answer.
func TestAnswerThatBreaksOffDuringUploadIsNotWhole(t *testing.T) {
	const uploadBytes = 16 << 20
	for _, c := range []struct{ name, path, start, part string }{
		{"short answer", "/once/", "\r\n", "part"},
		{"long answer", "/once/", "\r\n", strings.Repeat("part", 100_000)},
		{"stream", "/stream/once/", "Content-Type: text/event-stream\r\n\r\n", streamEvents(1, 2)},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, startRawTarget(t, func(conn net.Conn, id string) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n"+platformtest.HeaderRequestID+": %s\r\n"+platformtest.HeaderSignature+": s\r\n%s%s", id, c.start, c.part)
				time.Sleep(100 * time.Millisecond) // the part arrives before the reset
			}))
			f.update(func() { f.snapshot.Tables.Limits.BodyBytes = uploadBytes })
			for range 2 {
				got := f.send(callerRequest{path: c.path, body: strings.Repeat("x", uploadBytes)})
				assert.Assert(t, got.err != nil || got.status >= 500, "status %d with %d bytes as a complete answer", got.status, len(got.body))
			}
		})
	}
}

// An answer without a length that ends before the target has read a long request completely
// must arrive, if the target then reads it.
func TestEarlyAnswerWithoutLengthArrives(t *testing.T) {
	const uploadBytes = 16 << 20
	f := newFixture(t, startRawTarget(t, func(conn net.Conn, id string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n"+platformtest.HeaderRequestID+": %s\r\n"+platformtest.HeaderSignature+": s\r\n\r\nwhole", id)
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.CopyN(io.Discard, conn, uploadBytes)
	}))
	f.update(func() { f.snapshot.Tables.Limits.BodyBytes = uploadBytes })
	got := f.send(callerRequest{path: "/once/", body: strings.Repeat("x", uploadBytes)})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "whole")
}
