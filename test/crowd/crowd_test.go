// Package crowd checks that router processes survive callers that hold as much memory and
// as many descriptors as they can. Each test starts one router with low limits, opens a
// fixed crowd of connections and checks what does not depend on the machine's speed. The
// tests run one at a time and apart from others (see test.sh).
package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// writeLimit bounds how long a caller of the crowd waits for the router to read.
	writeLimit = 20 * time.Second
	// answerLimit bounds the wait for the answer to an ordinary request.
	answerLimit = 60 * time.Second

	headBytes  = 16_000  // legal: the configured limit of a head is 16,384 bytes
	bodyBytes  = 4 << 20 // legal: the configured limit of a body
	missing    = 10 << 10
	pieceBytes = 64 << 10
)

// crowd is a number of connections and what each of them sends.
type crowd struct {
	connections int
	// send writes to the connection with number n. It ends when everything is written or
	// the router has closed the connection, which then stays open if it is.
	send func(r *router, conn net.Conn, n int)
}

// run opens the crowd at a router, checks that an ordinary request is answered while it is
// open, and checks the process after it.
func (c crowd) run(t *testing.T, start func(*testing.T, limits) *router, l limits) {
	r := start(t, l)
	r.awaitAnswer(t)
	samples := r.sample()
	var conns []net.Conn
	var sending sync.WaitGroup
	for n := range c.connections {
		conn, err := net.DialTimeout("tcp4", r.address, writeLimit)
		if err != nil {
			continue // refused
		}
		conns = append(conns, conn)
		_ = conn.SetDeadline(time.Now().Add(writeLimit))
		sending.Go(func() { c.send(r, conn, n) })
	}
	sending.Wait()
	samples.record(r) // while all of them are open
	r.awaitAnswer(t)
	for _, conn := range conns {
		_ = conn.Close()
	}
	r.awaitAnswer(t)
	samples.stop()
	assert.Assert(t, r.lives(), "the process ended")
	r.checkLimits(t, samples, l)
}

// checkLimits checks that the process has stayed within its limits.
func (r *router) checkLimits(t *testing.T, s *sampler, l limits) {
	t.Helper()
	peak, withUnread, most := r.peakMemory(t), s.memory, s.descriptors
	t.Logf("peak memory %d of %d MB, with unread bytes %d MB (at most %d MB unread), %d of %d descriptors",
		peak>>20, l.memory>>20, withUnread>>20, s.unread>>20, most, l.descriptors)
	assert.Check(t, peak <= l.memory, "peak memory of %d MB, limit %d MB", peak>>20, l.memory>>20)
	assert.Check(t, withUnread <= l.memory, "peak memory of %d MB with unread bytes, limit %d MB", withUnread>>20, l.memory>>20)
	assert.Check(t, most <= l.descriptors, "%d descriptors, limit %d", most, l.descriptors)
}

// shortLines returns header lines of the given length in bytes with different names, as
// short as they can be.
func shortLines(length int) string {
	var b strings.Builder
	for n := 0; b.Len() < length; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.String()
}

// oddLines returns header lines of the given length with characters that are rare in names,
// values of spaces, and the same name in upper and lower case.
func oddLines(length int) string {
	var b strings.Builder
	for n := 0; b.Len() < length; n++ {
		fmt.Fprintf(&b, "!%x:\t\r\na: \r\nA:\r\n", n)
	}
	return b.String()
}

// manyShortLines sends whole heads of legal size and stays a byte short of the body, so
// that the router holds the heads.
var manyShortLines = crowd{connections: 800, send: func(r *router, conn net.Conn, _ int) {
	_, _ = io.WriteString(conn, r.head("Content-Length: 2\r\n"+shortLines(headBytes-600))+"x")
}}

var manyOddLines = crowd{connections: 800, send: func(r *router, conn net.Conn, _ int) {
	_, _ = io.WriteString(conn, r.head("Content-Length: 2\r\n"+oddLines(headBytes-600))+"x")
}}

// longHeads sends heads over every limit.
var longHeads = crowd{connections: 800, send: func(r *router, conn net.Conn, _ int) {
	_, _ = io.WriteString(conn, r.head(shortLines(200<<10)))
	_, _ = io.Copy(io.Discard, conn)
}}

// openHeads sends heads up to just below the limit of the HTTP server, without an end.
var openHeads = crowd{connections: 400, send: func(r *router, conn net.Conn, _ int) {
	head := r.head(shortLines(62 << 10))
	_, _ = io.WriteString(conn, strings.TrimSuffix(head, "\r\n"))
}}

// emptyLines sends empty lines until the router closes the connection.
var emptyLines = crowd{connections: 200, send: func(_ *router, conn net.Conn, _ int) {
	lines := bytes.Repeat([]byte("\r\n"), 32<<10)
	for range 200 {
		if _, err := conn.Write(lines); err != nil {
			return
		}
	}
}}

