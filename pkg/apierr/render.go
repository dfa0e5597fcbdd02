package apierr

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ErrorDocument is the JSON body of an error response. Its format is the one that
// clients of the chat-completions API expect.
type ErrorDocument struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the "error" object of an ErrorDocument.
type ErrorDetail struct {
	Message   string  `json:"message"`
	Type      string  `json:"type"`
	Code      Code    `json:"code"`
	Remedy    string  `json:"remedy"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request_id"`
}

// Document returns the JSON body for the request with the given ID.
func (e *Error) Document(requestID string) ErrorDocument {
	return ErrorDocument{Error: ErrorDetail{
		Message:   e.Message,
		Type:      errorType(e.Status),
		Code:      e.Code,
		Remedy:    e.Remedy,
		Outcome:   e.Outcome,
		RequestID: requestID,
	}}
}

// HeaderOutcome is the response header that carries the Outcome.
const HeaderOutcome = "X-Outcome"

// Write sends the error as a complete HTTP response with status, headers and
// JSON body. A failed write is ignored.
func (e *Error) Write(w http.ResponseWriter, requestID string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, string(e.Outcome))
	if e.RetryAfter > 0 {
		seconds := int64(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(e.Document(requestID))
}

// DefaultRetryAfter is the RetryAfter of errors for which no better estimate is
// known.
const DefaultRetryAfter = time.Second

// errorType returns the error type that clients of the chat-completions API
// expect for an HTTP status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}
