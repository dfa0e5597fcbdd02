package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

type orderLog struct {
	engine.Client
	orders []engine.Order
}

func (l *orderLog) Order(_ context.Context, _ string, order engine.Order) error {
	l.orders = append(l.orders, order)
	return nil
}

type fixedSnapshot struct{ snapshot *tables.Snapshot }

func (f fixedSnapshot) Snapshot() *tables.Snapshot { return f.snapshot }

type fixedSet struct{ set *target.Set }

func (f *fixedSet) Set() *target.Set { return f.set }

type orderFixture struct {
	store *standin.Store
	clock *clock.Fake
	log   *orderLog
	set   *fixedSet
	pools string
}

func newOrderFixture(targets int, fencing bool) *orderFixture {
	f := &orderFixture{
		store: standin.NewStore(), clock: clock.NewFake(time.Unix(0, 0)), log: &orderLog{},
		pools: fmt.Sprintf("[pool demo]\ntargets = app=engine\nmodel = demo\nweight_version = 2\nload_limit = 3\nfencing = %v\n", fencing),
	}
	f.clock.Advance(time.Hour)
	var list []*target.Target
	for n := range targets {
		list = append(list, &target.Target{
			ID: fmt.Sprint("engine-", n), Role: objectstore.RoleEngine, Reachable: true, Model: "demo", WeightVersion: "1",
			Labels: map[string]string{"app": "engine"}, Live: &target.LiveState{},
		})
	}
	f.set = &fixedSet{target.NewSet(list)}
	return f
}

func (f *orderFixture) controller(t *testing.T, name string, store objectstore.Store) *OrderController {
	t.Helper()
	parsed, err := tables.Parse(tables.Source{Routes: []byte("[route a]\npath = /v1/completions\npool = demo\n"), Pools: []byte(f.pools)})
	assert.NilError(t, err)
	o := NewOrderController(store, f.clock, name, name+"-1")
	o.Client, o.Targets, o.Log = f.log, f.set, hclog.NewNullLogger()
	o.Configuration = fixedSnapshot{tables.NewSnapshot(1, parsed)}
	return o
}

// Guards the weight store: no more loads at once than the pool allows, also
// when they are slow, and the rest follow as loads finish.
func TestOrdersRespectLoadLimit(t *testing.T) {
	f := newOrderFixture(5, true)
	o := f.controller(t, "r1", f.store)
	o.Reconcile(t.Context())
	assert.Equal(t, len(f.log.orders), 3)
	f.clock.Advance(5 * time.Second)
	o.Reconcile(t.Context())
	assert.Equal(t, len(f.log.orders), 3)
	f.set.set.Targets[0].WeightVersion = "2"
	f.clock.Advance(5 * time.Second)
	o.Reconcile(t.Context())
	assert.Equal(t, len(f.log.orders), 4)
}

// Guards against two instances that give orders at the same time, against
// orders of a paused holder, and against fencing numbers that do not rise.
func TestOnlyOneInstanceOrders(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprint("fencing ", fencing), func(t *testing.T) {
			f := newOrderFixture(1, fencing)
			first, second := f.controller(t, "r1", f.store), f.controller(t, "r2", f.store)
			first.Reconcile(t.Context())
			second.Reconcile(t.Context())
			assert.Equal(t, len(f.log.orders), 1)

			// The first holder is paused past its lease and then resumes.
			f.clock.Advance(OrdersLeaseDuration + ordersGuard + time.Second)
			first.send(t.Context(), f.set.set.Targets[0], &f.controller(t, "x", f.store).Configuration.Snapshot().Tables.Pools[0])
			assert.Equal(t, len(f.log.orders), 1)

			second.Reconcile(t.Context())
			assert.Assert(t, second.Lease.Held())
			assert.Assert(t, second.Lease.Fence() > f.log.orders[0].Fence)
			if !fencing {
				// An order of the first holder may still be on its way.
				assert.Equal(t, len(f.log.orders), 1)
				for range 10 {
					f.clock.Advance(ordersInterval)
					second.Reconcile(t.Context())
				}
			}
			assert.Equal(t, len(f.log.orders), 2)
			first.Reconcile(t.Context())
			assert.Assert(t, !first.Lease.Held())
		})
	}
}

// lossyStore loses the answer of writes that took effect.
type lossyStore struct{ objectstore.Store }

func (s lossyStore) Create(ctx context.Context, kind, name string, value []byte) (objectstore.Object, error) {
	_, _ = s.Store.Create(ctx, kind, name, value)
	return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindUnknown, Call: "create", Cause: context.DeadlineExceeded}
}

// Guards against a lease that is held in the store while its holder does not
// know, because the answer to its write was lost.
func TestLeaseRecognisesOwnWrite(t *testing.T) {
	f := newOrderFixture(1, true)
	o := f.controller(t, "r1", lossyStore{f.store})
	o.Reconcile(t.Context())
	assert.Assert(t, o.Lease.Held())
	assert.Equal(t, len(f.log.orders), 1)
}

// unreadableStore loses the answer of an update and then fails one read.
type unreadableStore struct {
	objectstore.Store
	lose bool
	fail bool
}

func (s *unreadableStore) Update(ctx context.Context, kind, name string, value []byte, version uint64) (objectstore.Object, error) {
	object, err := s.Store.Update(ctx, kind, name, value, version)
	if s.lose {
		s.lose, s.fail = false, true
		return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindUnknown, Call: "update", Cause: context.DeadlineExceeded}
	}
	return object, err
}

func (s *unreadableStore) Get(ctx context.Context, kind, name string) (objectstore.Object, error) {
	if s.fail {
		s.fail = false
		return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindUnavailable, Call: "get", Cause: context.DeadlineExceeded}
	}
	return s.Store.Get(ctx, kind, name)
}

// Guards against orders that come too early after a takeover whose answer was
// lost and could not be read back at once.
func TestTakeoverIsRememberedOverLostAnswer(t *testing.T) {
	f := newOrderFixture(1, false)
	first := f.controller(t, "r1", f.store)
	store := &unreadableStore{Store: f.store}
	second := f.controller(t, "r2", store)
	first.Reconcile(t.Context())
	second.Reconcile(t.Context())
	f.clock.Advance(OrdersLeaseDuration + ordersGuard + time.Second)
	store.lose = true
	second.Reconcile(t.Context())
	assert.Assert(t, !second.Lease.Held())
	second.Reconcile(t.Context())
	assert.Assert(t, second.Lease.Held())
	assert.Equal(t, len(f.log.orders), 1)
}

// Guards against two pools that reload the same target in turn.
func TestFirstPoolDecides(t *testing.T) {
	f := newOrderFixture(1, true)
	f.pools += "\n[pool second]\ntargets = app=engine\nmodel = other\n"
	o := f.controller(t, "r1", f.store)
	o.Reconcile(t.Context())
	f.set.set.Targets[0].WeightVersion = "2"
	f.clock.Advance(5 * time.Second)
	o.Reconcile(t.Context())
	assert.Equal(t, len(f.log.orders), 1)
	assert.Equal(t, f.log.orders[0].Model, "demo")
}

// Guards against a wait for the lease after a planned stop.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	f := newOrderFixture(1, false)
	first, second := f.controller(t, "r1", f.store), f.controller(t, "r2", f.store)
	first.Reconcile(t.Context())
	assert.NilError(t, first.Lease.Release(t.Context()))
	second.Reconcile(t.Context())
	assert.Assert(t, second.Lease.Held())
	assert.Equal(t, len(f.log.orders), 2)
}
