// Package apierr defines the errors that callers receive and writes them as
// HTTP responses.
package apierr

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome states whether a target may have run a refused or failed request. A
// caller can repeat a request safely only if the outcome is OutcomeNotRun.
type Outcome string

const (
	// OutcomeNotRun means that no target has run or will run the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown Outcome = "unknown"
)

// Code is the machine-readable reason for an error.
type Code string

// Codes of the errors that the router itself returns.
const (
	CodeBadRequest             Code = "bad_request"
	CodeBodyTooLarge           Code = "body_too_large"
	CodeMissingKey             Code = "missing_key"
	CodeInvalidKey             Code = "invalid_key"
	CodeKeyRevoked             Code = "key_revoked"
	CodeOrganisationNotAllowed Code = "organisation_not_allowed"
	CodeNoRoute                Code = "no_route"
	CodeMissingIdempotencyKey  Code = "missing_idempotency_key"
	CodeIdempotencyKeyReused   Code = "idempotency_key_reused"
	CodeInProgress             Code = "in_progress"
	CodeOutcomeUnknown         Code = "outcome_unknown"
	CodeClaimUnavailable       Code = "claim_unavailable"
	CodeRateLimited            Code = "rate_limited"
	CodeCostExceedsBurst       Code = "cost_exceeds_burst"
	CodeQueueFull              Code = "queue_full"
	CodeDeadlineExceeded       Code = "deadline_exceeded"
	CodeNoTarget               Code = "no_target"
	CodeTargetFailed           Code = "target_failed"
	CodeQuarantined            Code = "quarantined"
	CodeNotReady               Code = "not_ready"
	CodeInternal               Code = "internal"
	CodeCallerGone             Code = "caller_gone"
	CodeOutOfMemory            Code = "out_of_memory"
)

// Error is an error response for a caller.
type Error struct {
	Code       Code
	Status     int // HTTP status
	Outcome    Outcome
	Message    string        // what went wrong
	Remedy     string        // what the caller can do about it
	RetryAfter time.Duration // rounded up to seconds in Retry-After; zero sends no header
	Cause      error         // for logs; never sent to callers
}

// Error implements error. The text includes the cause and is meant for logs.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %s: %v (%s)", e.Code, e.Message, e.Cause, e.Remedy)
	}
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Remedy)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// From returns the *Error in err's chain. If there is none, it returns an
// internal error that wraps err. Its outcome is unknown because the request may
// already have reached a target.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{
		Code:    CodeInternal,
		Status:  http.StatusInternalServerError,
		Outcome: OutcomeUnknown,
		Message: "the router failed while it handled the request",
		Remedy:  "check whether the request took effect before you send it again; report the request id to the operators",
		Cause:   err,
	}
}
