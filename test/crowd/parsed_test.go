package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// The smallest machines that operators have, and the smallest memory_limit that serve takes.
var (
	smallestEdge  = limits{memory: 88 << 20, descriptors: 4100}
	smallestServe = limits{memory: 64 << 20, descriptors: 4100}
)

// takingTime is how long a caller of the crowd waits for a router that takes no further bytes.
const takingTime = 3 * time.Second

// largestServeHead is a legal head of serve, whose limit is 64 KB.
const largestServeHead = 60 << 10

// partsLine returns a header line with a list of prompt parts that are as short as they can be.
func partsLine(length int) string {
	var b strings.Builder
	b.WriteString(platformtest.HeaderPromptParts + ": ")
	for n := 0; b.Len() < length; n++ {
		fmt.Fprintf(&b, "%x:1,", n%16)
	}
	return strings.TrimSuffix(b.String(), ",") + "\r\n"
}

// distinctPartsLine returns a list of prompt parts that no other connection sends.
func distinctPartsLine(length, n int) string {
	var b strings.Builder
	b.WriteString(platformtest.HeaderPromptParts + ": ")
	for part := 0; b.Len() < length; part++ {
		fmt.Fprintf(&b, "%x%03x:1,", n, part)
	}
	return strings.TrimSuffix(b.String(), ",") + "\r\n"
}

// nameList returns a list of names that are as short as they can be.
func nameList(prefix, separator string, length int) string {
	var b strings.Builder
	b.WriteString(prefix)
	for n := 0; b.Len() < length; n++ {
		fmt.Fprintf(&b, "%x%s", n, separator)
	}
	return strings.TrimSuffix(b.String(), separator)
}

// openHead returns a crowd whose heads are whole and stay a byte short of their bodies, so that
// the router holds what it made of the heads.
func openHead(connections int, lines string) crowd {
	return crowd{connections: connections, send: func(r *router, conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, r.head("Content-Length: 2\r\n"+lines)+"x")
	}}
}

// heldHead returns a crowd of whole requests that their target does not answer before their
// deadline.
func heldHead(connections int, lines func(n int) string) crowd {
	return crowd{connections: connections, send: func(r *router, conn net.Conn, n int) {
		_, _ = io.WriteString(conn, r.heldLines+"Content-Length: 2\r\n"+lines(n)+"\r\n{}")
	}}
}

// Crowds of heads. Their lists are of legal size.
var (
	manyParts           = openHead(800, partsLine(headBytes-600))
	manyConnectionNames = openHead(800, nameList("Connection: ", ",", headBytes-600)+"\r\n")
	manyCookies         = openHead(800, nameList("Cookie: ", "=;", largestServeHead-600)+"\r\n")
	manyConnectionLists = openHead(800, nameList("Connection: ", ",", largestServeHead-600)+"\r\n")
	heldParts           = heldHead(900, func(int) string { return partsLine(headBytes - 600) })
	heldDistinctParts   = heldHead(900, func(n int) string { return distinctPartsLine(headBytes-600, n) })
	heldShortLines      = heldHead(900, func(int) string { return shortLines(headBytes - 600) })
)

// manyQueryNames names very many parameters in the query.
var manyQueryNames = crowd{connections: 800, send: func(r *router, conn net.Conn, _ int) {
	head := strings.Replace(r.head("Content-Length: 2\r\n"), "/ HTTP", nameList("/?", "&", largestServeHead-600)+" HTTP", 1)
	_, _ = io.WriteString(conn, head+"x")
}}

