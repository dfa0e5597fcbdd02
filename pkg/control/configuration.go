package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

const (
	// minRetryWait and maxRetryWait bound the exponential backoff between
	// failed platform calls.
	minRetryWait = 100 * time.Millisecond
	maxRetryWait = 5 * time.Second
	// An instance whose peers read the platform checks every
	// peerReadersPollInterval whether they still do, and lists the
	// configuration itself every peerReadersRelistInterval.
	peerReadersPollInterval   = time.Second
	peerReadersRelistInterval = 10 * time.Minute
)

// ConfigurationController puts accepted configurations in force. It ignores a
// generation that is not higher than the one in force, whether it comes from
// the platform or from a peer. Its methods are safe for concurrent use, except
// OnChange.
type ConfigurationController struct {
	Store objectstore.Store
	// PeersReadPlatform reports whether enough peers watch the platform, so
	// that this instance can rely on them for changes. Nil means that it always
	// watches itself. At the design scale a watch transfers each of 3,000
	// changes a day in full.
	PeersReadPlatform func() bool
	Log               hclog.Logger

	mu            sync.Mutex // serialises ApplyIfNewer
	snapshot      atomic.Pointer[tables.Snapshot]
	accepted      atomic.Pointer[AcceptedConfiguration]
	lastRejection atomic.Pointer[Rejection]
	listeners     []func(*tables.Snapshot, *AcceptedConfiguration)
}

// Rejection is a generation that could not be put in force, and why.
type Rejection struct {
	Generation uint64
	Reason     string
}

// Snapshot returns the configuration in force, or nil if there is none yet.
func (c *ConfigurationController) Snapshot() *tables.Snapshot { return c.snapshot.Load() }

// AcceptedConfiguration returns the stored form of the configuration in force,
// or nil if there is none yet.
func (c *ConfigurationController) AcceptedConfiguration() *AcceptedConfiguration {
	return c.accepted.Load()
}

// LastRejection returns the last generation that failed validation, or nil.
func (c *ConfigurationController) LastRejection() *Rejection { return c.lastRejection.Load() }

// Generation returns the generation in force, or 0 if there is none yet.
func (c *ConfigurationController) Generation() uint64 {
	if s := c.snapshot.Load(); s != nil {
		return s.Generation
	}
	return 0
}

// OnChange registers a function that is called after each change, with further
// changes blocked until it returns. Register before Run and before the first
// ApplyIfNewer.
func (c *ConfigurationController) OnChange(f func(*tables.Snapshot, *AcceptedConfiguration)) {
	c.listeners = append(c.listeners, f)
}

// ApplyIfNewer puts a configuration in force if its generation is higher than
// the one in force and its tables are valid. It reports whether it did. source
// names the origin in log lines.
func (c *ConfigurationController) ApplyIfNewer(a *AcceptedConfiguration, source string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Generation <= c.Generation() {
		return false
	}
	t, err := tables.Parse(a.Source())
	if err != nil {
		c.recordRejection(a, source, err)
		return false
	}
	snapshot := tables.NewSnapshot(a.Generation, t)
	c.accepted.Store(a)
	c.snapshot.Store(snapshot)
	c.Log.Info("configuration in force", "generation", a.Generation, "source", source, "editor", a.Editor)
	for _, f := range c.listeners {
		f(snapshot, a)
	}
	return true
}

// recordRejection stores and logs a rejection, once for consecutive attempts to
// apply the same generation.
func (c *ConfigurationController) recordRejection(a *AcceptedConfiguration, source string, err error) {
	if last := c.lastRejection.Load(); last != nil && last.Generation == a.Generation {
		return
	}
	c.lastRejection.Store(&Rejection{Generation: a.Generation, Reason: err.Error()})
	c.Log.Error("configuration not put in force", "generation", a.Generation, "source", source, "reason", err)
}

// Run follows the accepted configuration on the platform until ctx ends.
func (c *ConfigurationController) Run(ctx context.Context) {
	wait := minRetryWait
	for ctx.Err() == nil {
		listed, err := c.listAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if listed {
			wait = minRetryWait
		}
		if err == nil {
			continue
		}
		// Log once per outage, not once per attempt.
		if wait == minRetryWait {
			c.Log.Warn("platform does not answer; configuration in force stays", "generation", c.Generation(), "cause", err)
		}
		clock.Sleep(ctx, clock.Jitter(wait))
		wait = min(2*wait, maxRetryWait)
	}
}

// listAndWatch lists the configuration once and then watches it. It returns an
// error on the first failure, and nil when it is time to list again. listed
// reports whether the list succeeded.
func (c *ConfigurationController) listAndWatch(ctx context.Context) (listed bool, err error) {
	objects, revision, err := c.Store.List(ctx, KindConfiguration)
	if err != nil {
		return false, err
	}
	for _, object := range objects {
		c.applyObject(object)
	}
	listedAt := time.Now()
	for ctx.Err() == nil {
		if c.PeersReadPlatform != nil && c.PeersReadPlatform() && c.Generation() > 0 {
			if time.Since(listedAt) > peerReadersRelistInterval {
				return true, nil
			}
			clock.Sleep(ctx, clock.Jitter(peerReadersPollInterval))
			continue
		}
		events, next, err := c.Store.Watch(ctx, KindConfiguration, revision)
		if err != nil {
			return true, err
		}
		for _, event := range events {
			if !event.Deleted {
				c.applyObject(event.Object)
			}
		}
		revision = next
	}
	return true, ctx.Err()
}

// applyObject decodes the accepted configuration and applies it. It ignores
// objects with another name.
func (c *ConfigurationController) applyObject(object objectstore.Object) {
	if object.Name != NameAccepted {
		return
	}
	a, err := DecodeAcceptedConfiguration(object.Value)
	if err != nil {
		c.Log.Error("accepted configuration cannot be decoded; configuration in force stays", "version", object.Version, "cause", err)
		return
	}
	c.ApplyIfNewer(a, "platform")
}
