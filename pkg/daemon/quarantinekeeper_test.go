package daemon

import (
	"context"
	"errors"
	"expvar"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/follow"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/poison"
)

// quarantineStore holds quarantines. Deletes fail with deleteErr.
type quarantineStore struct {
	objectstore.Store
	objects   map[string]objectstore.Object
	deleteErr error
}

func (s *quarantineStore) List(context.Context, string) ([]objectstore.Object, uint64, error) {
	var all []objectstore.Object
	for _, o := range s.objects {
		all = append(all, o)
	}
	return all, 1, nil
}

func (s *quarantineStore) Get(_ context.Context, _, name string) (objectstore.Object, error) {
	if o, ok := s.objects[name]; ok {
		return o, nil
	}
	return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindNotFound, Cause: errors.New("none")}
}

func (s *quarantineStore) Create(_ context.Context, kind, name string, value []byte) (objectstore.Object, error) {
	s.objects[name] = objectstore.Object{Kind: kind, Name: name, Version: 1, Value: value}
	return s.objects[name], nil
}

func (s *quarantineStore) Delete(_ context.Context, _, name string, _ uint64) error {
	if s.deleteErr == nil {
		delete(s.objects, name)
	}
	return s.deleteErr
}

func newKeeper(c clock.Clock, store objectstore.Store, isFirst bool) *quarantineKeeper {
	log := hclog.NewNullLogger()
	k := &quarantineKeeper{
		detector: poison.NewDetector(c), store: store, storeHealth: &follow.StoreHealth{Clock: c, Log: log}, isFirst: func(string) bool { return isFirst },
		clock: c, metrics: new(expvar.Map).Init(), log: log,
		pending: make(map[poison.Fingerprint]pendingQuarantine), stored: make(map[poison.Fingerprint]uint64),
	}
	k.detector.OnChange = k.recordChange
	return k
}

const suspectPart = poison.Fingerprint("part-a")

func quarantineOf(c clock.Clock, source poison.Source) poison.Quarantine {
	return poison.Quarantine{Fingerprint: suspectPart, Until: c.Elapsed() + poison.QuarantineDuration, LastCrash: c.Elapsed(), Crashes: 3, Source: source}
}

func (k *quarantineKeeper) refuses() bool {
	_, quarantined := k.detector.Find(suspectPart)
	return quarantined
}

// A quarantine that a success has ended must not come back from the store: nothing
// with the part would be sent any more, so that no success could end it again.
func TestEndedQuarantineDoesNotComeBackFromTheStore(t *testing.T) {
	fake := clock.NewFake(time.Now())
	fake.Advance(time.Hour)
	store := &quarantineStore{objects: make(map[string]objectstore.Object)}
	k := newKeeper(fake, store, true)
	k.detector.AddQuarantine(quarantineOf(fake, poison.SourceOwn))
	k.write(t.Context())
	assert.Equal(t, len(store.objects), 1)

	fake.Advance(time.Second)
	k.detector.RecordSuccess(fake.Elapsed(), suspectPart)
	assert.Assert(t, !k.refuses())
	store.deleteErr = errors.New("store away")
	k.deleteEnded(t.Context())
	fake.Advance(time.Minute)
	assert.Assert(t, k.read(t.Context()))
	assert.Assert(t, !k.refuses(), "the quarantine that was not deleted came back")

	other := newKeeper(fake, store, false)
	other.detector.RecordSuccess(fake.Elapsed()-time.Second, suspectPart)
	assert.Assert(t, other.read(t.Context()))
	assert.Assert(t, !other.refuses(), "an instance with a later success took the quarantine over")

	store.deleteErr = nil
	k.deleteEnded(t.Context())
	assert.Equal(t, len(store.objects), 0)
}

// A quarantine that only an instance without the store has found must be stored by
// another one, or a stop of all instances loses it.
func TestQuarantineOfAnotherInstanceIsStored(t *testing.T) {
	for _, isFirst := range []bool{true, false} {
		fake := clock.NewFake(time.Now())
		fake.Advance(time.Hour)
		store := &quarantineStore{objects: make(map[string]objectstore.Object)}
		k := newKeeper(fake, store, isFirst)
		k.detector.AddQuarantine(quarantineOf(fake, poison.SourcePeer))
		k.write(t.Context())
		assert.Equal(t, len(store.objects), 0, "the instance that found it stores it first")
		fake.Advance(2 * quarantineBackupDelay)
		k.write(t.Context())
		assert.Equal(t, len(store.objects) == 1, isFirst)
	}
}

// A quarantine that a restore of the store has undone must be in the store again, or it ends
// with the stop of all instances. One that is still there is not written again.
func TestQuarantineLostByARestoreIsStoredAgain(t *testing.T) {
	fake := clock.NewFake(time.Now())
	fake.Advance(time.Hour)
	store := &quarantineStore{objects: make(map[string]objectstore.Object)}
	k := newKeeper(fake, store, true)
	k.detector.AddQuarantine(quarantineOf(fake, poison.SourceOwn))
	k.write(t.Context())
	assert.Assert(t, k.storeLost(t.Context()))
	assert.Equal(t, len(k.pending), 0)

	clear(store.objects)
	assert.Assert(t, k.storeLost(t.Context()))
	fake.Advance(2 * quarantineBackupDelay)
	k.write(t.Context())
	assert.Equal(t, len(store.objects), 1)
	assert.Assert(t, k.refuses())
}
