package state

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/follow"
	"lacewingwheel.example/lacewingwheel/pkg/gossip"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

var nullLog = hclog.NewNullLogger()

// fakeStore returns the objects and the error that the test sets, and records the
// versions of updates.
type fakeStore struct {
	objectstore.Store
	mu      sync.Mutex
	object  objectstore.Object
	objects []objectstore.Object
	err     error
	onGet   func() // called in the middle of a read
	updates []uint64
}

func (s *fakeStore) Get(context.Context, string, string) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.onGet != nil {
		s.onGet()
	}
	return s.object, s.err
}

func (s *fakeStore) List(context.Context, string) ([]objectstore.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects, 1, s.err
}

func (s *fakeStore) Create(_ context.Context, kind, name string, value []byte) (objectstore.Object, error) {
	return s.Update(context.Background(), kind, name, value, 0)
}

func (s *fakeStore) Update(_ context.Context, kind, name string, value []byte, version uint64) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updates = append(s.updates, version)
	return objectstore.Object{Kind: kind, Name: name, Version: version + 1, Value: value}, s.err
}

func newConfiguration(store *fakeStore, c clock.Clock) *Configuration {
	return &Configuration{
		Store: store, Kind: "config", Name: "main", Clock: c, StoreHealth: &follow.StoreHealth{Clock: c, Log: nullLog}, Log: nullLog,
		Parse: func(value []byte) (*tables.Snapshot, error) {
			var generation uint64
			if _, err := fmt.Sscan(string(value), &generation); err != nil {
				return nil, err
			}
			return tables.NewSnapshot(generation, &tables.Tables{}), nil
		},
	}
}

func object(name string, version uint64, value string) objectstore.Object {
	return objectstore.Object{Name: name, Version: version, Value: []byte(value)}
}

// A late or invalid object in the store must not replace the configuration in
// force: callers would be served with revoked keys or without routes.
func TestConfigurationIsNeverReplacedByOlder(t *testing.T) {
	c := newConfiguration(&fakeStore{}, clock.NewFake(time.Now()))
	steps := []struct {
		object objectstore.Object
		want   uint64
	}{
		{object("main", 5, "7"), 7},
		{object("main", 4, "3"), 7},
		{object("other", 9, "99"), 7},
		{object("main", 6, "not a number"), 7},
		{object("main", 7, "8"), 8},
	}
	for _, step := range steps {
		c.applyIfNewer(step.object)
		assert.Equal(t, c.Snapshot().Generation, step.want)
	}
}

// Keys must not be accepted longer after their revocation than allowed. The age of
// the proof therefore counts from the start of the read, and a failed read proves
// nothing.
func TestProofAgeCountsFromTheStartOfTheRead(t *testing.T) {
	fake := clock.NewFake(time.Now())
	fake.Advance(time.Hour)
	store := &fakeStore{object: object("main", 5, "7"), onGet: func() { fake.Advance(3 * time.Second) }}
	c := newConfiguration(store, fake)
	assert.Assert(t, c.ProofAge() >= time.Hour, "there is a proof before the first read")
	assert.Assert(t, c.ReadWithProof(t.Context()))
	assert.Equal(t, c.ProofAge(), 3*time.Second)
	store.err = errors.New("down")
	assert.Assert(t, !c.ReadWithProof(t.Context()))
	assert.Equal(t, c.ProofAge(), 6*time.Second)
	// A stale response, from a replica that lags behind, does not replace a newer
	// configuration.
	store.err, store.object = nil, object("main", 4, "3")
	c.ReadWithProof(t.Context())
	assert.Equal(t, c.Snapshot().Generation, uint64(7))
}

// When others begin to rely on an instance for the proof, its interval shortens. It must not
// sleep out the longer one: the proofs of the others become too old meanwhile, and they
// leave readiness.
func TestShorterProofIntervalAppliesAtOnce(t *testing.T) {
	var reads atomic.Int64
	var interval atomic.Int64
	interval.Store(int64(3 * time.Second))
	c := newConfiguration(&fakeStore{object: object("main", 5, "7"), onGet: func() { reads.Add(1) }}, clock.System{})
	c.ProofInterval = func() time.Duration { return time.Duration(interval.Load()) }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, reads.Load(), int64(1))
	interval.Store(int64(200 * time.Millisecond))
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, reads.Load() >= 2, "the proof is not renewed")
}

