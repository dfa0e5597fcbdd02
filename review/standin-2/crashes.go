//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// All runners crash crashCount times, are down for crashDown each time and up for crashUp
	// between two crashes.
	crashCount = 3
	crashDown  = 1300 * time.Millisecond
	crashUp    = 700 * time.Millisecond
	// coldTime is how long a runner is cold after its start.
	coldTime = 3 * time.Second
	// observedTime is how long the traffic goes on after the runners are back for good.
	observedTime = 20 * time.Second
)

// playCrashes lets all runners of a service crash three times in a row. DENIED is broken if more
// than 5 + one in 500 of all requests are ended with a 4xx of a machine, other than 408, 421 and
// 429: all requests are proper and the configuration allows them, and no machine is disrupted.
func playCrashes(f *fleet) (bool, error) {
	decide := func(r *runner, _ string, _ *http.Request) behaviour {
		r.mu.Lock()
		cold := r.coldLeft() > 0
		r.mu.Unlock()
		b := behaviour{firstToken: 250 * time.Millisecond, events: 9, gap: 8 * time.Millisecond}
		if cold {
			b.firstToken = 900 * time.Millisecond
		}
		return b
	}
	for range 2 {
		r, err := f.addRunner("sprakmodell", modelName, decide)
		if err != nil {
			return false, err
		}
		r.mu.Lock()
		r.coldTime = coldTime
		r.mu.Unlock()
	}
	f.store.Put("versions", modelName, map[string]any{"model": modelName, "version": 1})
	route := map[string]any{
		"name": "larm-triage", "host": host, "path_prefix": "/triage/", "kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 500, "priority": 1,
		"service": "sprakmodell", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "target_gap_ms": 250,
	}
	tenants := []map[string]any{tenant("t1", "key1", 400000, 400000), tenant("t2", "key2", 400000, 400000)}
	f.store.Put("config", "main", serviceConfig(1, []map[string]any{route}, []map[string]any{engineService("sprakmodell", modelName)}, tenants))
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
		every(traffic, 60*time.Millisecond, func(n int) {
			e := f.edges[n%len(f.edges)]
			c.send(e, request{
				method: "POST", path: "/triage/7a", key: fmt.Sprintf("key%d", 1+n/2%2), model: modelName, tokens: "9190,9",
				parts: fmt.Sprintf("5c1e07a2:6300,%08x:2890", 1000+n), body: fmt.Sprintf("station %d", n), deadline: 4 * time.Second, tag: tagOf(e),
			})
		})
	}()
	time.Sleep(6 * time.Second)
	if trouble {
		for range crashCount {
			for _, r := range f.runners {
				r.crashFor(crashDown)
			}
			time.Sleep(crashDown + crashUp)
		}
		time.Sleep(-crashUp + time.Second)
	}
	back := time.Now()
	f.printf("the runners are back for good")
	time.Sleep(observedTime)
	endTraffic()
	<-trafficEnded
	denied, all := 0, 0
	byStatus := make(map[int]int)
	c.mu.Lock()
	for _, a := range c.all {
		all++
		if a.sentAt.After(back.Add(contactTime)) {
			byStatus[a.status]++
		}
		if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 && !a.stamp {
			denied++
		}
	}
	c.mu.Unlock()
	n, first := f.logLines("quarantined")
	f.say("requests sent later than %v after the runners were back for good, by status: %v", contactTime, byStatus)
	f.say("%d of %d requests were ended with a 4xx of a machine; allowed: %d. %d log lines with \"quarantined\", the first: %s", denied, all, 5+all/500, n, first)
	return denied > 5+all/500, nil
}
