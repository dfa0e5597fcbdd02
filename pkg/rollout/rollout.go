// Package rollout brings targets to the newest weights. One instance at a time
// gives the orders, under a lease.
package rollout

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

const (
	// LeaseDuration is how long one instance may give orders without renewal.
	// Source: with the pause between holders and the loads themselves it must
	// fit into the bound for new weights.
	LeaseDuration = 1500 * time.Millisecond
	// holderTick is the time between renewals, so that one may fail.
	holderTick = 500 * time.Millisecond
	// standbyTick is the time between looks of the others at the lease, for up
	// to standbyInstances of them. With more, each looks less often.
	standbyTick      = 500 * time.Millisecond
	standbyInstances = 8
	// workTick is the time between looks at the targets while orders are open.
	workTick = 150 * time.Millisecond
	// orderTimeout bounds one call to a target.
	orderTimeout = 700 * time.Millisecond
	// loadTime is how long a target is left alone after it accepted an order.
	// Source: the engines' sheet, 1.3 s a load.
	loadTime = 1250 * time.Millisecond
	// lateOrder is how long an order without an answer may still be carried out.
	lateOrder = 2 * time.Second
	// handoverSlack is added to the pause between two holders.
	handoverSlack = 300 * time.Millisecond
)

// Status is what a target says of itself.
type Status struct {
	Busy           bool
	AcceptedOrders int64 // accepted since its start
	Versions       map[string]string
}

// Result is the answer to an order.
type Result int

// Results of an order.
const (
	OrderAccepted   Result = iota
	AlreadyLoaded          // the target has the weights already
	OrderRefused           // another order is in progress, or one came between
	OrderInvalid           // the target does not know the weights
	OrderUnanswered        // no answer: it may be carried out, now or later
	OrderNotSent
)

// Order asks a target to load weights.
type Order struct {
	Model, Version string
	Holder         string
	Fence          uint64
	ExpectedOrders int64 // orders accepted so far; the target refuses it otherwise
}

// Client gives orders to targets.
type Client interface {
	Status(ctx context.Context, t *target.Target) (Status, error)
	Order(ctx context.Context, t *target.Target, o Order) (Result, error)
}

// TargetSource is what the rollout knows of targets and weights.
type TargetSource interface {
	ForEachPool(f func(pool string, targets []*target.Target))
	NewestVersion(model string) string
	RunsVersion(t *target.Target, version string)
}

// Controller is the controller.
type Controller struct {
	Lease         *control.Lease
	Clock         clock.Clock
	Source        TargetSource
	Client        Client
	Holder        string
	HandoverPause time.Duration // pause between the orders of two holders
	// InstanceCount is the number of instances that stand by; nil means few.
	InstanceCount func() int
	Log           hclog.Logger

	holding    bool
	quietUntil time.Duration
	renewedAt  time.Duration
	open       map[string]*opened
}

// opened is an order that may still be in progress.
type opened struct {
	version string
	checkAt time.Duration
	until   time.Duration
}

// Run gives orders while this instance holds the lease, until ctx ends.
func (r *Controller) Run(ctx context.Context) {
	r.open = make(map[string]*opened)
	for ctx.Err() == nil {
		clock.Sleep(ctx, r.round(ctx))
	}
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	if err := r.Lease.Release(release); err != nil {
		r.Log.Warn("lease for orders not released; it ends by itself", "after", LeaseDuration, "cause", err)
	}
}

