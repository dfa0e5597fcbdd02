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

var testTolerance = Tolerance{Overage: 0.1, Slack: 110_000}

// maxSpend returns the number of tokens that an organisation may spend in a
// window.
func maxSpend(rate, burst float64, window time.Duration) float64 {
	return (rate*window.Seconds()+burst)*(1+testTolerance.Overage) + testTolerance.Slack
}

// fleet is a set of instances that lend tokens to each other within the
// process.
type fleet struct {
	clock       *clock.Fake
	instances   []*Borrower
	partitioned map[int]bool // instances without a connection to any other
	lostAnswers map[int]bool // instances whose assignments are accepted, but appear to fail
	// brokers returns the indexes of the brokers in the view of an instance.
	brokers func(instance int) []int
}

func newFleet(instances int, limit []tables.Organisation) *fleet {
	f := &fleet{clock: clock.NewFake(time.Unix(0, 0)), partitioned: make(map[int]bool), lostAnswers: make(map[int]bool), brokers: func(int) []int { return []int{0, 1} }}
	f.instances = make([]*Borrower, instances)
	for i := range f.instances {
		f.start(i, limit)
	}
	return f
}

// start replaces instance i by a new process.
func (f *fleet) start(i int, limit []tables.Organisation) {
	b := &Buckets{
		Tolerance: func() Tolerance { return testTolerance }, Instances: func() int { return len(f.instances) },
		CanLend: func() bool { return true }, Now: f.clock.Elapsed,
	}
	if f.instances[i] != nil {
		b.RestartedAt = f.clock.Elapsed()
	}
	b.Configure(limit)
	f.instances[i] = &Borrower{
		Buckets: b, Clock: f.clock, Log: hclog.NewNullLogger(), Transfer: &fakeTransferer{f, i},
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

// idle advances the clock without spending; instances assign at each interval.
func (f *fleet) idle(d time.Duration) {
	for end := f.clock.Elapsed() + d; f.clock.Elapsed() < end; f.clock.Advance(f.interval()) {
		f.assign()
	}
}

// assign makes all instances assign their refill once.
func (f *fleet) assign() {
	for _, b := range f.instances {
		b.assign(context.Background(), f.interval())
	}
}

// interval returns the time between two assignments in a fleet of this size.
func (f *fleet) interval() time.Duration { return assignInterval(len(f.instances)) }

// fakeTransferer is the Transferer of one instance of a fleet.
type fakeTransferer struct {
	fleet *fleet
	from  int
}

var errPartitioned = errors.New("instance is partitioned")

func (c *fakeTransferer) receiver(address string) (*Borrower, error) {
	var n int
	if _, err := fmt.Sscan(address, &n); err != nil {
		return nil, err
	}
	if c.fleet.partitioned[n] || c.fleet.partitioned[c.from] {
		return nil, errPartitioned
	}
	return c.fleet.instances[n], nil
}

func (c *fakeTransferer) Request(_ context.Context, address string, request quota.Request) (quota.Grant, error) {
	to, err := c.receiver(address)
	if err != nil {
		return quota.Grant{}, err
	}
	return to.HandleRequest(request), nil
}

func (c *fakeTransferer) Assign(_ context.Context, address string, assignments map[string]Assignment, duration time.Duration) error {
	to, err := c.receiver(address)
	if err != nil {
		return err
	}
	to.HandleAssignments(fmt.Sprint(c.from), assignments, duration)
	if c.fleet.lostAnswers[c.from] {
		return errPartitioned
	}
	return nil
}

// limit returns the limit of one organisation named "one".
func limit(rate, burst float64) []tables.Organisation {
	return []tables.Organisation{{Name: "one", Rate: rate, Burst: burst}}
}

// An organisation must not get more than its rate and burst over all instances
// in any window, also while instances restart, are partitioned, or disagree on
// the broker.
func TestFleetNeverExceedsLimit(t *testing.T) {
	const window = 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 80).Draw(t, "instances")
		rate := rapid.Float64Range(10_000, 500_000).Draw(t, "rate")
		largest := rapid.Int64Range(1, 60_000).Draw(t, "largest")
		step := rapid.IntRange(1, 400).Draw(t, "step")
		f := newFleet(instances, limit(rate, rate))
		first, second := 0, 0 // the broker in the view of either half of the instances
		f.brokers = func(i int) []int {
			if i%2 == 0 {
				return []int{first, second}
			}
			return []int{second, first}
		}
		type spend struct {
			at     time.Duration
			tokens int64
		}
		var history []spend
		start := f.clock.Elapsed()
		agreedAt := time.Duration(0) // both halves use the same broker from then on
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			f.clock.Advance(time.Duration(rapid.IntRange(0, step).Draw(t, "ms")) * time.Millisecond)
			now := f.clock.Elapsed() - start
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			switch rapid.IntRange(0, 60).Draw(t, "event") {
			case 0:
				f.start(i, limit(rate, rate))
			case 1:
				f.partitioned[i] = !f.partitioned[i]
			case 3:
				f.lostAnswers[i] = !f.lostAnswers[i]
			case 2:
				// The broker changes. Half of the instances learn of it after
				// five seconds.
				if now > agreedAt {
					first, agreedAt = i, now+5*time.Second
				}
			}
			if now > agreedAt {
				second = first
			}
			if rapid.IntRange(0, 3).Draw(t, "deposits") == 0 {
				f.assign()
			}
			tokens := rapid.Int64Range(1, largest).Draw(t, "tokens")
			if ok, _ := f.instances[i].Take(context.Background(), "one", tokens); ok {
				history = append(history, spend{now, tokens})
			}
			sum := int64(0)
			for _, s := range history {
				if s.at > now-window {
					sum += s.tokens
				}
			}
			if float64(sum) > maxSpend(rate, rate, window) {
				t.Fatalf("%d tokens were spent in %v, the limit is %.0f", sum, window, maxSpend(rate, rate, window))
			}
		}
	})
}

