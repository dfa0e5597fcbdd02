// Package follow keeps a view of all objects of one kind in the object store,
// by a list and then by changes, which come from watches or from other
// instances.
package follow

import (
	"context"
	"maps"
	"slices"
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
	// quickRetries is the number of calls that follow a failed one without regard
	// to whether the store is lost.
	quickRetries = 2
	// lostWait is the longest wait after a failed call while the store is lost
	// and no other call of this process has succeeded. Source: one loop that
	// looks for the store suffices.
	lostWait = 3 * time.Second
	// maxRemembered is the number of changes that are kept for other instances.
	// One that misses more gets the whole list.
	maxRemembered = 1000
	// coveredLook is the longest time between looks whether other instances
	// still pass on the changes.
	coveredLook = 300 * time.Millisecond
)

// Follower passes the objects of a kind to a controller.
type Follower struct {
	Store objectstore.Store
	Kind  string
	// Replace gets the whole list, Apply later changes. A change may come more
	// than once.
	Replace func([]objectstore.Object)
	Apply   func([]objectstore.Event)
	// WatchPause returns the time between a watch that brought changes and the next
	// one; nil means none. Changes gather meanwhile, so that the calls of a fleet
	// do not grow with its changes.
	WatchPause func() time.Duration
	// FedByPeer reports whether other instances pass on the changes, so that none
	// need be read from the store while the view is not older than MaxAge; nil
	// means never.
	FedByPeer  func() bool
	MaxViewAge time.Duration
	// OnChange is called after each change of the view; nil means no call.
	OnChange    func()
	Clock       clock.Clock
	StoreHealth *StoreHealth
	Log         hclog.Logger

	mu      sync.Mutex
	objects map[string]objectstore.Object
	recent  []change
	after   uint64 // the recent changes are all that came after this revision
	view    SyncState
}

// SyncState says how far a view goes.
type SyncState struct {
	IsSynced bool
	Revision uint64        // of the store; all changes up to it are known
	AsOf     time.Duration // boot time at which the store last answered with it
}

// change is a change and the revision up to which it was read.
type change struct {
	event objectstore.Event
	upTo  uint64
}

// Changes is what changed in a view.
type Changes struct {
	IsFullList bool // Objects is the whole list, and there are no events
	Objects    []objectstore.Object
	Events     []objectstore.Event
	SyncState  SyncState
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wait, failed := retryMin, 0
	for ctx.Err() == nil {
		if left := f.coveredFor(); left > 0 {
			clock.Sleep(ctx, min(left, coveredLook))
			continue
		}
		var err error
		if view := f.SyncState(); view.IsSynced {
			err = f.watch(ctx, view.Revision)
		} else {
			err = f.list(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			f.StoreHealth.RecordSuccess()
			wait, failed = retryMin, 0
			continue
		}
		if objectstore.IsKind(err, objectstore.KindCompacted) {
			f.Log.Info("history of the store is gone; listing again", "kind", f.Kind, "revision", f.SyncState().Revision)
			f.forget()
			continue
		}
		f.StoreHealth.RecordFailure(err)
		// One connection that went silent is no loss: the next call has another.
		if failed++; failed <= quickRetries {
			clock.Sleep(ctx, clock.Jitter(wait))
		} else {
			f.StoreHealth.await(ctx, clock.Jitter(wait), clock.Jitter(lostWait))
		}
		wait = min(2*wait, retryMax)
	}
}

// coveredFor returns how long nothing need be read from the store.
func (f *Follower) coveredFor() time.Duration {
	view := f.SyncState()
	if f.FedByPeer == nil || !view.IsSynced || !f.FedByPeer() {
		return 0
	}
	return f.MaxViewAge - (f.Clock.Elapsed() - view.AsOf)
}

// SyncState returns how far the view goes.
func (f *Follower) SyncState() SyncState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

// ChangesSince returns what changed after a revision.
func (f *Follower) ChangesSince(revision uint64) Changes {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := Changes{SyncState: f.view}
	switch {
	case !f.view.IsSynced:
	case revision < f.after || revision == 0:
		out.IsFullList, out.Objects = true, slices.Collect(maps.Values(f.objects))
	default:
		for _, c := range f.recent {
			if c.upTo > revision {
				out.Events = append(out.Events, c.event)
			}
		}
	}
	return out
}

// Merge takes in what another instance knows.
func (f *Follower) Merge(c Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !c.SyncState.IsSynced:
		return
	case c.IsFullList:
		if !f.view.IsSynced || c.SyncState.Revision > f.view.Revision {
			f.replace(c.Objects, c.SyncState.Revision)
		}
	case f.view.IsSynced:
		f.apply(c.Events, c.SyncState.Revision)
	}
	f.view.AsOf = max(f.view.AsOf, c.SyncState.AsOf)
}

// forget makes the next round list again.
func (f *Follower) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.IsSynced = false
}

func (f *Follower) list(ctx context.Context) error {
	objects, revision, err := f.Store.List(ctx, f.Kind)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replace(objects, revision)
	f.view.AsOf = f.now()
	return nil
}

