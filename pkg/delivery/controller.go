package delivery

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/follow"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

const (
	// stepInterval is the time between two judgements.
	stepInterval = 200 * time.Millisecond
	// maxToldPhases bounds the phases of orders that this instance does not know, and
	// toldPhaseTime how long they are kept: as long as a view may lack the order.
	maxToldPhases = 256
	toldPhaseTime = 10 * time.Second
	// absentPhaseTime is how long the phase of an order is kept that is missing without
	// having been deleted: the operator writes it again after the store came back from an
	// older copy.
	absentPhaseTime = 5 * time.Minute
	// minSlackAge is the age of a process from which it uses its part of the slack. By then
	// it knows the number of instances.
	minSlackAge = 10 * time.Second
	// watchMaxAge is the age of the view of the orders from which an instance reads them
	// itself although others relay them.
	watchMaxAge = 2 * time.Second
)

// Limits bound the requests that a version gets which is not judged yet.
type Limits struct {
	Share float64 // of all requests of its pool, in the whole fleet
	Slack float64 // requests beyond the share, in the whole fleet
}

// Controller carries out the deliveries of all pools at one instance. The exported fields
// must be set before use. The other methods may be called concurrently.
type Controller struct {
	Store objectstore.Store
	// Kind is the kind of the orders' objects.
	Kind         string
	Parse        func(value []byte) (Order, error)
	ParseStatus  func(status []byte) Status
	EncodeStatus func(Status) ([]byte, error)
	Limits       func() Limits
	// InstanceCount returns the number of instances, or zero if it is not known yet.
	InstanceCount func() int
	// Incarnations returns the incarnations of all instances that are known to live.
	Incarnations func() []string
	// Rank returns the place of this instance in the order of those that act for a pool.
	Rank        func(pool string) int
	Targets     func(pool string) []*target.Target
	Incarnation string
	WatchWait   time.Duration // how long the store holds a watch without changes
	FedByPeer   func() bool
	OnChange    func()
	Clock       clock.Clock
	StoreHealth *follow.StoreHealth
	Metrics     *expvar.Map
	Log         hclog.Logger

	once      sync.Once
	follower  *follow.Follower
	startedAt time.Duration // boot time

	mu           sync.Mutex
	pools        map[string]*poolState
	maxInstances int // highest number seen
	// told are the phases of orders that others told of and that this instance has not read.
	told map[uint64]toldPhase
}

type toldPhase struct {
	phase Phase
	until time.Duration // boot time
}

// poolState is what the controller knows about one pool.
type poolState struct {
	versions versions
	delivery *delivery // newest order; nil: none
	times    map[uint32]*answerTimes
	routes   map[uint32]string // names, for logs

	// The last division of the pool's targets, which holds for the same list and order.
	splitOf    []*target.Target
	splitOrder uint64
	splitAt    time.Duration
	parts      split
	usableOf   []*target.Target
	usableAt   time.Duration
	usable     []*target.Target
}

// forgetLists makes the next calls divide the targets anew.
func (p *poolState) forgetLists() { p.splitOf, p.parts, p.usableOf = nil, split{}, nil }

// pool returns the state of a pool. The caller holds mu.
func (c *Controller) pool(name string) *poolState {
	if c.pools == nil {
		c.pools = make(map[string]*poolState)
	}
	p := c.pools[name]
	if p == nil {
		p = &poolState{versions: newVersions(), times: make(map[uint32]*answerTimes), routes: make(map[uint32]string)}
		c.pools[name] = p
	}
	return p
}

func (p *poolState) timesOf(route uint32) *answerTimes {
	if p.times[route] == nil {
		p.times[route] = &answerTimes{}
	}
	return p.times[route]
}

// usableTargets returns the targets that may be used without an order.
func (p *poolState) usableTargets(all []*target.Target, now time.Duration) []*target.Target {
	if !sameList(all, p.usableOf) || now-p.usableAt >= stepInterval {
		p.versions.update(all, now)
		p.usableOf, p.usable, p.usableAt = all, p.versions.usable(all), now
		if len(p.usable) == 0 {
			p.usable = all // nothing but versions that were taken out of use is left
		}
	}
	return p.usable
}

