//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	relistPause = 40 * time.Second // that a runner asks for
	// relistCut is how long that runner does not reach the store.
	relistCut = 5 * time.Second
	// maxPaused is how many requests may reach a runner from a machine while it is paused.
	maxPaused = 2
)

// playRelist cuts a runner off from the store that has turned requests of all machines away with 503
// and Retry-After. BUDGET is broken if more than two requests of a machine reach it between
// half a second after that answer and the end of that time.
func playRelist(f *fleet) (bool, error) {
	var shed atomic.Pointer[runner]
	decide := func(r *runner, _ string, _ *http.Request) behaviour {
		if shed.Load() == r {
			return behaviour{retryAfter: fmt.Sprint(int(relistPause.Seconds()))}
		}
		return behaviour{firstToken: 30 * time.Millisecond, events: 5, gap: 5 * time.Millisecond}
	}
	for range 3 {
		if _, err := f.addRunner("ram-llm", modelName, decide); err != nil {
			return false, err
		}
	}
	f.store.Put("versions", modelName, map[string]any{"model": modelName, "version": 1})
	route := map[string]any{
		"name": "fit-verdict", "host": host, "path_prefix": "/fit/", "kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 500, "priority": 1,
		"service": "ram-llm", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "target_gap_ms": 250,
	}
	f.store.Put("config", "main", serviceConfig(1, []map[string]any{route}, []map[string]any{engineService("ram-llm", modelName)}, []map[string]any{tenant("t1", "key1", 400000, 400000)}))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.removeSilent(ctx)
	if err := f.startEdges(2); err != nil {
		return false, err
	}
	c := newCallers(f)
	traffic, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	trafficEnded := make(chan struct{})
	go func() {
		defer close(trafficEnded)
		every(traffic, 50*time.Millisecond, func(n int) {
			e := f.edges[n%len(f.edges)]
			c.send(e, request{
				method: "POST", path: "/fit/2f", key: "key1", model: modelName, tokens: "1460,80", parts: fmt.Sprintf("5c1e07a2:800,%08x:410,%08x:250", n%7, 1000+n),
				body: "prompt", deadline: 4 * time.Second, tag: tagOf(e),
			})
		})
	}()
	time.Sleep(4 * time.Second)
	r := f.runners[0]
	shed.Store(r)
	time.Sleep(time.Second)
	shed.Store(nil)
	asked := make(map[string]time.Time) // by machine: when it was last asked for the pause
	r.mu.Lock()
	for _, a := range r.arrivals {
		if !a.executed {
			asked[machineOf(a.id)] = a.at
		}
	}
	r.mu.Unlock()
	if len(asked) == 0 {
		return false, errors.New("the runner has turned no request away")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		f.printf("runner %s does not reach the store for %v", r.currentID(), relistCut)
		r.setCut(true)
		time.Sleep(relistCut)
		r.setCut(false)
		f.printf("runner %s reaches the store again", r.currentID())
	} else {
		time.Sleep(relistCut)
	}
	time.Sleep(20 * time.Second)
	endTraffic()
	<-trafficEnded
	broken := false
	for machine, at := range asked {
		n := 0
		r.mu.Lock()
		for _, a := range r.arrivals {
			if machineOf(a.id) == machine && a.at.After(at.Add(500*time.Millisecond)) && a.at.Before(at.Add(relistPause)) {
				n++
			}
		}
		r.mu.Unlock()
		f.say("machine %s: %d requests reached the runner in the time that it had asked for (allowed: %d)", machine, n, maxPaused)
		broken = broken || n > maxPaused
	}
	return broken, nil
}

// machineOf returns the machine of a request's id.
func machineOf(id string) string { return id[:strings.LastIndex(id, "-")] }
