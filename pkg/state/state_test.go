package state

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
	"lacewingwheel.example/lacewingwheel/pkg/follow"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

var quiet = hclog.NewNullLogger()

// fakeStore answers reads with what the test sets.
type fakeStore struct {
	objectstore.Store
	mu      sync.Mutex
	object  objectstore.Object
	objects []objectstore.Object
	err     error
	during  func() // called in the middle of a read
	updates []uint64
}

func (s *fakeStore) Get(context.Context, string, string) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.during != nil {
		s.during()
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
		Store: store, Kind: "config", Name: "main", Clock: c, StoreHealth: &follow.StoreHealth{Clock: c, Log: quiet}, Log: quiet,
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

// Guards against a configuration that goes back, and against one that cannot
// be read and takes the place of one that can.
func TestConfigurationNeverGoesBack(t *testing.T) {
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
		c.offer(step.object)
		assert.Equal(t, c.Snapshot().Generation, step.want)
	}
}

// Guards against keys that are served although nothing proves that they are
// still valid: the proof counts from the start of the read, and a failed read
// proves nothing.
func TestProofAgeCountsFromTheStartOfTheRead(t *testing.T) {
	fake := clock.NewFake(time.Now())
	fake.Advance(time.Hour)
	store := &fakeStore{object: object("main", 5, "7"), during: func() { fake.Advance(3 * time.Second) }}
	c := newConfiguration(store, fake)
	assert.Assert(t, c.ProofAge() >= time.Hour, "a process that has read nothing has a proof")
	assert.Assert(t, c.read(t.Context()))
	assert.Equal(t, c.ProofAge(), 3*time.Second)
	store.err = errors.New("down")
	assert.Assert(t, !c.read(t.Context()))
	assert.Equal(t, c.ProofAge(), 6*time.Second)
	// An old answer, of a replica that is behind, proves nothing new either, but
	// it cannot be told from the newest while nothing newer is known.
	store.err, store.object = nil, object("main", 4, "3")
	c.read(t.Context())
	assert.Equal(t, c.Snapshot().Generation, uint64(7))
}

