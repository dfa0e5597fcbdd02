package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/claim"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

const poisonBody = `{"model":"m","prompt":"POISON"}`

// newCrashingEngines starts stand-in engines that crash on poisonBody. With restart
// they come back at once with another incarnation, otherwise they stay down.
func newCrashingEngines(t *testing.T, n int, restart bool, crashes *atomic.Int64) []*target.Target {
	var targets []*target.Target
	for i := range n {
		e := standin.NewEngine(standin.DefaultEngineOptions("m"))
		e.SetFaults(standin.EngineFaults{CrashOnText: "POISON"})
		server := httptest.NewServer(e.Handler())
		t.Cleanup(server.Close)
		e.Crash = func() {
			crashes.Add(1)
			if restart {
				e.Restart()
			} else {
				server.Config.Close()
			}
			panic(http.ErrAbortHandler)
		}
		address := server.Listener.Addr().String()
		state, err := engine.NewHTTPClient().State(t.Context(), address)
		assert.NilError(t, err)
		targets = append(targets, &target.Target{
			ID: fmt.Sprintf("engine-%d", i), Address: address, Reachable: true,
			Incarnation: state.Incarnation, Model: "m", Live: &target.LiveState{},
		})
	}
	return targets
}

// A request that crashes its target must be quarantined after two crashes. Else it
// takes down the whole pool by retries, by being sent again, or through another
// instance.
func TestPoisonRequestCrashesAtMostTwoTargets(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprintf("restart=%v", restart), func(t *testing.T) {
			var crashes atomic.Int64
			p := standin.NewPlatform()
			targets := newCrashingEngines(t, 5, restart, &crashes)
			r, other := newRouter(t, p, targets...), newRouter(t, p, targets...)
			r.poison.OnQuarantine = other.poison.AddQuarantine
			r.serve()
			other.serve()
			a := r.post(pathGenerate, "", poisonBody)
			a.assertError(t, 422, apierr.CodeQuarantined, apierr.OutcomeUnknown)
			assert.Equal(t, crashes.Load(), int64(2))
			for _, instance := range []*testRouter{r, other} {
				a := instance.post(pathGenerate, "", poisonBody)
				a.assertError(t, 422, apierr.CodeQuarantined, apierr.OutcomeNotRun)
				assert.Assert(t, a.header.Get("Retry-After") != "")
			}
			assert.Equal(t, crashes.Load(), int64(2))
			assert.Equal(t, r.post(pathGenerate, "", generateBody).status, 200)
		})
	}
}

// A target that closes the connection has not crashed if its incarnation is
// unchanged. Its requests must not be quarantined.
func TestBrokenConnectionIsNotACrash(t *testing.T) {
	var targets []*target.Target
	for i := range 3 {
		e := standin.NewEngine(standin.DefaultEngineOptions("m"))
		e.SetFaults(standin.EngineFaults{CutBeforeAnswer: true})
		server := httptest.NewServer(e.Handler())
		t.Cleanup(server.Close)
		address := server.Listener.Addr().String()
		state, err := engine.NewHTTPClient().State(t.Context(), address)
		assert.NilError(t, err)
		targets = append(targets, &target.Target{
			ID: fmt.Sprint(i), Address: address, Reachable: true, Incarnation: state.Incarnation, Model: "m", Live: &target.LiveState{},
		})
	}
	r := newRouter(t, standin.NewPlatform(), targets...)
	r.serve()
	for range 2 {
		r.post(pathGenerate, "", generateBody).assertError(t, 502, apierr.CodeTargetFailed, apierr.OutcomeUnknown)
	}
	assert.Assert(t, r.poison.IsQuarantineEmpty())
}

// A duplicate of a request that may have run must get the outcome unknown and not
// the not_run of the quarantine. A quarantined request must release its claim, or
// its key stays blocked.
func TestQuarantineOnNonRepeatableRoute(t *testing.T) {
	s := newTarget(t, "s", handleCutBeforeResponse)
	r := newRouter(t, standin.NewPlatform(), s.Target)
	r.serve()
	r.post(pathBook, "k", "b").assertError(t, 502, apierr.CodeTargetFailed, apierr.OutcomeUnknown)
	content := claim.DigestRequest("coop", http.MethodPost, pathBook, []byte("b"))
	r.poison.AddQuarantine(content, time.Now().Add(time.Minute))
	r.post(pathBook, "k", "b").assertError(t, 409, apierr.CodeOutcomeUnknown, apierr.OutcomeUnknown)
	for range 2 {
		r.post(pathBook, "k2", "b").assertError(t, 422, apierr.CodeQuarantined, apierr.OutcomeNotRun)
	}
	assert.Equal(t, s.reads.Load(), int64(1))
}

// A service has no incarnation. Its crash must be detected by the refused
// connection.
func TestServiceCrashIsDetected(t *testing.T) {
	probe := &CrashProbe{Client: engine.NewHTTPClient()}
	assert.Assert(t, probe.Crashed(t.Context(), unreachableTarget(t, "s"), tables.PoolService))
	assert.Assert(t, !probe.Crashed(t.Context(), newTarget(t, "s", handleOK).Target, tables.PoolService))
}
