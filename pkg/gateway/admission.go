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

// Admission lets as many requests pass as the targets of their pool can run
// and makes the others wait, fairly between organisations, or refuses them.
type Admission struct {
	Targets TargetSource
	// InstanceCount returns how many instances share the traffic. Each of them uses
	// its part of the targets' limits, so that requests queue here, where
	// organisations are treated fairly, and not on the targets.
	InstanceCount func() int

	mu    sync.Mutex
	pools map[string]*poolQueue
}

// poolQueue is the queue of a pool and what its slots were computed from.
type poolQueue struct {
	mu    sync.Mutex
	queue *admission.Queue
	set   *target.Set
	pool  *tables.Pool
	parts int // instances that share the targets
	found bool
}

// slotInterval is how often a waiting request checks whether the targets have
// changed. The set of targets changes about once a second.
const slotInterval = 250 * time.Millisecond

// NewAdmission returns a filter with empty queues.
func NewAdmission(targets TargetSource, instances func() int) *Admission {
	return &Admission{Targets: targets, InstanceCount: instances, pools: make(map[string]*poolQueue)}
}

// Name implements Filter.
func (f *Admission) Name() string { return "admission" }

// Handle implements Filter.
func (f *Admission) Handle(ex *Exchange, next Handler) error {
	q := f.queueOf(ex.Pool.Name)
	ticket, err := f.wait(q, ex)
	if err != nil {
		return err
	}
	defer func() { q.release(ticket, usedTokens(ex)) }()
	return next(ex)
}

func (f *Admission) queueOf(pool string) *poolQueue {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := f.pools[pool]
	if q == nil {
		q = &poolQueue{queue: admission.NewQueue()}
		f.pools[pool] = q
	}
	return q
}

// wait returns when the request has a slot or is refused.
func (f *Admission) wait(q *poolQueue, ex *Exchange) (*admission.Ticket, error) {
	decided := make(chan admission.Outcome, 1)
	request := admission.Request{
		Weight: 1, Tokens: tokensOf(ex), Priority: ex.Route.Priority, Deadline: ex.Deadline,
		Notify: func(outcome admission.Outcome) { decided <- outcome },
	}
	if ex.Organisation != nil {
		request.Organisation, request.Weight = ex.Organisation.Name, ex.Organisation.Weight
	}
	if !q.follow(f.Targets.Set(), ex.Pool, f.InstanceCount()) {
		return nil, errNoTarget()
	}
	ticket, outcome, retryAfter := q.offer(request)
	ticker := time.NewTicker(slotInterval)
	defer ticker.Stop()
	for outcome == admission.Waiting {
		select {
		case outcome = <-decided:
		case <-ticker.C:
			q.follow(f.Targets.Set(), ex.Pool, f.InstanceCount())
		case <-ex.Context().Done():
			q.leave(ticket)
			return nil, errLeftQueue(ex)
		}
	}
	if outcome != admission.Admitted {
		return nil, errRefused(outcome, retryAfter)
	}
	return ticket, nil
}

// follow adjusts the slots to the targets and to the instances that share them.
// It reports whether the pool has any target. One that cannot serve yet, for
// example because it is loading weights, is worth waiting for.
func (q *poolQueue) follow(set *target.Set, pool *tables.Pool, instances int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.set == set && q.pool == pool && q.parts == instances {
		return q.found
	}
	usable, found := 0, false
	for _, t := range set.Targets {
		if canServePool(t, pool) {
			usable++
		}
		found = found || !t.Leaving && t.Reachable && t.Matches(pool.Selector)
	}
	q.set, q.pool, q.parts, q.found = set, pool, instances, found
	q.queue.Configure(slots(usable*pool.TargetLimit, instances), pool.QueueLimit, time.Now())
	return found
}

// slots returns the part of one instance, rounded up.
func slots(all, instances int) int {
	parts := max(1, instances)
	return (all + parts - 1) / parts
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

// leave takes a request out of the queue. If it was admitted in the meantime,
// it gives its slot back unused.
func (q *poolQueue) leave(t *admission.Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.queue.Cancel(t) {
		q.queue.Release(t, 0, time.Now())
	}
}

// tokensOf returns what the limit filter reserved, or else an estimate.
func tokensOf(ex *Exchange) int64 {
	if ex.Cost > 0 || ex.Pool.Kind != tables.PoolEngine {
		return ex.Cost
	}
	output := ex.Generation.MaxTokens
	if output == 0 {
		output = ex.Pool.DefaultTokens
	}
	return int64(float64(len(ex.Generation.Prompt))/max(ex.Pool.BytesPerToken, 1e-3)) + int64(output)
}

// usedTokens returns what the target reported, or a negative number.
func usedTokens(ex *Exchange) int64 {
	if ex.Usage.PromptTokens == 0 {
		return -1
	}
	return int64(ex.Usage.PromptTokens + ex.Usage.OutputTokens)
}

func errRefused(outcome admission.Outcome, retryAfter time.Duration) error {
	retryAfter = max(retryAfter, apierr.DefaultRetryAfter)
	if outcome == admission.MissesDeadline {
		return &apierr.Error{
			Code: apierr.CodeDeadline, Status: http.StatusGatewayTimeout, Outcome: apierr.NotRun,
			Message:    "the request cannot start before the route's deadline",
			Remedy:     "send the request again after the time in Retry-After; operators: add targets to the pool or raise the route's deadline",
			RetryAfter: retryAfter,
		}
	}
	return &apierr.Error{
		Code: apierr.CodeQueueFull, Status: http.StatusTooManyRequests, Outcome: apierr.NotRun,
		Message:    "the pool's queue is full and the organisation has the most work in it for its weight",
		Remedy:     "send the request again after the time in Retry-After; operators: add targets to the pool or raise its queue_limit",
		RetryAfter: retryAfter,
	}
}

// errLeftQueue says why a request stopped waiting.
func errLeftQueue(ex *Exchange) error {
	cause := context.Cause(ex.Context())
	if errors.Is(cause, errRevoked) {
		return &apierr.Error{
			Code: apierr.CodeKeyRevoked, Status: http.StatusUnauthorized, Outcome: apierr.NotRun,
			Message: "the key was revoked while the request waited",
			Remedy:  "ask the operators for a new key",
		}
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		return errRefused(admission.MissesDeadline, 0)
	}
	return &apierr.Error{
		Code: apierr.CodeCallerGone, Status: statusCallerGone, Outcome: apierr.NotRun,
		Message: "the caller disconnected while the request waited",
		Remedy:  "keep the connection open until the response is complete", Cause: cause,
	}
}
