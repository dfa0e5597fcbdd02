// Package share enforces the rate and burst of organisations over all
// instances. Each instance has a token bucket with an equal part of every
// limit. It assigns the refill that it does not need, for a short time, to the
// organisation's broker, one of the instances, which lends tokens to instances
// that run short. Tokens and refill are given up at the sender before they are
// added at the receiver. So lost messages, or instances that disagree on the
// broker, cannot cause more tokens to be spent than issued.
package share

import (
	"math"
	"slices"
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
	// local buckets together and in the pool of a broker. For some seconds after an instance
	// came or went, two instances may act as broker and hold a fifth more than
	// the capacity; the unused part of the tolerance covers this.
	localFraction = 0.3
	poolFraction  = 0.45
	// minDepositFraction is the fraction of the local bucket above which surplus
	// tokens are given to the broker, and minAssignedFraction that of the refill
	// above which it is assigned, to avoid messages about a few tokens.
	minDepositFraction  = 0.2
	minAssignedFraction = 0.1
	// maxKeptFraction is the largest fraction of the local bucket that is kept
	// when surplus is given up.
	maxKeptFraction = 0.5
)

// Assignment is what an instance gives up for an organisation's broker.
type Assignment struct {
	Tokens float64 // that it holds
	Rate   float64 // of its refill from now on, in tokens per second
}

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
	// RestartedAt is when this process replaced another one of its instance; zero if it
	// replaced none. Refill that the other one may have assigned is not counted again:
	// the buckets get their first tokens after the length of an assignment, or once an
	// assignment of this process has replaced it.
	RestartedAt time.Duration

	mu         sync.Mutex
	buckets    map[string]*bucket
	assignedAt time.Duration // of the last TakeAssignments
}

// bucket is the state of one organisation.
type bucket struct {
	rate, burst float64 // over all instances, in tokens per second and tokens
	tokens      float64 // local
	refilledAt  time.Duration
	// awaitsRefill is set until refill that a previous process assigned has ended.
	awaitsRefill bool
	// commitments are the assignments of this instance's refill. All but the last
	// are earlier ones that the broker may still count.
	commitments []commitment
	// spentRate is the rate of local spending before the last assignment, in tokens
	// per second, and spent the tokens spent locally since then.
	spent, spentRate float64

	pool    float64               // for lending
	refills map[string]peerRefill // that instances assigned to this one, by instance
}

// commitment is refill that this instance has given up.
type commitment struct {
	rate  float64 // tokens per second
	until time.Duration
}

// peerRefill is refill that another instance, or this one, has given up for the
// pool.
type peerRefill struct {
	rate        float64 // tokens per second
	from, until time.Duration
}

// givenRate returns the refill that is given up at a time: the largest of the
// commitments, because the broker counts one of them.
func (k *bucket) givenRate(at time.Duration) float64 {
	rate := 0.0
	for _, c := range k.commitments {
		if c.until > at {
			rate = max(rate, c.rate)
		}
	}
	return rate
}

// nextEnd returns when the first commitment after a time ends, at most limit.
func (k *bucket) nextEnd(after, limit time.Duration) time.Duration {
	for _, c := range k.commitments {
		if c.until > after {
			limit = min(limit, c.until)
		}
	}
	return limit
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
			b.buckets[o.Name] = &bucket{rate: o.Rate, burst: o.Burst, refilledAt: now, awaitsRefill: b.RestartedAt > 0, refills: make(map[string]peerRefill)}
			continue
		}
		b.refill(k, now)
		if o.Rate < k.rate {
			for instance, r := range k.refills {
				r.rate *= o.Rate / k.rate
				k.refills[instance] = r
			}
		}
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

