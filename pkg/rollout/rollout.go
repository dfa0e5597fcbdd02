// Package rollout orders targets to load the newest weights. Only the instance
// that holds a lease sends orders.
package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

const (
	// LeaseDuration is how long the lease for orders is valid without renewal.
	// Together with the pause between two holders and the loads it must fit into
	// the deadline of a rollout.
	LeaseDuration = 1500 * time.Millisecond
	// renewInterval is the time between renewals of the lease. It lets one fail
	// without losing the lease.
	renewInterval = 500 * time.Millisecond
	// standbyInterval is the time between attempts of another instance to acquire
	// the lease, with fewer than 2*standbyInstances instances. With more, it grows
	// with their number, but not for the first firstRanks.
	standbyInterval  = 500 * time.Millisecond
	standbyInstances = 8
	firstRanks       = 3
	// rankDelay is multiplied by the rank of an instance to get the time after the
	// start of a rollout, or without progress of it for all but the firstRanks, in which
	// it leaves the lease to those before it.
	rankDelay = 400 * time.Millisecond
	// lingerInterval is the time between these checks while no engine is outdated.
	lingerInterval = 1500 * time.Millisecond
	// lingerTime is how long after the last outdated target, or its start, one of the
	// firstRanks checks that no holder has died without a release.
	lingerTime = 15 * time.Second
	// pollInterval is the time between checks of the targets while some are
	// outdated.
	pollInterval = 150 * time.Millisecond
	// orderTimeout bounds one call to a target.
	orderTimeout = 700 * time.Millisecond
	// expectedLoadTime is the time between the acceptance of an order and the next
	// call to the target. A load takes about 1.3 s.
	expectedLoadTime = 1250 * time.Millisecond
	// maxConcurrentCalls bounds the targets that are called at the same time.
	maxConcurrentCalls = 32
	// endOfServiceLead is how long before the end of the use of its weights a
	// target gets its last request.
	endOfServiceLead = time.Second
	// handoverMargin is added to the pause between the orders of two holders.
	handoverMargin = 300 * time.Millisecond
)

// Status is the state that a target reports.
type Status struct {
	Busy           bool              // an order is in progress
	AcceptedOrders int64             // number of orders accepted since its start
	Versions       map[string]string // loaded weight version by model
	Notice         target.Notice
}

// Result is the outcome of an order.
type Result int

// Results of an order.
const (
	OrderAccepted   Result = iota
	AlreadyLoaded          // the target has the weights already
	OrderRefused           // another order is in progress, or was accepted since the status was read
	OrderInvalid           // the target does not know the weights
	OrderUnanswered        // no response: the order may be carried out, now or later
	OrderNotSent
)

// Order asks a target to load weights.
type Order struct {
	Model, Version string
	Holder         string
	Fence          uint64
	ExpectedOrders int64 // orders that the target has accepted so far; if the number differs, it refuses
}

// Client reads the status of targets and sends them orders. The context bounds
// each call.
type Client interface {
	// The status has the notice of the response also if there is an error.
	Status(ctx context.Context, t *target.Target) (Status, error)
	SendOrder(ctx context.Context, t *target.Target, o Order) (Result, target.Notice, error)
}

// TargetSource provides the targets and the newest weights.
type TargetSource interface {
	// ForEachPool calls f for each pool that has targets.
	ForEachPool(f func(pool string, targets []*target.Target))
	// NewestVersion returns the newest weight version announced for a model, or "".
	NewestVersion(model string) string
	// RecordReportedVersion records the weight version that a target has loaded.
	RecordReportedVersion(t *target.Target, version string)
	// RecordNotice records what a target said about new work in a response.
	RecordNotice(t *target.Target, n target.Notice)
}

// Controller orders outdated engines to load the newest weights while its
// instance holds the lease. It acquires the lease when there are outdated engines, and
// releases it once none of its orders can still have an effect. Fields must be set
// before Run.
type Controller struct {
	Lease         *control.Lease
	Clock         clock.Clock
	Source        TargetSource
	Client        Client
	Holder        string
	HandoverPause time.Duration // minimum pause between the orders of two holders
	// InstanceCount returns the number of instances that compete for the lease;
	// nil means one.
	InstanceCount func() int
	// FirstStart is set if the whole system starts for the first time, so that no
	// earlier holder exists.
	FirstStart bool
	// Rank returns the place of this instance in the order in which instances acquire
	// the lease; nil means the first.
	Rank func() int
	Log  hclog.Logger

	holdsLease    bool
	noOrdersUntil time.Duration
	renewedAt     time.Duration
	openOrders    map[string]*openOrder
	outdatedCount int
	outdatedSince time.Duration // zero while no engine is outdated
	progressAt    time.Duration // when one engine less was outdated, or outdatedSince
	lastOutdated  time.Duration // when an engine last was outdated, or the start, or a restore of the store was found
	restores      int           // of the store, as counted at the last check
	settledFrom   time.Duration // from when no order can still have an effect, while none is sent
}

