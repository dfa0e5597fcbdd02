// Package follow keeps an in-memory view of all objects of one kind in the
// object store. The view starts with a list; later changes come from watches or
// from other instances.
package follow

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

const (
	// retryMin and retryMax bound the backoff after a failed call. Each call
	// has a price, and the store usually recovers within seconds.
	retryMin = 100 * time.Millisecond
	retryMax = time.Second
	// quickRetries is the number of consecutive failed calls that are retried
	// after the backoff even if the store counts as lost.
	quickRetries = 2
	// lostRetryMax is the longest wait after a failed call while the store is
	// lost. It is longer than the backoff because a successful call of any
	// other loop of this process ends the wait.
	lostRetryMax = 3 * time.Second
	// probeInterval is the longest time between two calls to the store while it is
	// lost. An instance counts as in touch with the store three seconds after its path
	// is back at the earliest.
	probeInterval = 1500 * time.Millisecond
	// maxRecentChanges is the number of changes kept for other instances. An
	// instance that has missed more gets the full list.
	maxRecentChanges = 1000
	// peerCheckInterval is the longest time between checks whether other
	// instances still send the changes to this one.
	peerCheckInterval = 300 * time.Millisecond
	// peerListWait is the mean of the random time for which an instance that others feed
	// waits for their list of a new era before it reads its own, so that a restore of the
	// store does not make all instances list at once. A reader sends it within a poll.
	peerListWait = 800 * time.Millisecond
)

// Follower keeps a view of the objects of one kind and passes them to
// callbacks. Run may be called once; the other methods may be called
// concurrently.
type Follower struct {
	Store objectstore.Store
	Kind  string
	// Replace receives the full list, Apply later changes. A change may be
	// delivered more than once. Both run under the lock of the follower and
	// must not call its methods.
	Replace func([]objectstore.Object)
	Apply   func([]objectstore.Event)
	// WatchPause returns the time to wait after a watch that returned changes.
	// Changes accumulate in that time, so that the number of calls to the store
	// does not grow with the number of changes. Nil means no wait.
	WatchPause func() time.Duration
	// FedByPeer reports whether other instances send the changes to this one.
	// While it does and the view is not older than MaxViewAge, the follower
	// does not call the store. Nil means that it always calls the store.
	FedByPeer  func() bool
	MaxViewAge time.Duration
	// WatchWait is how long the store holds a watch without changes; zero if that
	// is not known.
	WatchWait time.Duration
	// OnChange is called after each change of the view, under the lock of the
	// follower. Nil means no call.
	OnChange    func()
	Clock       clock.Clock
	StoreHealth *StoreHealth
	Log         hclog.Logger

	mu          sync.Mutex
	objects     map[string]objectstore.Object
	recent      []change
	recentAfter uint64 // recent holds all changes after this revision
	syncState   SyncState
	newestEra   uint64 // of the store, as known from it or from another instance
	// listNotBefore is when this instance lists the objects of a new era itself if others
	// feed it.
	listNotBefore time.Duration
	endWatch      context.CancelFunc // ends the watch that waits; nil before the first
}

// SyncState tells how current a view is.
type SyncState struct {
	IsSynced bool   // the view holds a full list
	Revision uint64 // of the store; the view includes all changes up to it
	// AsOf is the time since boot up to which the view is known to be complete. It
	// counts from the start of calls and from the waits that the store keeps, not
	// from when a response was read: the process may have been stopped meanwhile.
	AsOf time.Duration
	// From is the address of the instance that proved AsOf; empty after a call to the
	// store of this instance.
	From string
}

// change is an event and the revision of the store at which it was read.
type change struct {
	event        objectstore.Event
	readRevision uint64
}

// Changes is the difference between a view and an older revision of it.
type Changes struct {
	IsFullList bool // Objects is the full list, and Events is empty
	Objects    []objectstore.Object
	Events     []objectstore.Event
	SyncState  SyncState
}

