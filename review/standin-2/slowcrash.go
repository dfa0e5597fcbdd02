//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	slowPart = "5c1e07dd"
	// slowCrash is the time from the arrival of a request with the part to the crash: that of a long
	// queue and prompt.
	slowCrash = 2500 * time.Millisecond
	slowTime  = 30 * time.Second
	// crashesOfPart is the number of crashes from which the rule counts.
	crashesOfPart = 5
)

// playSlowCrash sends requests with a part of their prompts that crashes each runner which begins to write
// an answer on it, 2.5 s after it got the request. BUDGET is broken if more than three requests with the
// part reach runners later than contact_ms after the fifth crash.
func playSlowCrash(f *fleet) (bool, error) {
	decide := func(_ *runner, id string, _ *http.Request) behaviour {
		if trouble && strings.HasPrefix(id, deadlyBody) {
			return behaviour{firstToken: slowCrash, crashBefore: true}
		}
		return behaviour{firstToken: slowCrash, events: 9, gap: 10 * time.Millisecond}
	}
	for range 16 {
		if _, err := f.addRunner("ram-llm", modelName, decide); err != nil {
			return false, err
		}
	}
	f.store.Put("versions", modelName, map[string]any{"model": modelName, "version": 1})
	route := map[string]any{
		"name": "fit-verdict", "host": host, "path_prefix": "/fit/", "kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 500, "priority": 1,
		"service": "ram-llm", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "target_gap_ms": 250,
	}
	tenants := []map[string]any{tenant("t1", "key1", 400000, 400000), tenant("t2", "key2", 400000, 400000)}
	f.store.Put("config", "main", serviceConfig(1, []map[string]any{route}, []map[string]any{engineService("ram-llm", modelName)}, tenants))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.removeSilent(ctx)
	if err := f.startEdges(3); err != nil {
		return false, err
	}
	c := newCallers(f)
	traffic, endTraffic := context.WithTimeout(ctx, slowTime)
	defer endTraffic()
	otherEnded := make(chan struct{})
	go func() {
		defer close(otherEnded)
		every(traffic, 100*time.Millisecond, func(n int) {
			e := f.edges[n%len(f.edges)]
			c.send(e, request{method: "POST", path: "/fit/2f", key: "key2", model: modelName, tokens: "1460,80", parts: fmt.Sprintf("5c1e07a2:800,%08x:410,%08x:250", n%7, 1000+n), body: "prompt", deadline: 4 * time.Second, tag: "other"})
		})
	}()
	time.Sleep(3 * time.Second)
	every(traffic, 250*time.Millisecond, func(n int) {
		c.send(f.edges[n%len(f.edges)], request{method: "POST", path: "/fit/2f", key: "key1", model: modelName, tokens: "1460,80",
			parts: fmt.Sprintf("5c1e07a2:800,%s:410,%08x:250", slowPart, 9000+n), body: fmt.Sprintf("prompt %d", n), deadline: 4 * time.Second, tag: deadlyBody})
	})
	<-otherEnded
	var crashes []time.Time
	for _, r := range f.runners {
		r.mu.Lock()
		crashes = append(crashes, r.crashes...)
		r.mu.Unlock()
	}
	if len(crashes) < crashesOfPart {
		if trouble {
			return false, errors.New("fewer than five crashes")
		}
		return false, nil
	}
	fifth, reached := earliest(crashes, crashesOfPart), 0
	for _, r := range f.runners {
		r.mu.Lock()
		for _, a := range r.arrivals {
			if strings.HasPrefix(a.id, deadlyBody) && a.at.After(fifth.Add(contactTime)) {
				reached++
			}
		}
		r.mu.Unlock()
	}
	n, first := f.logLines("quarantined:")
	f.say("%d crashes; %d requests with the part reached runners later than %v after the fifth (allowed: %d); %d log lines, the first: %s", len(crashes), reached, contactTime, maxRetries, n, first)
	return reached > maxRetries, nil
}
