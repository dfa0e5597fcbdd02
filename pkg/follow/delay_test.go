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

// watchStore returns one change to each watch after advancing the clock.
type watchStore struct {
	objectstore.Store
	clock    *clock.Fake
	takes    time.Duration
	fails    bool
	revision uint64
}

func (s *watchStore) List(context.Context, string) ([]objectstore.Object, uint64, error) {
	return nil, s.revision, nil
}

func (s *watchStore) Watch(context.Context, string, uint64) ([]objectstore.Event, uint64, error) {
	s.clock.Advance(s.takes)
	if s.fails {
		return nil, 0, errors.New("connection lost")
	}
	s.revision++
	return []objectstore.Event{{Object: objectstore.Object{Name: "a", Version: s.revision}}}, s.revision, nil
}

// A change that is delivered after an interruption must not pass for a new one: its
// receiver counts deadlines from it.
func TestChangeAfterInterruptionIsNotTakenForNew(t *testing.T) {
	const pause = 6 * time.Second
	for _, c := range []struct {
		name      string
		interrupt func(f *Follower, s *watchStore)
		atLeast   time.Duration
		atMost    time.Duration
	}{
		{"none", func(*Follower, *watchStore) {}, 0, 0},
		{"watch fails after a long silence", func(f *Follower, s *watchStore) {
			s.takes, s.fails = pause, true
			_ = f.watch(context.Background(), s.revision)
			s.takes, s.fails = 0, false
		}, pause, pause + time.Second},
		// The fake boot time advances and the monotonic clock does not, as while
		// a process is suspended.
		{"suspended while a watch waits", func(_ *Follower, s *watchStore) { s.takes = pause }, pause, pause + usualGap},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := &watchStore{clock: clock.NewFake(time.Now()), revision: 1}
			store.clock.Advance(time.Hour)
			var got time.Duration
			f := &Follower{Store: store, Kind: "k", Clock: store.clock, Log: hclog.NewNullLogger(), Replace: func([]objectstore.Object) {}}
			f.Apply = func([]objectstore.Event) { got = f.MaxDelay() }
			assert.NilError(t, f.list(t.Context()))
			c.interrupt(f, store)
			assert.NilError(t, f.watch(t.Context(), store.revision))
			assert.Assert(t, got >= c.atLeast && got <= c.atMost, "%v", got)
		})
	}
	t.Run("no update of another instance for long", func(t *testing.T) {
		fake := clock.NewFake(time.Now())
		fake.Advance(time.Hour)
		var got time.Duration
		f := &Follower{Kind: "k", Clock: fake, Log: hclog.NewNullLogger(), Replace: func([]objectstore.Object) {}}
		f.Apply = func([]objectstore.Event) { got = f.MaxDelay() }
		f.Merge(Changes{IsFullList: true, SyncState: SyncState{IsSynced: true, Revision: 1}})
		fake.Advance(pause)
		f.Merge(Changes{Events: []objectstore.Event{{Object: objectstore.Object{Name: "a", Version: 2}}}, SyncState: SyncState{IsSynced: true, Revision: 2}})
		assert.Equal(t, got, pause)
	})
}
