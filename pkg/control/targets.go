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
	// targetInterval is the time between two reconciliations: reads of the
	// instance list and of the state of each observed target. Requests must
	// stop going to a leaving target within seconds.
	targetInterval = time.Second
	// stateTimeout bounds one read of a target's state.
	stateTimeout = 800 * time.Millisecond
	// stateAttempts is the number of consecutive reads that must fail for a
	// target to count as unreachable. The first read after a short pause of
	// this process can fail although the target is fine.
	stateAttempts = 2
	// maxStateReads bounds the concurrent reads.
	maxStateReads = 32
	// staleAfter is the age of the last confirmation from which an instance
	// reads a target that others should observe. Confirmations are usually at
	// most a read interval old, plus 3 s to reach 410 instances.
	staleAfter = 3500 * time.Millisecond
	// staleScanInterval is the time between two scans for such targets.
	staleScanInterval = 250 * time.Millisecond
	// maxStaleReadsPerScan limits these reads to 16 a second: about 0.3 % of a
	// core and 7 KB/s. Each read is replicated as a confirmation, so that the
	// instances together cover many targets.
	maxStaleReadsPerScan = 4
)

// errLateRead is returned for a response that was read long after it was sent,
// because this process was paused.
var errLateRead = errors.New("the read took longer than its timeout")

// TargetController observes the targets. The instance list states which targets
// exist; the state that each engine reports is newer and includes whether it is
// leaving. TargetSet, Ready and Observes are safe for concurrent use; Run and
// Reconcile are not.
type TargetController struct {
	List   objectstore.InstanceList
	Client engine.Client
	// Replicator divides the reads between the instances. If it is nil, this
	// instance reads all targets.
	Replicator *TargetStateReplicator
	Log        hclog.Logger

	set   atomic.Pointer[target.Set]
	ready atomic.Bool
	once  sync.Once
	table *targetTable

	assignment observerAssignment // used only by the goroutine that calls Reconcile

	mu          sync.Mutex // guards the fields below and serialises publish
	rows        []objectstore.Instance
	live        map[string]*target.LiveState // by target ID
	firstListed map[string]time.Time         // when a target was first listed, by ID
	observedIDs map[string]bool              // IDs of the targets that this instance reads, nil for all
}

// TargetSet returns the known targets. It is never nil.
func (c *TargetController) TargetSet() *target.Set {
	if s := c.set.Load(); s != nil {
		return s
	}
	return target.NewSet(nil)
}

// Ready reports whether the states of all targets of an instance list have been
// read, here or by a peer, at least once.
func (c *TargetController) Ready() bool { return c.ready.Load() }

// Observes reports whether this instance reads the state of a target each
// second.
func (c *TargetController) Observes(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.observedIDs == nil || c.observedIDs[id]
}

func (c *TargetController) init() {
	c.once.Do(func() {
		c.live, c.firstListed = make(map[string]*target.LiveState), make(map[string]time.Time)
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
			c.loadInitialStates(ctx, rows, &group)
		}
		c.Reconcile(ctx, rows)
		if err == nil {
			c.ready.Store(true)
		}
		clock.Sleep(ctx, clock.Jitter(targetInterval))
	}
}

// loadInitialStates fetches the known states from a peer, reads the others, and
// starts the background loops.
func (c *TargetController) loadInitialStates(ctx context.Context, rows []objectstore.Instance, group *sync.WaitGroup) {
	if c.Replicator == nil {
		return
	}
	c.setRows(rows)
	c.Replicator.join(ctx)
	c.readStates(ctx, c.staleEngines(0))
	group.Go(func() { c.publishPeerChanges(ctx) })
	group.Go(func() { c.readStaleEngines(ctx) })
}

// publishPeerChanges publishes a new set whenever the replicator has received
// records.
func (c *TargetController) publishPeerChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Replicator.changed:
			c.publish()
		}
	}
}

// readStaleEngines reads engines whose observers do not confirm their state.
func (c *TargetController) readStaleEngines(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, clock.Jitter(staleScanInterval))
		rows := c.staleEngines(staleAfter)
		rand.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
		c.readStates(ctx, rows[:min(len(rows), maxStaleReadsPerScan)])
	}
}

// staleEngines returns the engines whose state has not been confirmed for
// staleAfter and that have been listed for at least grace, in which their
// observers usually read them.
func (c *TargetController) staleEngines(grace time.Duration) []objectstore.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var rows []objectstore.Instance
	for _, row := range c.rows {
		if row.Role != objectstore.RoleEngine || now.Sub(c.firstListed[row.ID]) < grace {
			continue
		}
		if _, confirmed := c.table.lookup(row.ID); now.Sub(confirmed) > staleAfter {
			rows = append(rows, row)
		}
	}
	return rows
}

