package rollout

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// fleet simulates a pool of engines that accept orders, on a fake clock. It
// implements TargetSource and Client.
type fleet struct {
	mu          sync.Mutex // orders are sent concurrently
	clock       *clock.Fake
	newest      string
	engines     map[string]*engine
	list        []*target.Target
	orders      []receivedOrder
	loseAnswers int // number of next orders whose response is lost
	// unanswered are targets that carry out no order and answer none within
	// answerDelay.
	unanswered  map[string]bool
	answerDelay time.Duration
	delayedTo   time.Duration // calls that started together wait together
}

type engine struct {
	version  string
	loading  string
	doneAt   time.Duration
	accepted int64
}

type receivedOrder struct {
	at     time.Duration
	target string
	order  Order
}

const simulatedLoadTime = 1300 * time.Millisecond

func newFleet(n int) *fleet {
	f := &fleet{clock: clock.NewFake(time.Now()), newest: "1", engines: make(map[string]*engine)}
	f.clock.Advance(time.Hour)
	for i := range n {
		id := fmt.Sprintf("i-%02d", i)
		f.engines[id] = &engine{version: "1"}
		f.list = append(f.list, &target.Target{ID: id, Incarnation: "1", IsEngine: true, Model: "m", WeightVersion: "1", Live: &target.LiveState{}})
	}
	return f
}

// finishLoads completes the loads whose time is up and updates the target list.
func (f *fleet) finishLoads() {
	for id, e := range f.engines {
		if e.loading != "" && f.clock.Elapsed() >= e.doneAt {
			e.version, e.loading = e.loading, ""
		}
		for _, t := range f.list {
			if t.ID == id {
				t.WeightVersion = e.version
			}
		}
	}
}

func (f *fleet) loadingCount() int {
	n := 0
	for _, e := range f.engines {
		if e.loading != "" {
			n++
		}
	}
	return n
}

func (f *fleet) ForEachPool(do func(string, []*target.Target)) {
	f.mu.Lock()
	snapshot := make([]*target.Target, len(f.list))
	for n, t := range f.list {
		shown := *t
		snapshot[n] = &shown
	}
	f.mu.Unlock()
	do("pool", snapshot)
}
func (f *fleet) NewestVersion(string) string { return f.newest }
func (f *fleet) RecordNotice(t *target.Target, n target.Notice) {
	if n.Pause > 0 {
		t.Live.RecordPause(f.clock.Elapsed(), n.Pause)
	}
}
func (f *fleet) RecordReportedVersion(t *target.Target, v string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, listed := range f.list {
		if listed.ID == t.ID {
			listed.WeightVersion = v
		}
	}
}

func (f *fleet) Status(_ context.Context, t *target.Target) (Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finishLoads()
	e := f.engines[t.ID]
	return Status{Busy: e.loading != "", AcceptedOrders: e.accepted, Versions: map[string]string{"m": e.version}}, nil
}

func (f *fleet) SendOrder(_ context.Context, t *target.Target, o Order) (Result, target.Notice, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finishLoads()
	if f.unanswered[t.ID] {
		if f.clock.Elapsed() >= f.delayedTo {
			f.clock.Advance(f.answerDelay)
			f.delayedTo = f.clock.Elapsed() + time.Millisecond
		}
		return OrderUnanswered, target.Notice{}, context.DeadlineExceeded
	}
	f.orders = append(f.orders, receivedOrder{f.clock.Elapsed(), t.ID, o})
	e := f.engines[t.ID]
	if e.loading != "" || e.accepted != o.ExpectedOrders {
		return OrderRefused, target.Notice{}, errors.New("status 409")
	}
	e.loading, e.doneAt = o.Version, f.clock.Elapsed()+simulatedLoadTime
	e.accepted++
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return OrderUnanswered, target.Notice{}, errors.New("no answer")
	}
	return OrderAccepted, target.Notice{}, nil
}

// leaseStore is an object store with a single object, the lease.
type leaseStore struct {
	objectstore.Store
	mu     sync.Mutex
	object objectstore.Object
	err    error
}

func (s *leaseStore) Get(context.Context, string, string) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil && s.object.Version == 0 {
		return s.object, &objectstore.Error{Kind: objectstore.KindNotFound, Cause: errors.New("none")}
	}
	return s.object, s.err
}