func newTargets(c clock.Clock) *Targets {
	return &Targets{
		Kind: "servers", Clock: c, StoreHealth: &follow.StoreHealth{Clock: c, Log: nullLog}, Log: nullLog, RolloutDeadline: 12 * time.Second,
		entries: make(map[string]*entry),
		Parse: func(id string, value []byte) (*target.Target, error) {
			t := &target.Target{ID: id, Pool: "pool", IsEngine: true, Model: "m", Address: "a-" + id}
			var leaving int
			if _, err := fmt.Sscan(string(value), &t.Incarnation, &t.WeightVersion, &leaving); err != nil {
				return nil, err
			}
			t.Leaving = leaving == 1
			return t, nil
		},
	}
}

func targetsByID(t *Targets) map[string]*target.Target {
	out := make(map[string]*target.Target)
	for _, x := range t.InPool("pool") {
		out[x.ID] = x
	}
	return out
}

// An invalid entry must not keep the other targets from being used.
func TestInvalidEntriesAreSkipped(t *testing.T) {
	x := newTargets(clock.NewFake(time.Now()))
	x.replace([]objectstore.Object{object("a", 1, "1 1 0"), object("b", 2, "{{"), object("c", 3, "1 1 0")})
	assert.Equal(t, len(targetsByID(x)), 2)
	x.apply([]objectstore.Event{objectstore.Event{Object: object("a", 4, "broken")}})
	assert.Equal(t, len(targetsByID(x)), 1)
}

// A late response of the store must not undo a newer entry: requests would go to
// a target that is leaving. A restarted target must not inherit the load and the
// leaving state of its previous incarnation.
func TestStaleEntriesAreIgnored(t *testing.T) {
	x := newTargets(clock.NewFake(time.Now()))
	x.replace([]objectstore.Object{object("a", 5, "1 1 0")})
	before := targetsByID(x)["a"].Live
	x.apply([]objectstore.Event{objectstore.Event{Object: object("a", 6, "1 1 1")}})
	assert.Assert(t, targetsByID(x)["a"].Leaving)
	x.apply([]objectstore.Event{objectstore.Event{Object: object("a", 5, "1 1 0")}})
	assert.Assert(t, targetsByID(x)["a"].Leaving, "an older entry reset leaving")
	x.apply([]objectstore.Event{objectstore.Event{Object: object("a", 7, "1 2 0")}})
	assert.Assert(t, targetsByID(x)["a"].Leaving, "leaving was reset within one incarnation")
	assert.Equal(t, targetsByID(x)["a"].Live, before)
	x.apply([]objectstore.Event{objectstore.Event{Object: object("a", 8, "2 2 0")}})
	assert.Assert(t, !targetsByID(x)["a"].Leaving)
	assert.Assert(t, targetsByID(x)["a"].Live != before, "a restarted target has the load of its previous incarnation")
	x.apply([]objectstore.Event{objectstore.Event{Object: object("a", 9, "2 2 0"), Deleted: true}})
	assert.Equal(t, len(targetsByID(x)), 0)
}

// The first weights that the store names supersede those before at a known time. Taken
// for assumed, engines past the use of their weights still counted as serving, waited for
// a place in the rollout, and were not loaded in time (weights-holder-killed-again).
func TestFirstNamedWeightsEndTheUseOfEarlierOnesAtAKnownTime(t *testing.T) {
	c := clock.NewFake(time.Now())
	c.Advance(time.Hour)
	for _, isAssumed := range []bool{false, true} {
		x := newTargets(c)
		x.replace([]objectstore.Object{object("a", 5, "1 1 0")})
		x.RecordNewestVersion("m", "2", c.Elapsed(), isAssumed)
		a := targetsByID(x)["a"]
		assert.Equal(t, a.WeightsUsableUntil, c.Elapsed()+x.RolloutDeadline)
		assert.Equal(t, a.WeightsUseIsAssumed, isAssumed)
	}
}

// A target that said that it leaves got requests again when its entry still said
// "ready", or went away and came back. Only another incarnation may get requests.
func TestTargetThatSaidItLeavesStaysSo(t *testing.T) {
	x := newTargets(clock.NewFake(time.Now()))
	x.replace([]objectstore.Object{object("a", 5, "1 1 0")})
	x.RecordNotice(targetsByID(x)["a"], target.Notice{Leaving: true})
	assert.Assert(t, targetsByID(x)["a"].Leaving)
	x.apply([]objectstore.Event{{Object: object("a", 6, "1 2 0")}})
	assert.Assert(t, targetsByID(x)["a"].Leaving, "the list still says ready")
	x.apply([]objectstore.Event{{Object: object("a", 7, "1 2 0"), Deleted: true}})
	x.apply([]objectstore.Event{{Object: object("a", 8, "1 2 0")}})
	assert.Assert(t, targetsByID(x)["a"].Leaving, "the entry went away and came back")
	x.apply([]objectstore.Event{{Object: object("a", 9, "2 2 0")}})
	assert.Assert(t, !targetsByID(x)["a"].Leaving, "another incarnation")
}

