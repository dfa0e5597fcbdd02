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
	// headerReplayed marks the first response to a request, sent to a duplicate.
	headerReplayed = "Idempotent-Replayed"
	// maxIdempotencyKeyBytes is well over the length of a UUID.
	maxIdempotencyKeyBytes = 255
)

// Idempotency lets a request on a route that is not repeatable run at most
// once. It runs after Routing and before the filters that charge for a request.
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
	caller := ex.Context()
	defer detachFromCaller(ex)()
	verdict := f.Claims.Claim(ex.Context(), claim.Request{
		Key:      claim.DigestKey(ex.OrganisationName(), key),
		Content:  ex.Digest(),
		Deadline: ex.Deadline,
	})
	switch verdict.Decision {
	case claim.DecisionRun:
		return f.run(ex, caller, verdict.Claim, next)
	case claim.DecisionReplay:
		replay(ex, verdict.Response)
		return nil
	}
	return refuseDuplicate(verdict)
}

// detachFromCaller lets the request run to its end when the caller
// disconnects, so that a duplicate gets its response. The deadline and the
// revocation of the key still end it.
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

// run passes the request on and stores its outcome, also when a later filter
// panics.
func (f *Idempotency) run(ex *Exchange, caller context.Context, c *claim.Claim, next Handler) error {
	err := errors.New("the request handler ended without a result")
	defer func() { f.store(ex, c, err) }()
	if caller.Err() != nil {
		err = errEndedBeforeDispatch(context.Cause(caller))
		return err
	}
	ex.Writer.record()
	err = next(ex)
	return err
}

// store writes the outcome of the request to its claim.
func (f *Idempotency) store(ex *Exchange, c *claim.Claim, failure error) {
	response := ex.Writer.endRecording()
	var err error
	switch {
	case failure == nil && ex.Writer.Started():
		ex.Writer.Flush()
		err = c.Complete(ex.Context(), response)
	case failure != nil && surelyNotRun(ex, failure):
		err = c.Release(ex.Context())
	default:
		err = c.MarkUnknown(ex.Context())
	}
	if err != nil {
		f.Log.Warn("the outcome of a request was not stored; duplicates are refused until its claim expires",
			"request_id", ex.ID, "cause", err)
	}
}

func surelyNotRun(ex *Exchange, failure error) bool {
	return !ex.MayHaveRun && !ex.Writer.Started() && apierr.From(failure).Outcome == apierr.NotRun
}

// replay sends the first response again. The caller may be gone, which changes
// nothing.
func replay(ex *Exchange, response *claim.Response) {
	header := ex.Writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	header.Set(headerReplayed, "true")
	ex.Writer.WriteHeader(response.Status)
	_, _ = ex.Writer.Write(response.Body)
}

func idempotencyKey(header http.Header) (string, error) {
	values := header.Values(headerIdempotencyKey)
	if len(values) == 0 || values[0] == "" {
		return "", &apierr.Error{
			Code: apierr.CodeMissingIdempotency, Status: http.StatusBadRequest, Outcome: apierr.NotRun,
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

func errEndedBeforeDispatch(cause error) error {
	failure := &apierr.Error{
		Code: apierr.CodeDeadline, Status: http.StatusGatewayTimeout, Outcome: apierr.NotRun,
		Message: "the request ended before it was sent to a target",
		Remedy:  "send the request again with the same idempotency key", Cause: cause,
	}
	if errors.Is(cause, errRevoked) {
		failure.Code, failure.Status = apierr.CodeKeyRevoked, http.StatusUnauthorized
		failure.Remedy = "ask the operators for a new key"
	}
	return failure
}

// refuseDuplicate returns the error for a request that may not run.
func refuseDuplicate(verdict claim.Result) error {
	switch verdict.Decision {
	case claim.DecisionKeyReused:
		return &apierr.Error{
			Code: apierr.CodeIdempotencyReuse, Status: http.StatusUnprocessableEntity, Outcome: apierr.NotRun,
			Message: "the idempotency key was used for a request with other content",
			Remedy:  "send a new idempotency key for a new request, or the same content for the same request",
		}
	case claim.DecisionInProgress:
		return &apierr.Error{
			Code: apierr.CodeInProgress, Status: http.StatusConflict, Outcome: apierr.Unknown,
			Message:    "the first request with this idempotency key is still being handled",
			Remedy:     "send the request again with the same idempotency key after the time in Retry-After to get its response",
			RetryAfter: apierr.DefaultRetryAfter,
		}
	case claim.DecisionOutcomeUnknown:
		return &apierr.Error{
			Code: apierr.CodeOutcomeUnknown, Status: http.StatusConflict, Outcome: apierr.Unknown,
			Message: "the first request with this idempotency key may have run, and its response is not known",
			Remedy:  "check whether the request took effect; if it did not, send it with a new idempotency key",
		}
	}
	return &apierr.Error{
		Code: apierr.CodeClaimUnavailable, Status: http.StatusServiceUnavailable, Outcome: apierr.NotRun,
		Message:    "the request could not be protected against a second run, so it was not sent to a target",
		Remedy:     "send the request again with the same idempotency key after the time in Retry-After",
		RetryAfter: apierr.DefaultRetryAfter, Cause: verdict.Cause,
	}
}
