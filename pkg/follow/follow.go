// Package follow keeps a view of all objects of one kind in the object store,
// by a list and then by watches.
package follow

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

const (
	// retryMin and retryMax bound the wait after a failed call. Source: each
	// call has a price, and the store is expected back within seconds.
	retryMin = 100 * time.Millisecond
	retryMax = time.Second
)

// Follower passes the objects of a kind to a controller.
type Follower struct {
	Store objectstore.Store
	Kind  string
	// Replace gets the whole list, Apply each later change.
	Replace func([]objectstore.Object)
	Apply   func(objectstore.Event)
	// Pause returns the time between a watch that brought changes and the next
	// one; nil means none. Changes gather meanwhile, so that the calls of a fleet
	// do not grow with its changes.
	Pause func() time.Duration
	Link  *Link
	Log   hclog.Logger
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var revision uint64
	listed := false
	wait := retryMin
	for ctx.Err() == nil {
		var err error
		if listed {
			revision, err = f.watch(ctx, revision)
		} else {
			revision, err = f.list(ctx)
			listed = err == nil
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			f.Link.OK()
			wait = retryMin
			continue
		}
		if objectstore.IsKind(err, objectstore.KindCompacted) {
			f.Log.Info("history of the store is gone; listing again", "kind", f.Kind, "revision", revision)
			listed = false
			continue
		}
		f.Link.Failed(err)
		clock.Sleep(ctx, clock.Jitter(wait))
		wait = min(2*wait, retryMax)
	}
}

func (f *Follower) list(ctx context.Context) (uint64, error) {
	objects, revision, err := f.Store.List(ctx, f.Kind)
	if err != nil {
		return 0, err
	}
	f.Replace(objects)
	return revision, nil
}

func (f *Follower) watch(ctx context.Context, after uint64) (uint64, error) {
	events, revision, err := f.Store.Watch(ctx, f.Kind, after)
	if err != nil {
		return after, err
	}
	for _, e := range events {
		f.Apply(e)
	}
	if len(events) > 0 && f.Pause != nil {
		clock.Sleep(ctx, f.Pause())
	}
	return max(after, revision), nil
}

// Link is what this process believes of its way to the store.
type Link struct {
	Clock clock.Clock
	Log   hclog.Logger

	mu       sync.Mutex
	lost     bool
	lastOK   time.Duration
	regained time.Duration // when calls succeeded again after a loss
}

// lostAfter is how long calls must fail before the store counts as lost.
// Source: a slow store answers within a quarter of it.
const lostAfter = 700 * time.Millisecond

// OK notes a call that succeeded.
func (l *Link) OK() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	if l.lost {
		l.lost = false
		l.regained = now
		l.Log.Info("store reached again", "lost_for", now-l.lastOK)
	}
	l.lastOK = now
}

// Failed notes a call that failed.
func (l *Link) Failed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	if !l.lost && now-l.lastOK > lostAfter {
		l.lost = true
		l.Log.Warn("store lost", "last_answer", now-l.lastOK, "cause", err)
	}
}

// Unsettled reports whether the store is lost or came back less than d ago.
func (l *Link) Unsettled(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost || l.regained > 0 && l.Clock.Elapsed()-l.regained < d
}