func newTargets(c clock.Clock) *Targets {
	return &Targets{
		Kind: "servers", Clock: c, StoreHealth: &follow.StoreHealth{Clock: c, Log: quiet}, Log: quiet, RolloutDeadline: 12 * time.Second,
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

func ids(t *Targets) map[string]*target.Target {
	out := make(map[string]*target.Target)
	for _, x := range t.InPool("pool") {
		out[x.ID] = x
	}
	return out
}

// Guards against an entry of another writer that hides the others.
func TestForeignEntriesArePassedOver(t *testing.T) {
	x := newTargets(clock.NewFake(time.Now()))
	x.replace([]objectstore.Object{object("a", 1, "1 1 0"), object("b", 2, "{{"), object("c", 3, "1 1 0")})
	assert.Equal(t, len(ids(x)), 2)
	x.apply([]objectstore.Event{objectstore.Event{Object: object("a", 4, "broken")}})
	assert.Equal(t, len(ids(x)), 1)
}

// Guards against a late answer that brings a target back, and against a
// restarted target that inherits what was believed of the one before.
func TestTargetsDoNotGoBack(t *testing.T) {
	x := newTargets(clock.NewFake(time.Now()))
	x.replace([]objectstore.Object{object("a", 5, "1 1 0")})
	before := ids(x)["a"].Live
	x.apply([]objectstore.Event{objectstore.Event{Object: object("a", 6, "1 1 1")}})
	assert.Assert(t, ids(x)["a"].Leaving)
	x.apply([]objectstore.Event{objectstore.Event{Object: object("a", 5, "1 1 0")}})
	assert.Assert(t, ids(x)["a"].Leaving, "an older entry brought the target back")
	x.apply([]objectstore.Event{objectstore.Event{Object: object("a", 7, "1 2 0")}})
	assert.Assert(t, ids(x)["a"].Leaving, "a leaving target came back in the same incarnation")
	assert.Equal(t, ids(x)["a"].Live, before)
	x.apply([]objectstore.Event{objectstore.Event{Object: object("a", 8, "2 2 0")}})
	assert.Assert(t, !ids(x)["a"].Leaving)
	assert.Assert(t, ids(x)["a"].Live != before, "a restarted target has the load of the one before")
	x.apply([]objectstore.Event{objectstore.Event{Object: object("a", 9, "2 2 0"), Deleted: true}})
	assert.Equal(t, len(ids(x)), 0)
}

// Guards against an outage of the store that empties the list of targets, and
// against targets that stay listed for ever after it.
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
	assert.Equal(t, len(ids(x)), 2, "targets were dropped because the store was away")
	fake.Advance(time.Second)
	x.apply([]objectstore.Event{objectstore.Event{Object: object("a", 3, "1 1 0")}})
	fake.Advance(returnTime)
	x.ReconcileExpired()
	assert.Equal(t, len(ids(x)), 1)
	assert.Assert(t, ids(x)["a"] != nil)
	x.apply([]objectstore.Event{objectstore.Event{Object: object("a", 4, "1 1 0"), Deleted: true}})
	assert.Equal(t, len(ids(x)), 0, "a target that left was kept although the store is there")
}

// Guards against requests on weights that were replaced too long ago, also
// where a newer name came in between.
func TestOldWeightsAreGivenUpInTime(t *testing.T) {
	fake := clock.NewFake(time.Now())
	x := newTargets(fake)
	x.RecordAnnouncedVersion("m", "1", 0)
	x.replace([]objectstore.Object{object("a", 1, "1 1 0"), object("b", 2, "1 2 0"), object("c", 3, "1 3 0")})
	x.RecordAnnouncedVersion("m", "2", 0)
	fake.Advance(6 * time.Second)
	x.RecordAnnouncedVersion("m", "3", 0)
	fake.Advance(6 * time.Second)
	x.ReconcileExpired()
	assert.Equal(t, x.NewestVersion("m"), "3")
	assert.Assert(t, ids(x)["a"].WeightsExpired, "version 2 was named 12 s ago")
	assert.Assert(t, !ids(x)["b"].WeightsExpired, "version 3 was named 6 s ago")
	assert.Assert(t, !ids(x)["c"].WeightsExpired)
	assert.Assert(t, ids(x)["a"].AboutToLoad && !ids(x)["c"].AboutToLoad)
	x.RunsVersion(ids(x)["a"], "3")
	assert.Assert(t, !ids(x)["a"].WeightsExpired, "what the target states itself is newer than its entry")
	x.apply([]objectstore.Event{objectstore.Event{Object: object("a", 9, "1 2 0")}})
	assert.Equal(t, ids(x)["a"].WeightVersion, "3")
}

// Guards against a target whose address was given to another one.
func TestUnusedTargetIsNotListed(t *testing.T) {
	x := newTargets(clock.NewFake(time.Now()))
	x.replace([]objectstore.Object{object("a", 1, "1 1 0"), object("b", 2, "1 1 0")})
	x.MarkReplaced(ids(x)["a"])
	assert.Equal(t, len(ids(x)), 1)
	assert.Assert(t, !x.IsListed("a/1"))
}

// Guards against limits that are divided by instances that are gone, or not by
// all that are there.
func TestMembersAreCountedByTheirChanges(t *testing.T) {
	fake := clock.NewFake(time.Now())
	store := &fakeStore{}
	m := NewMembers(store, fake, Member{Name: "me", Incarnation: "x"}, false, quiet)
	assert.Equal(t, m.LiveCount(), 1)
	m.count([]objectstore.Object{object("me", 1, ""), object("other", 2, "")})
	assert.Equal(t, m.LiveCount(), 2)
	fake.Advance(goneAfter(2) - time.Second)
	m.count([]objectstore.Object{object("me", 3, ""), object("other", 2, "")})
	assert.Equal(t, m.LiveCount(), 2)
	fake.Advance(time.Second)
	m.count([]objectstore.Object{object("me", 4, ""), object("other", 2, "")})
	assert.Equal(t, m.LiveCount(), 1)
}
