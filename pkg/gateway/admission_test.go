package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

type admissionTest struct {
	t        *testing.T
	filter   *Admission
	finish   chan struct{} // each value sent ends one running request
	admitted chan string   // the organisation of each request that got a slot
	results  chan error
}

func newAdmissionTest(t *testing.T, targets TargetSource) *admissionTest {
	return &admissionTest{
		t: t, filter: NewAdmission(targets, func() int { return 1 }), finish: make(chan struct{}),
		admitted: make(chan string, 100), results: make(chan error, 100),
	}
}

// send starts a request in the background and returns a function that
// disconnects its caller.
func (a *admissionTest) send(organisation string) context.CancelFunc {
	ex := testExchange(organisation, "x")
	ex.Route = &tables.Route{}
	ctx, cancel := context.WithCancel(ex.Context())
	ex.Request = ex.Request.WithContext(ctx)
	go func() {
		a.results <- a.filter.Handle(ex, func(*Exchange) error {
			a.admitted <- organisation
			<-a.finish
			return nil
		})
	}()
	return cancel
}

// waitForQueueLength waits until n requests are queued.
func (a *admissionTest) waitForQueueLength(n int) {
	a.t.Helper()
	q := a.filter.queueFor(testPool.Name)
	poll.WaitOn(a.t, func(poll.LogT) poll.Result {
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.queue.Len() == n {
			return poll.Success()
		}
		return poll.Continue("%d requests are queued, want %d", q.queue.Len(), n)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// Targets are overloaded if more requests run than there are slots. A refusal of
// a full queue must have the outcome not_run and a Retry-After, and a caller that
// disconnects must leave the queue, or its place stays taken.
func TestAdmission(t *testing.T) {
	a := newAdmissionTest(t, testTargets(1))
	a.send("a")
	a.send("a")
	assert.Equal(t, <-a.admitted, "a")
	assert.Equal(t, <-a.admitted, "a")
	disconnect := a.send("a")
	a.waitForQueueLength(1)
	a.send("a")
	a.waitForQueueLength(2)
	a.send("a")
	refused := apierr.From(<-a.results)
	assert.Equal(t, refused.Code, apierr.CodeQueueFull)
	assert.Equal(t, refused.Outcome, apierr.OutcomeNotRun)
	assert.Assert(t, refused.RetryAfter > 0)
	disconnect()
	a.waitForQueueLength(1)
	assert.Equal(t, apierr.From(<-a.results).Code, apierr.CodeCallerGone)
	a.send("b")
	a.waitForQueueLength(2)
	a.finish <- struct{}{}
	assert.Equal(t, <-a.admitted, "b") // "a" has used two slots already
	for range 3 {
		a.finish <- struct{}{}
	}
	a.waitForQueueLength(0)
}

// replaceableTargets is a TargetSource whose set a test replaces while requests
// wait. current holds exactly one set.
type replaceableTargets struct{ current chan *target.Set }

func (c *replaceableTargets) TargetSet() *target.Set {
	set := <-c.current
	c.current <- set
	return set
}

// Queued requests must get the slots of a target that is added while they wait. A
// request for a pool without targets must fail at once with no_target.
func TestAdmissionFollowsTargets(t *testing.T) {
	targets := &replaceableTargets{current: make(chan *target.Set, 1)}
	targets.current <- testTargets(1).TargetSet()
	a := newAdmissionTest(t, targets)
	for range 3 {
		a.send("a")
	}
	<-a.admitted
	<-a.admitted
	a.waitForQueueLength(1)
	<-targets.current
	targets.current <- testTargets(2).TargetSet()
	<-a.admitted
	for range 3 {
		a.finish <- struct{}{}
		assert.NilError(t, <-a.results)
	}
	<-targets.current
	targets.current <- target.NewSet(nil)
	a.send("a")
	assert.Equal(t, apierr.From(<-a.results).Code, apierr.CodeNoTarget)
}

// A request whose deadline has passed must be refused with deadline_exceeded
// instead of taking a place in the queue.
func TestAdmissionRefusesLateRequest(t *testing.T) {
	a := newAdmissionTest(t, testTargets(1))
	a.send("a")
	a.send("a")
	<-a.admitted
	<-a.admitted
	ex := testExchange("b", "x")
	ex.Route, ex.Deadline = &tables.Route{}, time.Now().Add(-time.Second)
	refused := apierr.From(a.filter.Handle(ex, nil))
	assert.Equal(t, refused.Code, apierr.CodeDeadlineExceeded)
	assert.Equal(t, refused.Outcome, apierr.OutcomeNotRun)
	a.finish <- struct{}{}
	a.finish <- struct{}{}
}