func (s *leaseStore) Create(ctx context.Context, kind, name string, value []byte) (objectstore.Object, error) {
	return s.Update(ctx, kind, name, value, 0)
}

func (s *leaseStore) Update(_ context.Context, kind, name string, value []byte, version uint64) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return objectstore.Object{}, s.err
	}
	if version != s.object.Version {
		return s.object, &objectstore.Error{Kind: objectstore.KindConflict, Cause: errors.New("changed")}
	}
	s.object = objectstore.Object{Kind: kind, Name: name, Version: version + 1, Value: value}
	return s.object, nil
}

const handover = 3 * time.Second

func (f *fleet) newController(store objectstore.Store, name string) *Controller {
	return &Controller{
		Lease: &control.Lease{Store: store, Clock: f.clock, Name: "orders", Instance: name, Incarnation: name, Duration: LeaseDuration, Guard: 200 * time.Millisecond},
		Clock: f.clock, Source: f, Client: f, Holder: name, HandoverPause: handover, Log: hclog.NewNullLogger(), openOrders: make(map[string]*openOrder),
	}
}

// simulate advances the clock by d and runs each controller whenever it is due.
func (f *fleet) simulate(t *testing.T, d time.Duration, instances ...*Controller) {
	t.Helper()
	next := make([]time.Duration, len(instances))
	for end := f.clock.Elapsed() + d; f.clock.Elapsed() < end; f.clock.Advance(10 * time.Millisecond) {
		for i, r := range instances {
			if f.clock.Elapsed() >= next[i] {
				next[i] = f.clock.Elapsed() + r.reconcile(t.Context())
			}
		}
		f.mu.Lock()
		f.finishLoads()
		f.mu.Unlock()
		assert.Assert(t, f.loadingCount() <= MaxParallelLoads(len(f.engines)), "%d targets load at the same time", f.loadingCount())
	}
}

func (f *fleet) outdatedCount() int {
	n := 0
	for _, e := range f.engines {
		if e.version != f.newest {
			n++
		}
	}
	return n
}

// All engines must have the newest weights within 10 s, without more than
// MaxParallelLoads at a time, which simulate checks: concurrent loads slow each
// other down.
func TestRolloutReachesAllInTime(t *testing.T) {
	f := newFleet(18)
	r := f.newController(&leaseStore{}, "one")
	f.simulate(t, 2*time.Second, r)
	f.newest = "2"
	f.simulate(t, 10*time.Second, r)
	assert.Equal(t, f.outdatedCount(), 0)
	assert.Equal(t, len(f.orders), 18)
}

// When newer weights are announced during a rollout, engines must skip the
// intermediate ones, and engines on the oldest weights must go first. Otherwise
// requests are served with old weights for too long.
func TestSupersededWeightsAreSkipped(t *testing.T) {
	f := newFleet(18)
	r := f.newController(&leaseStore{}, "one")
	f.simulate(t, 2*time.Second, r)
	f.newest = "2"
	f.simulate(t, 4*time.Second, r)
	f.newest = "3"
	before := len(f.orders)
	oldest := make(map[string]bool)
	for id, e := range f.engines {
		if e.version == "1" && e.loading == "" {
			oldest[id] = true
		}
	}
	f.simulate(t, 12*time.Second, r)
	assert.Equal(t, f.outdatedCount(), 0)
	for i, o := range f.orders[before:] {
		assert.Equal(t, o.order.Version, "3")
		if i < len(oldest) {
			assert.Assert(t, oldest[o.target], "order %d went to %s, which is not on the oldest weights", i, o.target)
		}
	}
}

