package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
)

// writeFailure sends an error as a complete response. Retry-After has
// fractions of seconds, which callers with short deadlines need.
func writeFailure(w http.ResponseWriter, e *apierr.Error, requestID string) {
	body, err := json.Marshal(e.Document(requestID))
	if err != nil {
		body = []byte(`{}`)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(apierr.HeaderOutcome, string(e.Outcome))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(body) // a caller that is gone needs no answer
}

// usableRetryAfter is the part of the caller's remaining time that it may be
// asked to wait; callers ignore a longer wait.
const usableRetryAfter = 3

// minRetryAfter keeps callers from coming back before anything has changed.
const minRetryAfter = 20 * time.Millisecond

// retryAfter returns the wait to ask for: the time until another try may
// succeed, as far as the caller can still use it.
func retryAfter(ex *Exchange, wait time.Duration) time.Duration {
	left := time.Until(ex.Deadline)
	if left <= 0 {
		return 0
	}
	return max(minRetryAfter, min(wait, left/usableRetryAfter))
}

func notRun(ex *Exchange, code apierr.Code, status int, message, remedy string, wait time.Duration) *apierr.Error {
	return &apierr.Error{
		Code: code, Status: status, Outcome: apierr.NotRun,
		Message: message, Remedy: remedy, RetryAfter: retryAfter(ex, wait),
	}
}

const remedyRetry = "send the request again after the time in Retry-After"

// notReadyWait is the time after which another instance, or this one, is
// expected to serve. Source: the platform asks for readiness once a second.
const notReadyWait = 300 * time.Millisecond

func errNotReady(ex *Exchange, message string) *apierr.Error {
	return notRun(ex, apierr.CodeNotReady, http.StatusServiceUnavailable, message, remedyRetry, notReadyWait)
}
