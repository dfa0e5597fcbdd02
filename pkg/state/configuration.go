// Package state has the controllers that keep an instance's view of the system:
// the configuration in force, the targets, the newest weights and the other
// instances.
package state

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/follow"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

const (
	// DefaultProofInterval is the time between reads that prove that the
	// configuration is the newest, unless a bound requires a shorter one.
	DefaultProofInterval = 2400 * time.Millisecond
	// firstRetryInterval is the time between the first reads after a failed one,
	// and laterRetryInterval the time between later ones. Failed calls load the
	// store too.
	firstRetryInterval = 250 * time.Millisecond
	laterRetryInterval = 700 * time.Millisecond
	// fedByPeerRetryInterval replaces laterRetryInterval while another instance
	// reads the store for this one.
	fedByPeerRetryInterval = 1400 * time.Millisecond
	// firstRetries is the number of retries after firstRetryInterval.
	firstRetries = 2
	// proofCheckInterval is the longest time between checks whether a read is due. The
	// interval shortens when other instances begin to rely on this one.
	proofCheckInterval = 100 * time.Millisecond
)

// Configuration holds the newest configuration of the operators and never returns
// to an older one. It is safe for concurrent use; the exported fields must be set
// before use.
type Configuration struct {
	Store      objectstore.Store
	Kind, Name string
	Parse      func([]byte) (*tables.Snapshot, error)
	// OnApplied is called with each configuration that comes into force; nil means
	// no call. It must not call Proof or Confirm, which would deadlock.
	OnApplied func(*tables.Snapshot)
	// ProofInterval is the time between reads that prove that the configuration
	// is the newest.
	ProofInterval func() time.Duration
	Clock         clock.Clock
	StoreHealth   *follow.StoreHealth
	Log           hclog.Logger

	// FedByPeer reports whether other instances relay the changes; nil means never.
	FedByPeer func() bool
	// OnStoreChange is called after each change of the stored objects; nil means no
	// call.
	OnStoreChange func()
	// WatchWait is how long the store holds a watch without changes.
	WatchWait time.Duration
	// AwaitsOthers holds the first configuration back until ComparedWithOthers: a store that
	// was restored may show an older one than other instances have in force. It has no effect
	// with a store without eras.
	AwaitsOthers bool

	once     sync.Once
	follower *follow.Follower
	mu       sync.Mutex
	revision uint64
	value    []byte // of the configuration in force
	held     objectstore.Object
	compared bool // see AwaitsOthers
	// olderEra is the era in which the store showed an older configuration than the one in
	// force; 0 if it does not.
	olderEra uint64
	snapshot atomic.Pointer[tables.Snapshot]
	provenAt atomic.Int64 // boot time at the start of the last read that proved freshness; 0 if none
}

// Snapshot returns the configuration in force, or nil if there is none yet.
func (c *Configuration) Snapshot() *tables.Snapshot { return c.snapshot.Load() }

// ProofAge returns the time since the start of the last read that proved that the
// store had no newer configuration. Without such a read it is the time since boot.
func (c *Configuration) ProofAge() time.Duration {
	return c.Clock.Elapsed() - time.Duration(c.provenAt.Load())
}

// Run reads the configuration whenever the last proof is older than ProofInterval,
// until ctx ends. A watch without changes proves nothing, but Confirm can replace a
// read.
func (c *Configuration) Run(ctx context.Context) {
	for failed := 0; ctx.Err() == nil; {
		if c.IsHeld() {
			clock.Sleep(ctx, heldCheckInterval)
			continue
		}
		if left := c.ProofInterval() - c.ProofAge(); c.provenAt.Load() > 0 && left > 0 {
			clock.Sleep(ctx, min(left, proofCheckInterval))
			continue
		}
		wait := laterRetryInterval
		switch {
		case c.ReadWithProof(ctx):
			failed = 0
			continue
		case failed < firstRetries || c.Snapshot() == nil:
			failed++
			wait = firstRetryInterval
		case c.FedByPeer != nil && c.FedByPeer():
			wait = fedByPeerRetryInterval
		}
		clock.Sleep(ctx, wait*3/4+clock.Jitter(wait)/4)
	}
}

// Watch applies changes as the store reports them, until ctx ends.
func (c *Configuration) Watch(ctx context.Context) { c.Follower().Run(ctx) }