// When the lease holder stops, releases the lease or loses the connection to the
// store, the next holder must use a higher fencing token and keep the handover
// pause. Otherwise a late order of the old holder can overlap with its orders.
func TestHandoverKeepsPauseBetweenHolders(t *testing.T) {
	for _, end := range []string{"holder stops", "holder loses the store", "lease released"} {
		t.Run(end, func(t *testing.T) {
			f := newFleet(18)
			store, unreachable := &leaseStore{}, &leaseStore{}
			one, two := f.newController(store, "one"), f.newController(store, "two")
			f.simulate(t, time.Second, one)
			f.simulate(t, time.Second, one, two)
			f.newest = "2"
			f.simulate(t, 3*time.Second, one, two)
			switch end {
			case "holder stops":
				f.simulate(t, 15*time.Second, two)
			case "lease released":
				assert.NilError(t, one.Lease.Release(t.Context()))
				f.simulate(t, 15*time.Second, two)
			case "holder loses the store":
				unreachable.err = &objectstore.Error{Kind: objectstore.KindUnavailable, Cause: errors.New("store unreachable")}
				one.Lease.Store = unreachable
				f.simulate(t, 15*time.Second, one, two)
			}
			assert.Equal(t, f.outdatedCount(), 0)
			fences := make(map[uint64]string)
			for i, o := range f.orders {
				if holder, ok := fences[o.order.Fence]; ok {
					assert.Equal(t, holder, o.order.Holder, "two holders with one fencing token")
				}
				fences[o.order.Fence] = o.order.Holder
				if i > 0 && f.orders[i-1].order.Holder != o.order.Holder {
					assert.Assert(t, o.order.Fence > f.orders[i-1].order.Fence)
					gap := o.at - f.orders[i-1].at
					assert.Assert(t, gap >= handover, "%v between the orders of two holders", gap)
				}
			}
		})
	}
}

// An order whose response was lost may still be carried out. The controller must
// not repeat it meanwhile; otherwise the engine loads twice.
func TestOrderWithLostResponseIsNotRepeated(t *testing.T) {
	f := newFleet(5)
	r := f.newController(&leaseStore{}, "one")
	f.simulate(t, time.Second, r)
	f.newest, f.loseAnswers = "2", 3
	f.simulate(t, 14*time.Second, r)
	assert.Equal(t, f.outdatedCount(), 0)
	for _, o := range f.orders {
		assert.Equal(t, o.order.ExpectedOrders, int64(0), "the order to %s would have been carried out twice", o.target)
	}
}

// Targets whose weights are past their use serve nothing and must not wait for each
// other: callers would be refused meanwhile.
func TestTargetsPastTheirUseLoadAtOnce(t *testing.T) {
	f := newFleet(18)
	r := f.newController(&leaseStore{}, "one")
	f.simulate(t, 2*time.Second, r)
	f.newest = "2"
	for n, x := range f.list {
		x.WeightsUsableUntil = f.clock.Elapsed() + time.Minute
		if n >= 10 {
			x.WeightsUsableUntil = f.clock.Elapsed()
		}
	}
	r.reconcile(t.Context())
	past := 0
	for _, o := range f.orders {
		if o.target >= "i-10" {
			past++
		}
	}
	assert.Equal(t, past, 8)
	assert.Assert(t, len(f.orders)-past <= MaxParallelLoads(18), "%d targets that serve load at the same time", len(f.orders)-past)
}

// A holder that does not know the newest weights yet must not order a target that
// has them back to older ones.
func TestTargetWithNewerWeightsIsNotOrderedBack(t *testing.T) {
	f := newFleet(5)
	r := f.newController(&leaseStore{}, "one")
	f.simulate(t, time.Second, r)
	f.newest = "2"
	f.engines["i-00"].version, f.engines["i-01"].version = "3", "10"
	f.list[1].WeightVersion = "1" // the list is behind the target
	f.simulate(t, 14*time.Second, r)
	assert.Equal(t, f.engines["i-00"].version, "3")
	assert.Equal(t, f.engines["i-01"].version, "10")
	assert.Equal(t, len(f.orders), 3)
}

// A target that does not answer must not delay the others, or the lease is lost and
// the rollout takes too long.
func TestUnansweredOrdersDoNotDelayOthers(t *testing.T) {
	f := newFleet(18)
	f.unanswered, f.answerDelay = map[string]bool{"i-03": true, "i-07": true, "i-11": true}, orderTimeout
	r := f.newController(&leaseStore{}, "one")
	f.simulate(t, 2*time.Second, r)
	f.newest = "2"
	f.simulate(t, 11*time.Second, r)
	assert.Equal(t, f.outdatedCount(), len(f.unanswered))
}

// Targets that are leaving and services must get no orders.
func TestOnlyStayingEnginesAreOrdered(t *testing.T) {
	f := newFleet(4)
	f.list[0].Leaving = true
	f.list[1].IsEngine = false
	r := f.newController(&leaseStore{}, "one")
	f.simulate(t, time.Second, r)
	f.newest = "2"
	f.simulate(t, 5*time.Second, r)
	for _, o := range f.orders {
		assert.Assert(t, o.target != "i-00" && o.target != "i-01")
	}
	assert.Equal(t, len(f.orders), 2)
}

