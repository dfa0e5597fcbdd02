package crowd

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// seriesPause is the time between the starts of two crowds of a series. Those before it are
// still open then.
const seriesPause = 700 * time.Millisecond

// runSeries lets crowds come one after another and overlap, several times, and checks that an
// ordinary request is answered, that the largest legal one is once they have gone, and the process.
func runSeries(t *testing.T, r *router, l limits, rounds int, kinds ...crowd) {
	r.awaitAnswer(t)
	samples := r.sample()
	var group sync.WaitGroup
	for range rounds {
		for _, c := range kinds {
			group.Go(func() { c.visit(r) })
			time.Sleep(seriesPause)
		}
	}
	r.awaitAnswer(t)
	group.Wait()
	r.awaitAnswer(t)
	samples.stop()
	assert.Assert(t, r.lives(), "the process ended")
	r.checkLimits(t, samples, l)
}

// visit opens the crowd and closes it when each connection has sent what it can, and has
// stayed open for two pauses.
func (c crowd) visit(r *router) {
	var sending sync.WaitGroup
	for n := range c.connections {
		conn, err := net.DialTimeout("tcp4", r.address, writeLimit)
		if err != nil {
			continue // refused
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(takingTime))
		sending.Go(func() { c.send(r, conn, n) })
	}
	sending.Wait()
	time.Sleep(2 * seriesPause)
}

// of returns the crowd with another number of connections.
func (c crowd) of(connections int) crowd { return crowd{connections: connections, send: c.send} }

func TestEdgeSurvivesCrowdsInSeries(t *testing.T) {
	r := startBusyEdge(t, smallestEdge)
	runSeries(t, r, smallestEdge, 3, heldDistinctParts.of(300), openBodies.of(100), manyParts.of(300), wholeBodies.of(100), furtherBytes.of(200),
		longHeads.of(200), openChunks.of(100), heldParts.of(300))
	checkLargestRequest(t, r, headBytes-600, bodyBytes)
}

func TestServeSurvivesCrowdsInSeries(t *testing.T) {
	r := startServeWithEngine(t, serveLimits)
	runSeries(t, r, serveLimits, 3, manyCookies.of(300), openBodies.of(100), manyMessages.of(100), manyQueryNames.of(300), furtherBytes.of(200),
		longHeads.of(200), openChunks.of(100), heldShortLines.of(300))
	checkLargestRequest(t, r, headBytes-600, bodyBytes)
}
