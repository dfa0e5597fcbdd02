package follow

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// moment is the state of a store at a revision.
type moment struct {
	revision uint64
	objects  map[string]objectstore.Object
}

// eraStore is a store whose answers a test may delay: it answers from any moment of its
// history, and a restore cuts the history short.
type eraStore struct {
	objectstore.Store
	moments []moment
	events  []objectstore.Event // of the present era's history
	// answerFrom replaces the present as the moment from which lists are answered.
	answerFrom *moment
}

func newEraStore() *eraStore {
	return &eraStore{moments: []moment{{revision: objectstore.Revision(1, 1), objects: map[string]objectstore.Object{}}}}
}

func (s *eraStore) now() moment { return s.moments[len(s.moments)-1] }

func (s *eraStore) change(name, value string) {
	last := s.now()
	next := moment{revision: last.revision + 1, objects: maps.Clone(last.objects)}
	o := objectstore.Object{Kind: "things", Name: name, Version: next.revision, Value: []byte(value)}
	event := objectstore.Event{Object: o, Deleted: value == "", Revision: next.revision}
	if event.Deleted {
		if _, ok := last.objects[name]; !ok {
			return
		}
		delete(next.objects, name)
	} else {
		next.objects[name] = o
	}
	s.moments, s.events = append(s.moments, next), append(s.events, event)
}

// restore goes back by a number of changes and begins the next era.
func (s *eraStore) restore(back int) {
	era := objectstore.Era(s.now().revision) + 1
	kept := s.moments[max(0, len(s.moments)-1-back)]
	next := moment{revision: objectstore.Revision(era, objectstore.Number(kept.revision)), objects: make(map[string]objectstore.Object)}
	for name, o := range kept.objects {
		o.Version = objectstore.Revision(era, objectstore.Number(o.Version))
		next.objects[name] = o
	}
	s.moments, s.events = []moment{next}, nil
}

func (s *eraStore) List(context.Context, string) ([]objectstore.Object, uint64, error) {
	m := s.now()
	if s.answerFrom != nil {
		m, s.answerFrom = *s.answerFrom, nil
	}
	return slices.Collect(maps.Values(m.objects)), m.revision, nil
}

func (s *eraStore) Watch(_ context.Context, _ string, after uint64) ([]objectstore.Event, uint64, error) {
	now := s.now().revision
	if objectstore.Era(after) != objectstore.Era(now) || after > now || after < s.moments[0].revision {
		return nil, 0, &objectstore.Error{Kind: objectstore.KindCompacted, Era: objectstore.Era(now), Cause: errEarlierEra}
	}
	var events []objectstore.Event
	for _, e := range s.events {
		if e.Revision > after {
			events = append(events, e)
		}
	}
	return events, now, nil
}

// eraView is a follower with what it has delivered.
type eraView struct {
	*Follower
	delivered map[string]string
}

func newEraView(store objectstore.Store) *eraView {
	v := &eraView{delivered: make(map[string]string)}
	c := clock.NewFake(time.Now())
	v.Follower = &Follower{Store: store, Kind: "things", Clock: c, Log: hclog.NewNullLogger(), StoreHealth: &StoreHealth{Clock: c, Log: hclog.NewNullLogger()}}
	v.Replace = func(objects []objectstore.Object) {
		clear(v.delivered)
		for _, o := range objects {
			v.delivered[o.Name] = string(o.Value)
		}
	}
	v.Apply = func(events []objectstore.Event) {
		for _, e := range events {
			if delete(v.delivered, e.Object.Name); !e.Deleted {
				v.delivered[e.Object.Name] = string(e.Object.Value)
			}
		}
	}
	return v
}

// step makes the call to the store that Run would make.
func (v *eraView) step(ctx context.Context) {
	state := v.SyncState()
	if !state.IsSynced {
		_ = v.list(ctx) // a refused answer is tried again by the next step
		return
	}
	if err := v.watch(ctx, state.Revision); objectstore.IsKind(err, objectstore.KindCompacted) {
		v.requireList()
		v.learnEra(objectstore.EraOf(err))
	}
}