// Run lists and watches the objects, and retries failed calls, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wait, failed := retryMin, 0
	for ctx.Err() == nil {
		if left := f.timeUntilStoreRead(); left > 0 {
			clock.Sleep(ctx, min(left, peerCheckInterval))
			continue
		}
		var err error
		state := f.SyncState()
		watched := state.IsSynced
		if watched {
			err = f.watch(f.watchContext(ctx), state.Revision)
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
			f.Log.Info("the store no longer has the changes after this revision; listing all objects again", "kind", f.Kind, "revision", objectstore.FormatRevision(f.SyncState().Revision))
			f.requireList()
			f.learnEra(objectstore.EraOf(err))
			continue
		}
		// A single failed call does not mean that the store is lost: the next one
		// opens a new connection. A watch that fails says nothing about the time in
		// which it waited; the store may drop it with its history.
		if failed++; failed > 1 || !watched {
			f.StoreHealth.RecordFailure(err)
		}
		if failed <= quickRetries {
			clock.Sleep(ctx, clock.Jitter(wait))
		} else {
			f.StoreHealth.waitForRetry(ctx, clock.Jitter(wait), lostRetryWait())
		}
		wait = min(2*wait, retryMax)
	}
}

// lostRetryWait returns the wait after a failed call while the store is lost, at random
// from a third of lostRetryMax up to it.
func lostRetryWait() time.Duration { return clock.Jitter(2 * lostRetryMax / 3) }

// timeUntilStoreRead returns how long the view stays recent enough without a
// call to the store. It is zero or negative if the store must be called now.
func (f *Follower) timeUntilStoreRead() time.Duration {
	if f.FedByPeer == nil || !f.FedByPeer() {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.syncState.IsSynced {
		return f.listNotBefore - f.now()
	}
	return f.MaxViewAge - (f.now() - f.syncState.AsOf)
}

// watchContext returns the context of the next watch. If other instances send the changes,
// it is made because the view is old, and must not wait for a change.
func (f *Follower) watchContext(ctx context.Context) context.Context {
	if f.FedByPeer != nil && f.FedByPeer() {
		return objectstore.WithoutWait(ctx)
	}
	return ctx
}

// CompleteUntil returns the time since boot up to which the view is known to be
// complete without the changes that are being delivered; zero before the first
// list. It may be called by Replace and Apply only.
func (f *Follower) CompleteUntil() time.Duration { return f.syncState.AsOf }

// SyncState returns the current state of the view.
func (f *Follower) SyncState() SyncState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncState
}

// ChangesSince returns the changes after a revision of the store. It returns
// the full list if revision is zero or older than the changes that are kept.
func (f *Follower) ChangesSince(revision uint64) Changes {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := Changes{SyncState: f.syncState}
	switch {
	case !f.syncState.IsSynced:
	case revision < f.recentAfter || revision == 0:
		out.IsFullList, out.Objects = true, slices.Collect(maps.Values(f.objects))
	default:
		for _, c := range f.recent {
			if c.readRevision > revision {
				out.Events = append(out.Events, c.event)
			}
		}
	}
	return out
}

// Merge applies changes that another instance sent. Changes without a full list
// are ignored until this follower has one. What is of an earlier era than the newest known
// one proves nothing, and a view enters a new era by a full list only: single changes leave
// out what the restore has undone.
func (f *Follower) Merge(c Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.SyncState.IsSynced || objectstore.Era(c.SyncState.Revision) < f.newestEra {
		return
	}
	f.recordEra(objectstore.Era(c.SyncState.Revision))
	switch {
	case !c.IsFullList && objectstore.Era(f.syncState.Revision) < f.newestEra:
		return
	case c.IsFullList:
		// After requireList the view still has all changes up to its revision.
		if c.SyncState.Revision > f.syncState.Revision || !f.syncState.IsSynced && c.SyncState.Revision == f.syncState.Revision {
			f.replace(c.Objects, c.SyncState.Revision, c.SyncState.From)
		}
	case f.syncState.IsSynced:
		f.apply(c.Events, c.SyncState.Revision)
	}
	f.recordComplete(c.SyncState.AsOf, c.SyncState.From)
}

