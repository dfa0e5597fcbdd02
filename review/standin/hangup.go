//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	hangupStreams  = 12
	hangupConfirms = 6
	// hangupAfter is the time between SIGTERM and SIGHUP.
	hangupAfter = time.Second
)

// runHangup sends requests that run for about three seconds to one of two routers, stops
// the router with SIGTERM, and sends it SIGHUP while it drains. Without trouble there is
// no SIGHUP. Rule: LOST.
func runHangup(f *fleet, trouble bool) ([]string, error) {
	f.putConfiguration()
	for _, id := range []string{"i-7f3a91c2", "i-02d9e6b4"} {
		r, err := f.startRunner(id, engineService)
		if err != nil {
			return nil, err
		}
		r.events, r.pause = 30, 100*time.Millisecond
	}
	service, err := f.startRunner("i-44c0a1d7", plainService)
	if err != nil {
		return nil, err
	}
	service.work = 3 * time.Second
	if err := f.startRouters("edge-th-north-a-1", "edge-th-north-a-2"); err != nil {
		return nil, err
	}
	time.Sleep(leadTime - time.Since(f.startedAt))
	x, clients := f.routers[0], newCaller(f)
	var group sync.WaitGroup
	for range hangupStreams {
		group.Go(func() { clients.send(x, "/xapu221/2f", 12*time.Second) })
	}
	for range hangupConfirms {
		group.Go(func() { clients.send(x, "/fiti832/2f", 4*time.Second) })
	}
	time.Sleep(500 * time.Millisecond) // all are running
	stoppedAt := time.Now()
	x.signal(syscall.SIGTERM)
	if trouble {
		time.Sleep(hangupAfter)
		x.signal(syscall.SIGHUP)
	}
	group.Wait()
	if err := x.awaitExit(graceTime - time.Since(stoppedAt)); err != nil {
		x.signal(syscall.SIGKILL)
		f.note("%v", err)
	}
	var violations []string
	running := 0
	for _, r := range f.runners {
		r.mu.Lock()
		running += len(r.arrivals)
		r.mu.Unlock()
	}
	if running != hangupStreams+hangupConfirms {
		return nil, fmt.Errorf("%d requests reached runners, not %d", running, hangupStreams+hangupConfirms)
	}
	for _, o := range clients.results() {
		if !o.completed {
			violations = append(violations, fmt.Sprintf("LOST: request %s (%s) was passed on to a runner; its connection ended %.2f s after SIGTERM without a complete answer: %v",
				o.id, o.path, o.endedAt.Sub(stoppedAt).Seconds(), o.err))
		}
	}
	return violations, nil
}
