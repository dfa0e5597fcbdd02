package follow

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// slowStore advances the clock in each call.
type slowStore struct {
	objectstore.Store
	clock  *clock.Fake
	takes  time.Duration
	events []objectstore.Event
	err    error
}

func (s *slowStore) List(context.Context, string) ([]objectstore.Object, uint64, error) {
	s.clock.Advance(s.takes)
	return nil, 1, s.err
}

func (s *slowStore) Watch(context.Context, string, uint64) ([]objectstore.Event, uint64, error) {
	s.clock.Advance(s.takes)
	return s.events, 2, s.err
}

// A response that is read late, because the process was stopped or the connection
// silent, must not make the view look complete up to the time of reading: receivers
// count deadlines from it.
func TestLateResponseDoesNotProveThePresent(t *testing.T) {
	const wait, late = time.Second, 6 * time.Second
	change := []objectstore.Event{{Object: objectstore.Object{Name: "a", Version: 2}}}
	for _, c := range []struct {
		name   string
		watch  bool
		takes  time.Duration
		events []objectstore.Event
		err    error
		want   time.Duration // after the start of the call
	}{
		{"list", false, late, nil, nil, 0},
		{"watch without changes", true, wait, nil, nil, wait},
		{"watch without changes, read late", true, late, nil, nil, wait},
		{"watch without changes that ends early", true, wait / 2, nil, nil, 0},
		{"watch with a change, read late", true, late, change, nil, 0},
		{"watch that fails", true, late, nil, errors.New("connection lost"), -time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := &slowStore{clock: clock.NewFake(time.Now())}
			store.clock.Advance(time.Hour)
			var atDelivery time.Duration
			f := &Follower{Store: store, Kind: "k", Clock: store.clock, WatchWait: wait, Log: hclog.NewNullLogger(), Replace: func([]objectstore.Object) {}}
			f.Apply = func([]objectstore.Event) { atDelivery = f.CompleteUntil() }
			if c.watch {
				assert.NilError(t, f.list(t.Context()))
				store.clock.Advance(time.Minute)
			}
			before := f.SyncState().AsOf
			startedAt := store.clock.Elapsed()
			store.takes, store.events, store.err = c.takes, c.events, c.err
			if c.watch {
				assert.Equal(t, f.watch(t.Context(), 1), c.err)
			} else {
				assert.NilError(t, f.list(t.Context()))
			}
			assert.Equal(t, f.SyncState().AsOf, startedAt+c.want)
			if len(c.events) > 0 {
				assert.Equal(t, atDelivery, before, "the change may have been made at any time since then")
			}
		})
	}
}

// After the store dropped its history, a follower needs a full list. One of another instance
// that is older than the view must not replace it: targets that were removed since, also
// without saying that they leave, came back.
func TestListAfterLostHistoryDoesNotGoBack(t *testing.T) {
	var view []string
	f := &Follower{Kind: "k", Log: hclog.NewNullLogger(), Apply: func([]objectstore.Event) {}}
	f.Replace = func(objects []objectstore.Object) {
		view = nil
		for _, o := range objects {
			view = append(view, o.Name)
		}
	}
	list := func(revision uint64, names ...string) Changes {
		c := Changes{IsFullList: true, SyncState: SyncState{IsSynced: true, Revision: revision}}
		for _, name := range names {
			c.Objects = append(c.Objects, objectstore.Object{Name: name, Version: 1})
		}
		return c
	}
	f.Merge(list(10, "a"))
	f.requireList()
	f.Merge(list(5, "a", "gone"))
	assert.DeepEqual(t, view, []string{"a"})
	assert.Assert(t, !f.SyncState().IsSynced, "an older list ends the need for one")
	f.Merge(list(12, "b"))
	assert.DeepEqual(t, view, []string{"b"})
	assert.Assert(t, f.SyncState().IsSynced)
}

// listsInOrder returns one list after the other.
type listsInOrder struct {
	objectstore.Store
	revisions    []uint64
	beforeReturn func()
}

func (s *listsInOrder) List(context.Context, string) ([]objectstore.Object, uint64, error) {
	revision := s.revisions[0]
	s.revisions = s.revisions[1:]
	if s.beforeReturn != nil {
		s.beforeReturn()
	}
	return []objectstore.Object{{Name: "gone", Version: 1}}, revision, nil
}

// The same for a list of the store that was delayed while another instance sent a newer one.
// A list that was not overtaken is in force, also if the store was restored to an earlier
// revision: otherwise the follower would list for ever.
func TestOnlyOvertakenListsOfTheStoreAreIgnored(t *testing.T) {
	var view []objectstore.Object
	store := &listsInOrder{revisions: []uint64{5, 5}}
	f := &Follower{Kind: "k", Store: store, Log: hclog.NewNullLogger(), Replace: func(objects []objectstore.Object) { view = objects }, Apply: func([]objectstore.Event) {}}
	f.Merge(Changes{IsFullList: true, SyncState: SyncState{IsSynced: true, Revision: 8}})
	f.requireList()
	store.beforeReturn = func() {
		f.Merge(Changes{IsFullList: true, SyncState: SyncState{IsSynced: true, Revision: 10}})
		f.requireList()
	}
	assert.NilError(t, f.list(t.Context()))
	assert.Equal(t, len(view), 0, "a list that was overtaken is in force")
	store.beforeReturn = nil
	assert.NilError(t, f.list(t.Context()))
	assert.Equal(t, len(view), 1)
	assert.DeepEqual(t, f.SyncState(), SyncState{IsSynced: true, Revision: 5})
}
