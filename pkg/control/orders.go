package control

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

const (
	// OrdersLeaseDuration is how long one instance may give orders without renewal. A
	// stopped holder delays orders by this much and the guard.
	OrdersLeaseDuration = 15 * time.Second
	ordersGuard         = 5 * time.Second
	// ordersInterval is well under the lease, so that a renewal may fail twice.
	ordersInterval = 4 * time.Second
	// ordersSpared replaces it for instances that leave the lease to others.
	ordersSpared = time.Minute
	// orderTimeout bounds one order from sending to its effect in the target's
	// state. A load takes over a second, and several at once take longer.
	orderTimeout = 30 * time.Second
	orderSend    = 3 * time.Second
)

// SnapshotSource returns the configuration in force, or nil.
type SnapshotSource interface {
	Snapshot() *tables.Snapshot
}

// TargetSource returns the known targets.
type TargetSource interface {
	Set() *target.Set
}

// OrderController makes targets run the model, weight version and adapter of their pool.
// One instance at a time gives orders, under a lease whose fencing number goes
// with each order. OrderController state what a target shall run, not a step, so giving
// one twice does no harm.
type OrderController struct {
	Lease         *Lease
	Client        engine.Client
	Configuration SnapshotSource
	Targets       TargetSource
	Clock         clock.Clock
	// EnoughStandbys reports whether enough other instances stand by for the lease; nil
	// means never.
	EnoughStandbys func() bool
	Log            hclog.Logger

	holding    bool
	quietUntil time.Duration            // earliest order to a target that ignores fencing numbers
	pending    map[string]time.Duration // when the last order to a target was sent
}

// NewOrderController returns the controller of an instance.
func NewOrderController(store objectstore.Store, c clock.Clock, instance, incarnation string) *OrderController {
	return &OrderController{
		Clock: c, pending: make(map[string]time.Duration),
		Lease: &Lease{
			Store: store, Clock: c, Name: "orders", Instance: instance, Incarnation: incarnation,
			Duration: OrdersLeaseDuration, Guard: ordersGuard,
		},
	}
}

// Run reconciles until ctx ends and then releases the lease.
func (o *OrderController) Run(ctx context.Context) {
	for ctx.Err() == nil {
		o.Reconcile(ctx)
		wait := ordersInterval
		if !o.holding && o.EnoughStandbys != nil && o.EnoughStandbys() {
			wait = ordersSpared
		}
		clock.Sleep(ctx, clock.Jitter(wait))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderSend)
	defer cancel()
	if err := o.Lease.Release(ctx); err != nil {
		o.Log.Warn("orders lease not released; it ends by itself", "after", OrdersLeaseDuration+ordersGuard, "cause", err)
	}
}

// Reconcile renews the lease and orders what is missing.
func (o *OrderController) Reconcile(ctx context.Context) {
	if err := o.Lease.Reconcile(ctx); err != nil && ctx.Err() == nil {
		o.Log.Debug("orders lease not renewed", "cause", err)
	}
	if !o.Lease.Held() {
		o.holding = false
		return
	}
	if !o.holding {
		o.begin()
	}
	snapshot := o.Configuration.Snapshot()
	if snapshot == nil {
		return
	}
	o.orderMissing(ctx, snapshot)
}

// begin starts a term. Orders of a previous holder that did not release may
// still be on their way for the length of the longest order.
func (o *OrderController) begin() {
	o.holding = true
	o.quietUntil = 0
	if o.Lease.TookOver() {
		o.quietUntil = o.Clock.Elapsed() + orderTimeout
	}
	o.Log.Info("giving orders to targets", "fence", o.Lease.Fence(), "took_over", o.Lease.TookOver())
}

func (o *OrderController) orderMissing(ctx context.Context, snapshot *tables.Snapshot) {
	set := o.Targets.Set()
	o.settle(set, snapshot)
	for _, t := range set.Targets {
		if pool := owner(t, snapshot); pool != nil && o.needsOrder(t, pool) {
			o.send(ctx, t, pool)
		}
	}
}

// owner returns the pool that decides what a target runs: the first one in the
// table that selects it. Two pools that ordered the same target in turn would
// reload it for ever.
func owner(t *target.Target, snapshot *tables.Snapshot) *tables.Pool {
	for i := range snapshot.Tables.Pools {
		pool := &snapshot.Tables.Pools[i]
		if pool.Kind == tables.PoolEngine && pool.Model != "" && t.Matches(pool.Selector) {
			return pool
		}
	}
	return nil
}

// settle forgets orders that took effect or ran out of time.
func (o *OrderController) settle(set *target.Set, snapshot *tables.Snapshot) {
	for id, sentAt := range o.pending {
		t := set.ByID[id]
		pool := (*tables.Pool)(nil)
		if t != nil {
			pool = owner(t, snapshot)
		}
		done := pool == nil || runs(t, pool)
		if done || o.Clock.Elapsed()-sentAt > orderTimeout {
			delete(o.pending, id)
		}
	}
}

func (o *OrderController) needsOrder(t *target.Target, pool *tables.Pool) bool {
	if _, ordered := o.pending[t.ID]; ordered || t.Role != objectstore.RoleEngine {
		return false
	}
	if t.Leaving || !t.Reachable || runs(t, pool) {
		return false
	}
	// The weight store is shared, so loads for all pools count.
	if len(o.pending) >= pool.LoadLimit {
		return false
	}
	return pool.Fencing || o.Clock.Elapsed() >= o.quietUntil
}

// runs reports whether a target has what its pool asks for.
func runs(t *target.Target, pool *tables.Pool) bool {
	return t.Model == pool.Model &&
		(pool.WeightVersion == "" || t.WeightVersion == pool.WeightVersion) &&
		t.Adapter == pool.Adapter
}

func (o *OrderController) send(ctx context.Context, t *target.Target, pool *tables.Pool) {
	// The lease may have ended while this process was paused.
	if !o.Lease.Held() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(orderSend, o.Lease.Remaining()))
	defer cancel()
	order := engine.Order{
		ID: uuid.NewString(), Fence: o.Lease.Fence(), Action: engine.ActionLoadModel,
		Model: pool.Model, WeightVersion: pool.WeightVersion, Adapter: pool.Adapter,
	}
	o.pending[t.ID] = o.Clock.Elapsed()
	err := o.Client.Order(ctx, t.Address, order)
	o.Log.Info("target ordered", "target", t.ID, "model", pool.Model, "weight_version", pool.WeightVersion, "fence", order.Fence, "error", err)
}
