package relay_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// usualPace is the pace of a target that works as fast as usual.
const usualPace = 100

// newContendedFixture returns a fixture whose pool has one engine that states its pace. All
// its slots are taken by requests of other instances.
func newContendedFixture(t *testing.T) (*fixture, *platformtest.Target) {
	t.Helper()
	engine := startTarget(t, "i-1")
	f := newFixture(t, engine)
	f.snapshot.Tables.Pools[0].Kind = tables.PoolEngine
	f.targets[0].IsEngine = true
	f.report(target.Load{Running: f.targets[0].Slots, Waiting: f.targets[0].Slots, PacePercent: usualPace})
	return f, engine
}

// report records the load of the engine as other instances tell it.
func (f *fixture) report(load target.Load) {
	f.targets[0].Live.RecordLoad(load, time.Now())
}

// All requests were sent at once, so that they queued at the engine behind less urgent ones.
func TestRequestWaitsUntilATargetHasRoom(t *testing.T) {
	f, engine := newContendedFixture(t)
	answered := make(chan callerResponse, 1)
	go func() { answered <- f.send(callerRequest{path: "/stream/resumable/x"}) }()
	eventually(t, "the request waits", func() bool { return f.admission.Waiting()["resumable"] == 1 })
	assert.Equal(t, len(engine.Requests()), 0)
	f.report(target.Load{Running: 1, PacePercent: usualPace})
	response := <-answered
	assert.NilError(t, response.err)
	assert.Equal(t, response.status, http.StatusOK)
	assert.Equal(t, f.admission.Waiting()["resumable"], 0)
}

// A request that cannot be served before its caller leaves waited until then, and its
// caller was not told that it has not run or when to come back.
func TestRequestThatCannotBeServedIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	f, engine := newContendedFixture(t)
	f.snapshot.Tables.Routes[2].Deadline = 2 * testTimeout // after the caller has left
	stop := make(chan struct{})
	defer close(stop)
	go func() { // the engine stays full
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				f.report(target.Load{Running: 8, Waiting: 8, PacePercent: usualPace})
			}
		}
	}()
	response := f.send(callerRequest{path: "/stream/resumable/x", timeout: testTimeout})
	assert.NilError(t, response.err)
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(engine.Requests()), 0)
	seconds, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 0, seconds)
	for _, figure := range []string{"code=queue_full", "outcome=not_run", "wait_too_long", "report age", "part of the demand"} {
		assert.Assert(t, strings.Contains(f.log.String(), figure), figure)
	}
	assert.Equal(t, f.metrics.Get("admission_refused_wait_too_long").String(), "1")
}

// Requests that were refused without a target used up the quota of their organisation: of
// what was borrowed for them, little fits into the bucket of the instance.
func TestRefusedRequestIsNotCharged(t *testing.T) {
	f, _ := newContendedFixture(t)
	f.update(func() { f.tokens = 1000 })
	for n := range 3 { // they wait, so that the next one would be too late
		go f.send(callerRequest{path: "/stream/once/x", id: "waits-" + strconv.Itoa(n), timeout: 2 * time.Second})
	}
	eventually(t, "requests wait", func() bool { return f.admission.Waiting()["stream-once"] == 3 })
	time.Sleep(300 * time.Millisecond) // nothing is let through meanwhile
	before := int64(0)
	f.update(func() { before = f.tokens })
	response := f.send(callerRequest{path: "/stream/resumable/x", timeout: 2 * time.Second})
	assert.NilError(t, response.err)
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	f.update(func() { assert.Equal(t, f.tokens, before) })
	assert.Assert(t, f.metrics.Get("admission_refused_wait_too_long") != nil)
}

// Pools whose targets state no pace are served as before, and so are plain services.
func TestOtherPoolsAreNotHeldBack(t *testing.T) {
	for name, change := range map[string]func(f *fixture){
		"no pace": func(f *fixture) {
			f.targets[0].Live = &target.LiveState{}
			f.report(target.Load{Running: 8, Waiting: 8})
		},
		"plain service": func(f *fixture) { f.snapshot.Tables.Pools[0].Kind = tables.PoolService },
	} {
		t.Run(name, func(t *testing.T) {
			f, _ := newContendedFixture(t)
			change(f)
			response := f.send(callerRequest{path: "/stream/resumable/x"})
			assert.NilError(t, response.err)
			assert.Equal(t, response.status, http.StatusOK)
			assert.Assert(t, f.metrics.Get("admission_waited") == nil)
		})
	}
}

