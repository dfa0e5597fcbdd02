// Package share holds organisations to their rate and burst over all instances.
// Each instance has an equal part of every limit in a token bucket. What it does
// not need goes to the organisation's broker, one of the instances, which lends
// from its pool to those that need more than they have. Tokens are taken from
// one place before they are put into another, so whatever is lost on the way,
// and whoever is taken for the broker, no more is spent than was issued.
package share

import (
	"math"
	"sync"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// Tolerance are what all instances together may exceed a limit by.
type Tolerance struct {
	Overage float64 // part of the limit
	Slack   float64 // tokens, in any window
}

const (
	// overageUsed and slackUsed are the parts of the tolerated excess that the
	// buckets use. The rest covers instances that disagree about their number.
	overageUsed = 0.7
	slackUsed   = 0.75
	// ownPart and poolPart are the parts of the capacity that all instances'
	// own buckets and the pool of a broker hold. An own bucket must hold the
	// refill between two deposits. Two instances that are both taken for the
	// broker, for some seconds after one came or went, hold a fifth more than
	// the capacity, which the unused part of the tolerated excess covers.
	ownPart  = 0.3
	poolPart = 0.45
	// minDeposit is the part of its own bucket from which an instance hands
	// tokens to the broker, so that it does not send next to nothing.
	minDeposit = 0.2
	// keptShare is the part of its own bucket that an instance keeps at most, so
	// that the refill of the next interval fits.
	keptShare = 0.5
)

// Buckets are this instance's parts of all limits, and the pools of the
// organisations that it is the broker of.
type Buckets struct {
	Tolerance func() Tolerance
	// Instances is the number of instances that share the limits; zero while it
	// is not known, when nothing is issued.
	Instances func() int
	// CanLend reports whether tokens can be exchanged with other instances. If
	// not, the own bucket holds this instance's whole part of the capacity.
	CanLend func() bool
	Now     func() time.Duration

	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	rate, burst float64 // over all instances
	tokens      float64 // own
	pool        float64 // to be lent
	at          time.Duration
	// spent and spentBefore are the tokens taken from the own bucket since the
	// last deposits, and between those and the ones before.
	spent, spentBefore float64
}

// Configure takes in the limits of a configuration. A lower limit holds at once.
func (b *Buckets) Configure(organisations []tables.Organisation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buckets == nil {
		b.buckets = make(map[string]*bucket)
	}
	now := b.Now()
	named := make(map[string]bool, len(organisations))
	for i := range organisations {
		o := &organisations[i]
		named[o.Name] = true
		k := b.buckets[o.Name]
		if k == nil {
			// It starts empty: the process before this one may have just spent
			// all that it had.
			b.buckets[o.Name] = &bucket{rate: o.Rate, burst: o.Burst, at: now}
			continue
		}
		b.refill(k, now)
		k.rate, k.burst = o.Rate, o.Burst
		k.tokens = min(k.tokens, b.own(k))
		k.pool = min(k.pool, poolPart*b.capacity(k))
	}
	for name := range b.buckets {
		if !named[name] {
			delete(b.buckets, name)
		}
	}
}

// part returns this instance's part of something that all share.
func (b *Buckets) part(of float64) float64 {
	n := b.Instances()
	if n <= 0 {
		return 0
	}
	return of / float64(n)
}

// capacity is what all instances may hold together.
func (b *Buckets) capacity(k *bucket) float64 {
	l := b.Tolerance()
	return k.burst*(1+overageUsed*l.Overage) + slackUsed*l.Slack
}

// own is the capacity of the own bucket.
func (b *Buckets) own(k *bucket) float64 {
	capacity := b.part(b.capacity(k))
	if b.lending() {
		capacity *= ownPart
	}
	return capacity
}

func (b *Buckets) lending() bool { return b.CanLend != nil && b.Instances() > 1 && b.CanLend() }

// rate is the refill of all buckets together, in tokens per second.
func (b *Buckets) rate(k *bucket) float64 { return k.rate * (1 + overageUsed*b.Tolerance().Overage) }

func (b *Buckets) refill(k *bucket, now time.Duration) {
	k.tokens = min(b.own(k), k.tokens+b.part(b.rate(k))*(now-k.at).Seconds())
	k.at = now
}

// Spend takes tokens from the own bucket, all or none. For an organisation
// without a limit there is always enough.
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

// EstimateWait estimates when tokens that Spend refused are there, if no other instance
// lends any.
func (b *Buckets) EstimateWait(organisation string, tokens float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[organisation]
	if k == nil {
		return 0
	}
	return waitFor(tokens-k.tokens, b.part(b.rate(k)))
}

func waitFor(tokens, rate float64) time.Duration {
	return time.Duration(max(0, tokens) / max(rate, 1) * float64(time.Second))
}

// Lend takes tokens from the pool and, if that is short, from the own bucket,
// all or none. It returns what is left and how fast that grows, so that the
// borrower knows when to ask again.
func (b *Buckets) Lend(organisation string, tokens float64) (ok bool, left, rate float64) {
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
	return ok, k.pool + k.tokens, b.rate(k)
}

// Deposit adds tokens of another instance to the pool, as far as they fit.
func (b *Buckets) Deposit(organisation string, tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.buckets[organisation]; k != nil && tokens > 0 && !math.IsInf(tokens, 1) {
		k.pool = min(poolPart*b.capacity(k), k.pool+tokens)
	}
}

// TakeSurplus takes what the own buckets hold beyond what was spent from them in one
// of the last two intervals, for the brokers. Call it once each interval.
func (b *Buckets) TakeSurplus() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	surplus := make(map[string]float64)
	for name, k := range b.buckets {
		b.refill(k, now)
		own := b.own(k)
		need := min(max(k.spent, k.spentBefore), keptShare*own)
		k.spent, k.spentBefore = 0, k.spent
		if over := k.tokens - need; over > minDeposit*own {
			k.tokens -= over
			surplus[name] = over
		}
	}
	return surplus
}

// Return puts back tokens that were not needed.
func (b *Buckets) Return(organisation string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.buckets[organisation]; k != nil {
		k.tokens = min(b.own(k), k.tokens+float64(tokens))
	}
}
