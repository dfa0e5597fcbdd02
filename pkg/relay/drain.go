package relay

import (
	"errors"
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
)

// ErrStopping is the cause with which an instance that stops ends the context of the
// requests that still run.
var ErrStopping = errors.New("the instance stops")

// DrainFilter refuses requests that an instance may not complete before it stops. Another
// instance can take them, while a request that is cut at the end has an unknown outcome. It
// comes after RouteFilter, and once more after BodyFilter, because a body may take long to
// arrive.
type DrainFilter struct {
	// EndsAt returns when the instance ends the requests that still run, or zero as
	// long as it takes all requests.
	EndsAt func() time.Time
}

// Handle implements Filter.
func (f DrainFilter) Handle(ex *Exchange, next Handler) error {
	if err := f.check(ex); err != nil {
		return err
	}
	return next(ex)
}

// check returns an error if the instance may stop before the request is complete.
func (f DrainFilter) check(ex *Exchange) error {
	if f.EndsAt == nil {
		return nil
	}
	if at := f.EndsAt(); !at.IsZero() && ex.Deadline.After(at) {
		return errStopping(ex)
	}
	return nil
}

// errStopping returns the error of a request that an instance which stops does not complete.
func errStopping(ex *Exchange) error {
	if !ex.MayHaveRun {
		return errNotRun(ex, apierr.CodeNotReady, http.StatusServiceUnavailable, "the instance stops", remedyRetry, minRetryAfter)
	}
	return &apierr.Error{
		Code: apierr.CodeNotReady, Status: http.StatusBadGateway, Outcome: apierr.OutcomeUnknown,
		Message: "the instance stops before the target's answer is complete",
		Remedy:  "check whether the request took effect before you send it again", Cause: ErrStopping,
	}
}