// recordComplete records that the view is complete up to a time since boot, as proven by
// an instance or, with an empty address, by the store. The caller holds mu.
func (f *Follower) recordComplete(asOf time.Duration, from string) {
	if asOf > f.syncState.AsOf {
		f.syncState.AsOf, f.syncState.From = asOf, from
	}
}

// requireList makes the next call to the store a list.
func (f *Follower) requireList() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncState.IsSynced = false
}

// learnEra is recordEra for callers that do not hold mu.
func (f *Follower) learnEra(era uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordEra(era)
}

// recordEra records an era of the store. If it is newer than the view, the view needs a
// list. The caller holds mu.
func (f *Follower) recordEra(era uint64) {
	if f.StoreHealth != nil {
		f.StoreHealth.RecordEra(era)
	}
	if era <= f.newestEra {
		return
	}
	f.newestEra = era
	if f.syncState.Revision > 0 {
		f.syncState.IsSynced = false
		f.listNotBefore = f.now() + clock.Jitter(peerListWait)
		if f.endWatch != nil {
			f.endWatch() // it may wait for long, for changes of another history
		}
	}
}

func (f *Follower) list(ctx context.Context) error {
	startedAt, before := f.now(), f.SyncState().Revision
	objects, revision, err := f.Store.List(ctx, f.Kind)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if objectstore.Era(revision) < f.newestEra {
		return &objectstore.Error{Kind: objectstore.KindUnavailable, Call: "list " + f.Kind, Era: f.newestEra, Cause: errEarlierEra}
	}
	f.recordEra(objectstore.Era(revision))
	// Another instance may have sent a newer list since the call began. Otherwise the
	// answer of the store holds, also after it was restored to an earlier revision.
	if revision >= f.syncState.Revision || f.syncState.Revision == before {
		f.replace(objects, revision, "")
	}
	f.recordComplete(startedAt, "")
	return nil
}

func (f *Follower) watch(ctx context.Context, after uint64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	if f.endWatch = cancel; objectstore.Era(after) < f.newestEra {
		cancel()
	}
	f.mu.Unlock()
	startedAt := f.now()
	events, revision, err := f.Store.Watch(ctx, f.Kind, after)
	if err != nil {
		return err
	}
	completeUntil := startedAt
	if len(events) == 0 && f.now()-startedAt >= f.WatchWait {
		completeUntil += f.WatchWait
	}
	f.mu.Lock()
	f.recordEra(objectstore.Era(revision))
	if objectstore.Era(revision) == objectstore.Era(f.syncState.Revision) {
		f.apply(events, revision)
		f.recordComplete(completeUntil, "")
	}
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

// replace sets the view to a full list that an instance sent or, with an empty address,
// the store. The caller holds mu.
func (f *Follower) replace(objects []objectstore.Object, revision uint64, from string) {
	before := f.objects
	f.objects = make(map[string]objectstore.Object, len(objects))
	for _, o := range objects {
		f.objects[o.Name] = o
	}
	f.Log.Info("full list of objects", "kind", f.Kind, "objects", len(objects), "dropped", countMissing(before, f.objects),
		"revision", objectstore.FormatRevision(revision), "revision_before", objectstore.FormatRevision(f.syncState.Revision), "from", from)
	f.recent, f.recentAfter = nil, revision
	f.syncState.IsSynced, f.syncState.Revision = true, revision
	f.Replace(objects)
	f.notifyChanged()
}

// countMissing returns how many objects are missing in a later view.
func countMissing(before, now map[string]objectstore.Object) int {
	missing := 0
	for name := range before {
		if _, ok := now[name]; !ok {
			missing++
		}
	}
	return missing
}

// apply adds changes up to a revision to the view. Those that the view has passed are left
// out: a response that was delayed must not bring back an object that was deleted since. The
// caller holds mu.
func (f *Follower) apply(events []objectstore.Event, revision uint64) {
	revision = max(revision, f.syncState.Revision)
	applied := make([]objectstore.Event, 0, len(events))
	for _, e := range events {
		known, ok := f.objects[e.Object.Name]
		switch {
		case ok && known.Version > e.Object.Version:
			continue // a newer version has come from another instance
		case !ok && !e.Deleted && e.Object.Version <= f.syncState.Revision:
			continue // deleted since
		case e.Deleted:
			delete(f.objects, e.Object.Name)
		default:
			f.objects[e.Object.Name] = e.Object
		}
		f.recent = append(f.recent, change{e, revision})
		applied = append(applied, e)
	}
	for len(f.recent) > maxRecentChanges {
		f.recentAfter = max(f.recentAfter, f.recent[0].readRevision)
		f.recent = f.recent[1:]
	}
	f.syncState.Revision = revision
	if len(applied) > 0 {
		f.Apply(applied)
		f.notifyChanged()
	}
}

func (f *Follower) notifyChanged() {
	if f.OnChange != nil {
		f.OnChange()
	}
}

// errEarlierEra means that the store answered from before a restore that is known already.
var errEarlierEra = errors.New("the answer is of an earlier era of the store")

// StoreHealth tracks whether this process reaches the object store, by its own
// calls or through other instances, and the era of the store. Its methods may be called
// concurrently.
type StoreHealth struct {
	Clock clock.Clock
	Log   hclog.Logger
	// OnNewEra is called when the store is found restored; nil means no call. It must not
	// block.
	OnNewEra func()

	mu          sync.Mutex
	lost        bool
	lastSuccess time.Duration
	recoveredAt time.Duration   // when the store was back after an outage, as seen here or by a peer
	contacts    []time.Duration // when the store is known to have answered this or another instance, in order
	recovered   chan struct{}   // closed when the store is reached again; nil while nobody waits
	lastFailure time.Duration   // of a call of this process
	loss        chan struct{}   // wakes Probe; nil while it does not run
	eras        eraHistory
}

// lossThreshold is how long calls must fail before the store counts as lost. A
// slow store answers within a quarter of it.
const lossThreshold = 700 * time.Millisecond

// RecordSuccess records a successful call to the store.
func (h *StoreHealth) RecordSuccess() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Elapsed()
	if h.lost {
		h.lost = false
		h.recordRecovery(now)
		h.Log.Info("store reached again", "lost_for", now-h.lastSuccess, "outage_ended", now-h.recoveredAt)
		if h.recovered != nil {
			close(h.recovered)
			h.recovered = nil
		}
	}
	h.lastSuccess = now
	h.addContact(now)
}