// A target that asked for a pause got orders and reads of its status meanwhile.
func TestTargetGetsNoOrderDuringItsPause(t *testing.T) {
	f := newFleet(6)
	r := f.newController(&leaseStore{}, "one")
	f.simulate(t, 2*time.Second, r)
	start := f.clock.Elapsed()
	f.list[2].Live.RecordPause(start, 4*time.Second)
	f.newest = "2"
	f.simulate(t, 12*time.Second, r)
	assert.Equal(t, f.outdatedCount(), 0)
	for _, o := range f.orders {
		assert.Assert(t, o.target != f.list[2].ID || o.at >= start+4*time.Second, "ordered %v after the start of a pause of 4s", o.at-start)
	}
}

// countingStore counts the calls to the store of the lease.
type countingStore struct {
	*leaseStore
	calls int
}

func (s *countingStore) Get(ctx context.Context, kind, name string) (objectstore.Object, error) {
	s.calls++
	return s.leaseStore.Get(ctx, kind, name)
}

func (s *countingStore) Create(ctx context.Context, kind, name string, value []byte) (objectstore.Object, error) {
	s.calls++
	return s.leaseStore.Create(ctx, kind, name, value)
}

func (s *countingStore) Update(ctx context.Context, kind, name string, value []byte, version uint64) (objectstore.Object, error) {
	s.calls++
	return s.leaseStore.Update(ctx, kind, name, value, version)
}

// All instances polled or renewed the lease all the time, although there was nothing to
// order: 940 of 1,590 calls to the store on a quiet day with 18 instances.
func TestLeaseCostsNoCallsWithoutOutdatedTargets(t *testing.T) {
	f := newFleet(6)
	store := &countingStore{leaseStore: &leaseStore{}}
	instances := make([]*Controller, 8)
	for n := range instances {
		instances[n] = f.newController(store, fmt.Sprint("instance-", n))
		instances[n].Rank = func() int { return n }
	}
	f.simulate(t, lingerTime+time.Second, instances...)
	for _, version := range []string{"2", "3"} {
		f.newest = version
		f.simulate(t, 12*time.Second, instances...)
		assert.Equal(t, f.outdatedCount(), 0)
		f.simulate(t, lingerTime+handover, instances...)
		before := store.calls
		f.simulate(t, time.Minute, instances...)
		assert.Equal(t, store.calls, before, "calls without outdated targets")
	}
}

// After a holder has released the lease as settled, another one must not wait for orders
// that cannot have an effect any more; after one that died, it must. Otherwise rollouts
// are late, or orders of two holders meet.
func TestOrdersOfTwoHoldersAreApart(t *testing.T) {
	for _, c := range []struct {
		name      string
		firstRuns time.Duration // after the first weights are announced
		latest    time.Duration // of the first order of the second holder, after the second weights
	}{
		{"released", 20 * time.Second, time.Second},
		{"died during the rollout", 2 * time.Second, LeaseDuration + handover + 2*time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(6)
			store := &leaseStore{}
			first, second := f.newController(store, "one"), f.newController(store, "two")
			second.Rank = func() int { return 1 }
			f.newest = "2"
			f.simulate(t, c.firstRuns, first, second)
			f.newest = "3"
			announced := f.clock.Elapsed()
			f.simulate(t, 20*time.Second, second)
			assert.Equal(t, f.outdatedCount(), 0)
			last, next := time.Duration(0), time.Duration(0)
			for _, o := range f.orders {
				switch {
				case o.order.Holder == "one":
					last = o.at
				case next == 0:
					next = o.at
				}
			}
			assert.Assert(t, next-last >= handover, "orders of two holders are %v apart", next-last)
			assert.Assert(t, next-announced <= c.latest, "the first order came %v after the announcement", next-announced)
		})
	}
}