// Many callers of a small organisation start at once, each at another instance,
// with requests larger than an instance's part of the limit. If each instance
// admitted one of them on credit, the limit would be exceeded many times over.
func TestSimultaneousLargeRequestsStayWithinLimit(t *testing.T) {
	const instances, tokens = 79, 9_200
	f := newFleet(instances, limit(29_000, 29_000))
	f.idle(20 * time.Second)
	start := f.clock.Elapsed()
	const step = 240 * time.Millisecond // between the attempts of all callers
	nextAssignment := start
	sum, within := 0.0, maxSpend(29_000, 29_000, 8*time.Second)
	for f.clock.Elapsed()-start < 8*time.Second {
		for _, b := range f.instances {
			if ok, _ := b.Take(context.Background(), "one", tokens); ok {
				sum += tokens
			}
		}
		if f.clock.Elapsed() >= nextAssignment {
			f.assign()
			nextAssignment += f.interval()
		}
		f.clock.Advance(step)
	}
	assert.Assert(t, sum <= within, "%.0f tokens were admitted, the limit is %.0f", sum, within)
	assert.Assert(t, sum >= 8*29_000, "only %.0f of %d tokens within the rate were admitted", sum, 8*29_000)
}

// The callers of an organisation use a few instances only, with requests larger
// than an instance's part of the limit. While the organisation stays within its
// rate, they must not be refused, apart from the seconds of a broker's
// failover.
func TestRequestsWithinTheRateAreAdmitted(t *testing.T) {
	const instances, rate, tokens = 79, 200_000.0, 9_200
	f := newFleet(instances, limit(rate, rate))
	f.idle(10 * time.Second)
	at, refused := 0, 0
	for step := range 400 { // 20 a second, 92% of the rate
		f.clock.Advance(50 * time.Millisecond)
		if step == 200 {
			f.partitioned[0] = true
		}
		if time.Duration(step)*50*time.Millisecond%f.interval().Round(50*time.Millisecond) == 0 {
			f.assign()
		}
		at = (at + 1) % 5
		if ok, _ := f.instances[10+at].Take(context.Background(), "one", tokens); !ok && (step < 200 || step > 240) {
			refused++
		}
	}
	assert.Assert(t, refused <= 4, "%d of 360 requests within the rate were refused", refused) // 1%
}