// openOrder is the last order to a target, or an attempt at one. Nothing is sent
// to the target before nextCheckAt, and it counts as loading until loadsUntil.
// Both are boot times.
type openOrder struct {
	nextCheckAt time.Duration
	loadsUntil  time.Duration
	failures    int // attempts that brought no order to the target, as far as known
	// isUnanswered is set if the order had no response, and acceptedBefore is then
	// the number of orders that the target had accepted before.
	isUnanswered   bool
	acceptedBefore int64
	isBusy         bool // the target was carrying out an order at the last check
}

// Run competes for the lease and sends orders while it holds the lease, until ctx
// ends. It then releases the lease.
func (r *Controller) Run(ctx context.Context) {
	r.openOrders = make(map[string]*openOrder)
	for ctx.Err() == nil {
		clock.Sleep(ctx, r.reconcile(ctx))
	}
	r.release(context.WithoutCancel(ctx))
}

// reconcile acquires or renews the lease if it is needed, sends orders, and returns the
// time until the next call.
func (r *Controller) reconcile(ctx context.Context) time.Duration {
	now := r.Clock.Elapsed()
	r.Lease.EffectTime = r.effectTime()
	r.observeOutdated(now)
	if !r.holdsLease {
		if wait := r.timeUntilStandby(now); wait > 0 {
			return wait
		}
	}
	if r.holdsLease && r.outdatedCount == 0 && now >= max(r.settledFrom, r.noOrdersUntil) && r.Lease.Held() {
		r.release(ctx)
		return pollInterval
	}
	if !r.holdsLease || now-r.renewedAt >= renewInterval || !r.Lease.Held() {
		reconcile := r.Lease.Reconcile
		if r.outdatedCount == 0 && !r.holdsLease {
			reconcile = r.Lease.ReconcileUnsettled
		}
		if err := reconcile(ctx); err != nil && ctx.Err() == nil {
			r.Log.Debug("lease for orders not acquired or renewed; the next round tries again", "cause", err)
		}
		r.renewedAt = r.Clock.Elapsed()
	}
	if !r.Lease.Held() {
		if r.holdsLease {
			r.Log.Warn("lease for orders lost", "fence", r.Lease.Fence())
		}
		r.holdsLease = false
		if r.outdatedCount == 0 {
			return clock.Jitter(lingerInterval)
		}
		if r.rank() < firstRanks {
			return clock.Jitter(standbyInterval)
		}
		return clock.Jitter(standbyInterval * time.Duration(max(1, r.instanceCount()/standbyInstances)))
	}
	if !r.holdsLease {
		r.holdsLease = true
		// Orders that this instance sent before its lease lapsed may still have an
		// effect, so that what is known of them stays.
		if !r.Lease.Continued() {
			clear(r.openOrders)
			r.noOrdersUntil = r.Lease.EffectsEnd()
			r.settledFrom = r.Clock.Elapsed()
		}
		r.Log.Info("holds the lease for orders", "fence", r.Lease.Fence(), "took_over", r.Lease.TookOver(), "after_settled", r.Lease.AfterSettled(), "continued", r.Lease.Continued(), "first_order_in", max(0, r.noOrdersUntil-r.Clock.Elapsed()))
	}
	if r.Clock.Elapsed() < r.noOrdersUntil {
		return pollInterval
	}
	if r.outdatedCount > 0 && !r.Lease.MayAct() {
		if err := r.Lease.BeginActing(ctx); err != nil {
			r.Log.Debug("lease does not say yet that orders are sent; the next round tries again", "cause", err)
			return pollInterval
		}
		r.renewedAt = r.Clock.Elapsed()
	}
	if !r.orderOutdated(ctx) {
		return min(renewInterval, max(0, renewInterval-(r.Clock.Elapsed()-r.renewedAt)))
	}
	return pollInterval
}

// effectTime returns the time after which another holder may send orders.
func (r *Controller) effectTime() time.Duration {
	return LeaseDuration + r.HandoverPause + handoverMargin
}

