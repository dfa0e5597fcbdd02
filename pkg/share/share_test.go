package share

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/quota"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

var tolerated = Tolerance{Overage: 0.1, Slack: 110_000}

// bound is what an organisation may spend in a window.
func bound(rate, burst float64, window time.Duration) float64 {
	return (rate*window.Seconds()+burst)*(1+tolerated.Overage) + tolerated.Slack
}

// fleet is a number of instances that lend to each other in the same process.
type fleet struct {
	clock     *clock.Fake
	instances []*Borrower
	cut       map[int]bool // instances that no other reaches
	// brokers returns the numbers of the brokers as an instance sees them.
	brokers func(instance int) []int
}

func newFleet(instances int, limit []tables.Organisation) *fleet {
	f := &fleet{clock: clock.NewFake(time.Unix(0, 0)), cut: make(map[int]bool), brokers: func(int) []int { return []int{0, 1} }}
	f.instances = make([]*Borrower, instances)
	for i := range f.instances {
		f.start(i, limit)
	}
	return f
}

func (f *fleet) start(i int, limit []tables.Organisation) {
	b := &Buckets{
		Tolerance: func() Tolerance { return tolerated }, Instances: func() int { return len(f.instances) },
		CanLend: func() bool { return true }, Now: f.clock.Elapsed,
	}
	b.Configure(limit)
	f.instances[i] = &Borrower{
		Buckets: b, Clock: f.clock, Log: hclog.NewNullLogger(), Transfer: &carrier{f, i},
		Brokers: func(string) []string {
			var addresses []string
			for _, n := range f.brokers(i) {
				address := fmt.Sprint(n)
				if n == i {
					address = ""
				}
				addresses = append(addresses, address)
			}
			return addresses
		},
	}
}

// idle passes time in which nobody asks for tokens.
func (f *fleet) idle(d time.Duration) {
	for end := f.clock.Elapsed() + d; f.clock.Elapsed() < end; f.clock.Advance(depositInterval) {
		for _, b := range f.instances {
			b.deposit(context.Background())
		}
	}
}

// carrier carries the messages of one instance.
type carrier struct {
	fleet *fleet
	from  int
}

var errCut = errors.New("cut off")

func (c *carrier) to(address string) (*Borrower, error) {
	var n int
	if _, err := fmt.Sscan(address, &n); err != nil {
		return nil, err
	}
	if c.fleet.cut[n] || c.fleet.cut[c.from] {
		return nil, errCut
	}
	return c.fleet.instances[n], nil
}

func (c *carrier) Request(_ context.Context, address string, request quota.Request) (quota.Grant, error) {
	to, err := c.to(address)
	if err != nil {
		return quota.Grant{}, err
	}
	return to.HandleRequest(request), nil
}

func (c *carrier) Deposit(_ context.Context, address string, tokens map[string]float64) error {
	to, err := c.to(address)
	if err != nil {
		return err
	}
	to.HandleDeposit(tokens)
	return nil
}

func limit(rate, burst float64) []tables.Organisation {
	return []tables.Organisation{{Name: "one", Rate: rate, Burst: burst}}
}

// Guards against an organisation that gets more than its rate and burst over
// all instances in any window: whatever it asks of which instance, while
// instances restart and are cut off, and while they do not agree who lends.
func TestSumOverInstancesHolds(t *testing.T) {
	const window = 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 80).Draw(t, "instances")
		rate := rapid.Float64Range(10_000, 500_000).Draw(t, "rate")
		largest := rapid.Int64Range(1, 60_000).Draw(t, "largest")
		step := rapid.IntRange(1, 400).Draw(t, "step")
		f := newFleet(instances, limit(rate, rate))
		first, second := 0, 0 // each half of the instances takes one of them for the broker
		f.brokers = func(i int) []int {
			if i%2 == 0 {
				return []int{first, second}
			}
			return []int{second, first}
		}
		type spent struct {
			at     time.Duration
			tokens int64
		}
		var history []spent
		start := f.clock.Elapsed()
		agreed := time.Duration(0)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			f.clock.Advance(time.Duration(rapid.IntRange(0, step).Draw(t, "ms")) * time.Millisecond)
			now := f.clock.Elapsed() - start
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			switch rapid.IntRange(0, 60).Draw(t, "event") {
			case 0:
				f.start(i, limit(rate, rate))
			case 1:
				f.cut[i] = !f.cut[i]
			case 2:
				// A broker comes or goes; the others learn of it within seconds.
				if now > agreed {
					first, agreed = i, now+5*time.Second
				}
			}
			if now > agreed {
				second = first
			}
			if rapid.IntRange(0, 3).Draw(t, "deposits") == 0 {
				for _, b := range f.instances {
					b.deposit(context.Background())
				}
			}
			tokens := rapid.Int64Range(1, largest).Draw(t, "tokens")
			if ok, _ := f.instances[i].Take(context.Background(), "one", tokens); ok {
				history = append(history, spent{now, tokens})
			}
			sum := int64(0)
			for _, s := range history {
				if s.at > now-window {
					sum += s.tokens
				}
			}
			if float64(sum) > bound(rate, rate, window) {
				t.Fatalf("%d tokens in %v, the bound is %.0f", sum, window, bound(rate, rate, window))
			}
		}
	})
}