// A request that no target can take was held until its deadline, and its caller was not
// told when to come back.
func TestRequestThatNoTargetCanTakeIsNotHeld(t *testing.T) {
	for _, c := range []struct {
		name string
		trim func(f *fixture, engine *platformtest.Target)
	}{
		{"refused by the only target", func(_ *fixture, engine *platformtest.Target) {
			engine.SetFaults(func(int, string) platformtest.Fault { return platformtest.Fault{Refuse: true} })
		}},
		{"empty pool", func(f *fixture, _ *platformtest.Target) { f.update(func() { f.targets = nil }) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, engine := newContendedFixture(t)
			f.admission.Expected = true
			f.report(target.Load{Running: 1, PacePercent: usualPace})
			c.trim(f, engine)
			response := f.send(callerRequest{path: "/idempotent/"})
			assert.NilError(t, response.err)
			assert.Equal(t, response.status, http.StatusServiceUnavailable)
			assert.Assert(t, response.header.Get("Retry-After") != "", "held until the deadline")
			assert.Assert(t, f.metrics.Get("admission_waited") == nil, "the request waited")
		})
	}
}

// A request that waited when the instance began to stop was held, sent to a target and cut
// there at the end of the stop, with an unknown outcome.
func TestWaitingRequestIsRefusedWhenTheInstanceMayStopBeforeItsEnd(t *testing.T) {
	f, engine := newContendedFixture(t)
	answered := make(chan callerResponse, 1)
	go func() { answered <- f.send(callerRequest{path: "/stream/once/x"}) }()
	eventually(t, "the request waits", func() bool { return f.admission.Waiting()["stream-once"] == 1 })
	f.setDrainEnd(time.Now().Add(100 * time.Millisecond))
	response := <-answered
	assert.NilError(t, response.err)
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	assert.Equal(t, response.header.Get(apierr.HeaderOutcome), string(apierr.OutcomeNotRun))
	assert.Assert(t, response.header.Get("Retry-After") != "")
	assert.Assert(t, strings.Contains(response.body, "the instance stops"), response.body)
	assert.Equal(t, len(engine.Requests()), 0)
}

// Pools without contention recorded usage, which was sent to other instances, and kept the
// state of a gate.
func TestPoolsWithoutContentionRecordNothing(t *testing.T) {
	f, _ := newContendedFixture(t)
	f.targets[0].Live = &target.LiveState{}
	response := f.send(callerRequest{path: "/stream/resumable/x", header: map[string]string{"Lacewingwheel-Token-Usage": "100,100"}})
	assert.Equal(t, response.status, http.StatusOK)
	assert.Equal(t, len(f.admission.Usage.TokensPerSecond(time.Now())), 0)
	assert.Assert(t, f.admission.Usage.Give(1, time.Now()) == nil, "usage is sent")
}

// A request without token counts, which costs its organisation the default, was not part of
// its usage, and one that no target ran was.
func TestUsageIsWhatTheQuotaIsCharged(t *testing.T) {
	for name, refuses := range map[string]bool{"runs": false, "does not run": true} {
		t.Run(name, func(t *testing.T) {
			f, engine := newContendedFixture(t)
			f.report(target.Load{Running: 1, PacePercent: usualPace})
			f.admission.Configure(f.snapshot.Tables.Organisations)
			engine.SetFaults(func(int, string) platformtest.Fault { return platformtest.Fault{Refuse: refuses} })
			f.send(callerRequest{path: "/once/"})
			assert.Equal(t, len(engine.Requests()), 1)
			// The usage is small but not zero however slow the machine is.
			used := f.admission.Usage.TokensPerSecond(time.Now())["one"] > 0
			assert.Equal(t, used, !refuses)
		})
	}
}

// A report without a pace, as instances of earlier versions pass them on, ended the order by
// rank, and all requests were sent at once until the next report with one.
func TestReportWithoutAPaceKeepsTheOrder(t *testing.T) {
	f, engine := newContendedFixture(t)
	f.report(target.Load{Running: 8, Waiting: 8})
	go f.send(callerRequest{path: "/stream/once/x"})
	eventually(t, "the request waits", func() bool { return f.admission.Waiting()["stream-once"] == 1 })
	assert.Equal(t, len(engine.Requests()), 0)
}
