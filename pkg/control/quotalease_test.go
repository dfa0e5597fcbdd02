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

var errInjected = errors.New("injected fault")

// faultyStore injects the fault that fault returns into each call:
//
// "lost answer": a write takes effect but its response is lost.
//
// "late": as before, but the write takes effect when the test calls its entry
// of delayedWrites.
//
// "down": the call fails.
type faultyStore struct {
	*standin.Store
	fault         func() string
	writes        int
	delayedWrites []func()
}

func (s *faultyStore) injectFault(write func() (objectstore.Object, error)) (objectstore.Object, error) {
	s.writes++
	switch s.fault() {
	case "lost answer":
		_, _ = write()
		return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindUnknown, Call: "write", Cause: errInjected}
	case "late":
		s.delayedWrites = append(s.delayedWrites, func() { _, _ = write() })
		return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindUnknown, Call: "write", Cause: errInjected}
	case "down":
		return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindUnavailable, Call: "write", Cause: errInjected}
	}
	return write()
}

func (s *faultyStore) Create(ctx context.Context, kind, name string, value []byte) (objectstore.Object, error) {
	return s.injectFault(func() (objectstore.Object, error) { return s.Store.Create(ctx, kind, name, value) })
}

func (s *faultyStore) Update(ctx context.Context, kind, name string, value []byte, version uint64) (objectstore.Object, error) {
	return s.injectFault(func() (objectstore.Object, error) { return s.Store.Update(ctx, kind, name, value, version) })
}

func (s *faultyStore) List(ctx context.Context, kind string) ([]objectstore.Object, uint64, error) {
	if s.fault() == "down" {
		return nil, 0, &objectstore.Error{Kind: objectstore.KindUnavailable, Call: "list", Cause: errInjected}
	}
	return s.Store.List(ctx, kind)
}

// leaseFleet is a fleet of controllers, each with its own boot-time clock. It
// is their instance list and their prober.
type leaseFleet struct {
	store  *faultyStore
	nodes  []*leaseNode
	starts int
}

