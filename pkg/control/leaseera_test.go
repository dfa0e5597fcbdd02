package control_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/follow"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/platform"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

const (
	leaseDuration = 1500 * time.Millisecond
	effectTime    = 2*leaseDuration + 300*time.Millisecond // the lease, a pause between holders and a margin
)

// lossyStore loses the answers of writes, or holds the writes back so that the store gets
// them later.
type lossyStore struct {
	objectstore.Store
	loseNext, delayNext bool
	delayed             func()
}

func (s *lossyStore) Update(ctx context.Context, kind, name string, value []byte, version uint64) (objectstore.Object, error) {
	lost := &objectstore.Error{Kind: objectstore.KindUnknown, Cause: errors.New("lost")}
	if s.delayNext {
		s.delayNext = false
		s.delayed = func() { _, _ = s.Store.Update(ctx, kind, name, value, version) } // its answer is lost
		return objectstore.Object{}, lost
	}
	object, err := s.Store.Update(ctx, kind, name, value, version)
	if s.loseNext {
		s.loseNext = false
		return objectstore.Object{}, lost
	}
	return object, err
}

// leaseHolder is one instance that competes for the lease.
type leaseHolder struct {
	*control.Lease
	store *lossyStore
	name  string
}

// leaseTest has a stand-in of the store, instances with a client each, and what they did.
type leaseTest struct {
	standin *platformtest.Store
	clock   *clock.Fake
	address string
	holders []*leaseHolder
	byFence map[uint64]string // holder that acted under a token
	highest uint64
	last    string        // who acted last
	lastAt  time.Duration // and when
}

func newLeaseTest(t testing.TB, holders int, firstStart bool) *leaseTest {
	x := &leaseTest{standin: platformtest.NewStore(), clock: clock.NewFake(time.Now()), byFence: make(map[uint64]string)}
	x.clock.Advance(time.Hour)
	x.standin.SetEra(1)
	server := httptest.NewServer(x.standin)
	t.Cleanup(server.Close)
	x.address = strings.TrimPrefix(server.URL, "http://")
	for i := range holders {
		x.add(fmt.Sprintf("i-%d", i), firstStart)
	}
	return x
}

func (x *leaseTest) add(name string, firstStart bool) *leaseHolder {
	store := &lossyStore{Store: platform.NewStore(func() string { return x.address }, func(string) time.Duration { return 0 })}
	health := &follow.StoreHealth{Clock: x.clock, Log: hclog.NewNullLogger()}
	health.RecordEra(1)
	h := &leaseHolder{name: name, store: store, Lease: &control.Lease{
		Store: store, Clock: x.clock, Name: "orders", Instance: name, Incarnation: name, Duration: leaseDuration, Guard: 200 * time.Millisecond,
		EffectTime: effectTime, StoreHealth: health, FirstStart: firstStart,
	}}
	x.holders = append(x.holders, h)
	return h
}

// round does what pkg/rollout does: it reconciles the lease and acts if that is allowed.
func (x *leaseTest) round(ctx context.Context, h *leaseHolder) error {
	_ = h.Reconcile(ctx) // a failed one is repeated
	if h.Held() && x.clock.Elapsed() >= h.EffectsEnd() {
		_ = h.BeginActing(ctx)
	}
	return x.act(h)
}

// act acts if the lease allows it and checks the rules for actions.
func (x *leaseTest) act(h *leaseHolder) error {
	if !h.MayAct() || x.clock.Elapsed() < h.EffectsEnd() {
		return nil
	}
	now, fence := x.clock.Elapsed(), h.Fence()
	if by, used := x.byFence[fence]; used && by != h.name {
		return fmt.Errorf("%s and %s act under token %d", by, h.name, fence)
	}
	if fence < x.highest {
		return fmt.Errorf("%s acts under token %d after %d", h.name, fence, x.highest)
	}
	if x.last != "" && x.last != h.name && now-x.lastAt < leaseDuration {
		return fmt.Errorf("%s acts %v after %s", h.name, now-x.lastAt, x.last)
	}
	x.byFence[fence], x.highest, x.last, x.lastAt = h.name, fence, h.name, now
	return nil
}

func (x *leaseTest) acquire(t *testing.T, h *leaseHolder, within time.Duration) {
	t.Helper()
	for deadline := x.clock.Elapsed() + within; x.last != h.name; x.clock.Advance(100 * time.Millisecond) {
		assert.NilError(t, x.round(t.Context(), h))
		assert.Assert(t, x.clock.Elapsed() <= deadline, "%s does not act within %v", h.name, within)
	}
}

// With a store that states no eras tokens count from 1. In no era does the first holder of a new
// system wait.
func TestFirstHolderDoesNotWait(t *testing.T) {
	for era := range uint64(2) {
		x := newLeaseTest(t, 2, true)
		x.standin.SetEra(era)
		x.acquire(t, x.holders[0], 0)
		first := x.highest
		assert.Equal(t, first, max(1, objectstore.Revision(era, 0)))
		assert.NilError(t, x.holders[0].ReleaseSettled(t.Context()))
		x.clock.Advance(2 * time.Second)
		x.acquire(t, x.holders[1], 0)
		assert.Assert(t, x.highest > first)
		assert.Assert(t, era > 0 || x.highest == 2)
	}
}