// split returns the division of the pool's targets during its delivery.
func (c *Controller) split(p *poolState, all []*target.Target, now time.Duration) split {
	d := p.delivery
	if !sameList(all, p.splitOf) || p.splitOrder != d.id || now-p.splitAt >= stepInterval {
		p.splitOf, p.splitOrder, p.splitAt = all, d.id, now
		p.parts = p.versions.split(all, d.order, c.share(), now)
	}
	d.sawOld = d.sawOld || len(p.parts.old) > 0
	return p.parts
}

// sameList reports whether two lists are the same slice.
func sameList(a, b []*target.Target) bool {
	return len(a) == len(b) && a != nil && b != nil && (len(a) == 0 || &a[0] == &b[0])
}

// share returns the share of requests that the trial may expose.
func (c *Controller) share() float64 { return trialPart * c.Limits().Share }

// slack returns the part of the slack that this process may use for a delivery. It is none
// for an order that is older than the process, whose predecessor may have used it, and for
// a process that may not know the number of instances yet. The number that was highest
// counts: entries of instances may be missing in the store for a while.
func (c *Controller) slack(d *delivery) float64 {
	c.maxInstances = max(c.maxInstances, c.InstanceCount())
	if c.maxInstances == 0 || !d.observed || c.Clock.Elapsed()-c.startedAt < minSlackAge {
		return 0
	}
	return trialPart * c.Limits().Slack / float64(c.maxInstances)
}

// Follower returns the follower of the orders, the same one on each call.
func (c *Controller) Follower() *follow.Follower {
	c.once.Do(func() {
		c.startedAt = c.Clock.Elapsed()
		c.follower = &follow.Follower{
			Store: c.Store, Kind: c.Kind, Replace: c.replace, Apply: c.apply, FedByPeer: c.FedByPeer, MaxViewAge: watchMaxAge,
			WatchWait: c.WatchWait, OnChange: c.OnChange, Clock: c.Clock, StoreHealth: c.StoreHealth, Log: c.Log,
		}
	})
	return c.follower
}

// HasSynced reports whether the orders have been read at least once. A nil controller has
// none to read.
func (c *Controller) HasSynced() bool { return c == nil || c.Follower().SyncState().IsSynced }

// Run follows the orders and carries them out until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { c.Follower().Run(ctx) })
	group.Go(func() { c.writeStore(ctx) })
	for clock.Sleep(ctx, clock.Jitter(stepInterval)) {
		c.Step()
	}
	group.Wait()
}

func (c *Controller) replace(objects []objectstore.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[string]bool)
	for _, o := range objects {
		if pool := c.applyOrder(o); pool != "" {
			listed[pool] = true
		}
	}
	for name, p := range c.pools {
		if !listed[name] {
			c.markMissing(p)
		}
	}
}

func (c *Controller) apply(events []objectstore.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range events {
		if !e.Deleted {
			c.applyOrder(e.Object)
			continue
		}
		for _, p := range c.pools {
			if d := p.delivery; d != nil && d.order.Pool == e.Object.Name && e.Object.Version >= d.objectVersion {
				c.end(p)
				delete(c.told, d.id)
			}
		}
	}
}

func (c *Controller) markMissing(p *poolState) {
	if d := p.delivery; d != nil && d.missingAt == 0 {
		d.missingAt = c.Clock.Elapsed()
		c.Log.Warn("the order of a delivery is missing; its version gets no requests until it is back", "pool", d.order.Pool, "version", d.order.Version, "phase", d.phase)
	}
}

// applyOrder applies the object of an order and returns its pool, or "". The caller
// holds mu.
func (c *Controller) applyOrder(o objectstore.Object) string {
	order, err := c.Parse(o.Value)
	if err == nil && order.Pool != o.Name {
		c.Log.Warn("an order of a delivery is under the name of another pool and is ignored", "name", o.Name, "pool", order.Pool)
		return ""
	}
	if err != nil {
		c.Log.Warn("an order of a delivery cannot be decoded and is ignored", "name", o.Name, "revision", o.Version, "cause", err)
		return ""
	}
	p := c.pool(order.Pool)
	if p.delivery == nil || p.delivery.id != order.ID() {
		c.start(p, order)
	}
	d := p.delivery
	d.missingAt = 0
	d.objectVersion = o.Version
	d.status = c.ParseStatus(o.Status)
	if d.status.Version == order.Version && d.status.Phase.IsFinal() {
		c.raise(d, d.status.Phase, "status in the store")
	}
	return order.Pool
}

