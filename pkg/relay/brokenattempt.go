package relay

import (
	"errors"
	"io"
	"net/http"
	"syscall"

	"lacewingwheel.example/lacewingwheel/pkg/target"
	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
)

// brokeBeforeFirstEvent reports whether the target broke the connection of an
// attempt before its first event, or before the end of a response that is not a
// stream. eventsBefore is ex.EventCount at the start of the attempt.
func brokeBeforeFirstEvent(ex *Exchange, last *failure, eventsBefore int) bool {
	if ex.EventCount > eventsBefore {
		return false
	}
	if last == nil {
		// A stream without a length or chunks ends with its connection, also when
		// the target crashes.
		return ex.Route.StreamsEvents && ex.Status == http.StatusOK
	}
	var failed *targetconn.Error
	if !last.requestSent || errors.As(last.cause, &failed) && failed.Stage == targetconn.StageConnect {
		return false
	}
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(last.cause, cause) {
			return true
		}
	}
	return false
}

// sharedPartIDs returns the IDs of the parts of the prompt that other requests
// can share, which are all but the last.
func sharedPartIDs(ex *Exchange) []string {
	parts := ex.Metadata.PromptParts
	if len(parts) == 0 {
		return nil
	}
	ids := make([]string, len(parts)-1)
	for n := range ids {
		ids[n] = parts[n].ID
	}
	return ids
}

// RecordBrokenAttempt logs and counts an attempt whose connection the target
// broke before the first event. The request may have caused that.
func (l *RequestLog) RecordBrokenAttempt(ex *Exchange, t *target.Target, last *failure) {
	l.Metrics.Add("attempts_broken_before_first_event", 1)
	args := []any{"request_id", ex.Metadata.ID, "target", t.ID, "incarnation", t.Incarnation, "organisation", ex.OrganisationName(),
		"route", ex.RouteName(), "parts", sharedPartIDs(ex), "attempt", ex.Attempts}
	if last != nil {
		args = append(args, "cause", last.cause)
	}
	l.Log.Info("the target broke the connection before the first event", args...)
}
