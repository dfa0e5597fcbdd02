package control

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/quota"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
)

const (
	leaseShares = 8
	leaseRate   = 80.0
	leaseBurst  = 800.0
)

var errFault = errors.New("injected fault")

// faultyStore fails writes as told. A late write takes effect at land.
type faultyStore struct {
	*standin.Store
	fault  func() string
	writes int
	late   []func()
}

func (s *faultyStore) do(write func() (objectstore.Object, error)) (objectstore.Object, error) {
	s.writes++
	switch s.fault() {
	case "lost answer":
		_, _ = write()
		return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindUnknown, Call: "write", Cause: errFault}
	case "late":
		s.late = append(s.late, func() { _, _ = write() })
		return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindUnknown, Call: "write", Cause: errFault}
	case "down":
		return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindUnavailable, Call: "write", Cause: errFault}
	}
	return write()
}

func (s *faultyStore) Create(ctx context.Context, kind, name string, value []byte) (objectstore.Object, error) {
	return s.do(func() (objectstore.Object, error) { return s.Store.Create(ctx, kind, name, value) })
}

func (s *faultyStore) Update(ctx context.Context, kind, name string, value []byte, version uint64) (objectstore.Object, error) {
	return s.do(func() (objectstore.Object, error) { return s.Store.Update(ctx, kind, name, value, version) })
}

func (s *faultyStore) List(ctx context.Context, kind string) ([]objectstore.Object, uint64, error) {
	if s.fault() == "down" {
		return nil, 0, &objectstore.Error{Kind: objectstore.KindUnavailable, Call: "list", Cause: errFault}
	}
	return s.Store.List(ctx, kind)
}

// leaseFleet is a fleet of controllers with their own boot-time clocks.
type leaseFleet struct {
	store  *faultyStore
	nodes  []*leaseNode
	starts int
}

type leaseNode struct {
	*QuotaLeaseController
	clock  *clock.Fake
	speed  float64
	paused bool
	down   bool
}

func newLeaseFleet(n int) *leaseFleet {
	f := &leaseFleet{store: &faultyStore{Store: standin.NewStore(), fault: func() string { return "" }}}
	for i := range n {
		f.nodes = append(f.nodes, &leaseNode{clock: clock.NewFake(time.Unix(0, 0)), speed: 1})
		f.nodes[i].clock.Advance(time.Duration(i) * 100 * time.Hour)
		f.start(i)
	}
	return f
}

func (f *leaseFleet) start(i int) {
	f.starts++
	n := f.nodes[i]
	n.down, n.paused = false, false
	ledger := quota.NewLedger()
	ledger.Configure(1, leaseShares, []quota.Limit{{Organisation: "org", Rate: leaseRate, Burst: leaseBurst}}, n.clock.Elapsed())
	n.QuotaLeaseController = &QuotaLeaseController{
		Store: f.store, List: f, Prober: f, Ledger: ledger, Clock: n.clock, Log: hclog.NewNullLogger(),
		Self: InstanceIdentity{ID: fmt.Sprint("i", i), Incarnation: fmt.Sprint(f.starts), Address: fmt.Sprint("a", i)},
	}
}

// Instances lags: it shows crashed instances too.
func (f *leaseFleet) Instances(context.Context) ([]objectstore.Instance, error) {
	var rows []objectstore.Instance
	for i := range f.nodes {
		rows = append(rows, objectstore.Instance{ID: fmt.Sprint("i", i), Role: objectstore.RoleRouter})
	}
	return rows, nil
}

// Probe implements Prober. A paused process does not answer.
func (f *leaseFleet) Probe(_ context.Context, address string) (string, bool) {
	for _, n := range f.nodes {
		if n.Self.Address == address && !n.paused && !n.down {
			return n.Self.Incarnation, false
		}
		if n.Self.Address == address {
			return "", n.down
		}
	}
	return "", false
}

func (f *leaseFleet) advance(d time.Duration) {
	for _, n := range f.nodes {
		n.clock.Advance(time.Duration(float64(d) * n.speed))
	}
}

func (f *leaseFleet) reconcile() {
	for _, n := range f.nodes {
		if !n.down && !n.paused {
			_ = n.Reconcile(context.Background())
		}
	}
}

func (f *leaseFleet) rounds(n int) {
	for range n {
		f.advance(leaseInterval)
		f.reconcile()
	}
}