func (v *eraView) matches(m moment) error {
	if len(v.delivered) != len(m.objects) {
		return fmt.Errorf("%d objects, not %d", len(v.delivered), len(m.objects))
	}
	for name, o := range m.objects {
		if v.delivered[name] != string(o.Value) {
			return fmt.Errorf("%s is %q, not %q", name, v.delivered[name], o.Value)
		}
	}
	return nil
}

// Whatever lists and changes arrive late, from the store or from instances that do not know
// of a restore yet, no view goes back in (era, revision), and each catches up with the store
// and with a view that has. A view that held a revision of the lost time skipped the changes
// that got it again, for ever.
func TestViewsNeverGoBackAndCatchUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		store := newEraStore()
		views := []*eraView{newEraView(store), newEraView(store), newEraView(store)}
		reached := make([]uint64, len(views))
		var late []struct {
			to      int // who asked
			changes Changes
		}
		var past []moment
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		index := rapid.IntRange(0, len(views)-1)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				store.change(names.Draw(t, "name"), rapid.SampledFrom([]string{"", "1", "2", "3"}).Draw(t, "value"))
				past = append(past, store.now())
			},
			"restore": func(t *rapid.T) { store.restore(rapid.IntRange(0, 4).Draw(t, "back")) },
			"read":    func(t *rapid.T) { views[index.Draw(t, "view")].step(ctx) },
			"late list": func(t *rapid.T) {
				if len(past) == 0 {
					t.Skip()
				}
				m := rapid.SampledFrom(past).Draw(t, "moment")
				v := views[index.Draw(t, "view")]
				if m.revision < v.SyncState().Revision && objectstore.Era(m.revision) == objectstore.Era(v.SyncState().Revision) {
					t.Skip() // the store is linearizable within an era
				}
				store.answerFrom = &m
				_ = v.list(ctx)
			},
			"send": func(t *rapid.T) {
				i := index.Draw(t, "to")
				to := views[i].SyncState()
				after := to.Revision
				if !to.IsSynced {
					after = 0
				}
				late = append(late, struct {
					to      int
					changes Changes
				}{i, views[index.Draw(t, "from")].ChangesSince(after)})
			},
			"arrive": func(t *rapid.T) {
				if len(late) == 0 {
					t.Skip()
				}
				answer := late[rapid.IntRange(0, len(late)-1).Draw(t, "answer")]
				views[answer.to].Merge(answer.changes)
			},
			"": func(t *rapid.T) {
				for i, v := range views {
					now := v.SyncState().Revision
					assert.Assert(t, now >= reached[i], "view %d went from %s to %s", i, objectstore.FormatRevision(reached[i]), objectstore.FormatRevision(now))
					reached[i] = now
				}
			},
		})
		for range 3 {
			views[0].step(ctx)
		}
		assert.NilError(t, views[0].matches(store.now()))
		for i, v := range views[1:] {
			for range 2 {
				state := v.SyncState()
				if !state.IsSynced {
					state.Revision = 0
				}
				v.Merge(views[0].ChangesSince(state.Revision))
			}
			assert.NilError(t, v.matches(store.now()), "view %d, fed by view 0", i+1)
		}
	})
}

// overtakenWatch is a store whose watch is answered after a list of another instance came.
type overtakenWatch struct {
	objectstore.Store
	during func()
}

func (s *overtakenWatch) Watch(context.Context, string, uint64) ([]objectstore.Event, uint64, error) {
	s.during()
	o := objectstore.Object{Kind: "things", Name: "undone", Version: objectstore.Revision(1, 9), Value: []byte("1")}
	return []objectstore.Event{{Object: o, Revision: o.Version}}, o.Version, nil
}

