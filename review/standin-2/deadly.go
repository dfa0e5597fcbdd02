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
	deadlyBody     = "deadly"
	deadlyInterval = 2500 * time.Millisecond // between two client attempts with the deadly request
	deadlyTime     = 60 * time.Second
	maxRetries     = 3 // of BUDGET
)

// playDeadly sends a request again and again that crashes each runner that begins to run it,
// just after its first token. BUDGET is broken if it reaches runners in more than three retries,
// sent later than contact_ms after it has crashed the third.
func playDeadly(f *fleet) (bool, error) {
	decide := func(_ *runner, id string, _ *http.Request) behaviour {
		b := behaviour{firstToken: 60 * time.Millisecond, events: 49, gap: 10 * time.Millisecond}
		if trouble && strings.HasPrefix(id, deadlyBody) {
			b.crashAfter = 1
		}
		return b
	}
	for range 5 {
		if _, err := f.addRunner("ram-llm", modelName, decide); err != nil {
			return false, err
		}
	}
	f.store.Put("versions", modelName, map[string]any{"model": modelName, "version": 1})
	route := map[string]any{
		"name": "invite-draft", "host": host, "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 300, "priority": 0,
		"service": "ram-llm", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "target_gap_ms": 250,
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
	traffic, endTraffic := context.WithTimeout(ctx, deadlyTime)
	defer endTraffic()
	trafficEnded := make(chan struct{})
	go func() {
		defer close(trafficEnded)
		every(traffic, 100*time.Millisecond, func(n int) {
			e := f.edges[n%len(f.edges)]
			c.send(e, request{
				method: "POST", path: "/draft/9b", key: "key2", model: modelName, tokens: "826,49", parts: fmt.Sprintf("77aa01:119,%08x:79,%08x:628", n%9, 1000+n),
				body: fmt.Sprintf("invitation %d", n), deadline: 12 * time.Second, tag: "other",
			})
		})
	}()
	time.Sleep(2 * time.Second)
	every(traffic, deadlyInterval, func(n int) {
		c.send(f.edges[n%len(f.edges)], request{
			method: "POST", path: "/draft/9b", key: "key1", model: modelName, tokens: "826,49", parts: "77aa02:119,77aa03:79,77aa04:628",
			body: deadlyBody, deadline: 12 * time.Second, tag: deadlyBody,
		})
	})
	<-trafficEnded
	var crashes []time.Time
	reached := 0
	for _, r := range f.runners {
		r.mu.Lock()
		crashes = append(crashes, r.crashes...)
		r.mu.Unlock()
	}
	if trouble && len(crashes) < crashesBefore {
		return false, errors.New("the request has crashed fewer than three runners")
	}
	third := time.Now()
	if len(crashes) >= crashesBefore {
		third = earliest(crashes, crashesBefore)
	}
	for _, r := range f.runners {
		r.mu.Lock()
		for _, a := range r.arrivals {
			if strings.HasPrefix(a.id, deadlyBody) && a.at.After(third.Add(contactTime)) {
				reached++
			}
		}
		r.mu.Unlock()
	}
	cut, others := 0, 0
	c.mu.Lock()
	for _, a := range c.all {
		if strings.HasPrefix(a.id, "other") {
			others++
			if a.status == http.StatusOK && !a.complete {
				cut++
			}
		}
	}
	c.mu.Unlock()
	f.say("%d crashes; the request reached runners %d times later than %v after the third (allowed: %d); %d of %d other streams were cut", len(crashes), reached, contactTime, maxRetries, cut, others)
	return reached > maxRetries, nil
}

// crashesBefore is the number of runners that a request crashes before it counts as deadly.
const crashesBefore = 3

// earliest returns the n-th time.
func earliest(times []time.Time, n int) time.Time {
	sorted := append([]time.Time(nil), times...)
	for i := range sorted {
		for j := i + 1; j < len(sorted); j++ {
			if sorted[j].Before(sorted[i]) {
				sorted[i], sorted[j] = sorted[j], sorted[i]
			}
		}
	}
	return sorted[n-1]
}
