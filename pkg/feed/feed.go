// Package feed spares the store: in each availability zone a few instances read
// changes from it and pass them on to the others. An instance that hears nothing
// reads the store itself, so nothing that must hold depends on another instance.
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
	// hold is how long a reader keeps a question without news. Source: the age
	// of a proof grows by twice as much.
	hold = 400 * time.Millisecond
	// answerTimeout bounds an exchange beyond that. Source: instances are
	// milliseconds apart, and small ones answer late under load.
	answerTimeout = 250 * time.Millisecond
	// askedFor is how long an instance goes on reading the store after another
	// one asked it for changes.
	askedFor = 3 * time.Second
	// idleLook is the time between looks of an instance that reads the store
	// itself whether another one does it now.
	idleLook = 100 * time.Millisecond
	// gather is the time for which changes gather between two answers, so that
	// many small ones cost one exchange.
	gather = 60 * time.Millisecond
)

// ConfigurationProofs is what an instance knows of the age of the configuration.
type ConfigurationProofs interface {
	Proof() (revision uint64, age time.Duration, ok bool)
	Confirm(revision uint64, at time.Duration)
}

// CacheDirectories are the directories of stores of cached parts.
type CacheDirectories interface {
	All() map[string]*cachedir.Directory
}

// PeerClient asks another instance for changes.
type PeerClient interface {
	FetchChanges(ctx context.Context, address string, body peer.ChangesBody) (peer.ChangesAnswer, error)
}

// Feed is one instance's part.
type Feed struct {
	// Followers by kind. They are set before Run.
	Followers        map[string]*follow.Follower
	CacheDirectories CacheDirectories // nil: there are none
	Proofs           ConfigurationProofs
	StoreHealth      *follow.StoreHealth
	// Readers returns the addresses of the instances of the own zone that read
	// the store, and of those that take their place, in order; that of this
	// instance is empty. The first Count of them read the store.
	Readers func() (addresses []string, count int)
	// ReaderOffset spreads the instances over the readers.
	ReaderOffset uint64
	PeerClient   PeerClient
	Clock        clock.Clock
	Log          hclog.Logger

	settled atomic.Bool  // it is known who reads the store for this instance
	served  atomic.Bool  // another instance reads the store for this one
	asked   atomic.Int64 // boot time of the last question of another instance

	silent peer.Avoided // readers that did not answer

	mu      sync.Mutex
	changed chan struct{} // closed when a view changes; nil while nobody waits
}

// FedByPeer reports whether other instances pass changes on to this one.
func (f *Feed) FedByPeer() bool { return f.served.Load() && !f.wanted() }

// ReaderKnown reports whether it is known who reads the store for this instance:
// another one has passed on all kinds, or it is this one.
func (f *Feed) ReaderKnown() bool { return f.settled.Load() }

// ReadsStore reports whether other instances rely on this one to read the store.
func (f *Feed) ReadsStore() bool { return !f.FedByPeer() }

// wanted reports whether another instance asked lately.
func (f *Feed) wanted() bool {
	asked := f.asked.Load()
	return asked > 0 && f.Clock.Elapsed()-time.Duration(asked) < askedFor
}

// Run asks for changes until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	from := ""
	for ctx.Err() == nil {
		reader := f.reader()
		if reader != from {
			f.Log.Info("changes of the store come from elsewhere now", "reader", reader, "before", from, "reads_itself", reader == "")
			from = reader
		}
		f.served.Store(reader != "")
		if reader == "" {
			clock.Sleep(ctx, idleLook)
			continue
		}
		if err := f.ask(ctx, reader); err != nil && ctx.Err() == nil {
			f.lost(reader, err)
			continue
		}
		clock.Sleep(ctx, gather)
	}
}

// reader returns the instance to ask, or "" if this one reads the store itself.
// One that has lost the store asks the next in line, which may reach it.
func (f *Feed) reader() string {
	addresses, count := f.Readers()
	count = min(count, len(addresses))
	lost := f.StoreHealth.IsLost()
	if slices.Contains(addresses[:count], "") && !lost {
		f.settled.Store(true)
		return ""
	}
	now := f.Clock.Elapsed()
	for i := range count {
		address := addresses[(int(f.ReaderOffset%uint64(count))+i)%count]
		if address != "" && f.silent.Usable(address, now) {
			return address
		}
	}
	for _, address := range addresses[count:] {
		if address == "" && lost {
			continue
		}
		if address == "" || f.silent.Usable(address, now) {
			return address
		}
	}
	return ""
}

func (f *Feed) lost(reader string, err error) {
	if d := f.silent.Failed(reader, f.Clock.Elapsed()); d > 0 {
		f.Log.Info("reader of the store does not answer", "reader", reader, "for", d, "cause", err)
	}
}