// A watch that was answered before a restore can be read after the list of another instance
// has moved the view to the new era. It says nothing about that.
func TestWatchThatARestoreHasOvertaken(t *testing.T) {
	store := &overtakenWatch{}
	v := newEraView(store)
	list := func(era uint64) Changes {
		return Changes{IsFullList: true, SyncState: SyncState{IsSynced: true, Revision: objectstore.Revision(era, 5), AsOf: time.Second}}
	}
	v.Merge(list(1))
	store.during = func() { v.Merge(list(2)) }
	v.Clock.(*clock.Fake).Advance(time.Hour)
	assert.NilError(t, v.watch(t.Context(), v.SyncState().Revision))
	assert.Equal(t, len(v.delivered), 0)
	assert.Equal(t, v.SyncState().AsOf, time.Second)
}

// waitingStore is a store whose watches wait for ever.
type waitingStore struct{ objectstore.Store }

func (waitingStore) Watch(ctx context.Context, _ string, _ uint64) ([]objectstore.Event, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// A reader learns of a restore by another call while a watch waits, for ten seconds at most. Until
// the watch ended it had no list of the new era for the others.
func TestNewEraEndsTheWatch(t *testing.T) {
	v := newEraView(waitingStore{})
	v.Merge(Changes{IsFullList: true, SyncState: SyncState{IsSynced: true, Revision: objectstore.Revision(1, 5)}})
	position := v.SyncState().Revision
	ended := make(chan error, 2)
	go func() { ended <- v.watch(t.Context(), position) }()
	time.Sleep(20 * time.Millisecond)
	v.learnEra(2)
	go func() { ended <- v.watch(t.Context(), position) }()
	for range 2 {
		select {
		case err := <-ended:
			assert.Assert(t, err != nil)
		case <-time.After(5 * time.Second):
			t.Fatal("the watch goes on")
		}
	}
}

// An instance that does not know of the restore proves nothing about the present: with its
// time of completeness, a view would count as complete that nobody reads.
func TestEarlierEraProvesNoCompleteness(t *testing.T) {
	v := newEraView(nil)
	list := func(era uint64, asOf time.Duration) Changes {
		return Changes{IsFullList: true, SyncState: SyncState{IsSynced: true, Revision: objectstore.Revision(era, 9), AsOf: asOf}}
	}
	v.Merge(list(2, time.Second))
	v.Merge(list(1, 9*time.Second))
	v.Merge(Changes{SyncState: list(1, 9*time.Second).SyncState})
	assert.Equal(t, v.SyncState().AsOf, time.Second)
	assert.Equal(t, objectstore.Era(v.SyncState().Revision), uint64(2))
}

// A single change of a new era, such as a configuration that was read to confirm it, does not
// make the view one of that era: it would keep what the restore has undone.
func TestSingleChangeDoesNotEnterAnEra(t *testing.T) {
	store := newEraStore()
	v := newEraView(store)
	store.change("undone", "1")
	v.step(t.Context())
	store.restore(1)
	store.change("main", "1")
	v.Merge(Changes{Events: slices.Clone(store.events), SyncState: SyncState{IsSynced: true, Revision: store.now().revision, AsOf: time.Minute}})
	assert.Assert(t, !v.SyncState().IsSynced)
	assert.Assert(t, v.SyncState().AsOf < time.Minute, "the view counts as complete without a list")
	v.step(t.Context())
	assert.NilError(t, v.matches(store.now()))
}

// When the store returns, instances that others feed must not all list at once: their reader
// sends its list. Without one they list themselves, so that they depend on nobody.
func TestFedInstanceWaitsForTheListOfItsReader(t *testing.T) {
	store := newEraStore()
	v := newEraView(store)
	v.FedByPeer, v.MaxViewAge = func() bool { return true }, time.Minute
	v.step(t.Context())
	assert.Assert(t, v.timeUntilStoreRead() > 0)
	v.learnEra(2)
	left := v.timeUntilStoreRead()
	assert.Assert(t, left >= peerListWait/2 && left <= peerListWait*3/2, "%v", left)
	v.FedByPeer = func() bool { return false }
	assert.Equal(t, v.timeUntilStoreRead(), time.Duration(0))
}
