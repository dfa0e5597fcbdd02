package relay_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// A target that may no longer be used when its connection is open must not get
// the request.
func TestRequestIsNotSentToTargetThatLeftMeanwhile(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *fixture)
	}{
		{"announces that it leaves", func(f *fixture) {
			leaving := *f.targets[0]
			leaving.Leaving = true
			f.targets = []*target.Target{&leaving, f.targets[1]}
		}},
		{"gone", func(f *fixture) { f.targets = f.targets[1:] }},
		{"end of use of its weights", func(f *fixture) {
			expired := *f.targets[0]
			expired.WeightsUsableUntil = clock.System{}.Elapsed()
			f.targets = []*target.Target{&expired, f.targets[1]}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			first, other := startTarget(t, "i-1"), startTarget(t, "i-2")
			f := newFixture(t, first, other)
			f.targets[1].Zone = "zone-b" // costs more, so the first is chosen
			lists := 0
			f.onList = func() {
				if lists++; lists == 2 { // after the choice
					c.change(f)
				}
			}
			got := f.send(callerRequest{path: "/once/"})
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, len(first.Requests()), 0, "the target got the request")
			assert.Equal(t, len(other.Requests()), 1)
		})
	}
}

// The time stated to a target must not include the time that its connection took.
func TestStatedTimeIsMeasuredWhenTheRequestIsSent(t *testing.T) {
	testTarget := startTarget(t, "i-1")
	f := newFixture(t, testTarget)
	const connectDelay = 300 * time.Millisecond
	lists := 0
	f.onList = func() {
		if lists++; lists == 2 {
			time.Sleep(connectDelay)
		}
	}
	got := f.send(callerRequest{path: "/once/", timeout: time.Second})
	assert.NilError(t, got.err)
	assert.Assert(t, statedTime(t, testTarget.Requests()[0]) <= time.Second-connectDelay)
}
