package share

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

func newBuckets(instances int, now *time.Duration, first bool) *Buckets {
	return &Buckets{
		Limits: func() Limits { return Limits{Overage: 0.1, Slack: 110_000} }, Instances: func() int { return instances },
		FirstStart: first, Now: func() time.Duration { return *now },
	}
}

func limit(rate, burst float64) []tables.Organisation {
	return []tables.Organisation{{Name: "one", Rate: rate, Burst: burst}}
}

// Guards against an organisation that gets more than its rate and burst over
// all instances in any window, whatever it asks of which instance, also where
// instances restart and the limit changes. Bound: (rate x window + burst) x
// (1 + overage) + slack.
func TestSumOverInstancesHolds(t *testing.T) {
	const window = 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 9).Draw(t, "instances")
		rate := rapid.Float64Range(10_000, 500_000).Draw(t, "rate")
		largest := rapid.Int64Range(1, 40_000).Draw(t, "largest")
		now := time.Duration(0)
		all := make([]*Buckets, instances)
		for i := range all {
			all[i] = newBuckets(instances, &now, true)
			all[i].Configure(limit(rate, rate))
		}
		type spent struct {
			at     time.Duration
			tokens int64
		}
		var history []spent
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			if rapid.IntRange(0, 60).Draw(t, "restart") == 0 {
				all[i] = newBuckets(instances, &now, false)
				all[i].Configure(limit(rate, rate))
			}
			tokens := rapid.Int64Range(1, largest).Draw(t, "tokens")
			if ok, _ := all[i].Take("one", tokens); ok {
				history = append(history, spent{now, tokens})
			}
			sum := int64(0)
			for _, s := range history {
				if s.at > now-window {
					sum += s.tokens
				}
			}
			bound := (rate*window.Seconds()+rate)*1.1 + 110_000
			// Each instance may owe one request that is larger than its bucket.
			if float64(sum) > bound {
				t.Fatalf("%d tokens in %v, the bound is %.0f", sum, window, bound)
			}
		}
	})
}

// Guards against requests that never fit, and against a lower limit that does
// not hold at once.
func TestLargeRequestsAndLowerLimits(t *testing.T) {
	now := time.Duration(0)
	b := newBuckets(7, &now, true)
	b.Configure(limit(29_000, 29_000))
	ok, _ := b.Take("one", 45_000)
	assert.Assert(t, ok, "a request larger than a bucket is never admitted")
	ok, wait := b.Take("one", 1000)
	assert.Assert(t, !ok && wait > 0, "the bucket does not owe the rest")

	b = newBuckets(1, &now, true)
	b.Configure(limit(1_000_000, 1_000_000))
	b.Configure(limit(10, 10))
	ok, _ = b.Take("one", 30_000)
	assert.Assert(t, ok, "the tolerated excess is not used")
	ok, _ = b.Take("one", 30_000)
	assert.Assert(t, !ok, "tokens of the higher limit are left")
}

// Guards against an organisation without a limit that is refused.
func TestUnknownOrganisationIsNotLimited(t *testing.T) {
	now := time.Duration(0)
	b := newBuckets(1, &now, true)
	b.Configure(limit(1, 1))
	ok, _ := b.Take("other", 1<<40)
	assert.Assert(t, ok)
}
