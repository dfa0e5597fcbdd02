package relay

import (
	"sync"
	"time"
)

// RetryBudget bounds how many requests are sent once more to the targets of a
// pool. The bound holds for all instances together: each keeps to the ratio of
// its own requests, and to its part of the fixed extra.
type RetryBudget struct {
	// Limits returns the bounds in force.
	Limits func() RetryLimits

	started time.Time // windows are counted from here, so that the time of day does not matter

	mu    sync.Mutex
	pools map[string]*retryWindow
}

// RetryLimits are the bounds for one instance.
type RetryLimits struct {
	Ratio        float64       // repeats for each request
	ExtraRetries float64       // repeats beside the ratio
	Window       time.Duration // over which both are counted
}

// retryBuckets is the number of parts that a window is counted in.
const retryBuckets = 10

// retryWindow counts in buckets. The oldest bucket is counted whole, so the
// count covers a little more than the window.
type retryWindow struct {
	requests, repeats [retryBuckets + 1]float64
	at                int64
}

// NewRetryBudget returns an empty budget.
func NewRetryBudget(limits func() RetryLimits) *RetryBudget {
	return &RetryBudget{Limits: limits, started: time.Now(), pools: make(map[string]*retryWindow)}
}

// RecordRequest counts a request of a caller.
func (b *RetryBudget) RecordRequest(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(pool, time.Since(b.started), b.Limits().Window)
	w.requests[w.at%int64(len(w.requests))]++
}

// TakeRetry takes one repeat from the budget and reports whether there was one.
func (b *RetryBudget) TakeRetry(pool string) bool {
	limits := b.Limits()
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(pool, time.Since(b.started), limits.Window)
	requests, repeats := 0.0, 0.0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	if repeats+1 > limits.Ratio*requests+limits.ExtraRetries {
		return false
	}
	w.repeats[w.at%int64(len(w.repeats))]++
	return true
}

// window returns the counts of a pool, moved on to now.
func (b *RetryBudget) window(pool string, now, length time.Duration) *retryWindow {
	w := b.pools[pool]
	if w == nil {
		w = &retryWindow{}
		b.pools[pool] = w
	}
	size := int64(len(w.requests))
	at := int64(now) / max(1, int64(length)/retryBuckets)
	if at-w.at >= size {
		*w = retryWindow{at: at}
		return w
	}
	for w.at < at {
		w.at++
		w.requests[w.at%size], w.repeats[w.at%size] = 0, 0
	}
	return w
}
