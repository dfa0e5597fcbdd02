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
	modelName   = "daka510000"
	pauseLength = "45" // seconds
	// pauseTraffic is how long the runners turn requests of one machine away.
	pauseTraffic = time.Second
	lingerTime   = 16 * time.Second
)

// playPause names new weights after the runners have turned requests of one machine away with
// 503 and Retry-After. That machine is the one that gave the orders for the weights before.
// VERSION is broken if more than one runner and over a tenth of them still have an older version
// when the traffic ends, 1.5 x version_ms after the acknowledgement; nothing else is disrupted.
func playPause(f *fleet) (bool, error) {
	var shed atomic.Pointer[string] // begin of the ids of the machine whose requests are turned away
	decide := func(_ *runner, id string, _ *http.Request) behaviour {
		if tag := shed.Load(); tag != nil && strings.HasPrefix(id, *tag) {
			return behaviour{retryAfter: pauseLength}
		}
		return behaviour{firstToken: 30 * time.Millisecond, events: 5, gap: 5 * time.Millisecond}
	}
	for range 4 {
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
	if err := f.startEdges(3); err != nil {
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
	f.printf("operator names version 2 of the weights")
	f.store.Put("versions", modelName, map[string]any{"model": modelName, "version": 2})
	if !f.awaitVersion(2, versionTime) {
		return false, errors.New("version 2 was not loaded in calm")
	}
	holder := f.lastHolder()
	if holder == nil {
		return false, errors.New("the holder is not known")
	}
	f.say("version 2 is loaded; orders came from %s", holder.name)
	time.Sleep(lingerTime) // the lease for orders is released meanwhile, and the machines stop looking for one that died with it
	if trouble {
		tag := tagOf(holder)
		f.printf("the runners turn requests of %s away for %v, Retry-After %s", holder.name, pauseTraffic, pauseLength)
		shed.Store(&tag)
		time.Sleep(pauseTraffic)
		shed.Store(nil)
	}
	time.Sleep(contactTime)
	named := time.Now()
	f.printf("operator names version 3 of the weights")
	f.store.Put("versions", modelName, map[string]any{"model": modelName, "version": 3})
	time.Sleep(versionTime * 3 / 2)
	time.Sleep(2 * time.Second)
	endTraffic()
	<-trafficEnded
	old := 0
	for _, r := range f.runners {
		if r.loadedVersion() < 3 {
			old++
		}
	}
	for _, e := range f.edges {
		served, all := c.countAt(e, named, time.Now(), http.StatusOK)
		late, allLate := c.countAt(e, named.Add(versionTime), time.Now(), http.StatusOK)
		f.say("%s: %d of %d requests sent since the naming were served; later than version_ms after it: %d of %d", e.name, served, all, late, allLate)
	}
	orders := 0
	for _, r := range f.runners {
		r.mu.Lock()
		for _, o := range r.received {
			if o.at.After(named) {
				orders++
			}
		}
		r.mu.Unlock()
	}
	f.say("%d of %d runners have an older version %.1f s after it was named; %d orders were sent since then", old, len(f.runners), time.Since(named).Seconds(), orders)
	return old > 1 && 10*old > len(f.runners), nil
}

// tagOf begins the ids of the requests that are sent to a machine.
func tagOf(e *edge) string { return e.name[len("edge-th-north-"):] }

// awaitVersion waits until all runners have loaded a version.
func (f *fleet) awaitVersion(version int64, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, r := range f.runners {
			all = all && r.loadedVersion() == version
		}
		if all {
			return true
		}
	}
	return false
}

// lastHolder returns the machine that has sent the last order.
func (f *fleet) lastHolder() *edge {
	var last order
	for _, r := range f.runners {
		r.mu.Lock()
		for _, o := range r.received {
			if o.at.After(last.at) {
				last = o
			}
		}
		r.mu.Unlock()
	}
	for _, e := range f.edges {
		if e.name == last.holder {
			return e
		}
	}
	return nil
}

// countAt returns how many answers to requests that were sent to a machine in a time have a
// status.
func (c *callers) countAt(e *edge, from, to time.Time, status int) (n, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.all {
		if a.sentAt.Before(from) || a.sentAt.After(to) || !strings.HasPrefix(a.id, tagOf(e)+"-") {
			continue
		}
		all++
		if a.status == status && a.complete {
			n++
		}
	}
	return n, all
}