// observeOutdated counts the outdated engines and records when the rollout made
// progress.
func (r *Controller) observeOutdated(now time.Duration) {
	outdated := 0
	r.Source.ForEachPool(func(_ string, targets []*target.Target) {
		for _, t := range targets {
			if t.IsEngine && !t.Leaving && target.IsNewerVersion(r.Source.NewestVersion(t.Model), t.WeightVersion) {
				outdated++
			}
		}
	})
	switch {
	case outdated == 0:
		r.outdatedSince = 0
	case r.outdatedSince == 0:
		r.outdatedSince, r.progressAt = now, now
	case outdated < r.outdatedCount:
		r.progressAt = now
	}
	if outdated > 0 || r.lastOutdated == 0 {
		r.lastOutdated = now
		if outdated == 0 && r.FirstStart {
			r.lastOutdated = now - lingerTime
		}
	}
	// After a restore the record of the lease may name a holder of the lost time. If it is
	// checked now, the next rollout need not wait for that one.
	if r.Lease.StoreHealth != nil && r.Lease.StoreHealth.Restores() > r.restores {
		r.lastOutdated, r.restores = now, r.Lease.StoreHealth.Restores()
	}
	r.outdatedCount = outdated
}

// timeUntilStandby returns the time until this instance should try to acquire the
// lease, or to take it over from a holder that has died; zero or less if it should now.
func (r *Controller) timeUntilStandby(now time.Duration) time.Duration {
	switch {
	case r.outdatedCount > 0:
		from := r.progressAt
		if r.rank() < firstRanks {
			from = r.outdatedSince
		}
		return min(pollInterval, from+time.Duration(r.rank())*rankDelay-now)
	case r.rank() < firstRanks && now-r.lastOutdated < lingerTime:
		return 0
	}
	return pollInterval
}

func (r *Controller) rank() int {
	if r.Rank == nil {
		return 0
	}
	return r.Rank()
}

// release gives the lease up. It is settled if no order can still have an effect.
func (r *Controller) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	release, now := r.Lease.Release, r.Clock.Elapsed()
	settled := now >= max(r.settledFrom, r.noOrdersUntil)
	if settled {
		release = r.Lease.ReleaseSettled
	}
	if err := release(ctx); err != nil {
		r.Log.Warn("lease for orders not released; it ends by itself", "after", LeaseDuration, "cause", err)
	} else if r.holdsLease {
		r.Log.Info("lease for orders released", "fence", r.Lease.Fence(), "settled", settled)
	}
	r.holdsLease = false
}

func (r *Controller) instanceCount() int {
	if r.InstanceCount == nil {
		return 1
	}
	return r.InstanceCount()
}

// orderOutdated sends orders to outdated targets, up to MaxParallelLoads per pool
// of those that still serve. The others have nothing to lose and load at once. It
// reports whether any target is outdated or loading.
func (r *Controller) orderOutdated(ctx context.Context) bool {
	pending := false
	r.Source.ForEachPool(func(pool string, targets []*target.Target) {
		outdated, loading, engines := r.selectOutdated(targets)
		if len(outdated) == 0 && loading == 0 {
			return
		}
		pending = true
		for limit := MaxParallelLoads(engines); ; {
			var batch []*target.Target
			batch, outdated = r.nextBatch(outdated, limit-loading)
			if len(batch) == 0 {
				return
			}
			loading += r.orderBatch(ctx, batch)
		}
	})
	return pending
}

// nextBatch returns the targets to order now: as many of those that still serve as
// there are places, and all others, up to maxConcurrentCalls. rest are those after
// the last one looked at.
func (r *Controller) nextBatch(outdated []*target.Target, places int) (batch, rest []*target.Target) {
	for n, t := range outdated {
		if len(batch) == maxConcurrentCalls {
			return batch, outdated[n:]
		}
		if serving := r.isServing(t); !serving || places > 0 {
			batch = append(batch, t)
			if serving {
				places--
			}
		}
	}
	return batch, nil
}

// orderBatch orders targets at the same time, so that one that does not answer does
// not delay the others. It returns how many count as loading.
func (r *Controller) orderBatch(ctx context.Context, batch []*target.Target) int {
	outcomes := make([]openOrder, len(batch))
	var group sync.WaitGroup
	for n, t := range batch {
		group.Go(func() { outcomes[n] = r.orderTarget(ctx, t) })
	}
	group.Wait()
	loading, now := 0, r.Clock.Elapsed()
	r.settledFrom = now + r.effectTime()
	for n, o := range outcomes {
		if o.nextCheckAt == 0 {
			delete(r.openOrders, batch[n].Key())
			continue
		}
		if before := r.openOrders[batch[n].Key()]; before != nil {
			o.failures += before.failures
		}
		r.openOrders[batch[n].Key()] = &o
		if now < o.loadsUntil {
			loading++
		}
	}
	return loading
}

// isServing reports whether a target may still get requests on its weights.
func (r *Controller) isServing(t *target.Target) bool {
	return t.WeightsUsableUntil == 0 || t.WeightsUseIsAssumed || r.Clock.Elapsed() < t.WeightsUsableUntil-endOfServiceLead
}

