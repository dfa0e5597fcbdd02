package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/claim"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	// headerReplayed marks a stored response that is sent to a duplicate request.
	headerReplayed = "Idempotent-Replayed"
	// maxIdempotencyKeyBytes is well over the 36 bytes of a UUID.
	maxIdempotencyKeyBytes = 255
)

// Idempotency ensures that a request on a route that is not repeatable runs at
// most once. It comes after Routing and before the filters that charge for a
// request.
type Idempotency struct {
	Claims *claim.Manager
	Log    hclog.Logger
}

// Name implements Filter.
func (f *Idempotency) Name() string { return "idempotency" }

// Handle implements Filter.
func (f *Idempotency) Handle(ex *Exchange, next Handler) error {
	if ex.Route.Repeatable {
		return next(ex)
	}
	key, err := idempotencyKey(ex.Request.Header)
	if err != nil {
		return err
	}
	callerCtx := ex.Context()
	defer detachFromCaller(ex)()
	result := f.Claims.Claim(ex.Context(), claim.Request{
		Key:      claim.DigestKey(ex.OrganisationName(), key),
		Content:  ex.Digest(),
		Deadline: ex.Deadline,
	})
	switch result.Decision {
	case claim.DecisionRun:
		return f.runClaimed(ex, callerCtx, result.Claim, next)
	case claim.DecisionReplay:
		replayResponse(ex, result.Response)
		return nil
	}
	return errDuplicate(result)
}

// detachFromCaller replaces the request's context by one that is not cancelled
// when the caller disconnects, so that the response is stored for a duplicate.
// The deadline and a revocation of the key still cancel it. The returned function
// releases the context.
func detachFromCaller(ex *Exchange) func() {
	parent := ex.Context()
	ctx, cancelDeadline := context.WithDeadline(context.WithoutCancel(parent), ex.Deadline)
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(parent, func() {
		if cause := context.Cause(parent); !errors.Is(cause, context.Canceled) {
			cancel(cause)
		}
	})
	ex.Request = ex.Request.WithContext(ctx)
	return func() {
		stop()
		cancel(nil)
		cancelDeadline()
	}
}

// runClaimed calls the next filter and stores the outcome, also when a later
// filter panics. It refuses the request if the caller's context has ended while
// the claim was made.
func (f *Idempotency) runClaimed(ex *Exchange, callerCtx context.Context, c *claim.Claim, next Handler) error {
	err := errors.New("the request handler panicked")
	defer func() { f.storeOutcome(ex, c, err) }()
	if callerCtx.Err() != nil {
		err = errEndedBeforeDispatch(context.Cause(callerCtx))
		return err
	}
	ex.Writer.startRecording()
	err = next(ex)
	return err
}

// storeOutcome completes the claim with the recorded response, releases it if
// the request has certainly not run, or else marks its outcome as unknown.
func (f *Idempotency) storeOutcome(ex *Exchange, c *claim.Claim, failure error) {
	response := ex.Writer.endRecording()
	var err error
	switch {
	case failure == nil && ex.Writer.Started():
		ex.Writer.Flush()
		err = c.Complete(ex.Context(), response)
	case failure != nil && provenNotRun(ex, failure):
		err = c.Release(ex.Context())
	default:
		err = c.MarkUnknown(ex.Context())
	}
	if err != nil {
		f.Log.Warn("cannot store the outcome of a request; duplicates are refused until its claim expires",
			"request_id", ex.ID, "cause", err)
	}
}

// provenNotRun reports whether no target can have run the request, so that the
// same idempotency key may be used again.
func provenNotRun(ex *Exchange, failure error) bool {
	return !ex.MayHaveRun && !ex.Writer.Started() && apierr.From(failure).Outcome == apierr.OutcomeNotRun
}

// replayResponse sends the stored response. Write errors are ignored: they only
// mean that the caller has disconnected.
func replayResponse(ex *Exchange, response *claim.Response) {
	header := ex.Writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	header.Set(headerReplayed, "true")
	ex.Writer.WriteHeader(response.Status)
	_, _ = ex.Writer.Write(response.Body)
}

// idempotencyKey returns the key from the header, or a 400 error if it is
// missing, repeated or too long.
func idempotencyKey(header http.Header) (string, error) {
	values := header.Values(headerIdempotencyKey)
	if len(values) == 0 || values[0] == "" {
		return "", &apierr.Error{
			Code: apierr.CodeMissingIdempotencyKey, Status: http.StatusBadRequest, Outcome: apierr.OutcomeNotRun,
			Message: "the route needs an idempotency key, because its requests must not run twice",
			Remedy:  "send the header Idempotency-Key with a new UUID per request, and the same one when you send a request again",
		}
	}
	if len(values) > 1 {
		return "", badRequest("the request carries several idempotency keys", "send the header Idempotency-Key once", nil)
	}
	if len(values[0]) > maxIdempotencyKeyBytes {
		return "", badRequest(fmt.Sprintf("the idempotency key exceeds %d bytes", maxIdempotencyKeyBytes), "send a UUID as the idempotency key", nil)
	}
	return values[0], nil
}

// errEndedBeforeDispatch returns the error for a request whose caller's context
// ended while the claim was made.
func errEndedBeforeDispatch(cause error) error {
	failure := &apierr.Error{
		Code: apierr.CodeDeadlineExceeded, Status: http.StatusGatewayTimeout, Outcome: apierr.OutcomeNotRun,
		Message: "the request ended before it was sent to a target",
		Remedy:  "send the request again with the same idempotency key", Cause: cause,
	}
	if errors.Is(cause, errRevoked) {
		failure.Code, failure.Status = apierr.CodeKeyRevoked, http.StatusUnauthorized
		failure.Remedy = "ask the operators for a new key"
	}
	return failure
}

// errDuplicate returns the error for a request whose claim was refused.
func errDuplicate(result claim.Result) error {
	switch result.Decision {
	case claim.DecisionKeyReused:
		return &apierr.Error{
			Code: apierr.CodeIdempotencyKeyReused, Status: http.StatusUnprocessableEntity, Outcome: apierr.OutcomeNotRun,
			Message: "the idempotency key was used for a request with other content",
			Remedy:  "send a new idempotency key for a new request, or the same content for the same request",
		}
	case claim.DecisionInProgress:
		return &apierr.Error{
			Code: apierr.CodeInProgress, Status: http.StatusConflict, Outcome: apierr.OutcomeUnknown,
			Message:    "the first request with this idempotency key is still being handled",
			Remedy:     "send the request again with the same idempotency key after the time in Retry-After to get its response",
			RetryAfter: apierr.DefaultRetryAfter,
		}
	case claim.DecisionOutcomeUnknown:
		return &apierr.Error{
			Code: apierr.CodeOutcomeUnknown, Status: http.StatusConflict, Outcome: apierr.OutcomeUnknown,
			Message: "the first request with this idempotency key may have run, and its response is not known",
			Remedy:  "check whether the request took effect; if it did not, send it with a new idempotency key",
		}
	}
	return &apierr.Error{
		Code: apierr.CodeClaimUnavailable, Status: http.StatusServiceUnavailable, Outcome: apierr.OutcomeNotRun,
		Message:    "the request could not be protected against a second run, so it was not sent to a target",
		Remedy:     "send the request again with the same idempotency key after the time in Retry-After",
		RetryAfter: apierr.DefaultRetryAfter, Cause: result.Cause,
	}
}