// RecordFailure records a failed call to the store.
func (h *StoreHealth) RecordFailure(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Elapsed()
	h.lastFailure = now
	if !h.lost && now-h.lastSuccess > lossThreshold {
		h.lost = true
		h.Log.Warn("store lost", "last_answer", now-h.lastSuccess, "cause", err)
		select {
		case h.loss <- struct{}{}:
		default:
		}
	}
}

// Probe calls the store while it counts as lost and no other call of this process fails
// meanwhile, until ctx ends: nothing else may call it while other instances send the
// changes. probe records its outcome with RecordSuccess or RecordFailure.
func (h *StoreHealth) Probe(ctx context.Context, probe func(context.Context)) {
	h.mu.Lock()
	h.loss = make(chan struct{}, 1)
	lost := h.lost
	h.mu.Unlock()
	for ctx.Err() == nil {
		if !lost {
			select {
			case <-ctx.Done():
				return
			case <-h.loss:
			}
		}
		clock.Sleep(ctx, probeInterval*3/4+rand.N(probeInterval/4))
		h.mu.Lock()
		lost = h.lost
		due := lost && h.Clock.Elapsed()-h.lastFailure >= probeInterval/2
		h.mu.Unlock()
		if due {
			probe(ctx)
			lost = h.IsLost()
		}
	}
}

// waitForRetry waits for wait or, while the store is lost, until a call
// succeeds or lostWait has passed.
func (h *StoreHealth) waitForRetry(ctx context.Context, wait, lostWait time.Duration) {
	h.mu.Lock()
	lost := h.lost
	if lost && h.recovered == nil {
		h.recovered = make(chan struct{})
	}
	recovered := h.recovered
	h.mu.Unlock()
	if !lost {
		clock.Sleep(ctx, wait)
		return
	}
	select {
	case <-recovered:
	case <-ctx.Done():
	case <-time.After(lostWait):
	}
}

