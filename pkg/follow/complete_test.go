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
