package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an instance that ends at once, with its requests cut, when SIGHUP
// arrives or SIGTERM is repeated while it completes its requests after SIGTERM.
func TestSignalsDuringStopDoNotCutRequests(t *testing.T) {
	f := startFleet(t, buildRouter(t), 1, 1)
	f.targets[0].SetStream(100, 20*time.Millisecond)
	x, c := f.routers[0], &checker{t: t, fleet: f}
	results := make([]sentRequest, 8)
	var group sync.WaitGroup
	for n := range results {
		conn, err := net.Dial("tcp4", x.callerAddress)
		assert.NilError(t, err)
		defer conn.Close()
		s := &results[n]
		s.path, s.key = "/stream/once/", "key-1"
		group.Go(func() { c.sendRequest(conn, bufio.NewReader(conn), fmt.Sprintf("q-%d", n), s) })
	}
	for deadline := time.Now().Add(time.Second); f.targets[0].RunningRequests() < len(results) && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		x.signal(s)
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	for n, s := range results {
		assert.Equal(t, s.status, http.StatusOK, "request %d: %v", n, s.err)
	}
	assert.Assert(t, x.awaitExit(stopLimit))
	assert.Equal(t, x.cmd.ProcessState.ExitCode(), 0)
}