// A holder whose lease lapsed while the store turned it away, and that renewed it before
// another took it over, released it at once as settled. The next holder then gave orders
// within the pause after those of the first.
func TestRenewedLapsedLeaseKeepsPauseBetweenHolders(t *testing.T) {
	f := newFleet(4)
	store := &leaseStore{}
	one, two := f.newController(store, "one"), f.newController(store, "two")
	f.simulate(t, time.Second, one)
	f.newest = "2"
	for len(f.orders) < len(f.engines) {
		f.simulate(t, 10*time.Millisecond, one)
	}
	lastOfFirst := f.orders[len(f.orders)-1].at
	store.err = &objectstore.Error{Kind: objectstore.KindUnavailable, Cause: errors.New("turned away")}
	for one.holdsLease || f.outdatedCount() > 0 {
		f.simulate(t, 10*time.Millisecond, one)
	}
	store.err = nil
	f.simulate(t, 700*time.Millisecond, one)
	f.newest = "3"
	orders := len(f.orders)
	f.simulate(t, 6*time.Second, two) // the first one is killed
	assert.Assert(t, len(f.orders) > orders, "the next holder sends no orders")
	pause := f.orders[orders].at - lastOfFirst
	assert.Assert(t, pause >= handover, "the next holder ordered %v after the last order of the first one", pause)
}

// A holder that is lost in the wait for orders of the one before has sent none. The next one
// must not begin that wait anew: where holders are lost every few seconds, no orders went
// out, and engines kept old weights past their bound.
func TestHoldersLostInTheirWaitDoNotProlongIt(t *testing.T) {
	for _, isReleased := range []bool{false, true} {
		t.Run(fmt.Sprint("released ", isReleased), func(t *testing.T) {
			f := newFleet(40)
			store := &leaseStore{}
			one, two, three, four := f.newController(store, "one"), f.newController(store, "two"), f.newController(store, "three"), f.newController(store, "four")
			f.newest = "2"
			f.simulate(t, time.Second, one) // and is killed
			assert.Assert(t, len(f.orders) > 0)
			lastOfFirst, orders := f.orders[len(f.orders)-1].at, len(f.orders)
			lost := time.Duration(0)
			for _, holder := range []*Controller{two, three} {
				for !holder.holdsLease {
					f.simulate(t, 10*time.Millisecond, holder)
				}
				f.simulate(t, 300*time.Millisecond, holder)
				if isReleased {
					holder.release(t.Context())
				}
				lost = f.clock.Elapsed()
			}
			assert.Equal(t, len(f.orders), orders, "orders within the pause")
			f.simulate(t, 10*time.Second, four)
			assert.Assert(t, len(f.orders) > orders, "the next holder sends no orders")
			next := f.orders[orders].at
			assert.Assert(t, next-lastOfFirst >= handover, "the next holder ordered %v after the last order of the first one", next-lastOfFirst)
			takeover := LeaseDuration + 200*time.Millisecond + 2*standbyInterval
			latest := max(lost+takeover, lastOfFirst+takeover+one.effectTime())
			assert.Assert(t, next <= latest+pollInterval, "the first order came %v after the last holder was lost, %v after the last order", next-lost, next-lastOfFirst)
		})
	}
}

// A holder that has begun to send orders must be taken for one that sends them, also if the
// answer to the write that says so was lost.
func TestHolderOrdersOnlyOnceItsLeaseSaysSo(t *testing.T) {
	f := newFleet(6)
	store := &leaseStore{}
	one, two, three := f.newController(store, "one"), f.newController(store, "two"), f.newController(store, "three")
	f.newest = "2"
	f.simulate(t, time.Second, one)
	for !two.holdsLease {
		f.simulate(t, 10*time.Millisecond, two)
	}
	orders := len(f.orders)
	f.simulate(t, two.noOrdersUntil-f.clock.Elapsed()-20*time.Millisecond, two)
	store.err = &objectstore.Error{Kind: objectstore.KindUnavailable, Cause: errors.New("turned away")}
	f.simulate(t, LeaseDuration-300*time.Millisecond, two)
	assert.Equal(t, len(f.orders), orders, "orders of a holder whose lease does not say that it sends them")
	store.err = nil
	f.simulate(t, 500*time.Millisecond, two)
	assert.Assert(t, len(f.orders) > orders)
	lastOfSecond, orders := f.orders[len(f.orders)-1].at, len(f.orders)
	f.newest = "3"
	f.simulate(t, 10*time.Second, three)
	assert.Assert(t, len(f.orders) > orders)
	assert.Assert(t, f.orders[orders].at-lastOfSecond >= handover, "%v", f.orders[orders].at-lastOfSecond)
}
