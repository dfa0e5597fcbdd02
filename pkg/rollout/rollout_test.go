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

// fleet is a pool of engines that take orders, in simulated time.
type fleet struct {
	clock   *clock.Fake
	newest  string
	engines map[string]*engine
	list    []*target.Target
	orders  []given
	lost    int // orders whose answer is lost, of those to come
}

type engine struct {
	version  string
	loading  string
	doneAt   time.Duration
	accepted int64
}

type given struct {
	at     time.Duration
	target string
	order  Order
}

const simulatedLoad = 1300 * time.Millisecond

func newFleet(n int) *fleet {
	f := &fleet{clock: clock.NewFake(time.Now()), newest: "1", engines: make(map[string]*engine)}
	f.clock.Advance(time.Hour)
	for i := range n {
		id := fmt.Sprintf("i-%02d", i)
		f.engines[id] = &engine{version: "1"}
		f.list = append(f.list, &target.Target{ID: id, Incarnation: "1", Engine: true, Model: "m", WeightVersion: "1", Live: &target.Live{}})
	}
	return f
}

func (f *fleet) settle() {
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

func (f *fleet) loading() int {
	n := 0
	for _, e := range f.engines {
		if e.loading != "" {
			n++
		}
	}
	return n
}

func (f *fleet) ForEachPool(do func(string, []*target.Target)) { do("pool", f.list) }
func (f *fleet) NewestVersion(string) string                   { return f.newest }
func (f *fleet) RunsVersion(t *target.Target, v string)        { t.WeightVersion = v }

func (f *fleet) Status(_ context.Context, t *target.Target) (Status, error) {
	f.settle()
	e := f.engines[t.ID]
	return Status{Busy: e.loading != "", AcceptedOrders: e.accepted, Versions: map[string]string{"m": e.version}}, nil
}

func (f *fleet) Order(_ context.Context, t *target.Target, o Order) (Result, error) {
	f.settle()
	f.orders = append(f.orders, given{f.clock.Elapsed(), t.ID, o})
	e := f.engines[t.ID]
	if e.loading != "" || e.accepted != o.ExpectedOrders {
		return OrderRefused, errors.New("status 409")
	}
	e.loading, e.doneAt = o.Version, f.clock.Elapsed()+simulatedLoad
	e.accepted++
	if f.lost > 0 {
		f.lost--
		return OrderUnanswered, errors.New("no answer")
	}
	return OrderAccepted, nil
}

// leaseStore keeps one lease object.
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

func (f *fleet) instance(store objectstore.Store, name string) *Controller {
	return &Controller{
		Lease: &control.Lease{Store: store, Clock: f.clock, Name: "orders", Instance: name, Incarnation: name, Duration: LeaseDuration, Guard: 200 * time.Millisecond},
		Clock: f.clock, Source: f, Client: f, Holder: name, HandoverPause: handover, Log: hclog.NewNullLogger(), open: make(map[string]*opened),
	}
}

// play runs the instances for a time, each whenever its next round is due.
func (f *fleet) play(t *testing.T, d time.Duration, instances ...*Controller) {
	t.Helper()
	next := make([]time.Duration, len(instances))
	for end := f.clock.Elapsed() + d; f.clock.Elapsed() < end; f.clock.Advance(10 * time.Millisecond) {
		for i, r := range instances {
			if f.clock.Elapsed() >= next[i] {
				next[i] = f.clock.Elapsed() + r.round(t.Context())
			}
		}
		f.settle()
		assert.Assert(t, f.loading() <= MaxParallelLoads(len(f.engines)), "%d targets load at the same time", f.loading())
	}
}

func (f *fleet) behind() int {
	n := 0
	for _, e := range f.engines {
		if e.version != f.newest {
			n++
		}
	}
	return n
}

// Guards against weights that are not everywhere in time, and against loads
// that slow each other.
func TestRolloutReachesAllInTime(t *testing.T) {
	f := newFleet(18)
	r := f.instance(&leaseStore{}, "one")
	f.play(t, 2*time.Second, r)
	f.newest = "2"
	f.play(t, 10*time.Second, r)
	assert.Equal(t, f.behind(), 0)
	assert.Equal(t, len(f.orders), 18)
}

// Guards against weights that are loaded although newer ones were named, and
// against targets on the oldest weights that wait for those on newer ones.
func TestOvertakenWeightsAreSkipped(t *testing.T) {
	f := newFleet(18)
	r := f.instance(&leaseStore{}, "one")
	f.play(t, 2*time.Second, r)
	f.newest = "2"
	f.play(t, 4*time.Second, r)
	f.newest = "3"
	before := len(f.orders)
	oldest := make(map[string]bool)
	for id, e := range f.engines {
		if e.version == "1" && e.loading == "" {
			oldest[id] = true
		}
	}
	f.play(t, 12*time.Second, r)
	assert.Equal(t, f.behind(), 0)
	for i, o := range f.orders[before:] {
		assert.Equal(t, o.order.Version, "3")
		if i < len(oldest) {
			assert.Assert(t, oldest[o.target], "order %d went to %s, which is not on the oldest weights", i, o.target)
		}
	}
}

// Guards against two instances that give orders close to each other, when the
// one that gives them stops or is cut off from the store.
func TestHoldersDoNotTakeTurns(t *testing.T) {
	for _, how := range []string{"stops", "cut off", "released"} {
		t.Run(how, func(t *testing.T) {
			f := newFleet(18)
			store, cut := &leaseStore{}, &leaseStore{}
			one, two := f.instance(store, "one"), f.instance(store, "two")
			f.play(t, time.Second, one)
			f.play(t, time.Second, one, two)
			f.newest = "2"
			f.play(t, 3*time.Second, one, two)
			switch how {
			case "stops":
				f.play(t, 15*time.Second, two)
			case "released":
				assert.NilError(t, one.Lease.Release(t.Context()))
				f.play(t, 15*time.Second, two)
			case "cut off":
				cut.err = &objectstore.Error{Kind: objectstore.KindUnavailable, Cause: errors.New("cut off")}
				one.Lease.Store = cut
				f.play(t, 15*time.Second, one, two)
			}
			assert.Equal(t, f.behind(), 0)
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

// Guards against an order without an answer that is given again while it may
// still be carried out.
func TestLostAnswer(t *testing.T) {
	f := newFleet(5)
	r := f.instance(&leaseStore{}, "one")
	f.play(t, time.Second, r)
	f.newest, f.lost = "2", 3
	f.play(t, 14*time.Second, r)
	assert.Equal(t, f.behind(), 0)
	for _, o := range f.orders {
		assert.Equal(t, o.order.ExpectedOrders, int64(0), "the order to %s would have been carried out twice", o.target)
	}
}

// Guards against targets that are ordered although they leave, and services.
func TestOnlyEnginesThatStay(t *testing.T) {
	f := newFleet(4)
	f.list[0].Leaving = true
	f.list[1].Engine = false
	r := f.instance(&leaseStore{}, "one")
	f.play(t, time.Second, r)
	f.newest = "2"
	f.play(t, 5*time.Second, r)
	for _, o := range f.orders {
		assert.Assert(t, o.target != "i-00" && o.target != "i-01")
	}
	assert.Equal(t, len(f.orders), 2)
}