// refill adds the tokens gained since the last refill to the local bucket and to
// the pool.
func (b *Buckets) refill(k *bucket, now time.Duration) {
	rate, capacity := b.perInstance(b.refillRate(k)), b.localCapacity(k)
	if k.awaitsRefill {
		k.awaitsRefill = now < b.RestartedAt+assignmentLength(assignInterval(b.Instances()))
		k.refilledAt = now
	}
	for k.refilledAt < now {
		until := k.nextEnd(k.refilledAt, now)
		gained := max(0, rate-k.givenRate(k.refilledAt)) * (until - k.refilledAt).Seconds()
		k.tokens = min(capacity, k.tokens+gained)
		k.refilledAt = until
	}
	k.commitments = slices.DeleteFunc(k.commitments, func(c commitment) bool { return c.until <= now })
	if len(k.refills) == 0 {
		return
	}
	for instance, r := range k.refills {
		until := min(now, r.until)
		k.pool += r.rate * max(0, until-r.from).Seconds()
		if r.from = until; now >= r.until {
			delete(k.refills, instance)
		} else {
			k.refills[instance] = r
		}
	}
	k.pool = min(poolFraction*b.capacity(k), k.pool)
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

// AcceptAssignment adds tokens to the pool of an organisation and, for a duration,
// the refill that an instance gave up. It replaces the refill that the instance
// assigned before. What exceeds the pool's capacity is dropped.
func (b *Buckets) AcceptAssignment(instance, organisation string, a Assignment, duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[organisation]
	if k == nil || !isAmount(a.Tokens) || !isAmount(a.Rate) {
		return
	}
	now := b.Now()
	b.refill(k, now)
	k.pool = min(poolFraction*b.capacity(k), k.pool+a.Tokens)
	delete(k.refills, instance)
	if a.Rate > 0 {
		k.refills[instance] = peerRefill{rate: min(a.Rate, b.refillRate(k)), from: now, until: now + min(duration, maxAssignment)}
	}
}

// isAmount reports whether a number from another instance is a valid amount.
func isAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// TakeAssignments gives up, for a duration, the refill beyond the rate of local
// spending, and the tokens that the local buckets hold beyond that spending. It
// returns both by organisation. Each must be passed on and then settled with
// Confirm, or with Revoke if it certainly was not accepted.
func (b *Buckets) TakeAssignments(duration time.Duration) map[string]Assignment {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	interval := (now - b.assignedAt).Seconds()
	b.assignedAt = now
	assignments := make(map[string]Assignment)
	for name, k := range b.buckets {
		b.refill(k, now)
		spentRate := 0.0
		if interval > 0 {
			spentRate = k.spent / interval
		}
		neededRate := max(spentRate, k.spentRate)
		k.spent, k.spentRate = 0, spentRate
		a := Assignment{}
		capacity, refill := b.localCapacity(k), b.perInstance(b.refillRate(k))
		kept := min(neededRate*interval, maxKeptFraction*capacity)
		if over := k.tokens - kept; over > minDepositFraction*capacity {
			k.tokens -= over
			a.Tokens = over
		}
		if rate := refill - neededRate; rate > minAssignedFraction*refill {
			a.Rate = rate
		}
		if a.Rate > 0 || len(k.commitments) > 0 {
			k.commitments = append(k.commitments, commitment{a.Rate, now + duration})
		} else if a.Tokens == 0 {
			continue
		}
		assignments[name] = a
	}
	return assignments
}

// Confirm ends the commitments of an organisation that the newest one replaced at
// the broker.
func (b *Buckets) Confirm(organisation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[organisation]
	if k == nil {
		return
	}
	now := b.Now()
	b.refill(k, now)
	k.awaitsRefill = false
	if n := len(k.commitments); n > 1 {
		k.commitments = append(k.commitments[:0], k.commitments[n-1])
	}
}

// Revoke takes the newest assignment of an organisation back. The broker must not
// have accepted it.
func (b *Buckets) Revoke(organisation string, a Assignment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[organisation]
	if k == nil {
		return
	}
	b.refill(k, b.Now())
	if n := len(k.commitments); n > 0 {
		k.commitments = k.commitments[:n-1]
	}
	k.tokens = min(b.localCapacity(k), k.tokens+a.Tokens)
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
