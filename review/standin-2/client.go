//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is what a client sends.
type request struct {
	method, path, key string
	model             string
	tokens            string // Lacewingwheel-Token-Usage
	parts             string // Lacewingwheel-Prefix-Hash
	body              string
	deadline          time.Duration
	tag               string // begins the id
}

// answer is what a client got.
type answer struct {
	id        string
	status    int // zero: the connection ended without an answer
	complete  bool
	stamp     bool
	events    int
	took      time.Duration
	sentAt    time.Time
	err       error
	outOfTime bool
}

// callers sends requests. Its methods may be called concurrently.
type callers struct {
	f      *fleet
	client *http.Client
	next   atomic.Int64
	mu     sync.Mutex
	all    []answer
}

func newCallers(f *fleet) *callers {
	return &callers{f: f, client: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

// send sends one client attempt to a machine and returns the answer.
func (c *callers) send(e *edge, r request) answer {
	id := fmt.Sprintf("%s-%016x", r.tag, c.next.Add(1))
	a := answer{id: id, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline+200*time.Millisecond)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, r.method, "http://"+e.front()+r.path, strings.NewReader(r.body))
	if err != nil {
		a.err = err
		return a
	}
	out.GetBody = nil // the transport must not send it twice
	out.Host = host
	out.Header.Set("Lacewingwheel-Request-Id", id)
	out.Header.Set("Lacewingwheel-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	if r.key != "" {
		out.Header.Set("Authorization", "Token "+r.key)
	}
	for name, value := range map[string]string{"Lacewingwheel-Model": r.model, "Lacewingwheel-Token-Usage": r.tokens, "Lacewingwheel-Prefix-Hash": r.parts} {
		if value != "" {
			out.Header.Set(name, value)
		}
	}
	response, err := c.client.Do(out)
	if err == nil {
		a.status = response.StatusCode
		a.stamp = response.Header.Get("Lacewingwheel-Response-Stamp") != ""
		var text []byte
		text, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.complete = err == nil
		a.events = strings.Count(string(text), "\n\n")
	}
	a.err, a.took = err, time.Since(a.sentAt)
	a.outOfTime = ctx.Err() != nil
	c.f.printf("client: %s sent to %s %.3f s ago: status %d, complete %t, events %d", id, e.name, a.took.Seconds(), a.status, a.complete, a.events)
	c.mu.Lock()
	c.all = append(c.all, a)
	c.mu.Unlock()
	return a
}

// every calls f at each interval in a goroutine of its own until ctx ends, and waits for them.
func every(ctx context.Context, interval time.Duration, f func(n int)) {
	var group sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		group.Go(func() { f(n) })
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
	group.Wait()
}

// serviceConfig returns an operator's configuration with routes to services.
func serviceConfig(version int, routes, services, tenants []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func engineService(name, model string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 106556, "kv_token_bytes": 35136, "models": []map[string]any{{"name": model}}},
	}
}

func tenant(name, key string, rate, burst float64) map[string]any {
	return map[string]any{"name": name, "api_keys": []string{key}, "unit": "tokens", "uncached_tokens": 200, "isolated": false, "rate_per_s": rate, "burst": burst}
}