// round renews the lease when it is time, gives orders, and returns the time
// until the next round.
func (r *Controller) round(ctx context.Context) time.Duration {
	now := r.Clock.Elapsed()
	if !r.holding || now-r.renewedAt >= holderTick || !r.Lease.Held() {
		if err := r.Lease.Reconcile(ctx); err != nil && ctx.Err() == nil {
			r.Log.Debug("lease for orders not renewed", "cause", err)
		}
		r.renewedAt = r.Clock.Elapsed()
	}
	if !r.Lease.Held() {
		if r.holding {
			r.Log.Warn("lease for orders lost", "fence", r.Lease.Fence())
		}
		r.holding = false
		return clock.Jitter(standbyTick * time.Duration(max(1, r.instances()/standbyInstances)))
	}
	if !r.holding {
		r.holding = true
		clear(r.open)
		r.quietUntil = 0
		if r.Lease.Fence() > 1 {
			r.quietUntil = r.Clock.Elapsed() + LeaseDuration + r.HandoverPause + handoverSlack - r.Lease.TakeoverWait()
		}
		r.Log.Info("holds the lease for orders", "fence", r.Lease.Fence(), "took_over", r.Lease.TookOver(), "first_order_in", r.quietUntil-r.Clock.Elapsed())
	}
	if r.Clock.Elapsed() < r.quietUntil {
		return workTick
	}
	if !r.work(ctx) {
		return min(holderTick, max(0, holderTick-(r.Clock.Elapsed()-r.renewedAt)))
	}
	return workTick
}

func (r *Controller) instances() int {
	if r.InstanceCount == nil {
		return 1
	}
	return r.InstanceCount()
}

// work checks open orders and gives new ones. It reports whether any target is
// still on older weights.
func (r *Controller) work(ctx context.Context) bool {
	pending := false
	r.Source.ForEachPool(func(pool string, targets []*target.Target) {
		behind, loading, engines := r.sort(targets)
		if len(behind) == 0 && loading == 0 {
			return
		}
		pending = true
		limit := MaxParallelLoads(engines)
		for _, t := range behind {
			if loading >= limit {
				return
			}
			if r.order(ctx, t) {
				loading++
			}
		}
	})
	return pending
}

// sort returns the targets that need an order, the number of those that load,
// and the number of engines.
func (r *Controller) sort(targets []*target.Target) (behind []*target.Target, loading, engines int) {
	now := r.Clock.Elapsed()
	for _, t := range targets {
		if !t.Engine {
			continue
		}
		engines++
		newest := r.Source.NewestVersion(t.Model)
		if newest == "" || t.WeightVersion == newest {
			delete(r.open, t.Key())
			continue
		}
		if t.Leaving {
			continue
		}
		if o := r.open[t.Key()]; o != nil {
			if now < o.until {
				loading++
			}
			if now < o.checkAt {
				continue
			}
		}
		behind = append(behind, t)
	}
	SortByLoadOrder(behind)
	return behind, loading, engines
}

// order brings one target closer to the newest weights and reports whether it
// loads now.
func (r *Controller) order(ctx context.Context, t *target.Target) bool {
	newest := r.Source.NewestVersion(t.Model)
	if !r.Lease.Held() {
		return false
	}
	call, cancel := context.WithTimeout(ctx, min(orderTimeout, r.Lease.Remaining()))
	defer cancel()
	status, err := r.Client.Status(call, t)
	if err != nil {
		r.wait(t, newest, workTick, 0)
		r.Log.Info("target does not tell its state", "target", t.ID, "cause", err)
		return false
	}
	if status.Versions[t.Model] == newest {
		r.Source.RunsVersion(t, newest)
		delete(r.open, t.Key())
		return false
	}
	if status.Busy {
		r.wait(t, newest, workTick, workTick)
		return true
	}
	if !r.Lease.Held() {
		return false
	}
	order := Order{Model: t.Model, Version: newest, Holder: r.Holder, Fence: r.Lease.Fence(), ExpectedOrders: status.AcceptedOrders}
	result, err := r.Client.Order(call, t, order)
	r.Log.Info("target ordered to load weights", "target", t.ID, "model", t.Model, "weights", newest, "before", t.WeightVersion,
		"fence", order.Fence, "after", order.ExpectedOrders, "result", int(result), "cause", err)
	switch result {
	case OrderAccepted:
		r.wait(t, newest, loadTime, loadTime+2*workTick)
		return true
	case AlreadyLoaded:
		r.Source.RunsVersion(t, newest)
		return false
	case OrderUnanswered:
		r.wait(t, newest, lateOrder/2, lateOrder)
		return true
	default:
		r.wait(t, newest, 2*workTick, 0)
		return false
	}
}

func (r *Controller) wait(t *target.Target, version string, check, loading time.Duration) {
	now := r.Clock.Elapsed()
	r.open[t.Key()] = &opened{version: version, checkAt: now + check, until: now + loading}
}