// held returns the number of shares that an instance may spend from.
func (n *leaseNode) held() int {
	count := 0
	for i := range n.views {
		if n.spendable(i) {
			count++
		}
	}
	return count
}

func (n *leaseNode) spendable(share int) bool {
	if n.down || share >= len(n.views) {
		return false
	}
	v := &n.views[share]
	return n.mine(v.record) && v.returning == nil && n.clock.Elapsed() < v.record.HeldFrom+v.record.LeaseDuration
}

func (n *leaseNode) balance() float64 { return n.Ledger.Balance("org", n.clock.Elapsed()) }

func (f *leaseFleet) total() float64 {
	var sum float64
	for _, n := range f.nodes {
		if !n.down {
			sum += n.balance()
		}
	}
	return sum
}

// Guards against races for free shares that cost more than one write for each
// share, an uneven spread, and writes in a fleet where nothing changes.
func TestSharesAreSpreadWithOneWriteEach(t *testing.T) {
	f := newLeaseFleet(4)
	f.rounds(10)
	for _, n := range f.nodes {
		assert.Equal(t, n.held(), leaseShares/4)
		assert.Equal(t, len(n.Holders()), 3)
	}
	assert.Equal(t, f.store.writes, leaseShares)
	f.rounds(int(10 * time.Hour / leaseInterval))
	perHour := float64(f.store.writes-leaseShares) / 10
	assert.Assert(t, perHour <= 3*leaseShares, "%g writes an hour", perHour)
}

// Guards against a takeover that waits for the lease although the holder's crash
// is proven, and against a paused holder that is taken for a crashed one.
func TestTakeoverNeedsProofOrExpiry(t *testing.T) {
	f := newLeaseFleet(4)
	f.rounds(10)
	f.nodes[0].paused = true
	f.nodes[1].down = true
	f.rounds(10)
	assert.Equal(t, f.nodes[2].held()+f.nodes[3].held(), leaseShares-2)
	assert.Equal(t, f.nodes[0].held(), 2)
	f.rounds(int((DefaultQuotaLeaseDuration + time.Minute) / leaseInterval))
	assert.Equal(t, f.nodes[2].held()+f.nodes[3].held(), leaseShares)
	assert.Equal(t, f.nodes[0].balance(), 0.0) // wakes up and spends nothing
	f.nodes[0].paused = false
	assert.NilError(t, f.nodes[0].Reconcile(context.Background()))
	assert.Equal(t, f.nodes[0].held(), 0)
}

// Guards against burst lost in a rolling restart.
func TestRollingRestartKeepsBurst(t *testing.T) {
	f := newLeaseFleet(4)
	f.rounds(100)
	assert.Equal(t, f.total(), leaseBurst)
	for i := range f.nodes {
		before := f.total()
		assert.NilError(t, f.nodes[i].HandBack(context.Background()))
		f.nodes[i].down = true
		f.reconcile()
		assert.Assert(t, f.total() >= before-1e-6, "%g of %g tokens are left", f.total(), before)
		f.start(i)
		f.rounds(int(3 * maxEvenAfter / leaseInterval))
	}
	for _, n := range f.nodes {
		assert.Equal(t, n.held(), leaseShares/4)
	}
}

// Guards against limits that stop before the lease ends in an outage, that go on
// after it, and against burst lost once the platform is back.
func TestOutageLongerThanLease(t *testing.T) {
	f := newLeaseFleet(4)
	f.rounds(100)
	f.store.fault = func() string { return "down" }
	f.rounds(int(DefaultQuotaLeaseDuration / 2 / leaseInterval))
	assert.Equal(t, f.total(), leaseBurst)
	f.rounds(int(DefaultQuotaLeaseDuration / leaseInterval))
	assert.Equal(t, f.total(), 0.0)
	f.store.fault = func() string { return "" }
	f.reconcile()
	assert.Equal(t, f.total(), leaseBurst)
}

// Guards against an instance that restarts in an outage and knows nobody to
// borrow from.
func TestHoldersFallBackUntilRecordsAreRead(t *testing.T) {
	f := newLeaseFleet(2)
	f.rounds(5)
	f.store.fault = func() string { return "down" }
	f.start(1)
	f.nodes[1].FallbackHolders = func() []string { return []string{"seed"} }
	f.rounds(1)
	assert.DeepEqual(t, f.nodes[1].Holders(), []string{"seed"})
	f.store.fault = func() string { return "" }
	f.rounds(1)
	assert.DeepEqual(t, f.nodes[1].Holders(), []string{"a0"})
}

