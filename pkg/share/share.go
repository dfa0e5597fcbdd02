// Package share enforces the rate and burst of organisations over all
// instances. Each instance has a token bucket with an equal part of every
// limit. It deposits tokens that it does not need with the organisation's
// broker, one of the instances, which lends them to instances that run short.
// Tokens are removed at the sender before they are added at the receiver. So
// lost messages, or instances that disagree on the broker, cannot cause more
// tokens to be spent than issued.
package share

import (
	"math"
	"sync"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// Tolerance is the excess over a limit that all instances together may admit.
type Tolerance struct {
	Overage float64 // fraction of rate and burst
	Slack   float64 // tokens, in any window
}

const (
	// usedOverage and usedSlack are the fractions of the tolerance that the
	// buckets use. The rest covers the time in which instances disagree on
	// their number.
	usedOverage = 0.7
	usedSlack   = 0.75
	// localFraction and poolFraction are the fractions of the capacity in all
	// local buckets together and in the pool of a broker. A local bucket must
	// hold the refill between two deposits. For some seconds after an instance
	// came or went, two instances may act as broker and hold a fifth more than
	// the capacity; the unused part of the tolerance covers this.
	localFraction = 0.3
	poolFraction  = 0.45
	// minDepositFraction is the fraction of the local bucket above which
	// surplus is deposited, to avoid messages about a few tokens.
	minDepositFraction = 0.2
	// maxKeptFraction is the largest fraction of the local bucket that is kept
	// when surplus is deposited, so that the refill of the next interval fits.
	maxKeptFraction = 0.5
)

// Buckets holds the local token bucket of each organisation, and the pool of
// those whose broker is this instance. It is safe for concurrent use. The
// functions in its fields may be called with its lock held.
type Buckets struct {
	Tolerance func() Tolerance
	// Instances returns the number of instances that share the limits. While it
	// is unknown (zero), no tokens are issued.
	Instances func() int
	// CanLend reports whether tokens can be exchanged with other instances; nil
	// means never. Without lending, the local bucket holds this instance's
	// whole part of the capacity.
	CanLend func() bool
	Now     func() time.Duration // monotonic

	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket is the state of one organisation.
type bucket struct {
	rate, burst float64 // over all instances, in tokens per second and tokens
	tokens      float64 // local
	pool        float64 // deposited, for lending
	refilledAt  time.Duration
	// spent and spentBefore are the tokens spent locally in the current deposit
	// interval and in the previous one.
	spent, spentBefore float64
}

// Configure applies the limits of a configuration. A lower limit takes effect
// at once; organisations that are not listed become unlimited.
func (b *Buckets) Configure(organisations []tables.Organisation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buckets == nil {
		b.buckets = make(map[string]*bucket)
	}
	now := b.Now()
	listed := make(map[string]bool, len(organisations))
	for i := range organisations {
		o := &organisations[i]
		listed[o.Name] = true
		k := b.buckets[o.Name]
		if k == nil {
			// Start empty: a previous process of this instance may just have
			// spent a full bucket.
			b.buckets[o.Name] = &bucket{rate: o.Rate, burst: o.Burst, refilledAt: now}
			continue
		}
		b.refill(k, now)
		k.rate, k.burst = o.Rate, o.Burst
		k.tokens = min(k.tokens, b.localCapacity(k))
		k.pool = min(k.pool, poolFraction*b.capacity(k))
	}
	for name := range b.buckets {
		if !listed[name] {
			delete(b.buckets, name)
		}
	}
}

// perInstance divides an amount equally among the instances.
func (b *Buckets) perInstance(amount float64) float64 {
	n := b.Instances()
	if n <= 0 {
		return 0
	}
	return amount / float64(n)
}

// capacity returns the number of tokens that all instances together may hold.
func (b *Buckets) capacity(k *bucket) float64 {
	t := b.Tolerance()
	return k.burst*(1+usedOverage*t.Overage) + usedSlack*t.Slack
}

// localCapacity returns the capacity of the local bucket.
func (b *Buckets) localCapacity(k *bucket) float64 {
	capacity := b.perInstance(b.capacity(k))
	if b.lendingEnabled() {
		capacity *= localFraction
	}
	return capacity
}

// lendingEnabled reports whether there are other instances to exchange tokens
// with.
func (b *Buckets) lendingEnabled() bool { return b.CanLend != nil && b.Instances() > 1 && b.CanLend() }

// refillRate returns the refill of all instances together, in tokens per
// second.
func (b *Buckets) refillRate(k *bucket) float64 {
	return k.rate * (1 + usedOverage*b.Tolerance().Overage)
}

// refill adds the tokens gained since the last refill to the local bucket.
func (b *Buckets) refill(k *bucket, now time.Duration) {
	k.tokens = min(b.localCapacity(k), k.tokens+b.perInstance(b.refillRate(k))*(now-k.refilledAt).Seconds())
	k.refilledAt = now
}

// Spend takes tokens from the local bucket, all or none, and reports whether it
// did. It always succeeds for an organisation without a limit.
func (b *Buckets) Spend(organisation string, tokens float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[organisation]
	if k == nil {
		return true
	}
	b.refill(k, b.Now())
	if k.tokens < tokens {
		return false
	}
	k.tokens -= tokens
	k.spent += tokens
	return true
}

// EstimateWait estimates the time until Spend would succeed, if no other
// instance lends tokens.
func (b *Buckets) EstimateWait(organisation string, tokens float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[organisation]
	if k == nil {
		return 0
	}
	return waitFor(tokens-k.tokens, b.perInstance(b.refillRate(k)))
}

// waitFor returns the time in which the given number of tokens is refilled.
func waitFor(tokens, rate float64) time.Duration {
	return time.Duration(max(0, tokens) / max(rate, 1) * float64(time.Second))
}

// Lend takes tokens, all or none, from the pool and, if it does not suffice,
// from the local bucket. remaining is the number of tokens left in both, and
// rate the refill in tokens per second; the borrower derives its retry time
// from them.
func (b *Buckets) Lend(organisation string, tokens float64) (ok bool, remaining, rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[organisation]
	if k == nil || !(tokens > 0) {
		return false, 0, 0
	}
	b.refill(k, b.Now())
	if k.pool+k.tokens >= tokens {
		ok = true
		fromPool := min(k.pool, tokens)
		k.pool -= fromPool
		k.tokens -= tokens - fromPool
	}
	return ok, k.pool + k.tokens, b.refillRate(k)
}

// Deposit adds surplus tokens to the pool and drops those that exceed its
// capacity.
func (b *Buckets) Deposit(organisation string, tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.buckets[organisation]; k != nil && tokens > 0 && !math.IsInf(tokens, 1) {
		k.pool = min(poolFraction*b.capacity(k), k.pool+tokens)
	}
}

// TakeSurplus removes the tokens that the local buckets hold beyond the larger
// spending of the last two deposit intervals, and returns them by organisation
// for deposit with the brokers. It must be called once in each interval.
func (b *Buckets) TakeSurplus() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	surplus := make(map[string]float64)
	for name, k := range b.buckets {
		b.refill(k, now)
		capacity := b.localCapacity(k)
		need := min(max(k.spent, k.spentBefore), maxKeptFraction*capacity)
		k.spent, k.spentBefore = 0, k.spent
		if over := k.tokens - need; over > minDepositFraction*capacity {
			k.tokens -= over
			surplus[name] = over
		}
	}
	return surplus
}

// Return puts unused tokens back into the local bucket and drops those that
// exceed its capacity.
func (b *Buckets) Return(organisation string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.buckets[organisation]; k != nil {
		k.tokens = min(b.localCapacity(k), k.tokens+float64(tokens))
	}
}
