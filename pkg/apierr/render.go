package apierr

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ErrorDocument is the JSON document of an error, in the shape that clients of the
// chat-completions API expect.
type ErrorDocument struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an error document.
type ErrorDetail struct {
	Message   string  `json:"message"`
	Type      string  `json:"type"`
	Code      Code    `json:"code"`
	Remedy    string  `json:"remedy"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request_id"`
}

// Document returns the error document for a request id.
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

// HeaderOutcome carries the outcome of a refused or failed request.
const HeaderOutcome = "X-Outcome"

// Write sends the error as a complete HTTP response.
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

// DefaultRetryAfter is sent where the time until a retry helps is not known.
const DefaultRetryAfter = time.Second

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