// Guards against a deployment whose first requests are refused, and against a
// second burst after an operator deletes the records.
func TestOnlyTheFirstHolderStartsFull(t *testing.T) {
	f := newLeaseFleet(2)
	f.rounds(2)
	assert.Equal(t, f.total(), leaseBurst)
	f.nodes[0].paused = true
	for i := range leaseShares {
		object, err := f.store.Get(context.Background(), KindQuotaShare, fmt.Sprint(i))
		assert.NilError(t, err)
		assert.NilError(t, f.store.Delete(context.Background(), KindQuotaShare, object.Name, object.Version))
	}
	f.rounds(10)
	assert.Equal(t, f.nodes[1].held(), 0)
	for f.nodes[1].held() == 0 {
		f.rounds(1)
	}
	assert.Equal(t, f.nodes[0].held(), 0)
	assert.Equal(t, f.nodes[1].balance(), 0.0)
}

// Guards against shares of two sizes that are held at the same time.
func TestOtherShareCountWaitsUntilAllAreFree(t *testing.T) {
	f := newLeaseFleet(2)
	f.rounds(10)
	f.start(1)
	n := f.nodes[1]
	n.Ledger = quota.NewLedger()
	n.Ledger.Configure(1, 2*leaseShares, []quota.Limit{{Organisation: "org", Rate: leaseRate, Burst: leaseBurst}}, 0)
	f.rounds(10)
	assert.Equal(t, n.held(), 0)
	assert.NilError(t, f.nodes[0].HandBack(context.Background()))
	f.nodes[0].down = true
	f.advance(2 * DefaultQuotaLeaseDuration) // the shares that the instance held before it restarted
	f.rounds(10)
	f.rounds(int(2 * DefaultQuotaLeaseDuration / leaseInterval))
	assert.Assert(t, n.held() > 0)
}

// Guards against tokens that come to life again when a share that was handed
// back and taken is taken over after a crash.
func TestTakenOverShareStartsEmpty(t *testing.T) {
	f := newLeaseFleet(2)
	f.rounds(100)
	assert.NilError(t, f.nodes[0].HandBack(context.Background()))
	f.nodes[0].down = true
	f.reconcile()
	assert.Equal(t, f.nodes[1].balance(), leaseBurst)
	f.nodes[1].down = true
	f.start(0)
	f.rounds(1)
	f.reconcile()
	assert.Equal(t, f.nodes[0].held(), leaseShares)
	assert.Equal(t, f.nodes[0].balance(), 0.0)
	for _, v := range f.nodes[0].views {
		assert.Assert(t, v.record.Fence >= 2, "fence %d", v.record.Fence)
	}
}

// Guards against a share that is used again while the write that hands it back
// is still on its way: its tokens would exist twice.
func TestHandBackWithoutAnswerIsNotUsedAgain(t *testing.T) {
	f := newLeaseFleet(2)
	f.rounds(100)
	assert.NilError(t, f.nodes[0].HandBack(context.Background()))
	f.nodes[0].down = true
	n := f.nodes[1]
	f.reconcile()
	assert.Equal(t, n.balance(), leaseBurst)
	f.store.fault = func() string { return "late" }
	f.advance(DefaultQuotaLeaseDuration / 2)
	assert.NilError(t, n.Reconcile(context.Background())) // renewals on their way
	f.store.fault = func() string { return "down" }
	for share := range leaseShares {
		assert.Assert(t, n.handBack(context.Background(), share) != nil)
	}
	for _, land := range f.store.late {
		land()
	}
	f.store.late = nil
	f.store.fault = func() string { return "late" }
	assert.NilError(t, n.Reconcile(context.Background()))
	f.advance(time.Minute)
	assert.Equal(t, n.balance(), 0.0)
	f.store.fault = func() string { return "" }
	for _, land := range f.store.late {
		land()
	}
	f.rounds(6)
	assert.Assert(t, n.balance() <= leaseBurst)
	assert.Equal(t, n.held(), leaseShares)
}