// A request larger than an instance's part of the limit must be admitted by
// borrowing, also when the broker is gone. A lowered limit must apply to tokens
// that were refilled before.
func TestLargeRequestsAndLoweredLimit(t *testing.T) {
	f := newFleet(7, limit(29_000, 29_000))
	for _, cut := range []int{6, 0} { // instance 0 is the broker
		f.partitioned[cut] = true
		f.idle(10 * time.Second)
		ok, _ := f.instances[3].Take(context.Background(), "one", 45_000)
		assert.Assert(t, ok, "a request larger than an instance's part was not admitted")
		ok, wait := f.instances[3].Take(context.Background(), "one", 45_000)
		assert.Assert(t, !ok && wait > 0, "the same tokens were lent twice")
	}

	now := time.Duration(0)
	b := &Buckets{Tolerance: func() Tolerance { return testTolerance }, Instances: func() int { return 1 }, Now: func() time.Duration { return now }}
	b.Configure(limit(1_000_000, 1_000_000))
	now = time.Minute
	b.Configure(limit(10, 10))
	assert.Assert(t, b.Spend("one", 30_000), "the tolerance is not used")
	assert.Assert(t, !b.Spend("one", 100_000), "tokens of the higher limit can still be spent")
}

// Requests of an organisation without a limit must never be refused.
func TestUnknownOrganisationIsNotLimited(t *testing.T) {
	f := newFleet(1, limit(1, 1))
	ok, _ := f.instances[0].Take(context.Background(), "other", 1<<40)
	assert.Assert(t, ok)
}

// Without lending, an instance must admit requests up to its whole part of the
// limit: less would refuse callers, more would exceed the limit.
func TestInstanceUsesItsPartWithoutLending(t *testing.T) {
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
	part := maxSpend(0, 200_000, 0) / 7 / 9_200
	assert.Assert(t, admitted >= 4 && float64(admitted) <= part, "%d requests were admitted, the instance's part is %.1f", admitted, part)
}

// An instance that starts before the list of instances is known must not assume
// that it has the whole limit.
func TestNoTokensBeforeInstancesAreKnown(t *testing.T) {
	now, instances := time.Duration(0), 0
	b := &Buckets{Tolerance: func() Tolerance { return testTolerance }, Instances: func() int { return instances }, Now: func() time.Duration { return now }}
	b.Configure(limit(100_000, 100_000))
	now = time.Minute
	assert.Assert(t, !b.Spend("one", 1))
	instances = 10
	now += time.Second
	assert.Assert(t, b.Spend("one", 10_000))
	assert.Assert(t, !b.Spend("one", 10_000))
}

// With a message to each broker every 240 ms, idle instances of a fleet of 295 spent
// most of their processor time on assignments.
func TestAssignmentsDoNotGrowWithTheFleet(t *testing.T) {
	for _, fleet := range []struct{ instances, brokers int }{{2, 4}, {7, 4}, {30, 5}, {79, 7}, {295, 15}, {410, 20}} {
		interval := assignInterval(fleet.instances).Seconds()
		assert.Assert(t, float64(fleet.brokers)/interval <= 10, "an instance of %d sends %.1f assignments a second", fleet.instances, float64(fleet.brokers)/interval)
		assert.Assert(t, float64(fleet.instances)/interval <= 85, "a broker of %d instances gets %.1f assignments a second", fleet.instances, float64(fleet.instances)/interval)
	}
}

// The broker counts the refill of an instance whose process was replaced. If the new
// process counts it too, each restart gives the organisation tokens beyond its limit.
func TestRestartDoesNotCountRefillTwice(t *testing.T) {
	const instances, rate = 10, 1_000_000.0
	f := newFleet(instances, limit(rate, rate))
	f.idle(10 * time.Second)
	for i := 1; i < instances; i++ {
		f.start(i, limit(rate, rate))
	}
	f.clock.Advance(minAssignInterval) // shorter than the assignments of the old processes
	for i := 1; i < instances; i++ {
		assert.Assert(t, !f.instances[i].Buckets.Spend("one", 1), "a new process spends refill that the broker has")
	}
	f.assign()
	f.clock.Advance(minAssignInterval)
	f.assign()
	ok, _ := f.instances[3].Take(context.Background(), "one", 100_000)
	assert.Assert(t, ok, "the refill of replaced processes is not lent")
}

// An assignment whose answer is lost may be counted by the broker. The instance must
// not spend the same refill.
func TestRefillOfAnUnansweredAssignmentIsNotSpent(t *testing.T) {
	f := newFleet(2, limit(100_000, 100_000))
	f.lostAnswers[1] = true
	f.assign()
	f.clock.Advance(minAssignInterval)
	assert.Assert(t, !f.instances[1].Buckets.Spend("one", 5_000), "refill that was assigned is spent")
	f.clock.Advance(maxAssignment)
	assert.Assert(t, f.instances[1].Buckets.Spend("one", 5_000), "refill is lost after the end of an assignment")
}
