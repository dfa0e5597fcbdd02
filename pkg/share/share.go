// Package share holds organisations to their rate and burst over all instances.
// Each instance has an equal part of every limit in a token bucket, so the sum
// holds whichever instances can talk to each other.
package share

import (
	"sync"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// Limits are what all instances together may exceed a limit by.
type Limits struct {
	Overage float64 // part of the limit
	Slack   float64 // tokens, in any window
}

const (
	// overageUsed and slackUsed are the parts of the tolerated excess that the
	// buckets use. The rest covers requests larger than a bucket and instances
	// that disagree about their number.
	overageUsed = 0.8
	slackUsed   = 0.5
)

// Buckets are this instance's parts of all limits.
type Buckets struct {
	Limits func() Limits
	// Instances is the number of instances that share the limits.
	Instances func() int
	// FirstStart says that no instance has run before this one.
	FirstStart bool
	Now        func() time.Duration

	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	rate, burst float64 // over all instances
	tokens      float64
	at          time.Duration
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
			k = &bucket{rate: o.Rate, burst: o.Burst, at: now}
			b.buckets[o.Name] = k
			// A restarted instance starts empty: the one before may have just
			// spent all that it had.
			if b.FirstStart {
				k.tokens = b.capacity(k)
			}
			continue
		}
		b.refill(k, now)
		k.rate, k.burst = o.Rate, o.Burst
		k.tokens = min(k.tokens, b.capacity(k))
	}
	for name := range b.buckets {
		if !named[name] {
			delete(b.buckets, name)
		}
	}
}

func (b *Buckets) parts() float64 { return float64(max(1, b.Instances())) }

func (b *Buckets) capacity(k *bucket) float64 {
	l := b.Limits()
	return (k.burst*(1+overageUsed*l.Overage) + slackUsed*l.Slack) / b.parts()
}

func (b *Buckets) refill(k *bucket, now time.Duration) {
	rate := k.rate * (1 + overageUsed*b.Limits().Overage) / b.parts()
	k.tokens = min(b.capacity(k), k.tokens+rate*(now-k.at).Seconds())
	k.at = now
}

// Take implements relay.Quota. A request larger than a full bucket is admitted
// when the bucket is full, and the bucket then owes the rest.
func (b *Buckets) Take(organisation string, tokens int64) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[organisation]
	if k == nil {
		return true, 0
	}
	b.refill(k, b.Now())
	need := min(float64(tokens), b.capacity(k))
	if k.tokens < need {
		rate := k.rate / b.parts()
		return false, time.Duration((need - k.tokens) / max(rate, 1) * float64(time.Second))
	}
	k.tokens -= float64(tokens)
	return true, 0
}

// Return implements relay.Quota.
func (b *Buckets) Return(organisation string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.buckets[organisation]; k != nil {
		k.tokens = min(b.capacity(k), k.tokens+float64(tokens))
	}
}