// Guards against a lease that the holder counts from when it learned of its own
// write: others may have waited since the write landed.
func TestLeaseCountsFromBeforeTheWrite(t *testing.T) {
	f := newLeaseFleet(2)
	f.store.fault = func() string { return "late" }
	assert.NilError(t, f.nodes[0].Reconcile(context.Background()))
	assert.Equal(t, f.nodes[0].held(), 0)
	f.store.fault = func() string { return "" }
	for _, land := range f.store.late {
		land()
	}
	f.advance(time.Minute)
	assert.NilError(t, f.nodes[1].Reconcile(context.Background())) // sees the records
	f.advance(50 * time.Minute)
	f.store.fault = func() string { return "lost answer" }
	_ = f.nodes[0].Reconcile(context.Background())
	assert.Assert(t, f.nodes[0].held() > 0)
	f.advance(9 * time.Minute) // an hour after the first write
	r := f.nodes[0].Ledger.Reserve("org", 1, f.nodes[0].clock.Elapsed())
	assert.Assert(t, !r.Commit(f.nodes[0].clock.Elapsed()))
}

// Guards against a takeover by a fast clock before the lease ends on a slow one.
func TestGuardCoversClocksOfDifferentSpeed(t *testing.T) {
	f := newLeaseFleet(2)
	f.rounds(10)
	f.nodes[0].speed = 0.995
	f.nodes[0].paused = true
	for range int(2 * DefaultQuotaLeaseDuration / leaseInterval) {
		f.rounds(1)
		assert.Assert(t, f.nodes[0].held() == 0 || f.nodes[1].held() < leaseShares)
		if f.nodes[0].held() > 0 {
			assert.Equal(t, f.nodes[1].held(), leaseShares/2)
		}
	}
	assert.Equal(t, f.nodes[1].held(), leaseShares)
}

// Guards against a share that two instances spend from at once, and against
// tokens created on the way, whatever answers are lost or late, whoever crashes,
// pauses or hands back, and with boot-time clocks that differ in speed.
func TestShareIsNeverHeldTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newLeaseFleet(rapid.IntRange(2, 3).Draw(t, "instances"))
		drift := rapid.Bool().Draw(t, "drift")
		if drift {
			f.nodes[0].speed, f.nodes[1].speed = 0.998, 1.002
		}
		f.store.fault = func() string {
			return rapid.SampledFrom([]string{"", "", "", "", "", "lost answer", "late", "down"}).Draw(t, "fault")
		}
		level := leaseBurst
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			n := rapid.SampledFrom(f.nodes).Draw(t, "instance")
			var passed time.Duration
			switch op := rapid.IntRange(0, 17).Draw(t, "op"); {
			case op < 6 && !n.down && !n.paused:
				_ = n.Reconcile(context.Background())
			case op < 9:
				passed = rapid.SampledFrom([]time.Duration{time.Second, time.Minute, 19 * time.Minute, 41 * time.Minute}).Draw(t, "passed")
				f.advance(passed)
			case op == 9 && len(f.store.late) > 0:
				f.store.late[0]()
				f.store.late = f.store.late[1:]
			case op == 10:
				n.paused = !n.paused
			case op == 11 && !n.down:
				n.down = true
			case op == 12 && n.down:
				f.start(rapid.IntRange(0, len(f.nodes)-1).Draw(t, "restarted"))
			case op == 13 && !n.down && !n.paused:
				ctx, cancel := context.WithCancel(context.Background())
				cancel() // one attempt
				_ = n.HandBack(ctx)
				n.down = true
			case op == 14 && !n.down && !n.paused:
				share := rapid.IntRange(0, leaseShares-1).Draw(t, "share")
				if len(n.views) > 0 && n.mine(n.views[share].record) && !n.stopping {
					_ = n.handBack(context.Background(), share)
				}
			case op >= 15 && !n.down && !n.paused:
				r := n.Ledger.Reserve("org", n.balance(), n.clock.Elapsed())
				cost := r.Cost
				if r.Commit(n.clock.Elapsed()) {
					level -= cost
				}
			}
			level = min(leaseBurst, level+leaseRate*passed.Seconds())
			if !drift && level < -1e-6 {
				t.Fatalf("%g tokens more than rate and burst", -level)
			}
			for share := range leaseShares {
				spenders := 0
				for _, n := range f.nodes {
					if n.spendable(share) {
						spenders++
					}
				}
				if spenders > 1 {
					t.Fatalf("share %d is held %d times", share, spenders)
				}
			}
		}
	})
}
