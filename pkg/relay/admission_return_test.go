package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/admission"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// All callers that an organisation over its rate was refused came back after 20 ms, when
// there were tokens for one of them.
func TestCallersBeyondTheRateReturnOneAfterAnother(t *testing.T) {
	a := &Admission{Usage: admission.NewUsage(), InstanceCount: func() int { return 10 }}
	hot, other := &tables.Organisation{Name: "hot", Rate: 100_000}, &tables.Organisation{Name: "other", Rate: 100_000}
	previous := time.Duration(0)
	for n := range 5 {
		after := a.QuotaReturnAfter(hot, 10_000, 10*time.Millisecond) // a second of this instance's part
		assert.Assert(t, n == 0 && after < time.Second || after > previous+900*time.Millisecond, "%v after %v", after, previous)
		previous = after
	}
	assert.Assert(t, a.QuotaReturnAfter(other, 10_000, 10*time.Millisecond) < 100*time.Millisecond)
}

// Callers of routes with a short objective or long event gaps were taken to leave long before
// they do, and were refused while they still waited.
func TestCallersOfStreamsStayForTheLongestOfTheirTimes(t *testing.T) {
	for _, c := range []struct{ objective, gap, want time.Duration }{
		{100 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second},
		{time.Second, 100 * time.Millisecond, 4 * time.Second},
		{100 * time.Millisecond, time.Second, 8 * time.Second},
	} {
		route := &tables.Route{Name: "r", Pool: "p", Deadline: time.Minute, StreamsEvents: true, MaxEventGap: c.gap, Objective: tables.Objective{FirstToken: c.objective}}
		now := time.Now()
		ex := &Exchange{
			Route: route, Pool: &tables.Pool{Name: "p"}, Start: now, Deadline: now.Add(time.Minute),
			Snapshot: tables.NewSnapshot(1, &tables.Tables{Routes: []tables.Route{*route}}),
		}
		a := &Admission{Usage: admission.NewUsage(), InstanceCount: func() int { return 1 }}
		assert.Equal(t, a.caller(ex, now).LeavesAt.Sub(now), c.want)
	}
}

// A request whose deadline passed while it waited ended without Retry-After, or was sent
// when no time was left for an answer.
func TestRequestIsRefusedBeforeItsDeadlineIsTooCloseToSendIt(t *testing.T) {
	now := time.Now()
	route := tables.Route{Name: "r", Pool: "p", Deadline: time.Minute}
	ex := &Exchange{
		Route: &route, Pool: &tables.Pool{Name: "p"}, Start: now, Deadline: now.Add(time.Second),
		Snapshot: tables.NewSnapshot(1, &tables.Tables{Routes: []tables.Route{route}}),
	}
	a := &Admission{Usage: admission.NewUsage(), InstanceCount: func() int { return 1 }}
	c := a.caller(ex, now)
	assert.Equal(t, ex.Deadline.Sub(c.LeavesAt), minAttemptTime)
	assert.Assert(t, untilAfter(c.LeavesAt) < time.Second, "the request is not checked when its time is over")
}

// A first request with a short timeout counted as waiting for most of the route's time, and
// went before all others of its rank.
func TestShortTimeoutIsNoLongWait(t *testing.T) {
	now := time.Now()
	arrived := func(timeout time.Duration) time.Duration {
		return firstArrival(&Exchange{Route: &tables.Route{Deadline: 15 * time.Second}, Start: now, Deadline: now.Add(timeout)}).Sub(now)
	}
	assert.Equal(t, arrived(15*time.Second), time.Duration(0))
	assert.Equal(t, arrived(14500*time.Millisecond), -500*time.Millisecond)
	assert.Equal(t, arrived(2*time.Second), -maxEarlierWait)
}