// manyMessages sends large bodies with very many small messages.
var manyMessages = crowd{connections: 150, send: func(r *router, conn net.Conn, _ int) {
	const before, after = `{"model":"demo","messages":[0`, `]}`
	body := before + strings.Repeat(",0", (bodyBytes-len(before)-len(after))/2) + after
	_, _ = io.WriteString(conn, r.heldLines+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
}}

// furtherBytes sends a request and, while its target works on it, as many further bytes as
// the router takes.
var furtherBytes = crowd{connections: 800, send: func(r *router, conn net.Conn, _ int) {
	_ = conn.SetWriteDeadline(time.Now().Add(takingTime))
	_, _ = io.WriteString(conn, r.heldLines+"Content-Length: 2\r\n\r\n{}")
	piece := bytes.Repeat([]byte("x"), pieceBytes)
	for sent := 0; sent < bodyBytes; sent += len(piece) {
		if _, err := conn.Write(piece); err != nil {
			return
		}
	}
}}

// unreadAnswers asks for long answers and does not read them.
var unreadAnswers = crowd{connections: 300, send: func(r *router, conn net.Conn, _ int) {
	_, _ = io.WriteString(conn, r.longLines+"Content-Length: 2\r\n\r\n{}")
}}

// mixed is a crowd in which the connections take turns with what others send.
func mixed(connections int, kinds ...crowd) crowd {
	return crowd{connections: connections, send: func(r *router, conn net.Conn, n int) {
		kinds[n%len(kinds)].send(r, conn, n/len(kinds))
	}}
}

// oneOfEach mixes heads, bodies and connections that do not end, and held requests.
var (
	oneOfEach = mixed(900, manyParts, manyShortLines, manyOddLines, longHeads, openHeads, emptyLines, wholeBodies, openBodies, openChunks,
		openConnections, heldParts, heldShortLines, furtherBytes, manyConnectionNames, unreadAnswers)
	oneOfEachForServe = mixed(900, manyShortLines, manyOddLines, longHeads, openHeads, emptyLines, wholeBodies, openBodies, openChunks,
		openConnections, heldShortLines, furtherBytes, manyConnectionLists, manyCookies, manyQueryNames, manyMessages)
	headsAndBodies = mixed(600, manyParts, openBodies)
	heldAndBodies  = mixed(600, heldParts, openBodies, openHeads)
)

func TestEdgeSurvivesManyPromptParts(t *testing.T) { manyParts.run(t, startEdge, smallestEdge) }

func TestEdgeSurvivesManyConnectionNames(t *testing.T) {
	manyConnectionNames.run(t, startEdge, smallestEdge)
}

func TestEdgeSurvivesRunningRequestsOfManyParts(t *testing.T) {
	heldParts.run(t, startBusyEdge, smallestEdge)
}

func TestEdgeSurvivesRunningRequestsOfDistinctParts(t *testing.T) {
	heldDistinctParts.run(t, startBusyEdge, smallestEdge)
}

func TestEdgeSurvivesRunningRequestsOfShortLines(t *testing.T) {
	heldShortLines.run(t, startBusyEdge, smallestEdge)
}

func TestEdgeSurvivesBytesBehindRequests(t *testing.T) {
	furtherBytes.run(t, startBusyEdge, smallestEdge)
}

func TestEdgeSurvivesAnswersThatNobodyReads(t *testing.T) {
	unreadAnswers.run(t, startBusyEdge, smallestEdge)
}

func TestSmallestEdgeSurvivesShortHeaderLines(t *testing.T) {
	manyShortLines.run(t, startEdge, smallestEdge)
}

func TestSmallestEdgeSurvivesHeadsWithoutEnd(t *testing.T) { openHeads.run(t, startEdge, smallestEdge) }

func TestSmallestEdgeSurvivesLargeBodies(t *testing.T) { wholeBodies.run(t, startEdge, smallestEdge) }

func TestSmallestEdgeSurvivesBodiesThatStopShort(t *testing.T) {
	openBodies.run(t, startEdge, smallestEdge)
}

func TestSmallestEdgeSurvivesChunksThatStopShort(t *testing.T) {
	openChunks.run(t, startEdge, smallestEdge)
}

func TestEdgeSurvivesPartsAndBodiesTogether(t *testing.T) {
	headsAndBodies.run(t, startEdge, smallestEdge)
}

func TestEdgeSurvivesRunningRequestsAndBodiesTogether(t *testing.T) {
	heldAndBodies.run(t, startBusyEdge, smallestEdge)
}

func TestEdgeSurvivesAllKindsTogether(t *testing.T) { oneOfEach.run(t, startBusyEdge, smallestEdge) }

func TestServeSurvivesManyCookies(t *testing.T) { manyCookies.run(t, startServe, smallestServe) }

func TestServeSurvivesManyQueryNames(t *testing.T) { manyQueryNames.run(t, startServe, smallestServe) }

func TestServeSurvivesManyConnectionNames(t *testing.T) {
	manyConnectionLists.run(t, startServe, smallestServe)
}

func TestServeSurvivesManyMessages(t *testing.T) {
	manyMessages.run(t, startServeWithEngine, serveLimits)
}

func TestServeSurvivesRunningRequestsOfShortLines(t *testing.T) {
	heldShortLines.run(t, startServeWithEngine, smallestServe)
}

func TestServeSurvivesBytesBehindRequests(t *testing.T) {
	furtherBytes.run(t, startServeWithEngine, smallestServe)
}

func TestSmallestServeSurvivesShortHeaderLines(t *testing.T) {
	manyShortLines.run(t, startServe, smallestServe)
}

func TestSmallestServeSurvivesHeadsWithoutEnd(t *testing.T) {
	openHeads.run(t, startServe, smallestServe)
}

func TestSmallestServeSurvivesBodiesThatStopShort(t *testing.T) {
	openBodies.run(t, startServe, smallestServe)
}

func TestServeSurvivesAllKindsTogether(t *testing.T) {
	oneOfEachForServe.run(t, startServeWithEngine, serveLimits)
}

// A bound for what is made of a head must not refuse a legal one in calm.
func TestEdgeServesManyPromptPartsInCalm(t *testing.T) {
	r := startEdge(t, smallestEdge)
	r.awaitAnswer(t)
	for _, lines := range []string{partsLine(headBytes - 600), distinctPartsLine(headBytes-600, 1), nameList("Connection: ", ",", headBytes-600) + "\r\n"} {
		status, err := r.request(lines, strings.Repeat("1", bodyBytes))
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
	}
}

func TestServeServesManyCookiesInCalm(t *testing.T) {
	r := startServe(t, serveLimits)
	r.awaitAnswer(t)
	for _, lines := range []string{nameList("Cookie: ", "=;", largestServeHead-600), nameList("Connection: ", ",", largestServeHead-600)} {
		status, err := r.request(lines+"\r\n", strings.Repeat("1", bodyBytes))
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
	}
}
