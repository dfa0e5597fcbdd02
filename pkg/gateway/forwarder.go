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
	// statusCallerGone is for the log; the caller has disconnected.
	statusCallerGone = 499
	// maxAttempts bounds the attempts of one request, the first included.
	maxAttempts = 4
	// baseRetryBackoff is the mean wait before the first retry. It doubles with
	// each further retry.
	baseRetryBackoff = 20 * time.Millisecond
)

// Forwarder sends the request to its target and the response to the caller. A
// failed request is retried on another target if its route is repeatable or the
// target did not run it. A stream resumes after the last event that was sent to
// the caller.
type Forwarder struct {
	Picker       TargetPicker
	Sender       *Sender
	RetryBudgets *RetryBudgets
	// PoisonDetector and CrashDetector find requests that crash their targets. If either
	// is nil, no crashes are recorded.
	PoisonDetector *claim.PoisonDetector
	CrashDetector  CrashDetector
}

// Name implements Filter.
func (f *Forwarder) Name() string { return "forward" }

// Handle implements Filter.
func (f *Forwarder) Handle(ex *Exchange, next Handler) error {
	f.RetryBudgets.deposit(ex.Pool)
	failedTargets := make(map[string]bool)
	for {
		ex.Attempts++
		failure := f.attempt(ex)
		if failure == nil {
			return next(ex)
		}
		failedTargets[ex.Target.ID] = true
		f.recordCrash(ex, failure)
		if err := checkQuarantine(f.PoisonDetector, ex); err != nil {
			return err
		}
		if !mayRetry(ex, failure) {
			return f.finalError(ex, failure)
		}
		retryTarget := f.Picker.Pick(ex, failedTargets)
		if retryTarget == nil || !f.RetryBudgets.withdraw(ex.Pool) || !sleepBeforeRetry(ex) {
			return f.finalError(ex, failure)
		}
		ex.Target = retryTarget
	}
}

// attempt sends the request once and updates ex.MayHaveRun.
func (f *Forwarder) attempt(ex *Exchange) *attemptError {
	mayHaveRunBefore := ex.MayHaveRun
	ex.MayHaveRun = true
	failure := f.sendToTarget(ex)
	if failure != nil && failure.notRun {
		ex.MayHaveRun = mayHaveRunBefore
	}
	return failure
}

// sendToTarget sends the request once, in the way that fits its pool, and counts
// it as in flight on the target meanwhile.
func (f *Forwarder) sendToTarget(ex *Exchange) *attemptError {
	defer trackInFlight(ex.Target, ex.ReservedTokens)()
	ex.markAwaitingFirstToken()
	defer ex.clearAwaitingFirstToken()
	if ex.Pool.Kind == tables.PoolService {
		return f.Sender.forwardService(ex)
	}
	if ex.Generation.Stream {
		return f.Sender.forwardStream(ex)
	}
	return f.Sender.forwardBuffered(ex)
}

// trackInFlight counts a request and its reserved tokens as in flight on a
// target. The returned function undoes it.
func trackInFlight(t *target.Target, tokens int64) func() {
	t.Live.InFlight.Add(1)
	t.Live.InFlightTokens.Add(tokens)
	return func() {
		t.Live.InFlight.Add(-1)
		t.Live.InFlightTokens.Add(-tokens)
	}
}

// mayRetry reports whether another attempt is allowed: the caller is connected, the
// request may run again, and what was sent to the caller can be continued.
func mayRetry(ex *Exchange, failure *attemptError) bool {
	if ex.Context().Err() != nil || failure.callerGone || ex.Attempts >= maxAttempts {
		return false
	}
	if !ex.Route.Repeatable && !failure.notRun {
		return false
	}
	return !ex.Writer.Started() || ex.StreamStarted && !ex.sentUnnumberedEvent
}

// retryBackoff returns the wait before the retry that follows the given number
// of attempts. Jitter spreads it from 0.5 to 1.5 times its mean, so that requests
// that failed together on one target do not reach the next one together.
func retryBackoff(attempts int) time.Duration {
	mean := baseRetryBackoff << (attempts - 1)
	return mean/2 + rand.N(mean)
}

// sleepBeforeRetry waits for the backoff. It returns false, without waiting, if
// the deadline would pass first, and false if the request ends meanwhile.
func sleepBeforeRetry(ex *Exchange) bool {
	wait := retryBackoff(ex.Attempts)
	if deadline, ok := ex.Context().Deadline(); ok && time.Until(deadline) <= wait {
		return false
	}
	return clock.Sleep(ex.Context(), wait)
}

// finalError returns the error for a request that is not retried.
func (f *Forwarder) finalError(ex *Exchange, failure *attemptError) error {
	outcome := overallOutcome(ex)
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
			Code: apierr.CodeDeadlineExceeded, Status: http.StatusGatewayTimeout, Outcome: outcome,
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

// overallOutcome returns the outcome over all attempts: an earlier one may have
// run even if the target refused the last one.
func overallOutcome(ex *Exchange) apierr.Outcome {
	if ex.MayHaveRun {
		return apierr.OutcomeUnknown
	}
	return apierr.OutcomeNotRun
}

func remedyFor(outcome apierr.Outcome) string {
	if outcome == apierr.OutcomeNotRun {
		return "send the request again after the time in Retry-After"
	}
	return "check whether the request took effect before you send it again"
}
