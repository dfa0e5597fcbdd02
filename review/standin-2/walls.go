//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	applyTime    = 2 * time.Second // config_apply_ms
	isolatedName = "t1"
	wallsTime    = 20 * time.Second // of traffic after the change
)

// keptPart is a part that a runner keeps. Runners find it only under the same salt and model.
type keptPart struct{ runner, salt, model, part string }

// made tells which request made a kept part.
type made struct {
	tenant, id string
	at         time.Time
}

// keptParts records what the runners keep, and the requests that used a part of another tenant.
// Its methods may be called concurrently.
type keptParts struct {
	f *fleet

	mu         sync.Mutex
	isolatedAt time.Time // when the store acknowledged that isolatedName is isolated; zero: it is not
	parts      map[keptPart]made
	judged     int // requests sent after the change was in force that found kept parts
	foreign    int // of these, the ones that used a part of another tenant, one of the two being isolated
}

// read lets a request use the leading parts of its prompt that are kept, and keeps all of them.
func (k *keptParts) read(r *runner, id string, request *http.Request) {
	tenant, model, salt := request.Header.Get("Lacewingwheel-Tenant"), request.Header.Get("Lacewingwheel-Model"), request.Header.Get("Lacewingwheel-Cache-Salt")
	runnerID, now := r.currentID(), time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	using, found := true, false
	var other made
	for _, entry := range strings.Split(request.Header.Get("Lacewingwheel-Prefix-Hash"), ",") {
		part, _, _ := strings.Cut(entry, ":")
		key := keptPart{runnerID, salt, model, part}
		maker, kept := k.parts[key]
		if !kept {
			k.parts[key] = made{tenant, id, now}
		}
		if using = using && kept; !using {
			continue
		}
		found = true
		if maker.tenant != tenant && (tenant == isolatedName || maker.tenant == isolatedName) {
			other = maker
		}
	}
	if !found || k.isolatedAt.IsZero() || now.Before(k.isolatedAt.Add(applyTime+contactTime)) {
		return
	}
	k.judged++
	if other.tenant == "" {
		return
	}
	k.foreign++
	k.f.printf("runner %s: request %s of %s, salt %q, uses a part that request %s of %s made %.1f s before the change of the configuration",
		runnerID, id, tenant, salt, other.id, other.tenant, k.isolatedAt.Sub(other.at).Seconds())
}

// playWalls isolates a tenant by a change of the configuration. WALL is broken if a request that
// arrives after the change is in force uses KV cache that a request of another tenant made, and one of
// the two is isolated.
func playWalls(f *fleet) (bool, error) {
	kept := &keptParts{f: f, parts: make(map[keptPart]made)}
	decide := func(r *runner, id string, request *http.Request) behaviour {
		kept.read(r, id, request)
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
	configure := func(version int, isolated bool) {
		t1 := tenant(isolatedName, "key1", 400000, 400000)
		t1["isolated"] = isolated
		f.store.Put("config", "main", serviceConfig(version, []map[string]any{route}, []map[string]any{engineService("ram-llm", modelName)}, []map[string]any{t1, tenant("t2", "key2", 400000, 400000)}))
	}
	configure(1, false)
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
				method: "POST", path: "/fit/2f", key: fmt.Sprintf("key%d", 1+n/2%2), model: modelName, tokens: "1460,80",
				parts: fmt.Sprintf("5c1e07a2:800,%08x:410,%08x:250", 100+n/4%5, 1000+n), body: "prompt", deadline: 4 * time.Second, tag: tagOf(e),
			})
		})
	}()
	time.Sleep(6 * time.Second)
	if trouble {
		configure(2, true)
		kept.mu.Lock()
		kept.isolatedAt = time.Now()
		kept.mu.Unlock()
		f.printf("operator: version 2 of the configuration isolates %s", isolatedName)
	}
	time.Sleep(wallsTime)
	endTraffic()
	<-trafficEnded
	kept.mu.Lock()
	defer kept.mu.Unlock()
	f.say("%d requests that arrived later than config_apply_ms and contact_ms after the change found kept parts; %d of them used parts of another tenant although one of the two is isolated", kept.judged, kept.foreign)
	return kept.foreign > 0, nil
}
