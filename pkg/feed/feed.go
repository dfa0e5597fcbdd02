// Package feed reduces the load on the object store: a few instances (the readers)
// read changes from the store and pass them on to the others by long polling, in a
// large fleet through relays, a few in each availability zone. An instance that gets
// no answer from a reader or relay reads the store itself, so correctness never
// depends on another instance.
package feed

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/cachedir"
	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/follow"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

const (
	// maxPollWait is how long a reader holds a long poll without changes. The
	// age of a configuration proof grows by up to twice this time.
	maxPollWait = 400 * time.Millisecond
	// relayPollWait is how long a relay waits for changes. It is shorter, because the
	// ages that it passes on grow by it for a whole zone.
	relayPollWait = 200 * time.Millisecond
	// responseTimeout bounds a long poll beyond maxPollWait. Instances are
	// milliseconds apart, but small ones answer late under load.
	responseTimeout = 250 * time.Millisecond
	// firstResponseTimeout replaces responseTimeout until the first answer. When all
	// instances start, they open their connections at the same time; replacing a reader
	// that is only busy would make its substitute read the store as well.
	firstResponseTimeout = 2500 * time.Millisecond
	// readLease is how long an instance goes on reading the store after the
	// last request of another instance for changes.
	readLease = 3 * time.Second
	// readerCheckInterval is the time between checks of an instance that reads
	// the store itself whether it should use a reader.
	readerCheckInterval = 100 * time.Millisecond
	// batchInterval is the base time between two polls, in which changes accumulate,
	// so that many small changes need one request. batchPerInstance is added for each
	// instance: a rollout in a large fleet changes entries all the time.
	batchInterval    = 60 * time.Millisecond
	batchPerInstance = 700 * time.Microsecond
)

// ConfigurationProofs gives access to the proof of how current the
// configuration is. A proof is a read of the store that showed that a revision
// is the newest.
type ConfigurationProofs interface {
	// Proof returns the revision and the generation in force and the time since their
	// last proof. ok is false before the first configuration.
	Proof() (revision, generation uint64, age time.Duration, ok bool)
	// Confirm records a proof of a revision with its generation. at is its time since
	// boot.
	Confirm(revision, generation uint64, at time.Duration)
}

// CacheDirectories gives access to the directories of cached prompt parts, one
// for each cache store, by the address of the store.
type CacheDirectories interface {
	All() map[string]*cachedir.Directory
}

// PeerClient requests changes from another instance.
type PeerClient interface {
	// FetchChanges waits for changes for as long as body.WaitMillis.
	FetchChanges(ctx context.Context, address string, body peer.StoreChangesBody) (peer.StoreChangesResponse, error)
}

// Sources are the instances from which an instance gets changes.
type Sources struct {
	// Addresses in order of preference: the first Count are used, and the others
	// replace those that fail. The address of this instance is empty: it reads the
	// store if it is among the first Count.
	Addresses []string
	Count     int
	// IsRelay is set if this instance passes changes on and the sources are readers.
	IsRelay bool
}

// Feed fetches changes from a reader, or serves them to other instances if this
// instance reads the store. Its methods may be called concurrently.
type Feed struct {
	// Followers are the followers by kind of object. They must be set before
	// Run.
	Followers        map[string]*follow.Follower
	CacheDirectories CacheDirectories // nil if there are no cache stores
	Proofs           ConfigurationProofs
	Configurations   *ConfigurationExchange // nil if the store has no eras
	StoreHealth      *follow.StoreHealth
	// Sources returns the instances from which this one gets changes.
	Sources func() Sources
	// ReaderOffset selects the reader to try first, so that the instances are
	// distributed over the readers.
	ReaderOffset uint64
	// InstanceCount returns the number of instances; nil means one.
	InstanceCount func() int
	PeerClient    PeerClient
	Clock         clock.Clock
	Log           hclog.Logger

	readerKnown   atomic.Bool  // a reader has sent all kinds, or this instance is a reader
	usesPeer      atomic.Bool  // this instance fetches changes from a reader
	isRelay       atomic.Bool  // the sources of this instance are readers
	lastRequestAt atomic.Int64 // time since boot of the last request of another instance; zero: none
	lastRelayAt   atomic.Int64 // the same for requests of relays, which need a reader

	unresponsive peer.Backoff // readers that failed to answer

	mu      sync.Mutex
	changed chan struct{} // closed when a view changes; nil while nobody waits
}