// A process of the first start that reaches the store after a restore takes that era for the
// first one. Its token must not be one of the lost time.
func TestFirstTokenOfAnEraIsUnique(t *testing.T) {
	x := newLeaseTest(t, 1, true)
	before := x.standin.Copy()
	x.acquire(t, x.holders[0], 0)
	x.standin.Restore(before)
	late := x.add("late", true)
	late.StoreHealth = &follow.StoreHealth{Clock: x.clock, Log: hclog.NewNullLogger()}
	late.StoreHealth.RecordEra(2)
	x.clock.Advance(2 * leaseDuration)
	x.acquire(t, late, 0)
	assert.Equal(t, len(x.byFence), 2)
}

// A restore that undid the record of a lease gave its token out twice, to a holder that did
// not wait for the one before: that one still ordered.
func TestLeaseRecordLostByARestore(t *testing.T) {
	x := newLeaseTest(t, 2, true)
	one, two := x.holders[0], x.holders[1]
	before := x.standin.Copy()
	x.acquire(t, one, 0)
	x.standin.Restore(before)
	x.acquire(t, two, leaseDuration+effectTime+time.Second)
	assert.Equal(t, objectstore.Era(x.highest), uint64(2))
	assert.NilError(t, x.round(t.Context(), one))
	assert.Assert(t, !one.Held())
}

// A restored record names a holder, or none, of before the lost seconds. Whoever held the
// lease in them may still act, under a token that the record does not have.
func TestLeaseRecordFromACopyIsNotTrusted(t *testing.T) {
	x := newLeaseTest(t, 3, true)
	one, two, three := x.holders[0], x.holders[1], x.holders[2]
	x.acquire(t, one, 0)
	assert.NilError(t, one.ReleaseSettled(t.Context()))
	before := x.standin.Copy()
	x.clock.Advance(2 * time.Second)
	x.acquire(t, two, 0)
	x.standin.Restore(before)
	assert.NilError(t, x.round(t.Context(), three))
	assert.Assert(t, !three.Held(), "acquired although another holds it")
	x.clock.Advance(time.Second)
	assert.NilError(t, x.act(two)) // two has not called the store since
	x.acquire(t, three, leaseDuration+effectTime+time.Second)
	x.acquire(t, one, leaseDuration+effectTime+time.Second)
}

// A renewal that meets a record with the same revision of a new era replaces that of another
// holder. It must not count, and the token of the other one must not be given out again.
func TestRenewalOnAVersionGivenOutAgain(t *testing.T) {
	x := newLeaseTest(t, 3, true)
	one, two, three := x.holders[0], x.holders[1], x.holders[2]
	before := x.standin.Copy()
	one.Duration = time.Hour // so that it still renews its lease when another has one
	x.acquire(t, one, 0)
	x.standin.Restore(before)
	_ = two.Reconcile(t.Context())
	x.clock.Advance(leaseDuration + 300*time.Millisecond)
	_ = two.Reconcile(t.Context())
	assert.Assert(t, two.Held())
	stolen := two.Fence()
	_ = one.Reconcile(t.Context())
	assert.Assert(t, !one.Held(), "a renewal of the lost time holds the lease")
	x.clock.Advance(time.Second)
	x.acquire(t, three, 2*leaseDuration+2*effectTime)
	assert.Assert(t, three.Fence() > stolen)
}

// Whatever is restored, lost or late: no token is used by two holders, none follows a higher
// one, and holders do not take turns within the lease.
func TestTokensAcrossRestores(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		x := newLeaseTest(t, 3, rapid.Bool().Draw(r, "first start"))
		var copies []platformtest.Copy
		index, restarts := rapid.IntRange(0, 2), 0
		r.Repeat(map[string]func(*rapid.T){
			"round": func(r *rapid.T) { assert.NilError(r, x.round(t.Context(), x.holders[index.Draw(r, "holder")])) },
			"act":   func(r *rapid.T) { assert.NilError(r, x.act(x.holders[index.Draw(r, "holder")])) },
			"wait": func(r *rapid.T) {
				x.clock.Advance(time.Duration(rapid.IntRange(1, 1200).Draw(r, "ms")) * time.Millisecond)
			},
			"copy": func(*rapid.T) { copies = append(copies, x.standin.Copy()) },
			"restore": func(r *rapid.T) {
				if len(copies) == 0 {
					r.Skip()
				}
				x.standin.Restore(copies[len(copies)-1])
			},
			"release": func(r *rapid.T) {
				h := x.holders[index.Draw(r, "holder")]
				if h.Held() && !h.MayAct() {
					_ = h.Release(t.Context())
				}
			},
			"learn": func(r *rapid.T) { x.holders[index.Draw(r, "holder")].StoreHealth.RecordEra(x.standin.Era()) },
			"restart": func(r *rapid.T) {
				i := index.Draw(r, "holder")
				restarts++
				next := x.add(fmt.Sprintf("i-%d-%d", i, restarts), false)
				if rapid.Bool().Draw(r, "knows the era") {
					next.StoreHealth.RecordEra(x.standin.Era())
				}
				x.holders[i], x.holders = next, x.holders[:len(x.holders)-1]
			},
			"lose":  func(r *rapid.T) { x.holders[index.Draw(r, "holder")].store.loseNext = true },
			"delay": func(r *rapid.T) { x.holders[index.Draw(r, "holder")].store.delayNext = true },
			"arrive": func(r *rapid.T) {
				s := x.holders[index.Draw(r, "holder")].store
				if s.delayed == nil {
					r.Skip()
				}
				late := s.delayed
				s.delayed = nil
				// The client that sent it knew of no newer era.
				known := s.Store
				s.Store = platform.NewStore(func() string { return x.address }, func(string) time.Duration { return 0 })
				late()
				s.Store = known
			},
		})
	})
}
