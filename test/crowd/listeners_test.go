package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// probeCrowd is a number of connections to a listener for probes or metrics.
type probeCrowd struct {
	connections int
	send        func(r *router, conn net.Conn, n int)
}

// openProbes are idle, within a head, or within the body of a probe.
var openProbes = probeCrowd{connections: 1200, send: func(r *router, conn net.Conn, n int) {
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n", r.probePath)
	switch n % 3 {
	case 1:
		_, _ = io.WriteString(conn, head+shortLines(headBytes))
	case 2:
		_, _ = io.WriteString(conn, head+"Content-Length: 2\r\n"+shortLines(headBytes)+"\r\nx")
	}
}}

// probesWithBodies send bodies that nobody reads.
var probesWithBodies = probeCrowd{connections: 800, send: func(r *router, conn net.Conn, _ int) {
	_ = conn.SetWriteDeadline(time.Now().Add(takingTime))
	_, _ = io.WriteString(conn, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", r.probePath, 1<<30))
	piece := make([]byte, pieceBytes)
	for sent := 0; sent < bodyBytes; sent += len(piece) {
		if _, err := conn.Write(piece); err != nil {
			return
		}
	}
}}

// run opens the crowd at one of the listeners, and checks that a probe and an ordinary request
// are answered while it is open, and the process after it.
func (c probeCrowd) run(t *testing.T, r *router, address string, l limits) {
	r.awaitAnswer(t)
	samples := r.sample()
	var conns []net.Conn
	for n := range c.connections {
		conn, err := net.DialTimeout("tcp4", address, writeLimit)
		if err != nil {
			continue // refused
		}
		conns = append(conns, conn)
		_ = conn.SetDeadline(time.Now().Add(writeLimit))
		go c.send(r, conn, n)
	}
	r.awaitProbe(t)
	r.awaitAnswer(t)
	for _, conn := range conns {
		_ = conn.Close()
	}
	r.awaitProbe(t)
	samples.stop()
	assert.Assert(t, r.lives(), "the process ended")
	r.checkLimits(t, samples, l)
}

// awaitProbe probes the router until it says that it is ready.
func (r *router) awaitProbe(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(answerLimit); ; time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + r.probeAddress + r.probePath)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		assert.Assert(t, r.lives(), "the process ended")
		assert.Assert(t, time.Now().Before(deadline), "no answer to a probe: %v", err)
	}
}

func TestEdgeSurvivesOpenProbes(t *testing.T) {
	l := limits{memory: smallestEdge.memory, descriptors: fewDescriptors}
	r := startEdge(t, l)
	openProbes.run(t, r, r.probeAddress, l)
}

func TestEdgeSurvivesOpenReadersOfMetrics(t *testing.T) {
	l := limits{memory: smallestEdge.memory, descriptors: fewDescriptors}
	r := startEdge(t, l)
	openProbes.run(t, r, r.metricsAddress, l)
}

func TestEdgeSurvivesProbesWithBodies(t *testing.T) {
	r := startEdge(t, smallestEdge)
	probesWithBodies.run(t, r, r.probeAddress, smallestEdge)
}

func TestServeSurvivesOpenProbes(t *testing.T) {
	l := limits{memory: smallestServe.memory, descriptors: fewDescriptors}
	r := startServe(t, l)
	openProbes.run(t, r, r.probeAddress, l)
}

func TestServeSurvivesProbesWithBodies(t *testing.T) {
	r := startServe(t, smallestServe)
	probesWithBodies.run(t, r, r.probeAddress, smallestServe)
}

// Limits for probes must not refuse one with a long head, as monitoring systems may send it.
func TestProbeWithLongHeadIsAnswered(t *testing.T) {
	r := startEdge(t, smallestEdge)
	r.awaitAnswer(t)
	for _, url := range []string{"http://" + r.probeAddress + r.probePath, "http://" + r.metricsAddress + "/metrics"} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		assert.NilError(t, err)
		request.Header.Set("Long", strings.Repeat("x", headBytes-600))
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
}
