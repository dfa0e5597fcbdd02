package state

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// entryStore holds instance entries in an era of its own.
type entryStore struct {
	objectstore.Store
	era, number uint64
	objects     map[string]objectstore.Object
	calls       int
}

func (s *entryStore) put(name string) {
	s.number++
	value, _ := json.Marshal(Member{Zone: "a"})
	s.objects[name] = objectstore.Object{Name: name, Version: objectstore.Revision(s.era, s.number), Value: value}
}

// restore begins the next era without some objects.
func (s *entryStore) restore(number uint64, lost ...string) {
	s.era, s.number = s.era+1, number
	for _, name := range lost {
		delete(s.objects, name)
	}
	for name, o := range s.objects {
		o.Version = objectstore.Revision(s.era, objectstore.Number(o.Version))
		s.objects[name] = o
	}
}

func (s *entryStore) List(context.Context, string) ([]objectstore.Object, uint64, error) {
	s.calls++
	var all []objectstore.Object
	for _, o := range s.objects {
		all = append(all, o)
	}
	return all, objectstore.Revision(s.era, s.number), nil
}

func (s *entryStore) Get(_ context.Context, _, name string) (objectstore.Object, error) {
	s.calls++
	if o, ok := s.objects[name]; ok {
		return o, nil
	}
	return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindNotFound, Era: s.era, Cause: errors.New("none")}
}

func (s *entryStore) Create(_ context.Context, _, name string, _ []byte) (objectstore.Object, error) {
	s.calls++
	s.put(name)
	return s.objects[name], nil
}

// An instance whose entry a restore has undone still runs. If the others leave it out at once,
// each takes a larger part of the limits, and organisations exceed them. Its own entry must be
// back soon, with few calls.
func TestInstanceLostByARestoreStillCounts(t *testing.T) {
	fake := clock.NewFake(time.Now())
	fake.Advance(time.Hour)
	store := &entryStore{era: 1, objects: make(map[string]objectstore.Object)}
	m := NewMembers(store, fake, Member{Name: "me"}, false, nullLog)
	for _, name := range []string{"ended", "other", "new", "me"} {
		store.put(name)
	}
	m.readEntries(t.Context())
	assert.Equal(t, m.LiveCount(), 4)
	fake.Advance(memberExpiry(4) - time.Second)
	store.put("other")
	store.put("new")
	store.put("me")
	m.readEntries(t.Context())
	fake.Advance(2 * time.Second)
	m.readEntries(t.Context())
	assert.Equal(t, m.LiveCount(), 3, "one has ended")

	store.restore(2, "new", "me")
	store.calls = 0
	m.readEntries(t.Context())
	assert.Equal(t, m.LiveCount(), 3, "the lost ones are left out, or the ended one is back")
	assert.Equal(t, store.calls, 3, "list, read and create")
	_, isBack := store.objects["me"]
	assert.Assert(t, isBack)
	fake.Advance(memberExpiry(3) - 3*time.Second)
	m.readEntries(t.Context())
	assert.Equal(t, m.LiveCount(), 3)
	store.put("other")
	store.put("me")
	m.readEntries(t.Context())
	fake.Advance(4 * time.Second)
	m.readEntries(t.Context())
	assert.Equal(t, m.LiveCount(), 2, "an instance that does not return counts for ever")
}