func (f *Follower) watch(ctx context.Context, after uint64) error {
	events, revision, err := f.Store.Watch(ctx, f.Kind, after)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.apply(events, revision)
	f.view.AsOf = f.now()
	f.mu.Unlock()
	if len(events) > 0 && f.WatchPause != nil {
		clock.Sleep(ctx, f.WatchPause())
	}
	return nil
}

func (f *Follower) now() time.Duration {
	if f.Clock == nil {
		return 0
	}
	return f.Clock.Elapsed()
}

// replace takes in the whole list. It runs under mu.
func (f *Follower) replace(objects []objectstore.Object, revision uint64) {
	f.objects = make(map[string]objectstore.Object, len(objects))
	for _, o := range objects {
		f.objects[o.Name] = o
	}
	f.recent, f.after = nil, revision
	f.view.IsSynced, f.view.Revision = true, revision
	f.Replace(objects)
	f.tell()
}

// apply takes in changes up to a revision. It runs under mu.
func (f *Follower) apply(events []objectstore.Event, revision uint64) {
	revision = max(revision, f.view.Revision)
	fresh := make([]objectstore.Event, 0, len(events))
	for _, e := range events {
		known, ok := f.objects[e.Object.Name]
		switch {
		case ok && known.Version > e.Object.Version:
			continue // it came before, from another instance
		case e.Deleted:
			delete(f.objects, e.Object.Name)
		default:
			f.objects[e.Object.Name] = e.Object
		}
		f.recent = append(f.recent, change{e, revision})
		fresh = append(fresh, e)
	}
	for len(f.recent) > maxRemembered {
		f.after = max(f.after, f.recent[0].upTo)
		f.recent = f.recent[1:]
	}
	f.view.Revision = revision
	if len(fresh) > 0 {
		f.Apply(fresh)
		f.tell()
	}
}

func (f *Follower) tell() {
	if f.OnChange != nil {
		f.OnChange()
	}
}

// StoreHealth is what this process believes of its way to the store.
type StoreHealth struct {
	Clock clock.Clock
	Log   hclog.Logger

	mu       sync.Mutex
	lost     bool
	lastOK   time.Duration
	regained time.Duration // when calls succeeded again after a loss
	passed   time.Duration // when another instance last passed on what it reads
	back     chan struct{} // closed when that happens; nil while nobody waits
}

// lostAfter is how long calls must fail before the store counts as lost.
// Source: a slow store answers within a quarter of it.
const lostAfter = 700 * time.Millisecond

// RecordSuccess notes a call that succeeded.
func (l *StoreHealth) RecordSuccess() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	if l.lost {
		l.lost = false
		l.regained = now
		l.Log.Info("store reached again", "lost_for", now-l.lastOK)
		if l.back != nil {
			close(l.back)
			l.back = nil
		}
	}
	l.lastOK = now
}

// RecordFailure notes a call that failed.
func (l *StoreHealth) RecordFailure(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	if !l.lost && now-l.lastOK > lostAfter {
		l.lost = true
		l.Log.Warn("store lost", "last_answer", now-l.lastOK, "cause", err)
	}
}

// await waits for some time, or, while the store is lost, until a call succeeds
// or the longer time is over.
func (l *StoreHealth) await(ctx context.Context, wait, lostWait time.Duration) {
	l.mu.Lock()
	lost := l.lost
	if lost && l.back == nil {
		l.back = make(chan struct{})
	}
	back := l.back
	l.mu.Unlock()
	if !lost {
		clock.Sleep(ctx, wait)
		return
	}
	select {
	case <-back:
	case <-ctx.Done():
	case <-time.After(lostWait):
	}
}

// IsLost reports whether calls have failed for some time.
func (l *StoreHealth) IsLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// passedFor is how long what another instance passed on stands for calls of this
// one. Source: a few of its answers.
const passedFor = 2 * time.Second

// RecordPeerUpdate notes that another instance, which reaches the store, passed on what
// it reads. It ends a loss as an own call does, as far as the objects go.
func (l *StoreHealth) RecordPeerUpdate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	if l.lost && !l.covered(now) {
		l.regained = now
	}
	l.passed = now
}

// covered reports whether another instance passes on the objects. It runs under mu.
func (l *StoreHealth) covered(now time.Duration) bool {
	return l.passed > 0 && now-l.passed < passedFor
}

// UnavailableWithin reports whether the objects of the store are out of reach or came
// back less than d ago.
func (l *StoreHealth) UnavailableWithin(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	return l.lost && !l.covered(now) || l.regained > 0 && now-l.regained < d
}

// RecordPeerRecovery notes that the store was away for another instance until the
// given time ago.
func (l *StoreHealth) RecordPeerRecovery(ago time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.regained = max(l.regained, l.Clock.Elapsed()-ago)
}

// LastRecovery returns how long ago the store came back, and whether it was ever
// away or still is.
func (l *StoreHealth) LastRecovery() (ago time.Duration, away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		return 0, true
	}
	return l.Clock.Elapsed() - l.regained, l.regained > 0
}
