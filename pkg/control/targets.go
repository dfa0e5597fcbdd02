package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

const (
	// targetInterval is the time between two looks at the instance list and two
	// reads of the state of an observed target. A leaving target must be passed
	// over in seconds.
	targetInterval = time.Second
	// stateTimeout bounds the read of one target's state.
	stateTimeout = 800 * time.Millisecond
	// stateAttempts is the number of reads in a row that must fail. The first one
	// of an instance that was paused for a moment fails without reason.
	stateAttempts = 2
	// maxStateReads bounds the reads that run at the same time.
	maxStateReads = 32
	// staleAfter is the age of the last confirmation from which an instance reads
	// a target that others should observe. Confirmations are usually not older
	// than a read interval and 3 s on their way through 410 instances.
	staleAfter = 3500 * time.Millisecond
	// staleInterval is the time between two looks for such targets.
	staleInterval = 250 * time.Millisecond
	// maxStaleReads bounds the reads at each look to 16 a second: about 0.3 % of
	// a core and 7 KB/s. Each spreads as a confirmation, so that the instances
	// together get through many targets.
	maxStaleReads = 4
)

// errLate means that the answer was read long after it was sent, because this
// process was paused.
var errLate = errors.New("the read took longer than its timeout")

// TargetController observes the targets. The instance list says which there are; each
// engine's own state says what it is and whether it is leaving, and is newer.
type TargetController struct {
	List   objectstore.InstanceList
	Client engine.Client
	// Replicator divides the reads with the peers. Without it, all targets are read.
	Replicator *TargetStateReplicator
	Log        hclog.Logger

	set   atomic.Pointer[target.Set]
	ready atomic.Bool
	once  sync.Once
	table *targetTable

	observers observers // used by the goroutine that calls Reconcile only

	mu       sync.Mutex // guards the rest, and serialises publishing
	rows     []objectstore.Instance
	live     map[string]*target.LiveState // by target id
	listed   map[string]time.Time         // when a target was first listed
	observed map[string]bool              // ids of the targets read here, nil for all
}

// Set returns the known targets.
func (c *TargetController) Set() *target.Set {
	if s := c.set.Load(); s != nil {
		return s
	}
	return target.NewSet(nil)
}

// Ready reports whether the states of the targets of a known instance list have
// been read, here or by a peer, at least once.
func (c *TargetController) Ready() bool { return c.ready.Load() }

// Observes reports whether this instance reads the state of a target each second.
func (c *TargetController) Observes(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.observed == nil || c.observed[id]
}

func (c *TargetController) init() {
	c.once.Do(func() {
		c.live, c.listed = make(map[string]*target.LiveState), make(map[string]time.Time)
		c.table = newTargetTable()
		if c.Replicator != nil {
			c.table = c.Replicator.table
		}
	})
}

// Run reconciles until ctx ends.
func (c *TargetController) Run(ctx context.Context) {
	c.init()
	var group sync.WaitGroup
	defer group.Wait()
	var rows []objectstore.Instance
	for ctx.Err() == nil {
		listed, err := c.List.Instances(ctx)
		if err == nil {
			rows = listed
		} else if ctx.Err() == nil {
			c.Log.Warn("instance list does not answer; the last one is used", "cause", err)
		}
		if err == nil && !c.ready.Load() {
			c.start(ctx, rows, &group)
		}
		c.Reconcile(ctx, rows)
		if err == nil {
			c.ready.Store(true)
		}
		clock.Sleep(ctx, clock.Jitter(targetInterval))
	}
}

// start gets the states that peers know, and reads the others at once.
func (c *TargetController) start(ctx context.Context, rows []objectstore.Instance, group *sync.WaitGroup) {
	if c.Replicator == nil {
		return
	}
	c.take(rows)
	c.Replicator.join(ctx)
	c.readStates(ctx, c.stale(0))
	group.Go(func() { c.followChanges(ctx) })
	group.Go(func() { c.followStale(ctx) })
}

// followChanges publishes records of peers as they arrive.
func (c *TargetController) followChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Replicator.changed:
			c.publish()
		}
	}
}

// followStale reads targets whose observers are silent.
func (c *TargetController) followStale(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, clock.Jitter(staleInterval))
		rows := c.stale(staleAfter)
		rand.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
		c.readStates(ctx, rows[:min(len(rows), maxStaleReads)])
	}
}

// stale returns the engines whose state has not been confirmed for staleAfter
// and that have been listed for a grace period, in which their observers
// usually read them.
func (c *TargetController) stale(grace time.Duration) []objectstore.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var rows []objectstore.Instance
	for _, row := range c.rows {
		if row.Role != objectstore.RoleEngine || now.Sub(c.listed[row.ID]) < grace {
			continue
		}
		if _, confirmed := c.table.view(row.ID); now.Sub(confirmed) > staleAfter {
			rows = append(rows, row)
		}
	}
	return rows
}

