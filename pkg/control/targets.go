package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/platform"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

const (
	// targetInterval is the time between two reads of the instance list and of
	// the targets' own state. A leaving target must be passed over in seconds.
	targetInterval = time.Second
	// stateTimeout bounds the read of one target's state.
	stateTimeout = 800 * time.Millisecond
	// maxStateReads bounds the reads that run at the same time.
	maxStateReads = 32
)

// Targets observes the targets. The instance list says which there are; each
// engine's own state says what it is and whether it is leaving, and is newer.
type Targets struct {
	List   platform.InstanceList
	Client engine.Client
	Log    hclog.Logger

	set   atomic.Pointer[target.Set]
	ready atomic.Bool
	live  map[string]*target.Live // by target id; used by Run only
}

// Set returns the known targets.
func (c *Targets) Set() *target.Set {
	if s := c.set.Load(); s != nil {
		return s
	}
	return target.NewSet(nil)
}

// Ready reports whether the targets of a known instance list have been read at
// least once.
func (c *Targets) Ready() bool { return c.ready.Load() }

// Run reconciles until ctx ends.
func (c *Targets) Run(ctx context.Context) {
	var rows []platform.Instance
	for ctx.Err() == nil {
		listed, err := c.List.Instances(ctx)
		if err == nil {
			rows = listed
		} else if ctx.Err() == nil {
			c.Log.Warn("instance list does not answer; the last one is used", "cause", err)
		}
		c.Reconcile(ctx, rows)
		if err == nil {
			c.ready.Store(true)
		}
		sleep(ctx, jitter(targetInterval))
	}
}

// Reconcile reads the state of all listed targets and publishes a new set.
func (c *Targets) Reconcile(ctx context.Context, rows []platform.Instance) {
	if c.live == nil {
		c.live = make(map[string]*target.Live)
	}
	previous := c.Set()
	var targets []*target.Target
	for _, row := range rows {
		if row.Role == platform.RoleRouter {
			continue
		}
		targets = append(targets, c.fromRow(row))
	}
	c.readStates(ctx, targets, previous)
	c.forget(targets)
	c.set.Store(target.NewSet(targets))
}

func (c *Targets) fromRow(row platform.Instance) *target.Target {
	live := c.live[row.ID]
	if live == nil {
		live = &target.Live{}
		c.live[row.ID] = live
	}
	return &target.Target{
		ID: row.ID, Role: row.Role, Address: row.Address, Zone: row.Zone,
		Labels: row.Labels, Leaving: row.Leaving, Live: live,
		Reachable: row.Role == platform.RoleService,
	}
}

func (c *Targets) readStates(ctx context.Context, targets []*target.Target, previous *target.Set) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxStateReads)
	for _, t := range targets {
		if t.Role != platform.RoleEngine {
			continue
		}
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			c.readState(ctx, t, previous.ByID[t.ID])
		}()
	}
	group.Wait()
}

func (c *Targets) readState(ctx context.Context, t, previous *target.Target) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := c.Client.State(ctx, t.Address)
	if err != nil {
		c.keepState(t, previous)
		return
	}
	t.Reachable = true
	t.Incarnation = state.Incarnation
	t.Model, t.WeightVersion, t.Adapter = state.Model, state.WeightVersion, state.Adapter
	t.CanResume = state.CanResume
	t.Leaving = t.Leaving || state.Leaving
	t.Load = state.Load
	if previous != nil && previous.Incarnation != "" && previous.Incarnation != t.Incarnation {
		c.Log.Info("target restarted", "target", t.ID, "incarnation", t.Incarnation)
	}
}

// keepState carries over what is known of a target that does not answer. It is
// not chosen while it does not.
func (c *Targets) keepState(t, previous *target.Target) {
	if previous == nil {
		return
	}
	t.Incarnation = previous.Incarnation
	t.Model, t.WeightVersion, t.Adapter = previous.Model, previous.WeightVersion, previous.Adapter
	t.Load = previous.Load
	if previous.Reachable {
		c.Log.Warn("target does not answer", "target", t.ID, "address", t.Address)
	}
}

// forget drops the counters of targets that left the list and have no work left.
func (c *Targets) forget(targets []*target.Target) {
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.ID] = true
	}
	for id, live := range c.live {
		if !listed[id] && live.InFlight.Load() == 0 {
			delete(c.live, id)
		}
	}
}