// Reconcile reads the state of the observed targets of rows and publishes a new
// set.
func (c *TargetController) Reconcile(ctx context.Context, rows []objectstore.Instance) {
	c.init()
	c.setRows(rows)
	c.readStates(ctx, c.assignedEngines(rows))
	c.publish()
}

// setRows stores the rows of targets and drops what is known of targets that
// are not listed any more.
func (c *TargetController) setRows(rows []objectstore.Instance) {
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
		if _, ok := c.firstListed[id]; !ok {
			c.firstListed[id] = now
		}
	}
	c.dropUnlisted(listed)
}

// dropUnlisted drops the data of unlisted targets. The live state of a target
// stays while it has requests in flight. It runs under mu.
func (c *TargetController) dropUnlisted(listed map[string]bool) {
	for id, live := range c.live {
		if !listed[id] && live.InFlight.Load() == 0 {
			delete(c.live, id)
		}
	}
	for id := range c.firstListed {
		if !listed[id] {
			delete(c.firstListed, id)
		}
	}
	c.table.dropUnlisted(listed)
}

// assignedEngines returns the engines that this instance observes.
func (c *TargetController) assignedEngines(rows []objectstore.Instance) []objectstore.Instance {
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
	assigned := c.assignment.assign(c.Replicator.peers.Self.ID, c.Replicator.peers.LivePeerIDs(), ids)
	c.mu.Lock()
	c.observedIDs = assigned
	c.mu.Unlock()
	var rowsToRead []objectstore.Instance
	for _, row := range engines {
		if assigned[row.ID] {
			rowsToRead = append(rowsToRead, row)
		}
	}
	return rowsToRead
}

// readStates reads the states of engines in parallel and returns when all reads
// have ended.
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

// readState reads the state of an engine and replicates a change.
func (c *TargetController) readState(ctx context.Context, row objectstore.Instance) {
	attempts := stateAttempts
	if known, _ := c.table.lookup(row.ID); known.Version > 0 && !known.Reachable {
		// A second attempt at an unreachable target would only delay other reads.
		attempts = 1
	}
	var began time.Time
	for range attempts {
		began = time.Now()
		state, err := c.requestState(ctx, row.Address)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			c.liveFor(row.ID).RecordLoad(state.Load, began)
			c.replicateIfChanged(row.ID, c.table.recordRead(row.ID, state, began))
			return
		}
	}
	c.replicateIfChanged(row.ID, c.table.recordFailedRead(row.ID, c.Observes(row.ID), began))
}

// requestState makes one request for the state of an engine.
func (c *TargetController) requestState(ctx context.Context, address string) (engine.State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	began := time.Now()
	state, err := c.Client.State(ctx, address)
	if err == nil && time.Since(began) > 2*stateTimeout {
		err = errLateRead
	}
	return state, err
}

func (c *TargetController) replicateIfChanged(id string, changed bool) {
	if changed && c.Replicator != nil {
		c.Replicator.queueUpdates(id)
	}
}

// liveFor returns the live state of a target.
func (c *TargetController) liveFor(id string) *target.LiveState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.liveLocked(id)
}

// liveLocked is liveFor for callers that hold mu.
func (c *TargetController) liveLocked(id string) *target.LiveState {
	live := c.live[id]
	if live == nil {
		live = &target.LiveState{}
		c.live[id] = live
	}
	return live
}

// publish builds a new set from the listed rows and the known states.
func (c *TargetController) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.TargetSet()
	var targets []*target.Target
	for _, row := range c.rows {
		t := c.targetFromRow(row)
		targets = append(targets, t)
		c.logChange(t, previous.ByID[t.ID])
	}
	c.set.Store(target.NewSet(targets))
}

// targetFromRow combines a row with the known state of the target. It runs
// under mu.
func (c *TargetController) targetFromRow(row objectstore.Instance) *target.Target {
	t := &target.Target{
		ID: row.ID, Role: row.Role, Address: row.Address, Zone: row.Zone,
		Labels: row.Labels, Leaving: row.Leaving, Live: c.liveLocked(row.ID),
		Reachable: row.Role == objectstore.RoleService,
	}
	if row.Role != objectstore.RoleEngine {
		return t
	}
	record, _ := c.table.lookup(row.ID)
	t.Reachable, t.Incarnation = record.Reachable, record.Incarnation
	t.Model, t.WeightVersion, t.Adapter = record.Model, record.WeightVersion, record.Adapter
	t.CanResume = record.CanResume
	t.Leaving = t.Leaving || record.Leaving
	t.Load, _ = t.NewestLoad()
	return t
}

// logChange logs a restart of a target and the loss of its reachability.
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