// Replays many callers of a small organisation that begin at once, each at
// another instance, with requests larger than an instance's part. Guards against
// instances that each admit one on credit.
func TestHerdOfLargeRequests(t *testing.T) {
	const instances, tokens = 79, 9_200
	f := newFleet(instances, limit(29_000, 29_000))
	f.idle(20 * time.Second)
	start := f.clock.Elapsed()
	sum, within := 0.0, bound(29_000, 29_000, 8*time.Second)
	for f.clock.Elapsed()-start < 8*time.Second {
		for _, b := range f.instances {
			if ok, _ := b.Take(context.Background(), "one", tokens); ok {
				sum += tokens
			}
		}
		for _, b := range f.instances {
			b.deposit(context.Background())
		}
		f.clock.Advance(depositInterval)
	}
	assert.Assert(t, sum <= within, "%.0f tokens, the bound is %.0f", sum, within)
	assert.Assert(t, sum >= 8*29_000, "%.0f tokens of %d were admitted", sum, 8*29_000)
}

// Replays an organisation that stays within its rate and whose callers reach
// few instances, with requests larger than an instance's part. Guards against
// refusals although the fleet as a whole has the tokens, also after the broker
// is gone.
func TestRequestsWithinTheRateAreAdmitted(t *testing.T) {
	const instances, rate, tokens = 79, 200_000.0, 9_200
	f := newFleet(instances, limit(rate, rate))
	f.idle(10 * time.Second)
	at, refused := 0, 0
	for step := range 400 { // 20 a second, 92% of the rate
		f.clock.Advance(50 * time.Millisecond)
		if step == 200 {
			f.cut[0] = true
		}
		if step%5 == 0 {
			for _, b := range f.instances {
				b.deposit(context.Background())
			}
		}
		at = (at + 1) % 5
		if ok, _ := f.instances[10+at].Take(context.Background(), "one", tokens); !ok && (step < 200 || step > 240) {
			refused++
		}
	}
	assert.Assert(t, refused <= 4, "%d of 360 requests within the rate were refused", refused) // 1%
}

// Guards against requests that never fit, and against a lower limit that does
// not hold at once.
func TestLargeRequestsAndLowerLimits(t *testing.T) {
	f := newFleet(7, limit(29_000, 29_000))
	for _, cut := range []int{6, 0} { // without, and with a broker that is gone
		f.cut[cut] = true
		f.idle(10 * time.Second)
		ok, _ := f.instances[3].Take(context.Background(), "one", 45_000)
		assert.Assert(t, ok, "a request larger than an instance's part is never admitted")
		ok, wait := f.instances[3].Take(context.Background(), "one", 45_000)
		assert.Assert(t, !ok && wait > 0, "the tokens were lent twice")
	}

	now := time.Duration(0)
	b := &Buckets{Tolerance: func() Tolerance { return tolerated }, Instances: func() int { return 1 }, Now: func() time.Duration { return now }}
	b.Configure(limit(1_000_000, 1_000_000))
	now = time.Minute
	b.Configure(limit(10, 10))
	assert.Assert(t, b.Spend("one", 30_000), "the tolerated excess is not used")
	assert.Assert(t, !b.Spend("one", 100_000), "tokens of the higher limit are left")
}

// Guards against an organisation without a limit that is refused.
func TestUnknownOrganisationIsNotLimited(t *testing.T) {
	f := newFleet(1, limit(1, 1))
	ok, _ := f.instances[0].Take(context.Background(), "other", 1<<40)
	assert.Assert(t, ok)
}

// Guards against requests that are refused, or admitted without tokens, because
// nobody lends: the whole own part serves them then.
func TestNobodyLends(t *testing.T) {
	f := newFleet(7, limit(200_000, 200_000))
	b := f.instances[3]
	b.Buckets.CanLend = func() bool { return false }
	f.clock.Advance(time.Minute)
	admitted := 0
	for range 100 {
		if ok, _ := b.Take(context.Background(), "one", 9_200); ok {
			admitted++
		}
	}
	part := bound(0, 200_000, 0) / 7 / 9_200
	assert.Assert(t, admitted >= 4 && float64(admitted) <= part, "%d admitted, the part is %.1f", admitted, part)
}

// Guards against an instance that takes the whole limit for its own before it
// knows of the others.
func TestNothingIsIssuedBeforeTheInstancesAreKnown(t *testing.T) {
	now, instances := time.Duration(0), 0
	b := &Buckets{Tolerance: func() Tolerance { return tolerated }, Instances: func() int { return instances }, Now: func() time.Duration { return now }}
	b.Configure(limit(100_000, 100_000))
	now = time.Minute
	assert.Assert(t, !b.Spend("one", 1))
	instances = 10
	now += time.Second
	assert.Assert(t, b.Spend("one", 10_000))
	assert.Assert(t, !b.Spend("one", 10_000))
}
