package relay

import (
	"sync"
	"time"
)

// RetryBudget limits the retries for each pool to a ratio of the requests plus
// a fixed number in a sliding window. The limit holds for the fleet if each
// instance keeps to the ratio of its own requests and to its share of the fixed
// number. Its methods may be called concurrently.
type RetryBudget struct {
	// Limits returns the current limits of this instance.
	Limits func() RetryLimits

	createdAt time.Time // start of the first window; a monotonic time, so that clock changes have no effect

	mu    sync.Mutex
	pools map[string]*retryWindow
}

// RetryLimits are the limits of one instance.
type RetryLimits struct {
	Ratio        float64       // retries per request
	ExtraRetries float64       // retries in addition to the ratio
	Window       time.Duration // sliding window over which requests and retries are counted
}

// retryBuckets is the number of buckets of a window.
const retryBuckets = 10

// retryWindow counts requests and retries in a ring of buckets. The oldest
// bucket counts in full, so the counts cover up to a tenth more than the
// window.
type retryWindow struct {
	requests, retries [retryBuckets + 1]float64
	bucket            int64 // number of the current bucket since createdAt
}

// NewRetryBudget returns an empty budget.
func NewRetryBudget(limits func() RetryLimits) *RetryBudget {
	return &RetryBudget{Limits: limits, createdAt: time.Now(), pools: make(map[string]*retryWindow)}
}

// RecordRequest counts the request of a caller.
func (b *RetryBudget) RecordRequest(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advanceWindow(pool, time.Since(b.createdAt), b.Limits().Window)
	w.requests[w.bucket%int64(len(w.requests))]++
}

// TakeRetry takes a retry from the budget of a pool. It returns false if the
// budget is used up.
func (b *RetryBudget) TakeRetry(pool string) bool {
	limits := b.Limits()
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advanceWindow(pool, time.Since(b.createdAt), limits.Window)
	requests, retries := 0.0, 0.0
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if retries+1 > limits.Ratio*requests+limits.ExtraRetries {
		return false
	}
	w.retries[w.bucket%int64(len(w.retries))]++
	return true
}

// advanceWindow returns the window of a pool after clearing the buckets that
// have expired. The caller holds mu.
func (b *RetryBudget) advanceWindow(pool string, now, length time.Duration) *retryWindow {
	w := b.pools[pool]
	if w == nil {
		w = &retryWindow{}
		b.pools[pool] = w
	}
	size := int64(len(w.requests))
	bucket := int64(now) / max(1, int64(length)/retryBuckets)
	if bucket-w.bucket >= size {
		*w = retryWindow{bucket: bucket}
		return w
	}
	for w.bucket < bucket {
		w.bucket++
		w.requests[w.bucket%size], w.retries[w.bucket%size] = 0, 0
	}
	return w
}