// FedByPeer reports whether another instance sends the changes to this one, and
// no instance requests changes from this one that it must read itself. A relay passes
// on what it gets, except to other relays: otherwise relays could wait for each other.
func (f *Feed) FedByPeer() bool {
	return f.usesPeer.Load() && !f.isRecent(&f.lastRelayAt) && (f.isRelay.Load() || !f.isRecent(&f.lastRequestAt))
}

// ReaderKnown reports whether it is known who reads the store for this
// instance: a reader has sent all kinds, or this instance is a reader. Once
// true, it stays true.
func (f *Feed) ReaderKnown() bool { return f.readerKnown.Load() }

// ReadsStore reports whether this instance has to read the store, for itself or
// for others.
func (f *Feed) ReadsStore() bool { return !f.FedByPeer() }

// isRecent reports whether the time of a request is within readLease.
func (f *Feed) isRecent(request *atomic.Int64) bool {
	at := request.Load()
	return at > 0 && f.Clock.Elapsed()-time.Duration(at) < readLease
}

// Run selects a reader and fetches changes from it until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	current := ""
	for ctx.Err() == nil {
		reader := f.reader()
		if reader != current {
			f.Log.Info("changes of the store come from elsewhere now", "reader", reader, "before", current, "reads_itself", reader == "")
			current = reader
		}
		f.usesPeer.Store(reader != "")
		if reader == "" {
			clock.Sleep(ctx, readerCheckInterval)
			continue
		}
		if err := f.fetch(ctx, reader); err != nil && ctx.Err() == nil {
			f.markUnresponsive(reader, err)
			if f.isOnlySource(reader) {
				clock.Sleep(ctx, readerCheckInterval)
			}
			continue
		}
		clock.Sleep(ctx, f.pollPause())
	}
}

// pollPause returns the time between two polls. Relays poll as in a small fleet, because
// all of their zone waits for them.
func (f *Feed) pollPause() time.Duration {
	if f.InstanceCount == nil || f.isRelay.Load() {
		return batchInterval
	}
	return batchInterval + batchPerInstance*time.Duration(f.InstanceCount())
}

// reader returns the address of the instance to fetch changes from, or "" if
// this instance must read the store. A reader that has lost the store tries the
// next instance in order, which may still reach it.
func (f *Feed) reader() string {
	sources := f.Sources()
	f.isRelay.Store(sources.IsRelay)
	addresses, count := sources.Addresses, min(sources.Count, len(sources.Addresses))
	lost := f.StoreHealth.IsLost()
	if slices.Contains(addresses[:count], "") && !lost {
		f.readerKnown.Store(true)
		return ""
	}
	now := f.Clock.Elapsed()
	for i := range count {
		address := addresses[(int(f.ReaderOffset%uint64(count))+i)%count]
		if address != "" && f.unresponsive.MayCall(address, now) {
			return address
		}
	}
	for _, address := range addresses[count:] {
		if address == "" && lost {
			continue
		}
		if address == "" || f.unresponsive.MayCall(address, now) {
			return address
		}
	}
	if lost {
		return f.firstOutOfBackoff(addresses)
	}
	return ""
}

// firstOutOfBackoff returns the address whose backoff ends first, or "" if there is none. An
// instance that has lost the store asks it all the same: late changes are better than none.
func (f *Feed) firstOutOfBackoff(addresses []string) string {
	first := ""
	for _, address := range addresses {
		if address != "" && (first == "" || f.unresponsive.Until(address) < f.unresponsive.Until(first)) {
			first = address
		}
	}
	return first
}

// isOnlySource reports whether the instance would ask the same address again.
func (f *Feed) isOnlySource(address string) bool { return f.reader() == address }