// selectOutdated returns the targets that may get an order now, in load order, the
// number of targets that are loading, and the number of engines.
func (r *Controller) selectOutdated(targets []*target.Target) (outdated []*target.Target, loading, engines int) {
	now := r.Clock.Elapsed()
	for _, t := range targets {
		if !t.IsEngine {
			continue
		}
		engines++
		newest := r.Source.NewestVersion(t.Model)
		if newest == "" || !target.IsNewerVersion(newest, t.WeightVersion) {
			delete(r.openOrders, t.Key())
			continue
		}
		if !t.Intake(now).Allowed {
			continue
		}
		if o := r.openOrders[t.Key()]; o != nil {
			if now < o.loadsUntil {
				loading++
			}
			if now < o.nextCheckAt {
				continue
			}
		}
		outdated = append(outdated, t)
	}
	SortByLoadOrder(outdated)
	slices.SortStableFunc(outdated, func(a, b *target.Target) int { return r.turn(a) - r.turn(b) })
	return outdated, loading, engines
}

// turn returns the place of a target in the order of calls. Targets that may have
// accepted an order come first: they may be loading. Targets that were called in vain
// come last, so that one that never answers does not take the place of others.
func (r *Controller) turn(t *target.Target) int {
	o := r.openOrders[t.Key()]
	switch {
	case o == nil:
		return 0
	case o.isUnanswered:
		return -1
	}
	return o.failures
}

// orderTarget orders one target to load the newest weights if it needs them and is
// not busy. It may be called concurrently. The zero value means that there is
// nothing to wait for.
func (r *Controller) orderTarget(ctx context.Context, t *target.Target) openOrder {
	newest := r.Source.NewestVersion(t.Model)
	if !r.Lease.MayAct() {
		return openOrder{}
	}
	call, cancel := context.WithTimeout(ctx, min(orderTimeout, r.Lease.Remaining()))
	defer cancel()
	status, err := r.Client.Status(call, t)
	r.Source.RecordNotice(t, status.Notice)
	if err != nil {
		r.Log.Info("status of target not read; its order is delayed", "target", t.ID, "cause", err)
		return r.waitAfterFailure(pollInterval, 0)
	}
	if loaded := status.Versions[t.Model]; !target.IsNewerVersion(newest, loaded) {
		r.Source.RecordReportedVersion(t, loaded)
		return openOrder{}
	}
	last := r.openOrders[t.Key()]
	if status.Busy {
		if last == nil || !last.isBusy {
			r.Log.Info("target is busy with an order; its next one waits", "target", t.ID, "weights", status.Versions[t.Model], "accepted", status.AcceptedOrders)
		}
		o := r.waitFor(pollInterval, pollInterval)
		o.isBusy = true
		return o
	}
	if last != nil && last.isUnanswered && last.acceptedBefore == status.AcceptedOrders {
		return r.waitAfterFailure(0, 0) // ordered again when it is its turn
	}
	if !r.Lease.MayAct() || status.Notice.Leaving {
		return openOrder{}
	}
	order := Order{Model: t.Model, Version: newest, Holder: r.Holder, Fence: r.Lease.Fence(), ExpectedOrders: status.AcceptedOrders}
	result, notice, err := r.Client.SendOrder(call, t, order)
	r.Source.RecordNotice(t, notice)
	r.Log.Info("target ordered to load weights", "target", t.ID, "model", t.Model, "weights", newest, "before", t.WeightVersion,
		"fence", order.Fence, "after", order.ExpectedOrders, "result", int(result), "cause", err)
	switch result {
	case OrderAccepted:
		return r.waitFor(expectedLoadTime, expectedLoadTime+2*pollInterval)
	case AlreadyLoaded:
		r.Source.RecordReportedVersion(t, newest)
		return openOrder{}
	case OrderUnanswered:
		// If it was accepted, the target is busy at the next check. If not, it is
		// ordered again: should both orders reach it, it refuses the later one.
		o := r.waitFor(pollInterval, 2*pollInterval)
		o.isUnanswered, o.acceptedBefore = true, order.ExpectedOrders
		return o
	default:
		return r.waitAfterFailure(2*pollInterval, 0)
	}
}

// waitFor returns an order whose target is to be checked again after check and
// counts as loading for the duration loading.
func (r *Controller) waitFor(check, loading time.Duration) openOrder {
	now := r.Clock.Elapsed()
	return openOrder{nextCheckAt: now + check, loadsUntil: now + loading}
}

// waitAfterFailure is waitFor for a target that was called in vain.
func (r *Controller) waitAfterFailure(check, loading time.Duration) openOrder {
	o := r.waitFor(check, loading)
	o.failures = 1
	return o
}
