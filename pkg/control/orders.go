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
	// OrdersLeaseDuration is how long one instance may send orders without
	// renewing the lease. If the holder crashes, orders are delayed by this
	// time and ordersLeaseGuard.
	OrdersLeaseDuration = 15 * time.Second
	ordersLeaseGuard    = 5 * time.Second
	// ordersInterval is the time between two reconciliations. It is well under
	// OrdersLeaseDuration, so that two renewals in a row may fail.
	ordersInterval = 4 * time.Second
	// standbyInterval replaces ordersInterval for an instance without the lease
	// while enough others stand by for it.
	standbyInterval = time.Minute
	// orderTimeout bounds an order from sending it to its effect on the
	// target's state. One load takes over a second, and several at once take
	// longer.
	orderTimeout     = 30 * time.Second
	orderSendTimeout = 3 * time.Second // for sending one order, and for releasing the lease
)

// SnapshotSource returns the configuration in force, or nil if there is none
// yet.
type SnapshotSource interface {
	Snapshot() *tables.Snapshot
}

// TargetSource returns the known targets.
type TargetSource interface {
	TargetSet() *target.Set
}

// OrderController orders targets to run the model, weight version and adapter
// of their pool. Only the holder of a lease sends orders, each with the fencing
// token of the lease. An order states what the target shall run, not a change,
// so it is safe to send it twice. An OrderController is not safe for concurrent
// use.
type OrderController struct {
	Lease         *Lease
	Client        engine.Client
	Configuration SnapshotSource
	Targets       TargetSource
	Clock         clock.Clock
	// EnoughStandbys reports whether enough other instances stand by for the
	// lease. Nil means never.
	EnoughStandbys func() bool
	Log            hclog.Logger

	holdsLease         bool
	unfencedOrdersFrom time.Duration            // earliest time of an order to a target that ignores fencing tokens
	pendingSince       map[string]time.Duration // when the last order was sent, by target ID
}

// NewOrderController returns a controller with a lease named "orders". The
// caller sets the other fields.
func NewOrderController(store objectstore.Store, c clock.Clock, instance, incarnation string) *OrderController {
	return &OrderController{
		Clock: c, pendingSince: make(map[string]time.Duration),
		Lease: &Lease{
			Store: store, Clock: c, Name: "orders", Instance: instance, Incarnation: incarnation,
			Duration: OrdersLeaseDuration, Guard: ordersLeaseGuard,
		},
	}
}

// Run reconciles until ctx ends and then releases the lease.
func (o *OrderController) Run(ctx context.Context) {
	for ctx.Err() == nil {
		o.Reconcile(ctx)
		wait := ordersInterval
		if !o.holdsLease && o.EnoughStandbys != nil && o.EnoughStandbys() {
			wait = standbyInterval
		}
		clock.Sleep(ctx, clock.Jitter(wait))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderSendTimeout)
	defer cancel()
	if err := o.Lease.Release(ctx); err != nil {
		o.Log.Warn("orders lease not released; it ends by itself", "after", OrdersLeaseDuration+ordersLeaseGuard, "cause", err)
	}
}

// Reconcile renews or acquires the lease and, if it is held, sends the missing
// orders.
func (o *OrderController) Reconcile(ctx context.Context) {
	if err := o.Lease.Reconcile(ctx); err != nil && ctx.Err() == nil {
		o.Log.Debug("orders lease not renewed or acquired; next round tries again", "cause", err)
	}
	if !o.Lease.Held() {
		o.holdsLease = false
		return
	}
	if !o.holdsLease {
		o.startTerm()
	}
	snapshot := o.Configuration.Snapshot()
	if snapshot == nil {
		return
	}
	o.sendMissingOrders(ctx, snapshot)
}

// startTerm runs when the lease was acquired. If the previous holder did not
// release it, its orders may still be in transit for up to orderTimeout.
func (o *OrderController) startTerm() {
	o.holdsLease = true
	o.unfencedOrdersFrom = 0
	if o.Lease.TookOver() {
		o.unfencedOrdersFrom = o.Clock.Elapsed() + orderTimeout
	}
	o.Log.Info("orders lease acquired; this instance sends orders to targets", "fence", o.Lease.Fence(), "took_over", o.Lease.TookOver())
}

func (o *OrderController) sendMissingOrders(ctx context.Context, snapshot *tables.Snapshot) {
	set := o.Targets.TargetSet()
	o.dropFinishedOrders(set, snapshot)
	for _, t := range set.Targets {
		if pool := owningPool(t, snapshot); pool != nil && o.needsOrder(t, pool) {
			o.sendOrder(ctx, t, pool)
		}
	}
}

// owningPool returns the pool that decides what a target runs, or nil: the
// first one in the table that selects it. Two pools that gave orders to the
// same target would make it reload for ever.
func owningPool(t *target.Target, snapshot *tables.Snapshot) *tables.Pool {
	for i := range snapshot.Tables.Pools {
		pool := &snapshot.Tables.Pools[i]
		if pool.Kind == tables.PoolEngine && pool.Model != "" && t.Matches(pool.Selector) {
			return pool
		}
	}
	return nil
}

// dropFinishedOrders drops pending orders that took effect, timed out, or whose
// target has no pool any more.
func (o *OrderController) dropFinishedOrders(set *target.Set, snapshot *tables.Snapshot) {
	for id, sentAt := range o.pendingSince {
		t := set.ByID[id]
		pool := (*tables.Pool)(nil)
		if t != nil {
			pool = owningPool(t, snapshot)
		}
		finished := pool == nil || matchesPool(t, pool)
		if finished || o.Clock.Elapsed()-sentAt > orderTimeout {
			delete(o.pendingSince, id)
		}
	}
}

// needsOrder reports whether an order to a target is missing and may be sent
// now.
func (o *OrderController) needsOrder(t *target.Target, pool *tables.Pool) bool {
	if _, ordered := o.pendingSince[t.ID]; ordered || t.Role != objectstore.RoleEngine {
		return false
	}
	if t.Leaving || !t.Reachable || matchesPool(t, pool) {
		return false
	}
	// All pools load from the same weight store, so all pending orders count.
	if len(o.pendingSince) >= pool.LoadLimit {
		return false
	}
	return pool.SupportsFencing || o.Clock.Elapsed() >= o.unfencedOrdersFrom
}

// matchesPool reports whether a target runs what its pool asks for.
func matchesPool(t *target.Target, pool *tables.Pool) bool {
	return t.Model == pool.Model &&
		(pool.WeightVersion == "" || t.WeightVersion == pool.WeightVersion) &&
		t.Adapter == pool.Adapter
}

func (o *OrderController) sendOrder(ctx context.Context, t *target.Target, pool *tables.Pool) {
	// The lease may have expired while this process was paused.
	if !o.Lease.Held() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(orderSendTimeout, o.Lease.Remaining()))
	defer cancel()
	order := engine.Order{
		ID: uuid.NewString(), Fence: o.Lease.Fence(), Action: engine.ActionLoadModel,
		Model: pool.Model, WeightVersion: pool.WeightVersion, Adapter: pool.Adapter,
	}
	o.pendingSince[t.ID] = o.Clock.Elapsed()
	err := o.Client.SendOrder(ctx, t.Address, order)
	o.Log.Info("order sent to target", "target", t.ID, "model", pool.Model, "weight_version", pool.WeightVersion, "fence", order.Fence, "error", err)
}
