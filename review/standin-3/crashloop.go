//go:build review

package main

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"lacewingwheel.example/lacewingwheel/platform"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// runCrashLoop lets all runners of a service crash several times, whatever they run, and then lets
// them work well. Callers of two tenants send streams whose prompts begin with one shared part, and
// read single entries from the same service.
func runCrashLoop(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	const (
		runnerCount = 4
		firstToken  = 600 * time.Millisecond
		down, up    = time.Second, 500 * time.Millisecond
		outages     = 5
		calm        = 20 * time.Second
	)
	f.putTwoTenants()
	all, err := f.startRunners(runnerCount, func(*platformtest.Target) func(int, string) platformtest.Fault {
		return func(int, string) platformtest.Fault { return platformtest.Fault{Delay: firstToken} }
	})
	if err != nil {
		return false, err
	}
	defer all.stop()
	if err := f.startEdges(3, nil); err != nil {
		return false, err
	}
	r.printf("3 edges are ready; %d runners, whose first token comes after %v", runnerCount, firstToken)
	time.Sleep(2 * contact) // in touch
	type attempt struct {
		sentAt time.Time
		status int
	}
	var mu sync.Mutex
	var attempts []attempt
	stop := make(chan struct{})
	var group sync.WaitGroup
	for n := range 12 {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				e, sentAt := f.edges[(n+i)%3], time.Now()
				a := f.send(e, request{
					id: fmt.Sprintf("q-%d-%d", n, i), method: "POST", path: fmt.Sprintf("/stream/draft/%d", i), key: tenantKeys[n%2], body: fmt.Sprintf("prompt %d of caller %d", i, n),
					deadline: callerDeadline, header: generationHeader(fmt.Sprintf("%02x%04x", n, i)),
				})
				mu.Lock()
				attempts = append(attempts, attempt{sentAt, a.status})
				mu.Unlock()
				time.Sleep(100*time.Millisecond + retryAfter(a))
			}
		})
	}
	time.Sleep(4 * time.Second)
	for n := range outages {
		if !trouble {
			break
		}
		all.mu.Lock()
		running := slices.Clone(all.all[len(all.all)-runnerCount:])
		all.mu.Unlock()
		r.printf("outage %d: all runners crash, for %v", n+1, down)
		for _, t := range running {
			all.crash(t, down)
		}
		time.Sleep(down + up)
	}
	recovered := time.Now()
	r.printf("the runners work well from now on")
	time.Sleep(contact + calm)
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	denied, late := 0, 0
	for _, a := range attempts {
		if a.sentAt.Before(recovered.Add(contact)) {
			continue
		}
		late++
		if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
		}
	}
	allowed := 5 + float64(len(attempts))/500
	r.printf("%d requests in all; %d were sent later than contact_ms after the last outage, and %d of these were denied with a 4xx of the system; allowed: %.1f", len(attempts), late, denied, allowed)
	return float64(denied) > allowed, nil
}

// retryAfter returns how long a client waits after a refusal, up to a third of its time.
func retryAfter(a answer) time.Duration {
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil || a.status != 503 && a.status != 429 {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), callerDeadline/3)
}

// tenantKeys are the keys of the tenants of putTwoTenants.
var tenantKeys = []string{"key-of-a", "key-of-b"}

// putTwoTenants writes a configuration with a route for streams and two tenants with ample limits.
func (f *fleet) putTwoTenants() {
	f.store.Put(platform.KindConfiguration, platform.NameConfiguration, map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "draft", "host": host, "path_prefix": "/stream/draft/", "kind": "streaming", "timeout_ms": callerDeadline.Milliseconds(), "target_latency_ms": 500,
			"target_gap_ms": 250, "priority": 0, "service": platformtest.PoolName, "max_attempts": 1, "public": false, "sticky": true, "resumable": false,
		}},
		"services": []map[string]any{{"name": platformtest.PoolName, "health_path": "/healthz", "max_conns": 360, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 100000, "models": []map[string]any{{"name": "m"}}}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{
			{"name": "a", "api_keys": tenantKeys[:1], "unit": "tokens", "uncached_tokens": 200, "isolated": false, "rate_per_s": 386419, "burst": 386419},
			{"name": "b", "api_keys": tenantKeys[1:], "unit": "tokens", "uncached_tokens": 200, "isolated": false, "rate_per_s": 386419, "burst": 386419},
		},
	})
}
