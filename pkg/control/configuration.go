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
	// retryMin and retryMax bound the wait between failed reads of the platform.
	retryMin = 100 * time.Millisecond
	retryMax = 5 * time.Second
	// sparedPause is how often an instance that leaves the watch to others looks
	// whether it still may, sparedList how often it reads all the same.
	sparedPause = time.Second
	sparedList  = 10 * time.Minute
)

// ConfigurationController puts accepted configurations in force. A generation lower than
// the one in force is ignored, whoever offers it.
type ConfigurationController struct {
	Store objectstore.Store
	// PeersReadPlatform reports whether enough other instances watch the platform, from
	// which changes spread to this one; nil means never. A watch at the design
	// scale brings each of 3,000 changes a day in full.
	PeersReadPlatform func() bool
	Log               hclog.Logger

	mu        sync.Mutex // serialises Offer
	snapshot  atomic.Pointer[tables.Snapshot]
	accepted  atomic.Pointer[AcceptedConfiguration]
	rejected  atomic.Pointer[Rejection]
	listeners []func(*tables.Snapshot, *AcceptedConfiguration)
}

// Rejection says why an accepted configuration could not be put in force.
type Rejection struct {
	Generation uint64
	Reason     string
}

// Snapshot returns the configuration in force, or nil before the first.
func (c *ConfigurationController) Snapshot() *tables.Snapshot { return c.snapshot.Load() }

// AcceptedConfiguration returns the text of the configuration in force, or nil.
func (c *ConfigurationController) AcceptedConfiguration() *AcceptedConfiguration {
	return c.accepted.Load()
}

// LastRejection returns the newest configuration that failed its check, or nil.
func (c *ConfigurationController) LastRejection() *Rejection { return c.rejected.Load() }

// Generation returns the generation in force, zero before the first.
func (c *ConfigurationController) Generation() uint64 {
	if s := c.snapshot.Load(); s != nil {
		return s.Generation
	}
	return 0
}

// OnChange registers a function that runs after each change. Register before Run.
func (c *ConfigurationController) OnChange(f func(*tables.Snapshot, *AcceptedConfiguration)) {
	c.listeners = append(c.listeners, f)
}

// ApplyIfNewer puts a configuration in force if its generation is higher than the one
// in force and it passes the check. It reports whether it did.
func (c *ConfigurationController) ApplyIfNewer(a *AcceptedConfiguration, source string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Generation <= c.Generation() {
		return false
	}
	t, err := tables.Parse(a.Source())
	if err != nil {
		c.reject(a, source, err)
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

func (c *ConfigurationController) reject(a *AcceptedConfiguration, source string, err error) {
	if last := c.rejected.Load(); last != nil && last.Generation == a.Generation {
		return
	}
	c.rejected.Store(&Rejection{Generation: a.Generation, Reason: err.Error()})
	c.Log.Error("configuration not put in force", "generation", a.Generation, "source", source, "reason", err)
}

// Run follows the accepted configuration on the platform until ctx ends.
func (c *ConfigurationController) Run(ctx context.Context) {
	wait := retryMin
	for ctx.Err() == nil {
		listed, err := c.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if listed {
			wait = retryMin
		}
		if err == nil {
			continue
		}
		// One line for each outage, not one for each attempt.
		if wait == retryMin {
			c.Log.Warn("platform does not answer; configuration in force stays", "generation", c.Generation(), "cause", err)
		}
		clock.Sleep(ctx, clock.Jitter(wait))
		wait = min(2*wait, retryMax)
	}
}

// follow lists once and then watches. It returns on the first failure, and
// without one when it is time to list again. It reports whether the list was
// read.
func (c *ConfigurationController) follow(ctx context.Context) (listed bool, err error) {
	objects, revision, err := c.Store.List(ctx, KindConfiguration)
	if err != nil {
		return false, err
	}
	for _, object := range objects {
		c.offerObject(object)
	}
	listedAt := time.Now()
	for ctx.Err() == nil {
		if c.PeersReadPlatform != nil && c.PeersReadPlatform() && c.Generation() > 0 {
			if time.Since(listedAt) > sparedList {
				return true, nil
			}
			clock.Sleep(ctx, clock.Jitter(sparedPause))
			continue
		}
		events, next, err := c.Store.Watch(ctx, KindConfiguration, revision)
		if err != nil {
			return true, err
		}
		for _, event := range events {
			if !event.Deleted {
				c.offerObject(event.Object)
			}
		}
		revision = next
	}
	return true, ctx.Err()
}

func (c *ConfigurationController) offerObject(object objectstore.Object) {
	if object.Name != NameAccepted {
		return
	}
	a, err := DecodeAcceptedConfiguration(object.Value)
	if err != nil {
		c.Log.Error("accepted configuration is not readable", "version", object.Version, "cause", err)
		return
	}
	c.ApplyIfNewer(a, "platform")
}
