package gateway

import (
	"context"
	"errors"
	"net/http"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// maxAttempts bounds how often one request is sent to targets.
const maxAttempts = 4

// Forward sends the request to its target and the answer to the caller. A
// request on a repeatable route that fails is sent to another target; a stream
// resumes after the last event that the caller received.
type Forward struct {
	Picker  Picker
	Sender  *Sender
	Budgets *RetryBudgets
}

// Name implements Filter.
func (f *Forward) Name() string { return "forward" }

// Handle implements Filter.
func (f *Forward) Handle(ex *Exchange, next Handler) error {
	f.Budgets.deposit(ex.Pool)
	failed := make(map[string]bool)
	for {
		ex.Attempts++
		failure := f.attempt(ex)
		if failure == nil {
			return next(ex)
		}
		failed[ex.Target.ID] = true
		if !f.mayRetry(ex, failure) {
			return f.finalError(ex, failure)
		}
		other := f.Picker.Pick(ex, failed)
		if other == nil {
			return f.finalError(ex, failure)
		}
		ex.Target = other
	}
}

// attempt sends the request once and keeps count of the work in flight.
func (f *Forward) attempt(ex *Exchange) *attemptError {
	defer reserve(ex.Target, ex.Cost)()
	ex.awaitFirstToken()
	defer ex.firstTokenCame()
	if ex.Pool.Kind == tables.PoolService {
		return f.Sender.service(ex)
	}
	if ex.Call.Stream {
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

func (f *Forward) mayRetry(ex *Exchange, failure *attemptError) bool {
	if ex.Context().Err() != nil || failure.callerGone || ex.Attempts >= maxAttempts {
		return false
	}
	if !ex.Route.Repeatable && !failure.notRun {
		return false
	}
	if ex.Writer.Started() && !ex.Stream {
		return false
	}
	return f.Budgets.withdraw(ex.Pool)
}

func (f *Forward) finalError(ex *Exchange, failure *attemptError) error {
	outcome := apierr.Unknown
	// Earlier attempts may have run even if the last one was refused.
	if failure.notRun && ex.Attempts == 1 {
		outcome = apierr.NotRun
	}
	switch cause := context.Cause(ex.Context()); {
	case errors.Is(cause, errWithdrawn):
		return &apierr.Error{
			Code: apierr.CodeKeyWithdrawn, Status: http.StatusUnauthorized, Outcome: outcome,
			Message: "the key was withdrawn while the request ran",
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

func remedyFor(outcome apierr.Outcome) string {
	if outcome == apierr.NotRun {
		return "send the request again after the time in Retry-After"
	}
	return "check whether the request took effect before you send it again"
}
