package daemon

import (
	"context"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/relay"
)

// timedStore records how long the calls of a store take. Watches wait on
// purpose and are not recorded.
type timedStore struct {
	objectstore.Store
	times *relay.Latencies
}

// Get implements objectstore.Store.
func (s *timedStore) Get(ctx context.Context, kind, name string) (objectstore.Object, error) {
	defer s.record("get", time.Now())
	return s.Store.Get(ctx, kind, name)
}

// List implements objectstore.Store.
func (s *timedStore) List(ctx context.Context, kind string) ([]objectstore.Object, uint64, error) {
	defer s.record("list", time.Now())
	return s.Store.List(ctx, kind)
}

// Create implements objectstore.Store.
func (s *timedStore) Create(ctx context.Context, kind, name string, value []byte) (objectstore.Object, error) {
	defer s.record("create", time.Now())
	return s.Store.Create(ctx, kind, name, value)
}

// Update implements objectstore.Store.
func (s *timedStore) Update(ctx context.Context, kind, name string, value []byte, version uint64) (objectstore.Object, error) {
	defer s.record("update", time.Now())
	return s.Store.Update(ctx, kind, name, value, version)
}

func (s *timedStore) record(call string, started time.Time) {
	s.times.Record(call, time.Since(started))
}