// During an outage of the store entries lapse, although their targets still run.
// The targets must stay in use until the entries had time to return, and must be
// removed if they do not.
func TestEntriesThatLapsedDuringAnOutage(t *testing.T) {
	fake := clock.NewFake(time.Now())
	x := newTargets(fake)
	x.StoreHealth.RecordSuccess()
	x.replace([]objectstore.Object{object("a", 1, "1 1 0"), object("b", 2, "1 1 0")})
	fake.Advance(5 * time.Second)
	x.StoreHealth.RecordFailure(errors.New("down"))
	fake.Advance(5 * time.Second)
	x.StoreHealth.RecordSuccess()
	x.replace(nil)
	x.ReconcileExpired()
	assert.Equal(t, len(targetsByID(x)), 2, "targets were removed because their entries lapsed in the outage")
	fake.Advance(time.Second)
	x.apply([]objectstore.Event{objectstore.Event{Object: object("a", 3, "1 1 0")}})
	fake.Advance(lapsedGrace)
	x.ReconcileExpired()
	assert.Equal(t, len(targetsByID(x)), 1)
	assert.Assert(t, targetsByID(x)["a"] != nil)
	x.apply([]objectstore.Event{objectstore.Event{Object: object("a", 4, "1 1 0"), Deleted: true}})
	assert.Equal(t, len(targetsByID(x)), 0, "a deleted target was kept although the store is up")
}

// When the store drops its history, it answers no watch for a while. An instance whose
// watch failed took that for an outage, told the others, and all went on to use targets
// that had left meanwhile (pumpvakt-drift-grown scale-1).
func TestFailedWatchIsNoOutage(t *testing.T) {
	fake := clock.NewFake(time.Now())
	fake.Advance(time.Hour)
	watching, fed := newTargets(fake), newTargets(fake)
	for _, x := range []*Targets{watching, fed} {
		x.Follower().Merge(follow.Changes{IsFullList: true, Objects: []objectstore.Object{object("a", 1, "1 1 0"), object("b", 2, "1 1 0")}, SyncState: follow.SyncState{IsSynced: true, Revision: 2}})
		x.StoreHealth.RecordSuccess()
	}
	for range 6 { // other instances read the store for both
		fake.Advance(time.Second)
		watching.StoreHealth.RecordPeerContact(fake.Elapsed() - 300*time.Millisecond)
		fed.StoreHealth.RecordPeerContact(fake.Elapsed() - 300*time.Millisecond)
	}
	watching.StoreHealth.RecordFailure(context.DeadlineExceeded)
	fake.Advance(60 * time.Millisecond)
	watching.StoreHealth.RecordSuccess()
	if ago, ok := watching.StoreHealth.LastRecovery(); ok {
		fed.StoreHealth.RecordPeerRecovery(ago)
	}
	for _, x := range []*Targets{watching, fed} {
		x.Follower().Merge(follow.Changes{Events: []objectstore.Event{{Object: object("a", 5, ""), Deleted: true}}, SyncState: follow.SyncState{IsSynced: true, Revision: 5}})
		assert.Equal(t, len(targetsByID(x)), 1, "a target that has left is still used")
	}
}

// Requests must not run on weights that were superseded longer ago than the rollout
// deadline allows, also if still newer weights were announced meanwhile.
func TestSupersededWeightsBecomeTooOld(t *testing.T) {
	fake := clock.NewFake(time.Now())
	x := newTargets(fake)
	x.RecordNewestVersion("m", "1", 0, true)
	x.replace([]objectstore.Object{object("a", 1, "1 1 0"), object("b", 2, "1 2 0"), object("c", 3, "1 3 0")})
	first := fake.Elapsed()
	x.RecordNewestVersion("m", "2", first, false)
	fake.Advance(6 * time.Second)
	second := fake.Elapsed()
	x.RecordNewestVersion("m", "3", second, false)
	fake.Advance(6 * time.Second)
	assert.Equal(t, x.NewestVersion("m"), "3")
	assert.Equal(t, targetsByID(x)["a"].WeightsUsableUntil, first+x.RolloutDeadline, "superseded by version 2")
	assert.Equal(t, targetsByID(x)["b"].WeightsUsableUntil, second+x.RolloutDeadline, "superseded by version 3")
	assert.Equal(t, targetsByID(x)["c"].WeightsUsableUntil, time.Duration(0))
	assert.Assert(t, targetsByID(x)["a"].AboutToLoad && !targetsByID(x)["c"].AboutToLoad)
	x.RecordReportedVersion(targetsByID(x)["a"], "3")
	assert.Equal(t, targetsByID(x)["a"].WeightsUsableUntil, time.Duration(0), "the version that the target reported is newer than its entry")
	x.apply([]objectstore.Event{objectstore.Event{Object: object("a", 9, "1 2 0")}})
	assert.Equal(t, targetsByID(x)["a"].WeightVersion, "3")
}