// start begins the delivery of a new order. The version of the one before it gets no
// requests, unless it was completed.
func (c *Controller) start(p *poolState, order Order) {
	now := c.Clock.Elapsed()
	if p.delivery != nil {
		c.end(p)
	}
	d := newDelivery(order, xxhash.Sum64String(c.Incarnation))
	p.delivery = d
	p.forgetLists()
	delete(p.versions.blocked, order.Version)
	if before := c.follower.CompleteUntil(); before > 0 {
		// After an outage the view is older; the order was hardly given while the store
		// took none.
		d.setTime(max(before, now-watchMaxAge), timeObserved)
		d.observed = true
		d.isInForce = p.versions.isOnlyAccepted(order.Version)
	}
	c.Metrics.Add("delivery_orders", 1)
	c.Log.Info("delivery ordered", "pool", order.Pool, "version", order.Version, "duration", order.Duration, "age", d.age(now), "age_known", d.timeSource != timeUnknown)
	if told := c.told[d.id]; now <= told.until {
		c.raise(d, told.phase, "known from before or told by another instance")
	}
}

// end removes the delivery of a pool whose order is gone or replaced.
func (c *Controller) end(p *poolState) {
	d := p.delivery
	p.delivery = nil
	p.forgetLists()
	if d.phase != PhaseCompleted {
		p.versions.block(d.order.Version)
	}
	c.Log.Info("the order of a delivery is gone", "pool", d.order.Pool, "version", d.order.Version, "phase", d.phase)
}

// remember keeps the phase of an order that is not in the view yet.
func (c *Controller) remember(id uint64, phase Phase, keep time.Duration) {
	now := c.Clock.Elapsed()
	if c.told == nil || len(c.told) >= maxToldPhases {
		c.told = make(map[uint64]toldPhase)
	}
	if known := c.told[id]; phase >= known.phase || now > known.until {
		c.told[id] = toldPhase{phase, max(now+keep, known.until)}
	}
}

// raise takes over a phase, and logs and counts it. The caller holds mu.
func (c *Controller) raise(d *delivery, phase Phase, cause string) {
	now := c.Clock.Elapsed()
	if !d.raise(phase, now) {
		return
	}
	if p := c.pool(d.order.Pool); phase == PhaseCompleted && p.delivery == d {
		p.versions.accept(d.order.Version, p.parts.old)
		p.forgetLists()
	}
	f := d.finding
	c.Metrics.Add("delivery_phase_"+phaseMetric(phase), 1)
	c.Log.Info("delivery goes on", "pool", d.order.Pool, "version", d.order.Version, "phase", phase, "cause", cause, "age", d.age(now), "duration", d.order.Duration,
		"exposed", d.allowance.exposed, "of", d.allowance.sent, "verdict", f.Verdict, "reason", f.Reason, "route", c.pool(d.order.Pool).routes[f.Route], "new", f.New, "old", f.Old, "bound", f.Bound, "threshold", f.Threshold)
}

func phaseMetric(p Phase) string {
	switch p {
	case PhaseMoving:
		return "moving"
	case PhaseRolledBack:
		return "rolled_back"
	}
	return "completed"
}

// Step judges the open deliveries and takes the next step of each.
func (c *Controller) Step() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Elapsed()
	c.maxInstances = max(c.maxInstances, c.InstanceCount())
	for name, p := range c.pools {
		targets := c.Targets(name)
		d := p.delivery
		switch {
		case d == nil:
			p.usableTargets(targets, now)
			continue
		case d.missingAt > 0 && now-d.missingAt >= withdrawalTime:
			c.end(p)
			c.remember(d.id, d.phase, absentPhaseTime)
			continue
		case d.phase == PhaseCompleted:
			p.usableTargets(targets, now)
			d.updateOwnRow(targets, now)
			continue
		}
		parts := c.split(p, targets, now)
		d.updateOwnRow(targets, now)
		if d.phase.IsFinal() || d.missingAt > 0 {
			continue
		}
		d.judge(now, len(parts.new))
		c.logFinding(d)
		c.act(d, parts, now)
	}
}

