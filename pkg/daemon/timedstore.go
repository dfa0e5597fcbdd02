package daemon

import (
	"context"
	"expvar"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/relay"
)

// timedStore counts the calls of a store and records how long they take.
// Watches wait on purpose, and only their number is recorded.
type timedStore struct {
	objectstore.Store
	times *relay.LatencyHistograms
	calls *expvar.Map
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

func (s *timedStore) record(call, kind string, started time.Time) {
	s.calls.Add("store_"+call+"_"+kind, 1)
	s.times.Record(call, time.Since(started))
}
