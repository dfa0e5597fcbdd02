package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/claim"
	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

const (
	// statusCallerGone is only logged; nobody is left to receive it.
	statusCallerGone = 499
	// maxAttempts bounds how often one request is sent to targets.
	maxAttempts = 4
	// firstRetryWait is the mean wait before the first retry. It doubles with
	// each further one.
	firstRetryWait = 20 * time.Millisecond
)

// Forwarder sends the request to its target and the answer to the caller. A
// request on a repeatable route that fails is sent to another target; a stream
// resumes after the last event that the caller received.
type Forwarder struct {
	Picker  TargetPicker
	Sender  *Sender
	Budgets *RetryBudgets
	// Poison and CrashDetector find requests that crash their targets. Both may be nil.
	Poison        *claim.PoisonDetector
	CrashDetector CrashDetector
}

// Name implements Filter.
func (f *Forwarder) Name() string { return "forward" }

// Handle implements Filter.
func (f *Forwarder) Handle(ex *Exchange, next Handler) error {
	f.Budgets.deposit(ex.Pool)
	failed := make(map[string]bool)
	for {
		ex.Attempts++
		failure := f.attempt(ex)
		if failure == nil {
			return next(ex)
		}
		failed[ex.Target.ID] = true
		f.observeCrash(ex, failure)
		if err := checkQuarantine(f.Poison, ex); err != nil {
			return err
		}
		if !mayRetry(ex, failure) {
			return f.finalError(ex, failure)
		}
		other := f.Picker.Pick(ex, failed)
		if other == nil || !f.Budgets.withdraw(ex.Pool) || !waitForRetry(ex) {
			return f.finalError(ex, failure)
		}
		ex.Target = other
	}
}

// attempt sends the request once and notes whether it may have run.
func (f *Forwarder) attempt(ex *Exchange) *attemptError {
	before := ex.MayHaveRun
	ex.MayHaveRun = true
	failure := f.send(ex)
	if failure != nil && failure.notRun {
		ex.MayHaveRun = before
	}
	return failure
}

// send sends the request once and keeps count of the work in flight.
func (f *Forwarder) send(ex *Exchange) *attemptError {
	defer reserve(ex.Target, ex.Cost)()
	ex.awaitFirstToken()
	defer ex.firstTokenCame()
	if ex.Pool.Kind == tables.PoolService {
		return f.Sender.service(ex)
	}
	if ex.Generation.Stream {
		return f.Sender.stream(ex)
	}
	return f.Sender.whole(ex)
}

func reserve(t *target.Target, tokens int64) func() {
	t.Live.InFlight.Add(1)
	t.Live.InFlightTokens.Add(tokens)
	return func() {
		t.Live.InFlight.Add(-1)
		t.Live.InFlightTokens.Add(-tokens)
	}
}

func mayRetry(ex *Exchange, failure *attemptError) bool {
	if ex.Context().Err() != nil || failure.callerGone || ex.Attempts >= maxAttempts {
		return false
	}
	if !ex.Route.Repeatable && !failure.notRun {
		return false
	}
	return !ex.Writer.Started() || ex.StreamStarted && !ex.unnumbered
}

// retryWait returns the wait after a number of attempts. It is spread over half
// to one and a half of its mean, so that requests that failed together on one
// target do not reach the next one together.
func retryWait(attempts int) time.Duration {
	mean := firstRetryWait << (attempts - 1)
	return mean/2 + rand.N(mean)
}

// waitForRetry waits before a retry. It reports whether the retry can still
// start before the deadline.
func waitForRetry(ex *Exchange) bool {
	wait := retryWait(ex.Attempts)
	if deadline, ok := ex.Context().Deadline(); ok && time.Until(deadline) <= wait {
		return false
	}
	return clock.Sleep(ex.Context(), wait)
}

func (f *Forwarder) finalError(ex *Exchange, failure *attemptError) error {
	outcome := outcomeOf(ex)
	switch cause := context.Cause(ex.Context()); {
	case failure.callerGone || errors.Is(cause, context.Canceled):
		return &apierr.Error{
			Code: apierr.CodeCallerGone, Status: statusCallerGone, Outcome: outcome,
			Message: "the caller closed the connection before the response was complete",
			Remedy:  "keep the connection open until the response ends", Cause: failure.cause,
		}
	case errors.Is(cause, errRevoked):
		return &apierr.Error{
			Code: apierr.CodeKeyRevoked, Status: http.StatusUnauthorized, Outcome: outcome,
			Message: "the key was revoked while the request ran",
			Remedy:  "ask the operators for a new key; check whether the request took effect",
		}
	case errors.Is(cause, context.DeadlineExceeded):
		return &apierr.Error{
			Code: apierr.CodeDeadline, Status: http.StatusGatewayTimeout, Outcome: outcome,
			Message: "the request was not complete at the route's deadline",
			Remedy:  "send the request again, or ask for fewer tokens", Cause: failure.cause,
		}
	}
	return &apierr.Error{
		Code: apierr.CodeTargetFailed, Status: http.StatusBadGateway, Outcome: outcome,
		Message: "the target did not give a whole answer",
		Remedy:  remedyFor(outcome), Cause: failure.cause,
		RetryAfter: apierr.DefaultRetryAfter,
	}
}

// outcomeOf returns the outcome over all attempts: earlier ones may have run
// even if the last one was refused.
func outcomeOf(ex *Exchange) apierr.Outcome {
	if ex.MayHaveRun {
		return apierr.Unknown
	}
	return apierr.NotRun
}

func remedyFor(outcome apierr.Outcome) string {
	if outcome == apierr.NotRun {
		return "send the request again after the time in Retry-After"
	}
	return "check whether the request took effect before you send it again"
}
