package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/admission"
	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// Admission admits as many requests per pool as the pool's targets can run.
// Further requests wait in a queue that is fair between organisations, or are
// refused.
type Admission struct {
	Targets TargetSource
	// InstanceCount returns how many instances share the traffic. Each instance
	// uses its part of the targets' limits, so that requests queue here, where
	// organisations are treated fairly, and not on the targets.
	InstanceCount func() int

	mu    sync.Mutex
	pools map[string]*poolQueue
}

// poolQueue is the queue of a pool, with the inputs of its slot count and the
// result of the target check.
type poolQueue struct {
	mu        sync.Mutex
	queue     *admission.Queue
	set       *target.Set
	pool      *tables.Pool
	instances int
	hasTarget bool
}

// slotRefreshInterval is how often a waiting request checks for a new set of
// targets. The set changes about once a second.
const slotRefreshInterval = 250 * time.Millisecond

// NewAdmission returns a filter with empty queues. See the fields of Admission
// for the arguments.
func NewAdmission(targets TargetSource, instances func() int) *Admission {
	return &Admission{Targets: targets, InstanceCount: instances, pools: make(map[string]*poolQueue)}
}

// Name implements Filter.
func (f *Admission) Name() string { return "admission" }

// Handle implements Filter.
func (f *Admission) Handle(ex *Exchange, next Handler) error {
	q := f.queueFor(ex.Pool.Name)
	ticket, err := f.waitForSlot(q, ex)
	if err != nil {
		return err
	}
	defer func() { q.release(ticket, reportedTokens(ex)) }()
	return next(ex)
}

// queueFor returns the queue of a pool and creates it on first use.
func (f *Admission) queueFor(pool string) *poolQueue {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := f.pools[pool]
	if q == nil {
		q = &poolQueue{queue: admission.NewQueue()}
		f.pools[pool] = q
	}
	return q
}

// waitForSlot blocks until the request has a slot. It returns an error if the
// request is refused or its context ends first.
func (f *Admission) waitForSlot(q *poolQueue, ex *Exchange) (*admission.Ticket, error) {
	outcomes := make(chan admission.Outcome, 1)
	request := admission.Request{
		Weight: 1, Tokens: estimateTokens(ex), Priority: ex.Route.Priority, Deadline: ex.Deadline,
		Notify: func(outcome admission.Outcome) { outcomes <- outcome },
	}
	if ex.Organisation != nil {
		request.Organisation, request.Weight = ex.Organisation.Name, ex.Organisation.Weight
	}
	if !q.updateSlots(f.Targets.TargetSet(), ex.Pool, f.InstanceCount()) {
		return nil, errNoTarget()
	}
	ticket, outcome, retryAfter := q.offer(request)
	ticker := time.NewTicker(slotRefreshInterval)
	defer ticker.Stop()
	for outcome == admission.Waiting {
		select {
		case outcome = <-outcomes:
		case <-ticker.C:
			q.updateSlots(f.Targets.TargetSet(), ex.Pool, f.InstanceCount())
		case <-ex.Context().Done():
			q.cancel(ticket)
			return nil, errWaitEnded(ex)
		}
	}
	if outcome != admission.Admitted {
		return nil, errNotAdmitted(outcome, retryAfter)
	}
	return ticket, nil
}

// updateSlots recomputes the slots of this instance when the targets, the pool
// or the number of instances has changed. It reports whether the pool has a
// reachable target. A target that cannot serve yet, for example because it is
// loading weights, counts too: requests wait for it.
func (q *poolQueue) updateSlots(set *target.Set, pool *tables.Pool, instances int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.set == set && q.pool == pool && q.instances == instances {
		return q.hasTarget
	}
	usable, found := 0, false
	for _, t := range set.Targets {
		if canServePool(t, pool) {
			usable++
		}
		found = found || !t.Leaving && t.Reachable && t.Matches(pool.Selector)
	}
	q.set, q.pool, q.instances, q.hasTarget = set, pool, instances, found
	q.queue.Configure(slotsPerInstance(usable*pool.TargetLimit, instances), pool.QueueLimit, time.Now())
	return found
}

// slotsPerInstance divides the slots of all targets between the instances,
// rounded up.
func slotsPerInstance(total, instances int) int {
	divisor := max(1, instances)
	return (total + divisor - 1) / divisor
}

func (q *poolQueue) offer(r admission.Request) (*admission.Ticket, admission.Outcome, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Offer(r, time.Now())
}

func (q *poolQueue) release(t *admission.Ticket, used int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Release(t, used, time.Now())
}

// cancel removes a request from the queue. If the request was admitted in the
// meantime, its slot is released unused.
func (q *poolQueue) cancel(t *admission.Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.queue.Cancel(t) {
		q.queue.Release(t, 0, time.Now())
	}
}

// estimateTokens returns the tokens that RateLimit reserved. For an engine
// request without a reservation it returns an estimate.
func estimateTokens(ex *Exchange) int64 {
	if ex.ReservedTokens > 0 || ex.Pool.Kind != tables.PoolEngine {
		return ex.ReservedTokens
	}
	output := ex.Generation.MaxTokens
	if output == 0 {
		output = ex.Pool.DefaultTokens
	}
	return int64(float64(len(ex.Generation.Prompt))/max(ex.Pool.BytesPerToken, 1e-3)) + int64(output)
}

// reportedTokens returns the tokens that the target reported, or -1 if it
// reported none.
func reportedTokens(ex *Exchange) int64 {
	if ex.Usage.PromptTokens == 0 {
		return -1
	}
	return int64(ex.Usage.PromptTokens + ex.Usage.OutputTokens)
}

// errNotAdmitted returns the error for a request that the queue refused.
// retryAfter is raised to apierr.DefaultRetryAfter.
func errNotAdmitted(outcome admission.Outcome, retryAfter time.Duration) error {
	retryAfter = max(retryAfter, apierr.DefaultRetryAfter)
	if outcome == admission.MissesDeadline {
		return &apierr.Error{
			Code: apierr.CodeDeadlineExceeded, Status: http.StatusGatewayTimeout, Outcome: apierr.OutcomeNotRun,
			Message:    "the request cannot start before the route's deadline",
			Remedy:     "send the request again after the time in Retry-After; operators: add targets to the pool or raise the route's deadline",
			RetryAfter: retryAfter,
		}
	}
	return &apierr.Error{
		Code: apierr.CodeQueueFull, Status: http.StatusTooManyRequests, Outcome: apierr.OutcomeNotRun,
		Message:    "the pool's queue is full and the organisation has the most work in it for its weight",
		Remedy:     "send the request again after the time in Retry-After; operators: add targets to the pool or raise its queue_limit",
		RetryAfter: retryAfter,
	}
}

// errWaitEnded returns the error for a request whose context ended while it
// waited: revoked key, deadline or disconnected caller.
func errWaitEnded(ex *Exchange) error {
	cause := context.Cause(ex.Context())
	if errors.Is(cause, errRevoked) {
		return &apierr.Error{
			Code: apierr.CodeKeyRevoked, Status: http.StatusUnauthorized, Outcome: apierr.OutcomeNotRun,
			Message: "the key was revoked while the request waited",
			Remedy:  "ask the operators for a new key",
		}
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		return errNotAdmitted(admission.MissesDeadline, 0)
	}
	return &apierr.Error{
		Code: apierr.CodeCallerGone, Status: statusCallerGone, Outcome: apierr.OutcomeNotRun,
		Message: "the caller disconnected while the request waited",
		Remedy:  "keep the connection open until the response is complete", Cause: cause,
	}
}
