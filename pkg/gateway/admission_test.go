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
	t      *testing.T
	filter *Admission
	finish chan struct{} // one receive ends one running request
	begun  chan string   // organisations of requests that have a slot
	ended  chan error
}

func newAdmissionTest(t *testing.T, targets TargetSource) *admissionTest {
	return &admissionTest{
		t: t, filter: NewAdmission(targets, func() int { return 1 }), finish: make(chan struct{}),
		begun: make(chan string, 100), ended: make(chan error, 100),
	}
}

// send starts a request and returns a function that disconnects its caller.
func (a *admissionTest) send(organisation string) context.CancelFunc {
	ex := testExchange(organisation, "x")
	ex.Route = &tables.Route{}
	ctx, cancel := context.WithCancel(ex.Context())
	ex.Request = ex.Request.WithContext(ctx)
	go func() {
		a.ended <- a.filter.Handle(ex, func(*Exchange) error {
			a.begun <- organisation
			<-a.finish
			return nil
		})
	}()
	return cancel
}

func (a *admissionTest) waitLen(n int) {
	a.t.Helper()
	q := a.filter.queueOf(testPool.Name)
	poll.WaitOn(a.t, func(poll.LogT) poll.Result {
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.queue.Len() == n {
			return poll.Success()
		}
		return poll.Continue("%d requests wait, want %d", q.queue.Len(), n)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against more requests than slots, a refusal without Retry-After or
// that is not not_run, and a place in the queue that a disconnected caller keeps.
func TestAdmission(t *testing.T) {
	a := newAdmissionTest(t, testTargets(1))
	a.send("a")
	a.send("a")
	assert.Equal(t, <-a.begun, "a")
	assert.Equal(t, <-a.begun, "a")
	disconnect := a.send("a")
	a.waitLen(1)
	a.send("a")
	a.waitLen(2)
	a.send("a")
	refused := apierr.From(<-a.ended)
	assert.Equal(t, refused.Code, apierr.CodeQueueFull)
	assert.Equal(t, refused.Outcome, apierr.NotRun)
	assert.Assert(t, refused.RetryAfter > 0)
	disconnect()
	a.waitLen(1)
	assert.Equal(t, apierr.From(<-a.ended).Code, apierr.CodeCallerGone)
	a.send("b")
	a.waitLen(2)
	a.finish <- struct{}{}
	assert.Equal(t, <-a.begun, "b") // "a" has had two slots
	for range 3 {
		a.finish <- struct{}{}
	}
	a.waitLen(0)
}

// changingTargets is a set that a test replaces while requests wait.
type changingTargets struct{ current chan *target.Set }

func (c *changingTargets) Set() *target.Set {
	set := <-c.current
	c.current <- set
	return set
}

// Guards against waiting requests that do not notice a new target, and against
// waiting for a pool that has none.
func TestAdmissionFollowsTargets(t *testing.T) {
	targets := &changingTargets{current: make(chan *target.Set, 1)}
	targets.current <- testTargets(1).Set()
	a := newAdmissionTest(t, targets)
	for range 3 {
		a.send("a")
	}
	<-a.begun
	<-a.begun
	a.waitLen(1)
	<-targets.current
	targets.current <- testTargets(2).Set()
	<-a.begun
	for range 3 {
		a.finish <- struct{}{}
		assert.NilError(t, <-a.ended)
	}
	<-targets.current
	targets.current <- target.NewSet(nil)
	a.send("a")
	assert.Equal(t, apierr.From(<-a.ended).Code, apierr.CodeNoTarget)
}

// Guards against queueing a request whose deadline has passed.
func TestAdmissionRefusesLateRequest(t *testing.T) {
	a := newAdmissionTest(t, testTargets(1))
	a.send("a")
	a.send("a")
	<-a.begun
	<-a.begun
	ex := testExchange("b", "x")
	ex.Route, ex.Deadline = &tables.Route{}, time.Now().Add(-time.Second)
	refused := apierr.From(a.filter.Handle(ex, nil))
	assert.Equal(t, refused.Code, apierr.CodeDeadline)
	assert.Equal(t, refused.Outcome, apierr.NotRun)
	a.finish <- struct{}{}
	a.finish <- struct{}{}
}