// wholeBodies sends large bodies at once.
var wholeBodies = crowd{connections: 150, send: func(r *router, conn net.Conn, _ int) {
	_, _ = io.WriteString(conn, r.head(fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)))
	_, _ = conn.Write(bytes.Repeat([]byte("1"), bodyBytes))
}}

// openBodies sends large bodies piece by piece and stops just short of their end.
var openBodies = crowd{connections: 150, send: func(r *router, conn net.Conn, _ int) {
	_, _ = io.WriteString(conn, r.head(fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)))
	for sent := 0; sent < bodyBytes-missing; sent += pieceBytes {
		if _, err := conn.Write(bytes.Repeat([]byte("1"), min(pieceBytes, bodyBytes-missing-sent))); err != nil {
			return
		}
	}
}}

// openChunks does the same in chunks, without a stated length.
var openChunks = crowd{connections: 150, send: func(r *router, conn net.Conn, _ int) {
	_, _ = io.WriteString(conn, r.head("Transfer-Encoding: chunked\r\n"))
	chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, strings.Repeat("1", pieceBytes)))
	for sent := 0; sent+pieceBytes < bodyBytes; sent += pieceBytes {
		if _, err := conn.Write(chunk); err != nil {
			return
		}
	}
}}

// openConnections are idle, within a head, or within a small body.
var openConnections = crowd{connections: 1200, send: func(r *router, conn net.Conn, n int) {
	switch n % 3 {
	case 1:
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h")
	case 2:
		_, _ = io.WriteString(conn, r.head("Content-Length: 2\r\n")+"x")
	}
}}

func TestEdgeSurvivesManyShortHeaderLines(t *testing.T) {
	manyShortLines.run(t, startEdge, edgeLimits)
}

func TestServeSurvivesManyShortHeaderLines(t *testing.T) {
	manyShortLines.run(t, startServe, serveLimits)
}

func TestEdgeSurvivesManyOddHeaderLines(t *testing.T) {
	manyOddLines.run(t, startEdge, edgeLimits)
}

func TestServeSurvivesManyOddHeaderLines(t *testing.T) {
	manyOddLines.run(t, startServe, serveLimits)
}

func TestEdgeSurvivesHeadsOverTheLimit(t *testing.T) { longHeads.run(t, startEdge, edgeLimits) }

func TestServeSurvivesHeadsOverTheLimit(t *testing.T) { longHeads.run(t, startServe, serveLimits) }

func TestEdgeSurvivesHeadsWithoutEnd(t *testing.T) { openHeads.run(t, startEdge, edgeLimits) }

func TestServeSurvivesHeadsWithoutEnd(t *testing.T) { openHeads.run(t, startServe, serveLimits) }

func TestEdgeSurvivesEmptyLines(t *testing.T) { emptyLines.run(t, startEdge, edgeLimits) }

func TestServeSurvivesEmptyLines(t *testing.T) { emptyLines.run(t, startServe, serveLimits) }

func TestEdgeSurvivesLargeBodies(t *testing.T) { wholeBodies.run(t, startEdge, edgeLimits) }

func TestServeSurvivesLargeBodies(t *testing.T) { wholeBodies.run(t, startServe, serveLimits) }

func TestEdgeSurvivesBodiesThatStopShort(t *testing.T) { openBodies.run(t, startEdge, edgeLimits) }

func TestServeSurvivesBodiesThatStopShort(t *testing.T) {
	openBodies.run(t, startServe, serveLimits)
}

func TestEdgeSurvivesChunksThatStopShort(t *testing.T) { openChunks.run(t, startEdge, edgeLimits) }

func TestServeSurvivesChunksThatStopShort(t *testing.T) {
	openChunks.run(t, startServe, serveLimits)
}

func TestEdgeSurvivesOpenConnections(t *testing.T) {
	openConnections.run(t, startEdge, limits{memory: edgeLimits.memory, descriptors: fewDescriptors})
}

func TestServeSurvivesOpenConnections(t *testing.T) {
	openConnections.run(t, startServe, limits{memory: serveLimits.memory, descriptors: fewDescriptors})
}

// Limits that protect the router must not refuse the largest legal request in calm.
func TestEdgeServesTheLargestRequestInCalm(t *testing.T) {
	checkLargestRequest(t, startEdge(t, edgeLimits), headBytes-600, bodyBytes)
}

func TestServeServesTheLargestRequestInCalm(t *testing.T) {
	const largestHead, largestBody = 60 << 10, 16 << 20 // limits that are no settings
	checkLargestRequest(t, startServe(t, serveLimits), largestHead, largestBody)
}

func checkLargestRequest(t *testing.T, r *router, head, body int) {
	r.awaitAnswer(t)
	status, err := r.request(shortLines(head), strings.Repeat("1", body))
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
}