// logFinding logs a verdict when it or its reason changes.
func (c *Controller) logFinding(d *delivery) {
	f := d.finding
	text := f.Verdict.String() + " " + f.Reason
	if text == d.loggedFinding {
		return
	}
	d.loggedFinding = text
	c.Log.Info("version judged", "pool", d.order.Pool, "version", d.order.Version, "verdict", f.Verdict, "reason", f.Reason, "route", c.pool(d.order.Pool).routes[f.Route],
		"new", f.New, "old", f.Old, "bound", f.Bound, "threshold", f.Threshold, "processes", 1+len(d.rows))
}

// act takes the next step of a delivery.
func (c *Controller) act(d *delivery, parts split, now time.Duration) {
	movingFor := time.Duration(0)
	if d.phase == PhaseMoving {
		movingFor = now - d.movingAt
	}
	action := Decide(Situation{
		Phase: d.phase, Duration: d.order.Duration, Age: d.age(now), Finding: d.finding, Rank: c.Rank(d.order.Pool),
		OldTargets: countUsable(parts.old), NewTargets: countUsable(parts.new), SawOld: d.sawOld, IsInForce: d.isInForce && !d.sawOld,
		StoreLost: c.StoreHealth.IsLost(), MovingFor: movingFor, AllMoved: d.allMoved(c.processes()),
	})
	switch action {
	case ActionRollBack:
		c.raise(d, PhaseRolledBack, "judged by this instance")
	case ActionMove:
		c.raise(d, PhaseMoving, "decided by this instance")
	case ActionComplete:
		d.wantsComplete = true
	}
}

// processes returns the identifiers of all instances' processes in messages.
func (c *Controller) processes() []uint64 {
	var out []uint64
	for _, incarnation := range c.Incarnations() {
		out = append(out, xxhash.Sum64String(incarnation))
	}
	return out
}

// Notices returns the messages about the deliveries for other instances.
func (c *Controller) Notices() [][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Elapsed()
	var out [][]byte
	for _, p := range c.pools {
		d := p.delivery
		if d == nil || d.isKnownToHaveEnded(now) {
			continue
		}
		n := notice{OrderID: d.id, Phase: d.phase, IsInForce: d.isInForce && !d.sawOld}
		if d.timeSource >= timeTold {
			n.AgeMS = uint32(max(1, d.age(now).Milliseconds()))
		}
		encoded, err := encodeNotice(n, d.noticeRows())
		if err != nil {
			c.Log.Warn("cannot encode a message about a delivery", "pool", d.order.Pool, "cause", err)
			continue
		}
		out = append(out, encoded)
		if d.phase != PhaseMoving {
			continue
		}
		n.Moves = d.newestMoves()
		if encoded, err = cbor.Marshal(n); err == nil {
			out = append(out, encoded)
		}
	}
	return out
}

// HandleNotice takes over a message of another instance. One that cannot be decoded is
// dropped, like one that was lost.
func (c *Controller) HandleNotice(encoded []byte) {
	var n notice
	if cbor.Unmarshal(encoded, &n) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.deliveryOf(n.OrderID)
	if d == nil {
		c.remember(n.OrderID, n.Phase, toldPhaseTime)
		return
	}
	if n.AgeMS > 0 {
		d.setTime(c.Clock.Elapsed()-time.Duration(n.AgeMS)*time.Millisecond, timeTold)
	}
	d.isInForce = d.isInForce || n.IsInForce && !d.observed
	for _, r := range n.Rows {
		d.mergeRow(r)
	}
	for _, m := range n.Moves {
		d.mergeMove(m, c.Clock.Elapsed())
	}
	c.raise(d, n.Phase, "told by another instance")
}

func (c *Controller) deliveryOf(id uint64) *delivery {
	for _, p := range c.pools {
		if p.delivery != nil && p.delivery.id == id {
			return p.delivery
		}
	}
	return nil
}