// Evidence returns what is known about the store as keys and values of a log line:
// whether the calls of this process fail, and the times since the store is known to have
// answered any instance and since an outage ended. Times before the first such event
// count since boot.
func (h *StoreHealth) Evidence() []any {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, answered := h.Clock.Elapsed(), time.Duration(0)
	if n := len(h.contacts); n > 0 {
		answered = h.contacts[n-1]
	}
	return []any{"calls_fail", h.lost, "store_answered", now - answered, "outage_ended", now - h.recoveredAt}
}

// IsLost reports whether the calls of this process to the store have failed for
// longer than lossThreshold.
func (h *StoreHealth) IsLost() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lost
}

// contactTTL is how long an answer of the store to any instance counts as contact: the
// time of a few updates.
const contactTTL = 2 * time.Second

// RecordPeerContact records that the store answered another instance, at a time
// since boot of this instance. Whether the instance that passed this on reaches the
// store itself does not matter. The objects then count as available for contactTTL,
// while IsLost still reports the failure of the calls of this process.
func (h *StoreHealth) RecordPeerContact(at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now := h.Clock.Elapsed(); h.lost && !h.hasContact(now) && now-at < contactTTL {
		h.recordRecovery(at)
	}
	h.addContact(at)
}

const (
	// maxOutageCall is how long before the end of an outage a call can have begun that
	// ends it. Contacts count from the begin of a call.
	maxOutageCall = time.Second
	// minOutage is the shortest outage in which entries lapse that are renewed in
	// time otherwise. The time from it to maxOutageCall is longer than the pause
	// between two contacts.
	minOutage = 2500 * time.Millisecond
	// contactSpacing is the least time between two contacts that are kept, and
	// contactsKept how long they are.
	contactSpacing = 100 * time.Millisecond
	contactsKept   = 10 * time.Second
)

// addContact records that the store answered at a time since boot. The caller holds mu.
func (h *StoreHealth) addContact(at time.Duration) {
	n, _ := slices.BinarySearch(h.contacts, at)
	if n > 0 && at-h.contacts[n-1] < contactSpacing || n < len(h.contacts) && h.contacts[n]-at < contactSpacing {
		return
	}
	h.contacts = slices.Insert(h.contacts, n, at)
	oldest, _ := slices.BinarySearch(h.contacts, h.contacts[len(h.contacts)-1]-contactsKept)
	h.contacts = slices.Delete(h.contacts, 0, oldest)
}

// recordRecovery records the end of an outage, unless the store is known to have
// answered shortly before: then only the connection of one instance was lost, and no
// entry lapsed because of it. The caller holds mu.
func (h *StoreHealth) recordRecovery(at time.Duration) {
	n, _ := slices.BinarySearch(h.contacts, at-minOutage)
	if n < len(h.contacts) && h.contacts[n] <= at-maxOutageCall {
		return
	}
	h.recoveredAt = max(h.recoveredAt, at)
}

// hasContact reports whether the store is known to have answered another instance within
// contactTTL and since it last answered this one. The caller holds mu.
func (h *StoreHealth) hasContact(now time.Duration) bool {
	n := len(h.contacts)
	return n > 0 && h.contacts[n-1] > h.lastSuccess && now-h.contacts[n-1] < contactTTL
}

// UnavailableWithin reports whether the objects of the store are unavailable
// now or became available again after an outage less than d ago.
func (h *StoreHealth) UnavailableWithin(d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Elapsed()
	return h.lost && !h.hasContact(now) || h.recoveredAt > 0 && now-h.recoveredAt < d
}

// RecordPeerRecovery records that another instance regained the store the given
// time ago. It has no effect if the store answered this instance, or others that it
// knows of, while the other one had lost it.
func (h *StoreHealth) RecordPeerRecovery(ago time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordRecovery(h.Clock.Elapsed() - ago)
}

// LastRecovery returns the time since the last outage of the store ended, or false if
// none has. An outage that lasts has not ended.
func (h *StoreHealth) LastRecovery() (ago time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Clock.Elapsed() - h.recoveredAt, h.recoveredAt > 0
}