// markUnresponsive records that a reader failed to answer, so that it is
// avoided for a while.
func (f *Feed) markUnresponsive(reader string, err error) {
	if d := f.unresponsive.RecordFailure(reader, f.Clock.Elapsed()); d > 0 {
		f.Log.Info("reader of the store does not answer", "reader", reader, "for", d, "cause", err)
	}
}

// fetch requests changes from a reader and applies them. The ages in the response
// count from the time at which the request was sent, so that a slow response
// never makes data look younger than it is.
func (f *Feed) fetch(ctx context.Context, reader string) error {
	body := peer.StoreChangesBody{AfterRevisions: make(map[string]uint64, len(f.Followers)), WaitMillis: maxPollWait.Milliseconds()}
	if f.isRelay.Load() {
		body.FromRelay, body.WaitMillis = true, relayPollWait.Milliseconds()
	}
	for kind, follower := range f.Followers {
		if state := follower.SyncState(); state.IsSynced {
			body.AfterRevisions[kind] = state.Revision
		} else {
			body.AfterRevisions[kind] = 0
		}
	}
	body.CachePositions = f.cachePositions()
	requestedAt := f.Clock.Elapsed()
	timeout := maxPollWait + responseTimeout
	if !f.ReaderKnown() {
		timeout = firstResponseTimeout
	}
	pollCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := f.PeerClient.FetchChanges(pollCtx, reader, body)
	if err != nil {
		return err
	}
	f.unresponsive.RecordSuccess(reader)
	if response.StoreUnreachable && !f.StoreHealth.IsLost() {
		// The reader is tried again after the shortest backoff: the store may be
		// back by then.
		f.unresponsive.RecordFailure(reader, f.Clock.Elapsed())
		f.Log.Info("reader has lost the store; changes are fetched from another instance", "reader", reader)
	}
	if response.StoreWasUnreachable {
		f.StoreHealth.RecordPeerRecovery(fromMillis(response.StoreRecoveredMillis))
	}
	if age, ok := contactAge(response); ok {
		f.StoreHealth.RecordPeerContact(requestedAt - age)
	}
	for kind, changes := range response.Kinds {
		if follower := f.Followers[kind]; follower != nil {
			follower.Merge(decodeChanges(kind, changes, requestedAt, reader))
		}
	}
	if response.ConfigurationRevision > 0 {
		f.Configurations.fetchIfNewer(ctx, reader, response)
		f.Proofs.Confirm(response.ConfigurationRevision, response.ConfigurationGeneration, requestedAt-fromMillis(response.ConfigurationAgeMillis))
	}
	f.mergeCacheChanges(response.Caches, requestedAt)
	f.readerKnown.Store(f.readerKnown.Load() || f.allSynced())
	return nil
}

// contactAge returns the age of the newest data in a response, which is when the store
// last answered the instance that sent it or one before it. ok is false if there is none.
func contactAge(response peer.StoreChangesResponse) (age time.Duration, ok bool) {
	if response.ConfigurationRevision > 0 {
		age, ok = fromMillis(response.ConfigurationAgeMillis), true
	}
	for _, changes := range response.Kinds {
		if kindAge := fromMillis(changes.AgeMillis); !ok || kindAge < age {
			age, ok = kindAge, true
		}
	}
	return age, ok
}

// allSynced reports whether every follower has a full list.
func (f *Feed) allSynced() bool {
	for _, follower := range f.Followers {
		if !follower.SyncState().IsSynced {
			return false
		}
	}
	return true
}