type leaseNode struct {
	*QuotaLeaseController
	clock   *clock.Fake
	speed   float64 // of the clock, relative to the test's time
	paused  bool
	crashed bool
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

// start starts instance i, or restarts it, with a new incarnation.
func (f *leaseFleet) start(i int) {
	f.starts++
	n := f.nodes[i]
	n.crashed, n.paused = false, false
	ledger := quota.NewLedger()
	ledger.Configure(1, leaseShares, []quota.Limit{{Organisation: "org", Rate: leaseRate, Burst: leaseBurst}}, n.clock.Elapsed())
	n.QuotaLeaseController = &QuotaLeaseController{
		Store: f.store, List: f, Prober: f, Ledger: ledger, Clock: n.clock, Log: hclog.NewNullLogger(),
		Self: InstanceIdentity{ID: fmt.Sprint("i", i), Incarnation: fmt.Sprint(f.starts), Address: fmt.Sprint("a", i)},
	}
}

// Instances returns all instances, as a lagging list does: crashed ones too.
func (f *leaseFleet) Instances(context.Context) ([]objectstore.Instance, error) {
	var rows []objectstore.Instance
	for i := range f.nodes {
		rows = append(rows, objectstore.Instance{ID: fmt.Sprint("i", i), Role: objectstore.RoleRouter})
	}
	return rows, nil
}

// Probe implements Prober. A paused process does not respond.
func (f *leaseFleet) Probe(_ context.Context, address string) (string, bool) {
	for _, n := range f.nodes {
		if n.Self.Address == address && !n.paused && !n.crashed {
			return n.Self.Incarnation, false
		}
		if n.Self.Address == address {
			return "", n.crashed
		}
	}
	return "", false
}

func (f *leaseFleet) advance(d time.Duration) {
	for _, n := range f.nodes {
		n.clock.Advance(time.Duration(float64(d) * n.speed))
	}
}

// reconcile runs one round of each running instance.
func (f *leaseFleet) reconcile() {
	for _, n := range f.nodes {
		if !n.crashed && !n.paused {
			_ = n.Reconcile(context.Background())
		}
	}
}

// reconcileRounds advances the time and reconciles, n times.
func (f *leaseFleet) reconcileRounds(n int) {
	for range n {
		f.advance(shareReconcileInterval)
		f.reconcile()
	}
}

// heldShares returns the number of shares that the instance may spend from.
func (n *leaseNode) heldShares() int {
	count := 0
	for i := range n.views {
		if n.canSpendFrom(i) {
			count++
		}
	}
	return count
}

// canSpendFrom reports whether the instance may spend from a share.
func (n *leaseNode) canSpendFrom(share int) bool {
	if n.crashed || share >= len(n.views) {
		return false
	}
	v := &n.views[share]
	return n.isOwn(v.record) && v.handBackRecord == nil && n.clock.Elapsed() < v.record.HeldFrom+v.record.LeaseDuration
}

func (n *leaseNode) balance() float64 { return n.Ledger.Balance("org", n.clock.Elapsed()) }

// totalBalance returns the tokens that all running instances can spend.
func (f *leaseFleet) totalBalance() float64 {
	var sum float64
	for _, n := range f.nodes {
		if !n.crashed {
			sum += n.balance()
		}
	}
	return sum
}

// The platform sees more writes than necessary if instances race for free
// shares or write although nothing changes. Callers of an instance with too few
// shares depend on loans.
func TestSharesAreDistributedWithOneWriteEach(t *testing.T) {
	f := newLeaseFleet(4)
	f.reconcileRounds(10)
	for _, n := range f.nodes {
		assert.Equal(t, n.heldShares(), leaseShares/4)
		assert.Equal(t, len(n.HolderAddresses()), 3)
	}
	assert.Equal(t, f.store.writes, leaseShares)
	f.reconcileRounds(int(10 * time.Hour / shareReconcileInterval))
	perHour := float64(f.store.writes-leaseShares) / 10
	assert.Assert(t, perHour <= 3*leaseShares, "%g writes an hour", perHour)
}

// Callers get less than their limit for an hour if the shares of a crashed
// instance are only taken over when the lease expires. Limits are exceeded if a
// paused holder is taken for a crashed one.
func TestTakeoverNeedsProofOrExpiry(t *testing.T) {
	f := newLeaseFleet(4)
	f.reconcileRounds(10)
	f.nodes[0].paused = true
	f.nodes[1].crashed = true
	f.reconcileRounds(10)
	assert.Equal(t, f.nodes[2].heldShares()+f.nodes[3].heldShares(), leaseShares-2)
	assert.Equal(t, f.nodes[0].heldShares(), 2)
	f.reconcileRounds(int((DefaultQuotaLeaseDuration + time.Minute) / shareReconcileInterval))
	assert.Equal(t, f.nodes[2].heldShares()+f.nodes[3].heldShares(), leaseShares)
	assert.Equal(t, f.nodes[0].balance(), 0.0) // cannot spend when it resumes
	f.nodes[0].paused = false
	assert.NilError(t, f.nodes[0].Reconcile(context.Background()))
	assert.Equal(t, f.nodes[0].heldShares(), 0)
}

// Callers are refused during a rolling restart if handed-back shares lose their
// tokens.
func TestRollingRestartKeepsBurst(t *testing.T) {
	f := newLeaseFleet(4)
	f.reconcileRounds(100)
	assert.Equal(t, f.totalBalance(), leaseBurst)
	for i := range f.nodes {
		before := f.totalBalance()
		assert.NilError(t, f.nodes[i].HandBack(context.Background()))
		f.nodes[i].crashed = true
		f.reconcile()
		assert.Assert(t, f.totalBalance() >= before-1e-6, "%g of %g tokens are left after a hand-back", f.totalBalance(), before)
		f.start(i)
		f.reconcileRounds(int(3 * maxHandOverDelay / shareReconcileInterval))
	}
	for _, n := range f.nodes {
		assert.Equal(t, n.heldShares(), leaseShares/4)
	}
}

// In a platform outage callers are refused if the tokens stop before the lease
// expires, and limits are exceeded if they last longer. Burst must not be lost
// once the platform is back.
func TestOutageLongerThanLease(t *testing.T) {
	f := newLeaseFleet(4)
	f.reconcileRounds(100)
	f.store.fault = func() string { return "down" }
	f.reconcileRounds(int(DefaultQuotaLeaseDuration / 2 / shareReconcileInterval))
	assert.Equal(t, f.totalBalance(), leaseBurst)
	f.reconcileRounds(int(DefaultQuotaLeaseDuration / shareReconcileInterval))
	assert.Equal(t, f.totalBalance(), 0.0)
	f.store.fault = func() string { return "" }
	f.reconcile()
	assert.Equal(t, f.totalBalance(), leaseBurst)
}

// All callers with limits are refused if an instance that restarts in an outage
// has no address to borrow tokens from.
func TestHoldersFallBackUntilRecordsAreRead(t *testing.T) {
	f := newLeaseFleet(2)
	f.reconcileRounds(5)
	f.store.fault = func() string { return "down" }
	f.start(1)
	f.nodes[1].FallbackHolders = func() []string { return []string{"seed"} }
	f.reconcileRounds(1)
	assert.DeepEqual(t, f.nodes[1].HolderAddresses(), []string{"seed"})
	f.store.fault = func() string { return "" }
	f.reconcileRounds(1)
	assert.DeepEqual(t, f.nodes[1].HolderAddresses(), []string{"a0"})
}

// The first requests of a new deployment are refused if its shares start empty.
// The burst is granted twice if the shares start full again after an operator
// has deleted the records.
func TestOnlyTheFirstHolderStartsFull(t *testing.T) {
	f := newLeaseFleet(2)
	f.reconcileRounds(2)
	assert.Equal(t, f.totalBalance(), leaseBurst)
	f.nodes[0].paused = true
	for i := range leaseShares {
		object, err := f.store.Get(context.Background(), KindQuotaShare, fmt.Sprint(i))
		assert.NilError(t, err)
		assert.NilError(t, f.store.Delete(context.Background(), KindQuotaShare, object.Name, object.Version))
	}
	f.reconcileRounds(10)
	assert.Equal(t, f.nodes[1].heldShares(), 0)
	for f.nodes[1].heldShares() == 0 {
		f.reconcileRounds(1)
	}
	assert.Equal(t, f.nodes[0].heldShares(), 0)
	assert.Equal(t, f.nodes[1].balance(), 0.0)
}

// Limits are exceeded if shares of two divisions are held at the same time.
func TestChangedShareCountWaitsUntilAllAreFree(t *testing.T) {
	f := newLeaseFleet(2)
	f.reconcileRounds(10)
	f.start(1)
	n := f.nodes[1]
	n.Ledger = quota.NewLedger()
	n.Ledger.Configure(1, 2*leaseShares, []quota.Limit{{Organisation: "org", Rate: leaseRate, Burst: leaseBurst}}, 0)
	f.reconcileRounds(10)
	assert.Equal(t, n.heldShares(), 0)
	assert.NilError(t, f.nodes[0].HandBack(context.Background()))
	f.nodes[0].crashed = true
	f.advance(2 * DefaultQuotaLeaseDuration) // expires the shares held before the restart
	f.reconcileRounds(10)
	f.reconcileRounds(int(2 * DefaultQuotaLeaseDuration / shareReconcileInterval))
	assert.Assert(t, n.heldShares() > 0)
}

// Limits are exceeded if tokens that were handed back once are granted again
// when the next holder has crashed and its share is taken over.
func TestTakenOverShareStartsEmpty(t *testing.T) {
	f := newLeaseFleet(2)
	f.reconcileRounds(100)
	assert.NilError(t, f.nodes[0].HandBack(context.Background()))
	f.nodes[0].crashed = true
	f.reconcile()
	assert.Equal(t, f.nodes[1].balance(), leaseBurst)
	f.nodes[1].crashed = true
	f.start(0)
	f.reconcileRounds(1)
	f.reconcile()
	assert.Equal(t, f.nodes[0].heldShares(), leaseShares)
	assert.Equal(t, f.nodes[0].balance(), 0.0)
	for _, v := range f.nodes[0].views {
		assert.Assert(t, v.record.Fence >= 2, "fence %d", v.record.Fence)
	}
}

// Limits are exceeded if a share is used again while the write that hands it
// back is still in transit, because its tokens then exist twice.
func TestShareIsNotUsedAgainWhileHandBackIsInTransit(t *testing.T) {
	f := newLeaseFleet(2)
	f.reconcileRounds(100)
	assert.NilError(t, f.nodes[0].HandBack(context.Background()))
	f.nodes[0].crashed = true
	n := f.nodes[1]
	f.reconcile()
	assert.Equal(t, n.balance(), leaseBurst)
	f.store.fault = func() string { return "late" }
	f.advance(DefaultQuotaLeaseDuration / 2)
	assert.NilError(t, n.Reconcile(context.Background())) // renewals in transit
	f.store.fault = func() string { return "down" }
	for share := range leaseShares {
		assert.Assert(t, n.handBack(context.Background(), share) != nil)
	}
	for _, write := range f.store.delayedWrites {
		write()
	}
	f.store.delayedWrites = nil
	f.store.fault = func() string { return "late" }
	assert.NilError(t, n.Reconcile(context.Background()))
	f.advance(time.Minute)
	assert.Equal(t, n.balance(), 0.0)
	f.store.fault = func() string { return "" }
	for _, write := range f.store.delayedWrites {
		write()
	}
	f.reconcileRounds(6)
	assert.Assert(t, n.balance() <= leaseBurst)
	assert.Equal(t, n.heldShares(), leaseShares)
}

// Two instances spend from one share if the holder counts its lease from when
// it learned of its own write, because the others count from when that write
// took effect.
func TestLeaseCountsFromBeforeTheWrite(t *testing.T) {
	f := newLeaseFleet(2)
	f.store.fault = func() string { return "late" }
	assert.NilError(t, f.nodes[0].Reconcile(context.Background()))
	assert.Equal(t, f.nodes[0].heldShares(), 0)
	f.store.fault = func() string { return "" }
	for _, write := range f.store.delayedWrites {
		write()
	}
	f.advance(time.Minute)
	assert.NilError(t, f.nodes[1].Reconcile(context.Background())) // reads the records
	f.advance(50 * time.Minute)
	f.store.fault = func() string { return "lost answer" }
	_ = f.nodes[0].Reconcile(context.Background())
	assert.Assert(t, f.nodes[0].heldShares() > 0)
	f.advance(9 * time.Minute) // an hour after the first write
	r := f.nodes[0].Ledger.Reserve("org", 1, f.nodes[0].clock.Elapsed())
	assert.Assert(t, !r.Commit(f.nodes[0].clock.Elapsed()))
}

// Two instances spend from one share if one with a fast clock takes it over
// before the lease expires on the holder's slow clock.
func TestGuardCoversClocksOfDifferentSpeed(t *testing.T) {
	f := newLeaseFleet(2)
	f.reconcileRounds(10)
	f.nodes[0].speed = 0.995
	f.nodes[0].paused = true
	for range int(2 * DefaultQuotaLeaseDuration / shareReconcileInterval) {
		f.reconcileRounds(1)
		assert.Assert(t, f.nodes[0].heldShares() == 0 || f.nodes[1].heldShares() < leaseShares)
		if f.nodes[0].heldShares() > 0 {
			assert.Equal(t, f.nodes[1].heldShares(), leaseShares/2)
		}
	}
	assert.Equal(t, f.nodes[1].heldShares(), leaseShares)
}

// Limits are exceeded if two instances spend from one share or tokens are
// created. Random sequences of lost and late responses, crashes, pauses and
// hand-backs, with boot-time clocks of different speeds, must cause neither.
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
		allowance := leaseBurst
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			n := rapid.SampledFrom(f.nodes).Draw(t, "instance")
			var passed time.Duration
			switch op := rapid.IntRange(0, 17).Draw(t, "op"); {
			case op < 6 && !n.crashed && !n.paused:
				_ = n.Reconcile(context.Background())
			case op < 9:
				passed = rapid.SampledFrom([]time.Duration{time.Second, time.Minute, 19 * time.Minute, 41 * time.Minute}).Draw(t, "passed")
				f.advance(passed)
			case op == 9 && len(f.store.delayedWrites) > 0:
				f.store.delayedWrites[0]()
				f.store.delayedWrites = f.store.delayedWrites[1:]
			case op == 10:
				n.paused = !n.paused
			case op == 11 && !n.crashed:
				n.crashed = true
			case op == 12 && n.crashed:
				f.start(rapid.IntRange(0, len(f.nodes)-1).Draw(t, "restarted"))
			case op == 13 && !n.crashed && !n.paused:
				ctx, cancel := context.WithCancel(context.Background())
				cancel() // one attempt
				_ = n.HandBack(ctx)
				n.crashed = true
			case op == 14 && !n.crashed && !n.paused:
				share := rapid.IntRange(0, leaseShares-1).Draw(t, "share")
				if len(n.views) > 0 && n.isOwn(n.views[share].record) && !n.stopping {
					_ = n.handBack(context.Background(), share)
				}
			case op >= 15 && !n.crashed && !n.paused:
				r := n.Ledger.Reserve("org", n.balance(), n.clock.Elapsed())
				cost := r.Cost
				if r.Commit(n.clock.Elapsed()) {
					allowance -= cost
				}
			}
			allowance = min(leaseBurst, allowance+leaseRate*passed.Seconds())
			if !drift && allowance < -1e-6 {
				t.Fatalf("%g tokens were spent beyond rate and burst", -allowance)
			}
			for share := range leaseShares {
				spenders := 0
				for _, n := range f.nodes {
					if n.canSpendFrom(share) {
						spenders++
					}
				}
				if spenders > 1 {
					t.Fatalf("share %d has %d holders that may spend from it", share, spenders)
				}
			}
		}
	})
}

