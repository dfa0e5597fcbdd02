package daemon

import (
	"context"
	"expvar"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/relay"
)

// timedStore counts the calls to a store and records their latencies. Watches
// wait for changes, so they are only counted.
type timedStore struct {
	objectstore.Store
	latencies *relay.LatencyHistograms
	calls     *expvar.Map
}

// Watch implements objectstore.Store.
func (s *timedStore) Watch(ctx context.Context, kind string, after uint64) ([]objectstore.Event, uint64, error) {
	s.calls.Add("store_watch_"+kind, 1)
	return s.Store.Watch(ctx, kind, after)
}

// Get implements objectstore.Store.
func (s *timedStore) Get(ctx context.Context, kind, name string) (objectstore.Object, error) {
	defer s.record("get", kind, time.Now())
	return s.Store.Get(ctx, kind, name)
}

// List implements objectstore.Store.
func (s *timedStore) List(ctx context.Context, kind string) ([]objectstore.Object, uint64, error) {
	defer s.record("list", kind, time.Now())
	return s.Store.List(ctx, kind)
}

// Create implements objectstore.Store.
func (s *timedStore) Create(ctx context.Context, kind, name string, value []byte) (objectstore.Object, error) {
	defer s.record("create", kind, time.Now())
	return s.Store.Create(ctx, kind, name, value)
}

// Update implements objectstore.Store.
func (s *timedStore) Update(ctx context.Context, kind, name string, value []byte, version uint64) (objectstore.Object, error) {
	defer s.record("update", kind, time.Now())
	return s.Store.Update(ctx, kind, name, value, version)
}

// UpdateStatus implements objectstore.Store.
func (s *timedStore) UpdateStatus(ctx context.Context, kind, name string, status []byte, version uint64) (objectstore.Object, error) {
	defer s.record("update_status", kind, time.Now())
	return s.Store.UpdateStatus(ctx, kind, name, status, version)
}

// record counts a call that began at startedAt and records its latency.
func (s *timedStore) record(call, kind string, startedAt time.Time) {
	s.calls.Add("store_"+call+"_"+kind, 1)
	s.latencies.Record(call, time.Since(startedAt))
}