// configurationMaxAge is the age of the view from which an instance watches the
// configuration itself although others relay changes. A watch waits for up to ten
// seconds. The age of the proof is bounded by ProofInterval.
const configurationMaxAge = 12 * time.Second

// Follower returns the follower of the configuration objects, the same one on each
// call.
func (c *Configuration) Follower() *follow.Follower {
	c.once.Do(func() {
		c.follower = &follow.Follower{
			Store: c.Store, Kind: c.Kind, FedByPeer: c.FedByPeer, MaxViewAge: configurationMaxAge, WatchWait: c.WatchWait, OnChange: c.OnStoreChange, Clock: c.Clock, StoreHealth: c.StoreHealth, Log: c.Log,
			Replace: func(objects []objectstore.Object) {
				for _, o := range objects {
					c.applyIfNewer(o)
				}
			},
			Apply: func(events []objectstore.Event) {
				for _, e := range events {
					if !e.Deleted {
						c.applyIfNewer(e.Object)
					}
				}
			},
		}
	})
	return c.follower
}

// Proof returns the revision and the generation in force, the age of the last proof that
// they are the newest, and whether there was such a proof.
func (c *Configuration) Proof() (revision, generation uint64, age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision, c.generation(), c.ProofAge(), c.provenAt.Load() > 0
}

// Confirm records the proof of another instance: the revision with the generation was the
// newest one at the given boot time of this instance. It has no effect if this instance has
// an older configuration in force.
func (c *Configuration) Confirm(revision, generation uint64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision > 0 && c.revision > 0 && c.isProvenBy(revision, generation) {
		c.recordProof(at)
	}
}

// recordProof records the time of a proof, unless a later one is recorded.
func (c *Configuration) recordProof(at time.Duration) {
	for {
		known := c.provenAt.Load()
		if known >= int64(at) || c.provenAt.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// ReadWithProof reads the configuration from the store and reports whether the read
// proves that the one in force is the newest.
func (c *Configuration) ReadWithProof(ctx context.Context) bool {
	started := c.Clock.Elapsed()
	object, err := c.Store.Get(ctx, c.Kind, c.Name)
	if err != nil {
		switch {
		case objectstore.IsKind(err, objectstore.KindNotFound):
			c.StoreHealth.RecordSuccess()
		case ctx.Err() == nil:
			c.StoreHealth.RecordFailure(err)
		}
		return false
	}
	c.StoreHealth.RecordSuccess()
	// The follower also relays it to other instances.
	c.Follower().Merge(follow.Changes{
		Events:    []objectstore.Event{{Object: object, Revision: object.Version}},
		SyncState: follow.SyncState{IsSynced: true, Revision: object.Version},
	})
	if !c.applyIfNewer(object) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if era := objectstore.Era(object.Version); era > objectstore.Era(c.revision) {
		c.olderEra = era // it proves the one in force: a newer one would be in the store
	}
	c.recordProof(started)
	return true
}

// applyIfNewer puts a configuration in force if it is newer than the present one.
// It reports whether the one in force is now at least as new as object.
func (c *Configuration) applyIfNewer(object objectstore.Object) bool {
	if object.Name != c.Name {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	isSameEra := objectstore.Era(object.Version) == objectstore.Era(c.revision)
	if isSameEra && object.Version <= c.revision {
		return true
	}
	if c.mustHold(object) {
		c.held = object
		return false
	}
	snapshot, err := c.Parse(object.Value)
	if err != nil {
		c.Log.Error("configuration cannot be read; the one before stays in force", "revision", objectstore.FormatRevision(object.Version), "cause", err)
		return false
	}
	before := c.generation()
	if c.revision > 0 && !isSameEra && !c.replacesAcrossEras(object, snapshot.Generation) {
		c.compareEras(object, snapshot.Generation)
		return true
	}
	c.revision, c.value, c.olderEra = object.Version, object.Value, 0
	c.snapshot.Store(snapshot)
	c.Log.Info("configuration in force", "version", snapshot.Generation, "before", before, "revision", objectstore.FormatRevision(object.Version),
		"routes", len(snapshot.Tables.Routes), "organisations", len(snapshot.Tables.Organisations), "common_cache_namespace", snapshot.CacheNamespace(""))
	if c.OnApplied != nil {
		c.OnApplied(snapshot)
	}
	return true
}