// raceStore lets something happen before the first write.
type raceStore struct {
	objectstore.Store
	beforeWrite func()
}

func (s *raceStore) Create(ctx context.Context, kind, name string, value []byte) (objectstore.Object, error) {
	if run := s.beforeWrite; run != nil {
		s.beforeWrite = nil
		run()
	}
	return s.Store.Create(ctx, kind, name, value)
}

// aloneInList is an instance list that shows one instance only, as it does when another has
// just started.
type aloneInList struct{ id string }

func (l aloneInList) Instances(context.Context) ([]objectstore.Instance, error) {
	return []objectstore.Instance{{ID: l.id, Role: objectstore.RoleRouter}}, nil
}

// An instance that starts while another acquires all shares must know that holder when it
// becomes ready. It knew none to borrow from, and refused requests within the limits until
// it read the records again, seconds later.
func TestInstanceThatGetsNoShareKnowsTheHolders(t *testing.T) {
	f := newLeaseFleet(2)
	first, second := f.nodes[0], f.nodes[1]
	first.List = aloneInList{first.Self.ID}
	second.Store = &raceStore{Store: f.store, beforeWrite: func() { assert.NilError(t, first.Reconcile(t.Context())) }}
	assert.NilError(t, second.Reconcile(t.Context()))
	assert.Equal(t, first.heldShares(), leaseShares)
	assert.Equal(t, second.heldShares(), 0)
	assert.DeepEqual(t, second.HolderAddresses(), []string{first.Self.Address})
}