// Reconcile reads the state of the observed targets and publishes a new set.
func (c *TargetController) Reconcile(ctx context.Context, rows []objectstore.Instance) {
	c.init()
	c.take(rows)
	c.readStates(ctx, c.choose(rows))
	c.publish()
}

// take notes the rows of targets.
func (c *TargetController) take(rows []objectstore.Instance) {
	now := time.Now()
	var targets []objectstore.Instance
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		if row.Role != objectstore.RoleRouter {
			targets = append(targets, row)
			listed[row.ID] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows = targets
	for id := range listed {
		if _, ok := c.listed[id]; !ok {
			c.listed[id] = now
		}
	}
	c.forget(listed)
}

// forget drops what belongs to targets that left the list: the counters once no
// work is left.
func (c *TargetController) forget(listed map[string]bool) {
	for id, live := range c.live {
		if !listed[id] && live.InFlight.Load() == 0 {
			delete(c.live, id)
		}
	}
	for id := range c.listed {
		if !listed[id] {
			delete(c.listed, id)
		}
	}
	c.table.forget(listed)
}

// choose returns the engines that this instance observes.
func (c *TargetController) choose(rows []objectstore.Instance) []objectstore.Instance {
	var engines []objectstore.Instance
	var ids []string
	for _, row := range rows {
		if row.Role == objectstore.RoleEngine {
			engines = append(engines, row)
			ids = append(ids, row.ID)
		}
	}
	if c.Replicator == nil {
		return engines
	}
	own := c.observers.choose(c.Replicator.instances.Self.ID, c.Replicator.instances.LivePeerIDs(), ids)
	c.mu.Lock()
	c.observed = own
	c.mu.Unlock()
	var chosen []objectstore.Instance
	for _, row := range engines {
		if own[row.ID] {
			chosen = append(chosen, row)
		}
	}
	return chosen
}

func (c *TargetController) readStates(ctx context.Context, rows []objectstore.Instance) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxStateReads)
	for _, row := range rows {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			c.readState(ctx, row)
		})
	}
	group.Wait()
}

// readState reads the state of a target and passes a change on.
func (c *TargetController) readState(ctx context.Context, row objectstore.Instance) {
	attempts := stateAttempts
	if known, _ := c.table.view(row.ID); known.Version > 0 && !known.Reachable {
		// A frozen target must not delay the reads of the others twice as long.
		attempts = 1
	}
	var began time.Time
	for range attempts {
		began = time.Now()
		state, err := c.readOnce(ctx, row.Address)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			c.liveOf(row.ID).RecordLoad(state.Load, began)
			c.pass(row.ID, c.table.observe(row.ID, state, began))
			return
		}
	}
	c.pass(row.ID, c.table.fail(row.ID, c.Observes(row.ID), began))
}

func (c *TargetController) readOnce(ctx context.Context, address string) (engine.State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	began := time.Now()
	state, err := c.Client.State(ctx, address)
	if err == nil && time.Since(began) > 2*stateTimeout {
		err = errLate
	}
	return state, err
}

func (c *TargetController) pass(id string, changed bool) {
	if changed && c.Replicator != nil {
		c.Replicator.publish(id)
	}
}

func (c *TargetController) liveOf(id string) *target.LiveState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.liveLocked(id)
}

// liveLocked runs under mu.
func (c *TargetController) liveLocked(id string) *target.LiveState {
	live := c.live[id]
	if live == nil {
		live = &target.LiveState{}
		c.live[id] = live
	}
	return live
}

// publish makes a set of the list and the known states.
func (c *TargetController) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.Set()
	var targets []*target.Target
	for _, row := range c.rows {
		t := c.fromRow(row)
		targets = append(targets, t)
		c.logChange(t, previous.ByID[t.ID])
	}
	c.set.Store(target.NewSet(targets))
}

func (c *TargetController) fromRow(row objectstore.Instance) *target.Target {
	t := &target.Target{
		ID: row.ID, Role: row.Role, Address: row.Address, Zone: row.Zone,
		Labels: row.Labels, Leaving: row.Leaving, Live: c.liveLocked(row.ID),
		Reachable: row.Role == objectstore.RoleService,
	}
	if row.Role != objectstore.RoleEngine {
		return t
	}
	record, _ := c.table.view(row.ID)
	t.Reachable, t.Incarnation = record.Reachable, record.Incarnation
	t.Model, t.WeightVersion, t.Adapter = record.Model, record.WeightVersion, record.Adapter
	t.CanResume = record.CanResume
	t.Leaving = t.Leaving || record.Leaving
	t.Load, _ = t.NewestLoad()
	return t
}

func (c *TargetController) logChange(t, previous *target.Target) {
	if previous == nil {
		return
	}
	if previous.Incarnation != "" && previous.Incarnation != t.Incarnation {
		c.Log.Info("target restarted", "target", t.ID, "incarnation", t.Incarnation)
	}
	if previous.Reachable && !t.Reachable {
		c.Log.Warn("target does not answer", "target", t.ID, "address", t.Address)
	}
}
