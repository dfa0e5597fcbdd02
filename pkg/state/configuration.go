// Package state holds the controllers of what an instance believes: the
// configuration in force, the targets, the newest weights and the other
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
	// configuration is the newest, where no bound asks for more of them.
	DefaultProofInterval = 2400 * time.Millisecond
	// proofRetry is the time between the first reads while there is no proof, and
	// lostRetry the time between later ones: refused calls have a price too.
	proofRetry = 250 * time.Millisecond
	lostRetry  = 700 * time.Millisecond
	// coveredRetry is the time between later reads where another instance reads
	// the store as well.
	coveredRetry = 1400 * time.Millisecond
	// proofRetries is the number of reads that follow each other closely.
	proofRetries = 2
)

// Configuration holds the newest configuration of the operators. It never goes
// back to an older one.
type Configuration struct {
	Store      objectstore.Store
	Kind, Name string
	Parse      func([]byte) (*tables.Snapshot, error)
	OnApplied  func(*tables.Snapshot)
	// ProofInterval is the time between reads that prove that the configuration
	// is the newest.
	ProofInterval func() time.Duration
	Clock         clock.Clock
	StoreHealth   *follow.StoreHealth
	Log           hclog.Logger

	// FedByPeer reports whether other instances pass on the changes; nil means never.
	FedByPeer func() bool
	// OnStoreChange is called after each change, Changed with each configuration that
	// comes into force.
	OnStoreChange func()

	once     sync.Once
	follower *follow.Follower
	mu       sync.Mutex
	revision uint64
	snapshot atomic.Pointer[tables.Snapshot]
	proof    atomic.Int64 // elapsed time at the start of the last proving read
}

// Snapshot returns the configuration in force, or nil before the first.
func (c *Configuration) Snapshot() *tables.Snapshot { return c.snapshot.Load() }

// ProofAge returns the time since the start of the last read that proved that
// no newer configuration had been accepted.
func (c *Configuration) ProofAge() time.Duration {
	return c.Clock.Elapsed() - time.Duration(c.proof.Load())
}

// Run reads the configuration until ctx ends, whenever the last proof of its age
// has become too old. A watch that reports nothing proves nothing; another
// instance may.
func (c *Configuration) Run(ctx context.Context) {
	for failed := 0; ctx.Err() == nil; {
		if left := c.ProofInterval() - c.ProofAge(); c.proof.Load() > 0 && left > 0 {
			clock.Sleep(ctx, left)
			continue
		}
		wait := lostRetry
		switch {
		case c.read(ctx):
			failed = 0
			continue
		case failed < proofRetries || c.Snapshot() == nil:
			failed++
			wait = proofRetry
		case c.FedByPeer != nil && c.FedByPeer():
			wait = coveredRetry
		}
		clock.Sleep(ctx, wait*3/4+clock.Jitter(wait)/4)
	}
}

// Watch applies changes as soon as they are made, until ctx ends.
func (c *Configuration) Watch(ctx context.Context) { c.Follower().Run(ctx) }

// configurationMaxAge is the age from which an instance watches the
// configuration itself although others pass changes on. Source: a watch of it
// waits for ten seconds. Its proof has a bound of its own.
const configurationMaxAge = 12 * time.Second

// Follower returns what follows the changes.
func (c *Configuration) Follower() *follow.Follower {
	c.once.Do(func() {
		c.follower = &follow.Follower{
			Store: c.Store, Kind: c.Kind, FedByPeer: c.FedByPeer, MaxViewAge: configurationMaxAge, OnChange: c.OnStoreChange, Clock: c.Clock, StoreHealth: c.StoreHealth, Log: c.Log,
			Replace: func(objects []objectstore.Object) {
				for _, o := range objects {
					c.offer(o)
				}
			},
			Apply: func(events []objectstore.Event) {
				for _, e := range events {
					if !e.Deleted {
						c.offer(e.Object)
					}
				}
			},
		}
	})
	return c.follower
}

// Proof returns the revision in force and the time since the start of the last
// read that proved that it is the newest, and whether there was one.
func (c *Configuration) Proof() (revision uint64, age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision, c.ProofAge(), c.proof.Load() > 0
}

// Confirm takes in the proof of another instance, which had a revision in force
// that was the newest at a time of this instance's clock.
func (c *Configuration) Confirm(revision uint64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision >= revision && revision > 0 {
		c.prove(at)
	}
}

// prove notes the time of a proof, unless a later one is known.
func (c *Configuration) prove(at time.Duration) {
	for {
		known := c.proof.Load()
		if known >= int64(at) || c.proof.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

func (c *Configuration) read(ctx context.Context) bool {
	started := c.Clock.Elapsed()
	object, err := c.Store.Get(ctx, c.Kind, c.Name)
	if err != nil {
		if ctx.Err() == nil && !objectstore.IsKind(err, objectstore.KindNotFound) {
			c.StoreHealth.RecordFailure(err)
		}
		return false
	}
	c.StoreHealth.RecordSuccess()
	// The follower passes it on to other instances too.
	c.Follower().Merge(follow.Changes{
		Events:    []objectstore.Event{{Object: object, Revision: object.Version}},
		SyncState: follow.SyncState{IsSynced: true, Revision: object.Version},
	})
	if !c.offer(object) {
		return false
	}
	c.prove(started)
	return true
}

// offer puts a configuration in force if it is newer. It reports whether the
// one in force is now at least as new.
func (c *Configuration) offer(object objectstore.Object) bool {
	if object.Name != c.Name {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if object.Version <= c.revision {
		return true
	}
	snapshot, err := c.Parse(object.Value)
	if err != nil {
		c.Log.Error("configuration cannot be read; the one before stays in force", "revision", object.Version, "cause", err)
		return false
	}
	before := uint64(0)
	if old := c.snapshot.Load(); old != nil {
		before = old.Generation
	}
	c.revision = object.Version
	c.snapshot.Store(snapshot)
	c.Log.Info("configuration in force", "version", snapshot.Generation, "before", before, "revision", object.Version,
		"routes", len(snapshot.Tables.Routes), "organisations", len(snapshot.Tables.Organisations))
	if c.OnApplied != nil {
		c.OnApplied(snapshot)
	}
	return true
}