// ServeChanges answers a request of another instance with all changes after the
// revisions that it states. If there are none, it waits for body.WaitMillis
// milliseconds at most and then returns the current revisions. The error is
// always nil.
func (f *Feed) ServeChanges(ctx context.Context, body peer.StoreChangesBody) (peer.StoreChangesResponse, error) {
	f.lastRequestAt.Store(int64(f.Clock.Elapsed()))
	if body.FromRelay {
		f.lastRelayAt.Store(int64(f.Clock.Elapsed()))
	}
	ctx, cancel := context.WithTimeout(ctx, min(fromMillis(body.WaitMillis), maxPollWait))
	defer cancel()
	for {
		changed := f.nextChange()
		response, hasChanges := f.buildResponse(body)
		if hasChanges || ctx.Err() != nil {
			return response, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// NotifyChanged wakes the waiting requests of other instances after a change of
// a view.
func (f *Feed) NotifyChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// nextChange returns a channel that is closed at the next change of a view.
func (f *Feed) nextChange() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// buildResponse returns the changes after the revisions in body. hasChanges is
// false if there are none; the response then only refreshes ages.
func (f *Feed) buildResponse(body peer.StoreChangesBody) (response peer.StoreChangesResponse, hasChanges bool) {
	now := f.Clock.Elapsed()
	response.Kinds = make(map[string]peer.ObjectChanges, len(body.AfterRevisions))
	for kind, after := range body.AfterRevisions {
		follower := f.Followers[kind]
		if follower == nil {
			continue
		}
		changes := follower.ChangesSince(after)
		if !changes.SyncState.IsSynced {
			continue
		}
		hasChanges = hasChanges || changes.IsFullList || len(changes.Events) > 0
		response.Kinds[kind] = encodeChanges(changes, now)
	}
	if revision, generation, age, ok := f.Proofs.Proof(); ok {
		response.ConfigurationRevision, response.ConfigurationGeneration, response.ConfigurationAgeMillis = revision, generation, ceilMillis(age)
	}
	response.Caches = f.cacheChanges(body.CachePositions)
	response.StoreUnreachable = f.StoreHealth.IsLost()
	if ago, ok := f.StoreHealth.LastRecovery(); ok {
		response.StoreWasUnreachable, response.StoreRecoveredMillis = true, ago.Milliseconds()
	}
	return response, hasChanges
}

// encodeChanges returns changes as they are sent to another instance, with
// their age at the time now.
func encodeChanges(c follow.Changes, now time.Duration) peer.ObjectChanges {
	out := peer.ObjectChanges{IsFullList: c.IsFullList, Revision: c.SyncState.Revision, AgeMillis: ceilMillis(now - c.SyncState.AsOf)}
	addStatus := func(o objectstore.Object) {
		if len(o.Status) == 0 {
			return
		}
		if out.Statuses == nil {
			out.Statuses = make(map[string][]byte)
		}
		out.Statuses[o.Name] = o.Status
	}
	for _, o := range c.Objects {
		addStatus(o)
		out.Rows = append(out.Rows, peer.ChangeRow{Name: o.Name, Version: o.Version, Value: o.Value})
	}
	for _, e := range c.Events {
		addStatus(e.Object)
		out.Rows = append(out.Rows, peer.ChangeRow{Name: e.Object.Name, Version: e.Object.Version, Value: e.Object.Value, Deleted: e.Deleted})
	}
	return out
}

// decodeChanges is the reverse of encodeChanges, for changes from the instance at the
// address from. The age counts from requestedAt.
func decodeChanges(kind string, c peer.ObjectChanges, requestedAt time.Duration, from string) follow.Changes {
	out := follow.Changes{
		IsFullList: c.IsFullList,
		SyncState:  follow.SyncState{IsSynced: true, Revision: c.Revision, AsOf: requestedAt - fromMillis(c.AgeMillis), From: from},
	}
	for _, row := range c.Rows {
		o := objectstore.Object{Kind: kind, Name: row.Name, Version: row.Version, Value: row.Value, Status: c.Statuses[row.Name]}
		if c.IsFullList {
			out.Objects = append(out.Objects, o)
		} else {
			out.Events = append(out.Events, objectstore.Event{Object: o, Deleted: row.Deleted, Revision: row.Version})
		}
	}
	return out
}

func fromMillis(v int64) time.Duration { return time.Duration(v) * time.Millisecond }

// ceilMillis rounds up to milliseconds, so that ages are never understated.
func ceilMillis(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }
