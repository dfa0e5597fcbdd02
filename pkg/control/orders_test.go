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

// recordingClient records the orders that are sent to engines.
type recordingClient struct {
	engine.Client
	orders []engine.Order
}

func (l *recordingClient) SendOrder(_ context.Context, _ string, order engine.Order) error {
	l.orders = append(l.orders, order)
	return nil
}

// fixedSnapshot is a SnapshotSource with one configuration.
type fixedSnapshot struct{ snapshot *tables.Snapshot }

func (f fixedSnapshot) Snapshot() *tables.Snapshot { return f.snapshot }

// fixedTargets is a TargetSource with one set.
type fixedTargets struct{ set *target.Set }

func (f *fixedTargets) TargetSet() *target.Set { return f.set }

// orderFixture is a set of engines with weight version 1 and a pool that asks
// for version 2.
type orderFixture struct {
	store   *standin.Store
	clock   *clock.Fake
	client  *recordingClient
	targets *fixedTargets
	pools   string
}

func newOrderFixture(targets int, fencing bool) *orderFixture {
	f := &orderFixture{
		store: standin.NewStore(), clock: clock.NewFake(time.Unix(0, 0)), client: &recordingClient{},
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
	f.targets = &fixedTargets{target.NewSet(list)}
	return f
}

func (f *orderFixture) newController(t *testing.T, name string, store objectstore.Store) *OrderController {
	t.Helper()
	parsed, err := tables.Parse(tables.Source{Routes: []byte("[route a]\npath = /v1/completions\npool = demo\n"), Pools: []byte(f.pools)})
	assert.NilError(t, err)
	o := NewOrderController(store, f.clock, name, name+"-1")
	o.Client, o.Targets, o.Log = f.client, f.targets, hclog.NewNullLogger()
	o.Configuration = fixedSnapshot{tables.NewSnapshot(1, parsed)}
	return o
}

// The weight store is overloaded if more targets load at once than the pool
// allows. Slow loads count until they finish; only then the next targets get
// their orders.
func TestOrdersRespectLoadLimit(t *testing.T) {
	f := newOrderFixture(5, true)
	o := f.newController(t, "r1", f.store)
	o.Reconcile(t.Context())
	assert.Equal(t, len(f.client.orders), 3)
	f.clock.Advance(5 * time.Second)
	o.Reconcile(t.Context())
	assert.Equal(t, len(f.client.orders), 3)
	f.targets.set.Targets[0].WeightVersion = "2"
	f.clock.Advance(5 * time.Second)
	o.Reconcile(t.Context())
	assert.Equal(t, len(f.client.orders), 4)
}

// Targets get contradictory orders if two instances send orders at the same
// time. That happens if a paused holder continues after its lease has expired,
// or if the new holder's fencing token is not higher, so that targets cannot
// reject late orders.
func TestOnlyLeaseHolderSendsOrders(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprint("fencing ", fencing), func(t *testing.T) {
			f := newOrderFixture(1, fencing)
			first, second := f.newController(t, "r1", f.store), f.newController(t, "r2", f.store)
			first.Reconcile(t.Context())
			second.Reconcile(t.Context())
			assert.Equal(t, len(f.client.orders), 1)

			// The first holder resumes after a pause that is longer than its lease.
			f.clock.Advance(OrdersLeaseDuration + ordersLeaseGuard + time.Second)
			first.sendOrder(t.Context(), f.targets.set.Targets[0], &f.newController(t, "x", f.store).Configuration.Snapshot().Tables.Pools[0])
			assert.Equal(t, len(f.client.orders), 1)

			second.Reconcile(t.Context())
			assert.Assert(t, second.Lease.Held())
			assert.Assert(t, second.Lease.Fence() > f.client.orders[0].Fence)
			if !fencing {
				// An order of the first holder may still be in transit.
				assert.Equal(t, len(f.client.orders), 1)
				for range 10 {
					f.clock.Advance(ordersInterval)
					second.Reconcile(t.Context())
				}
			}
			assert.Equal(t, len(f.client.orders), 2)
			first.Reconcile(t.Context())
			assert.Assert(t, !first.Lease.Held())
		})
	}
}

