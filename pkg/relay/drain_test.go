package relay_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// A request that still runs when the instance stops was cut without an answer. It must get
// one, and that must not promise that the request has not run.
func TestRunningRequestIsAnsweredWhenTheInstanceStops(t *testing.T) {
	testTarget := startTarget(t, "i-1")
	f := newFixture(t, testTarget)
	testTarget.SetFaults(func(int, string) platformtest.Fault { return platformtest.Fault{Delay: testTimeout} })
	answered := make(chan callerResponse, 1)
	go func() { answered <- f.send(callerRequest{path: "/once/"}) }()
	eventually(t, "the request runs", func() bool { return testTarget.RunningRequests() == 1 })
	f.endRequests()
	got := <-answered
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.header.Get(apierr.HeaderOutcome), string(apierr.OutcomeUnknown))
}

// Late in a stop, a request whose deadline lies after the end of the stop must be refused as
// not run, and must reach no target. One that ends in time must be served.
func TestRequestThatMayBeCutByStopIsRefused(t *testing.T) {
	testTarget := startTarget(t, "i-1")
	f := newFixture(t, testTarget)
	f.setDrainEnd(time.Now().Add(time.Second))
	got := f.send(callerRequest{path: "/once/", timeout: 1500 * time.Millisecond, body: "x"})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get(apierr.HeaderOutcome), string(apierr.OutcomeNotRun))
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(testTarget.Requests()), 0)
	assert.Equal(t, f.send(callerRequest{path: "/once/", timeout: 500 * time.Millisecond}).status, http.StatusOK)
}