// An instance that was stopped, restarted or without the store learns late that
// weights were superseded, and must not use them for longer than the deadline.
func TestSupersessionLearnedLateCountsFromItsTime(t *testing.T) {
	const assumedAge = 9 * time.Second
	type peerReport struct {
		version string
		age     time.Duration
	}
	for _, c := range []struct {
		name      string
		newest    []string // versions in the order in which this instance learns of them
		provenAge time.Duration
		peers     []peerReport
		want      time.Duration // time since which version 1 counts as superseded
		assumed   bool
	}{
		{"restarted", []string{"2"}, 0, nil, assumedAge, true},
		{"restarted, another instance knows", []string{"2"}, 0, []peerReport{{"1", 2 * time.Second}}, 2 * time.Second, false},
		{"restarted, another instance knows that it is older than assumed", []string{"2"}, 0, []peerReport{{"1", 11 * time.Second}}, 11 * time.Second, false},
		{"restarted, another instance knows only the later version", []string{"3"}, 0, []peerReport{{"2", time.Second}}, assumedAge, true},
		{"stopped", []string{"1", "2"}, 6 * time.Second, nil, 6 * time.Second, false},
		{"stopped, another instance saw version 1 as the newest later", []string{"1", "2"}, 6 * time.Second, []peerReport{{"1", 5 * time.Second}}, 5 * time.Second, false},
		{"stopped, another instance was stopped for longer", []string{"1", "2"}, 6 * time.Second, []peerReport{{"1", 8 * time.Second}}, 6 * time.Second, false},
		{"version that the store does not name yet", []string{"1"}, 0, []peerReport{{"1", time.Second}, {"2", 0}}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			fake := clock.NewFake(time.Now())
			fake.Advance(time.Hour)
			x := newTargets(fake)
			x.replace([]objectstore.Object{object("a", 1, "1 1 0")})
			for n, version := range c.newest {
				before := fake.Elapsed() - assumedAge
				if n > 0 {
					before = fake.Elapsed() - c.provenAge
				}
				x.RecordNewestVersion("m", version, before, n == 0)
			}
			for _, r := range c.peers {
				x.RecordSupersession(gossip.Supersession{Model: "m", Version: r.version, After: fake.Elapsed() - r.age})
			}
			want := time.Duration(0)
			if c.want > 0 {
				want = fake.Elapsed() - c.want + x.RolloutDeadline
			}
			assert.Equal(t, targetsByID(x)["a"].WeightsUsableUntil, want)
			assert.Equal(t, targetsByID(x)["a"].WeightsUseIsAssumed, c.assumed)
			assert.Equal(t, x.NewestVersion("m"), c.newest[len(c.newest)-1])
		})
	}
}

// If another target answers at a target's address, the target must not be used:
// requests for one would reach the other.
func TestReplacedTargetIsNotListed(t *testing.T) {
	x := newTargets(clock.NewFake(time.Now()))
	x.replace([]objectstore.Object{object("a", 1, "1 1 0"), object("b", 2, "1 1 0")})
	x.MarkReplaced(targetsByID(x)["a"])
	assert.Equal(t, len(targetsByID(x)), 1)
	assert.Assert(t, !x.IsListed("a/1"))
}

// Limits are divided by the number of live instances. Instances without heartbeats
// must not count, and all others must, whatever their clocks show.
func TestMembersExpireWithoutHeartbeats(t *testing.T) {
	fake := clock.NewFake(time.Now())
	store := &fakeStore{}
	m := NewMembers(store, fake, Member{Name: "me", Incarnation: "x"}, false, nullLog)
	assert.Equal(t, m.LiveCount(), 1)
	m.updateList([]objectstore.Object{object("me", 1, ""), object("other", 2, "")})
	assert.Equal(t, m.LiveCount(), 2)
	fake.Advance(memberExpiry(2) - time.Second)
	m.updateList([]objectstore.Object{object("me", 3, ""), object("other", 2, "")})
	assert.Equal(t, m.LiveCount(), 2)
	fake.Advance(time.Second)
	m.updateList([]objectstore.Object{object("me", 4, ""), object("other", 2, "")})
	assert.Equal(t, m.LiveCount(), 1)
}
