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
	// proofRetries is the number of reads that follow each other closely.
	proofRetries = 4
)

// Configuration holds the newest configuration of the operators. It never goes
// back to an older one.
type Configuration struct {
	Store      objectstore.Store
	Kind, Name string
	Parse      func([]byte) (*tables.Snapshot, error)
	Changed    func(*tables.Snapshot)
	// ProofInterval is the time between reads that prove that the configuration
	// is the newest.
	ProofInterval time.Duration
	Clock         clock.Clock
	Link          *follow.Link
	Log           hclog.Logger

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

// Run reads the configuration from time to time until ctx ends. The reads prove
// its age: a watch that reports nothing does not.
func (c *Configuration) Run(ctx context.Context) {
	for failed := 0; ctx.Err() == nil; {
		wait := c.ProofInterval
		switch {
		case c.read(ctx):
			failed = 0
		case failed < proofRetries || c.Snapshot() == nil:
			failed++
			wait = proofRetry
		default:
			wait = lostRetry
		}
		clock.Sleep(ctx, wait*3/4+clock.Jitter(wait)/4)
	}
}

// Follow applies changes as soon as they are made, until ctx ends.
func (c *Configuration) Follow(ctx context.Context) {
	f := follow.Follower{
		Store: c.Store, Kind: c.Kind, Link: c.Link, Log: c.Log,
		Replace: func(objects []objectstore.Object) {
			for _, o := range objects {
				c.offer(o)
			}
		},
		Apply: func(e objectstore.Event) {
			if !e.Deleted {
				c.offer(e.Object)
			}
		},
	}
	f.Run(ctx)
}

func (c *Configuration) read(ctx context.Context) bool {
	started := c.Clock.Elapsed()
	object, err := c.Store.Get(ctx, c.Kind, c.Name)
	if err != nil {
		if ctx.Err() == nil && !objectstore.IsKind(err, objectstore.KindNotFound) {
			c.Link.Failed(err)
		}
		return false
	}
	c.Link.OK()
	if !c.offer(object) {
		return false
	}
	c.proof.Store(int64(started))
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
	if c.Changed != nil {
		c.Changed(snapshot)
	}
	return true
}
