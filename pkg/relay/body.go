package relay

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/callerconn"
)

// BodyFilter reads the whole request body, so that a target never waits for a
// slow caller and the request can be sent again.
type BodyFilter struct {
	// Callers holds the memory of bodies; nil means no bound.
	Callers *callerconn.Limiter
}

// defaultBodyLimit is the largest body in bytes if the configuration states no
// limit.
const defaultBodyLimit = 4 << 20

// Handle implements Filter.
func (f BodyFilter) Handle(ex *Exchange, next Handler) error {
	limit := ex.Snapshot.Tables.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	holding, err := f.Callers.HoldFor(ex.OrganisationName(), ex.Request)
	if err != nil {
		return errOutOfMemory(ex, err)
	}
	defer holding.Release()
	if ex.Request.Body == nil || ex.Request.Body == http.NoBody {
		return next(ex)
	}
	stopWatch := unblockReads(ex)
	body, err := f.Callers.ReadBody(ex.Writer, ex.Request, limit, 1)
	if ended := stopWatch(); ended || errors.Is(err, callerconn.ErrStalled) {
		// The read that failed has cancelled the later requests of the connection too.
		ex.Writer.Header().Set("Connection", "close")
	}
	if err != nil {
		return bodyError(ex, err)
	}
	defer body.Release()
	holding.AddBody(body.Bytes)
	ex.Body = body.Bytes
	return next(ex)
}

// unblockReads makes reads of the body fail when the context of the request ends, until the
// returned function is called, which reports whether that happened.
func unblockReads(ex *Exchange) (stop func() bool) {
	controller := http.NewResponseController(ex.Writer)
	done := make(chan struct{})
	stopWatch := context.AfterFunc(ex.Context(), func() {
		defer close(done)
		_ = controller.SetReadDeadline(time.Unix(1, 0)) // the connection may be closed
	})
	return func() bool {
		if stopWatch() {
			return false
		}
		<-done
		return true
	}
}

// bodyError returns the error of a request whose body could not be read.
func bodyError(ex *Exchange, err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, callerconn.ErrBodyTooLarge) || errors.As(err, &tooLarge):
		return errBodyTooLarge()
	case errors.Is(err, callerconn.ErrOutOfMemory) || errors.Is(err, callerconn.ErrStalled):
		return errOutOfMemory(ex, err)
	case errors.Is(context.Cause(ex.Context()), ErrStopping):
		return errStopping(ex)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errNotRun(ex, apierr.CodeDeadlineExceeded, http.StatusServiceUnavailable, "the body was not complete at the deadline", remedyRetry, 0)
	}
	return errCallerGone(ex, err)
}

// memoryRetryAfter is the time after which memory is expected to be free again.
const memoryRetryAfter = 300 * time.Millisecond

// errOutOfMemory returns the error of a request for which no memory is left.
func errOutOfMemory(ex *Exchange, cause error) error {
	failure := errNotRun(ex, apierr.CodeOutOfMemory, http.StatusServiceUnavailable, "no memory is left for the request", remedyRetry, memoryRetryAfter)
	failure.Cause = cause
	return failure
}

func errBodyTooLarge() error {
	return &apierr.Error{
		Code: apierr.CodeBodyTooLarge, Status: http.StatusRequestEntityTooLarge, Outcome: apierr.OutcomeNotRun,
		Message: "the body is larger than the configured limit", Remedy: "send a smaller body",
	}
}

// statusCallerGone is only logged: the caller has closed the connection.
const statusCallerGone = 499

// errCallerGone returns the error of a request whose caller closed the
// connection.
func errCallerGone(ex *Exchange, cause error) error {
	outcome := apierr.OutcomeNotRun
	if ex.MayHaveRun {
		outcome = apierr.OutcomeUnknown
	}
	return &apierr.Error{
		Code: apierr.CodeCallerGone, Status: statusCallerGone, Outcome: outcome,
		Message: "the caller closed the connection before the exchange was over",
		Remedy:  "keep the connection open until the response ends", Cause: cause,
	}
}
