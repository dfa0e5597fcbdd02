//go:build review

package main

import (
	"fmt"
	"sync"
	"time"

	"lacewingwheel.example/lacewingwheel/platform"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

const (
	apiKey      = "key-of-o"
	serviceName = "app"
)

// configure writes a configuration with one route to the service and one tenant with ample limits.
func (f *fleet) configure(r platformtest.Route) {
	f.store.Put(platform.KindConfiguration, platform.NameConfiguration, map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": r.Name, "host": host, "path_prefix": r.PathPrefix, "kind": r.Kind, "timeout_ms": r.TimeoutMS, "target_latency_ms": 500,
			"priority": 0, "service": serviceName, "max_attempts": r.MaxAttempts, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []map[string]any{{"name": serviceName, "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{
			{"name": "o", "api_keys": []string{apiKey}, "unit": "tokens", "uncached_tokens": 200, "isolated": false, "rate_per_s": 386419, "burst": 386419},
		},
	})
}

// runners are the runners of a service. One that crashes is replaced by a new incarnation with
// another id.
type runners struct {
	f      *fleet
	faults func(t *platformtest.Target) func(n int, id string) platformtest.Fault

	mu      sync.Mutex
	started int
	all     []*platformtest.Target
}

// startRunners starts n runners of a plain service and registers them.
func (f *fleet) startRunners(n int, faults func(t *platformtest.Target) func(n int, id string) platformtest.Fault) (*runners, error) {
	s := &runners{f: f, faults: faults}
	for range n {
		if _, err := s.start(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *runners) start() (*platformtest.Target, error) {
	s.mu.Lock()
	s.started++
	id := fmt.Sprintf("i-%d", s.started)
	s.mu.Unlock()
	t, err := platformtest.StartTarget(id)
	if err != nil {
		return nil, err
	}
	faults := s.faults(t)
	t.SetFaults(func(n int, id string) platformtest.Fault {
		fault := faults(n, id)
		if !fault.Refuse {
			s.f.record.printf("%s is run by runner %s", id, t.ID)
		}
		return fault
	})
	s.mu.Lock()
	s.all = append(s.all, t)
	s.mu.Unlock()
	s.register(t)
	return t, nil
}

// register writes the entry of a runner.
func (s *runners) register(t *platformtest.Target) {
	s.f.store.Put(platform.KindTargets, t.ID, t.Entry(serviceName, "a"))
}

// crash ends a runner: its listener and all of its connections close. Its entry is removed after
// three heartbeats, and another incarnation starts after the downtime.
func (s *runners) crash(t *platformtest.Target, downtime time.Duration) {
	t.Stop()
	time.AfterFunc(3*heartbeat, func() { s.f.store.Delete(platform.KindTargets, t.ID) })
	time.AfterFunc(downtime, func() {
		if next, err := s.start(); err == nil {
			s.f.record.printf("runner %s is back as %s", t.ID, next.ID)
		}
	})
}

func (s *runners) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.all {
		t.Stop()
	}
}