// ask takes in what a reader knows. Everything that it says is as old as this
// question at least, however long the answer was on its way.
func (f *Feed) ask(ctx context.Context, reader string) error {
	body := peer.ChangesBody{After: make(map[string]uint64, len(f.Followers)), WaitMillis: hold.Milliseconds()}
	for kind, follower := range f.Followers {
		if view := follower.SyncState(); view.IsSynced {
			body.After[kind] = view.Revision
		} else {
			body.After[kind] = 0
		}
	}
	body.Caches = f.cachePositions()
	asked := f.Clock.Elapsed()
	call, cancel := context.WithTimeout(ctx, hold+answerTimeout)
	defer cancel()
	answer, err := f.PeerClient.FetchChanges(call, reader, body)
	if err != nil {
		return err
	}
	f.silent.Answered(reader)
	if answer.StoreLost && !f.StoreHealth.IsLost() {
		// It is asked again after the shortest time: the store may be back.
		f.silent.Failed(reader, f.Clock.Elapsed())
		f.Log.Info("reader has lost the store; another instance is asked", "reader", reader)
	}
	if !answer.StoreLost {
		f.StoreHealth.RecordPeerUpdate()
	}
	if answer.StoreAway {
		f.StoreHealth.RecordPeerRecovery(millis(answer.StoreBackMillis))
	}
	for kind, changes := range answer.Kinds {
		if follower := f.Followers[kind]; follower != nil {
			follower.Merge(decode(kind, changes, asked))
		}
	}
	if answer.ConfigurationRevision > 0 {
		f.Proofs.Confirm(answer.ConfigurationRevision, asked-millis(answer.ConfigurationAgeMillis))
	}
	f.mergeCaches(answer.Caches, asked)
	f.settled.Store(f.settled.Load() || f.listed())
	return nil
}

// listed reports whether all kinds are known.
func (f *Feed) listed() bool {
	for _, follower := range f.Followers {
		if !follower.SyncState().IsSynced {
			return false
		}
	}
	return true
}

// ServeChanges tells another instance what this one knows. It waits for news for as
// long as the other allows.
func (f *Feed) ServeChanges(ctx context.Context, body peer.ChangesBody) (peer.ChangesAnswer, error) {
	f.asked.Store(int64(f.Clock.Elapsed()))
	ctx, cancel := context.WithTimeout(ctx, min(millis(body.WaitMillis), hold))
	defer cancel()
	for {
		changed := f.next()
		answer, news := f.known(body)
		if news || ctx.Err() != nil {
			return answer, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// NotifyChanged notes that a view has changed.
func (f *Feed) NotifyChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// next returns a channel that is closed at the next change of a view.
func (f *Feed) next() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// known returns what this instance knows, and whether the other does not.
func (f *Feed) known(body peer.ChangesBody) (answer peer.ChangesAnswer, news bool) {
	now := f.Clock.Elapsed()
	answer.Kinds = make(map[string]peer.KindChanges, len(body.After))
	for kind, after := range body.After {
		follower := f.Followers[kind]
		if follower == nil {
			continue
		}
		changes := follower.ChangesSince(after)
		if !changes.SyncState.IsSynced {
			continue
		}
		news = news || changes.IsFullList || len(changes.Events) > 0
		answer.Kinds[kind] = encode(changes, now)
	}
	if revision, age, ok := f.Proofs.Proof(); ok {
		answer.ConfigurationRevision, answer.ConfigurationAgeMillis = revision, roundUp(age)
	}
	answer.Caches = f.cacheChanges(body.Caches)
	answer.StoreLost = f.StoreHealth.IsLost()
	if ago, away := f.StoreHealth.LastRecovery(); away {
		answer.StoreAway, answer.StoreBackMillis = true, ago.Milliseconds()
	}
	return answer, news
}

func encode(c follow.Changes, now time.Duration) peer.KindChanges {
	out := peer.KindChanges{Whole: c.IsFullList, Revision: c.SyncState.Revision, AgeMillis: roundUp(now - c.SyncState.AsOf)}
	for _, o := range c.Objects {
		out.Rows = append(out.Rows, peer.ChangeRow{Name: o.Name, Version: o.Version, Value: o.Value})
	}
	for _, e := range c.Events {
		out.Rows = append(out.Rows, peer.ChangeRow{Name: e.Object.Name, Version: e.Object.Version, Value: e.Object.Value, Deleted: e.Deleted})
	}
	return out
}

func decode(kind string, c peer.KindChanges, asked time.Duration) follow.Changes {
	out := follow.Changes{
		IsFullList: c.Whole,
		SyncState:  follow.SyncState{IsSynced: true, Revision: c.Revision, AsOf: asked - millis(c.AgeMillis)},
	}
	for _, row := range c.Rows {
		o := objectstore.Object{Kind: kind, Name: row.Name, Version: row.Version, Value: row.Value}
		if c.Whole {
			out.Objects = append(out.Objects, o)
		} else {
			out.Events = append(out.Events, objectstore.Event{Object: o, Deleted: row.Deleted, Revision: row.Version})
		}
	}
	return out
}

func millis(v int64) time.Duration { return time.Duration(v) * time.Millisecond }

// roundUp makes ages larger rather than smaller.
func roundUp(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }
