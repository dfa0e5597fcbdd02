package rollout

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/follow"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// restoredStore is a store of the lease that states an era and counts reads.
type restoredStore struct {
	leaseStore
	era   uint64
	reads int
}

func (s *restoredStore) Get(ctx context.Context, kind, name string) (objectstore.Object, error) {
	s.reads++
	object, err := s.leaseStore.Get(ctx, kind, name)
	if err != nil {
		return object, &objectstore.Error{Kind: objectstore.KindOf(err), Era: s.era, Cause: err}
	}
	object.Version = objectstore.Revision(s.era, object.Version)
	return object, nil
}

func (s *restoredStore) Create(ctx context.Context, kind, name string, value []byte) (objectstore.Object, error) {
	return s.Update(ctx, kind, name, value, 0)
}

func (s *restoredStore) Update(ctx context.Context, kind, name string, value []byte, version uint64) (objectstore.Object, error) {
	object, err := s.leaseStore.Update(ctx, kind, name, value, objectstore.Number(version))
	object.Version = objectstore.Revision(s.era, object.Version)
	return object, err
}

// After a restore the first rollout waited for a holder of the lost time, and ended late. The
// instance checks the lease right after the restore, for a bounded number of calls.
func TestRolloutAfterARestoreIsInTime(t *testing.T) {
	f := newFleet(18)
	store := &restoredStore{era: 1}
	r := f.newController(store, "one")
	r.Lease.StoreHealth = &follow.StoreHealth{Clock: f.clock, Log: hclog.NewNullLogger()}
	r.Lease.StoreHealth.RecordEra(1)
	f.newest = "2"
	f.simulate(t, 20*time.Second, r)
	assert.Equal(t, f.outdatedCount(), 0)
	f.simulate(t, 2*lingerTime, r)
	store.reads = 0
	f.simulate(t, 5*time.Second, r)
	assert.Equal(t, store.reads, 0, "the lease is read although nothing is to be done")

	store.era = 2
	r.Lease.StoreHealth.RecordEra(2)
	f.simulate(t, lingerTime+5*time.Second, r)
	assert.Assert(t, store.reads >= 5 && store.reads <= 20, "%d reads", store.reads)
	f.newest = "3"
	f.simulate(t, 10*time.Second, r)
	assert.Equal(t, f.outdatedCount(), 0)
}