// lostCreateStore loses the response of Create calls, which take effect.
type lostCreateStore struct{ objectstore.Store }

func (s lostCreateStore) Create(ctx context.Context, kind, name string, value []byte) (objectstore.Object, error) {
	_, _ = s.Store.Create(ctx, kind, name, value)
	return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindUnknown, Call: "create", Cause: context.DeadlineExceeded}
}

// No instance sends orders until the lease expires if its holder loses the
// response to the write that acquired it and does not read the object back.
func TestLeaseIsHeldAfterLostResponse(t *testing.T) {
	f := newOrderFixture(1, true)
	o := f.newController(t, "r1", lostCreateStore{f.store})
	o.Reconcile(t.Context())
	assert.Assert(t, o.Lease.Held())
	assert.Equal(t, len(f.client.orders), 1)
}

// lostUpdateStore loses the response of one Update call, which takes effect,
// and then fails one Get call.
type lostUpdateStore struct {
	objectstore.Store
	loseUpdate bool
	failGet    bool
}

func (s *lostUpdateStore) Update(ctx context.Context, kind, name string, value []byte, version uint64) (objectstore.Object, error) {
	object, err := s.Store.Update(ctx, kind, name, value, version)
	if s.loseUpdate {
		s.loseUpdate, s.failGet = false, true
		return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindUnknown, Call: "update", Cause: context.DeadlineExceeded}
	}
	return object, err
}

func (s *lostUpdateStore) Get(ctx context.Context, kind, name string) (objectstore.Object, error) {
	if s.failGet {
		s.failGet = false
		return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindUnavailable, Call: "get", Cause: context.DeadlineExceeded}
	}
	return s.Store.Get(ctx, kind, name)
}

// A target that ignores fencing tokens may get orders of two holders if the new
// one forgets that it took the lease over. That happens if the response to its
// write is lost and the object cannot be read back at once.
func TestTakeoverIsRememberedAfterLostResponse(t *testing.T) {
	f := newOrderFixture(1, false)
	first := f.newController(t, "r1", f.store)
	store := &lostUpdateStore{Store: f.store}
	second := f.newController(t, "r2", store)
	first.Reconcile(t.Context())
	second.Reconcile(t.Context())
	f.clock.Advance(OrdersLeaseDuration + ordersLeaseGuard + time.Second)
	store.loseUpdate = true
	second.Reconcile(t.Context())
	assert.Assert(t, !second.Lease.Held())
	second.Reconcile(t.Context())
	assert.Assert(t, second.Lease.Held())
	assert.Equal(t, len(f.client.orders), 1)
}

// A target selected by two pools reloads its model for ever if both give it
// orders.
func TestFirstMatchingPoolOwnsTarget(t *testing.T) {
	f := newOrderFixture(1, true)
	f.pools += "\n[pool second]\ntargets = app=engine\nmodel = other\n"
	o := f.newController(t, "r1", f.store)
	o.Reconcile(t.Context())
	f.targets.set.Targets[0].WeightVersion = "2"
	f.clock.Advance(5 * time.Second)
	o.Reconcile(t.Context())
	assert.Equal(t, len(f.client.orders), 1)
	assert.Equal(t, f.client.orders[0].Model, "demo")
}

// Orders are delayed after each planned stop if the next holder waits for the
// expiry of a lease that was released.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	f := newOrderFixture(1, false)
	first, second := f.newController(t, "r1", f.store), f.newController(t, "r2", f.store)
	first.Reconcile(t.Context())
	assert.NilError(t, first.Lease.Release(t.Context()))
	second.Reconcile(t.Context())
	assert.Assert(t, second.Lease.Held())
	assert.Equal(t, len(f.client.orders), 2)
}
