package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"

	"github.com/cespare/xxhash/v2"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/claim"
	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/poison"
	"lacewingwheel.example/lacewingwheel/pkg/target"
	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
)

// QuarantineFilter refuses requests with a quarantined part or content, and
// records the crashes of targets with the requests that may have caused them. It
// comes after BodyFilter. The methods that ForwardFilter calls accept a nil filter.
type QuarantineFilter struct {
	Detector   *poison.Detector
	Clock      clock.Clock
	RequestLog *RequestLog
}

// Handle implements Filter.
func (f *QuarantineFilter) Handle(ex *Exchange, next Handler) error {
	ex.Fingerprints = fingerprints(ex)
	ex.quarantineKeys = poison.WithOrganisation(ex.Fingerprints)
	if err := f.check(ex); err != nil {
		return err
	}
	return next(ex)
}

// maxSharedParts bounds the shared parts of a prompt that are looked at, so that the
// fingerprints of a request fit into one message to other instances.
const maxSharedParts = 24

// fingerprints returns the fingerprints of the shared parts and of the request.
// The last part of a prompt counts as content of the request.
func fingerprints(ex *Exchange) []poison.Fingerprint {
	ids := sharedPartIDs(ex)
	all := make([]poison.Fingerprint, 0, len(ids)+1)
	for _, id := range ids {
		all = append(all, poison.OfPart(id))
	}
	var ownPart []byte
	if n := len(ex.Metadata.PromptParts); n > 0 {
		ownPart = []byte(ex.Metadata.PromptParts[n-1].ID)
	}
	digest := claim.DigestRequest(ex.OrganisationName(), ex.Request.Method, ex.Request.URL.RequestURI(), ex.Body, ownPart)
	return append(all, poison.OfRequest(digest, ex.OrganisationName()))
}

// check returns an error if the request is quarantined.
func (f *QuarantineFilter) check(ex *Exchange) error {
	if f == nil {
		return nil
	}
	q, quarantined := f.Detector.Find(ex.quarantineKeys...)
	if !quarantined {
		return nil
	}
	outcome := apierr.OutcomeNotRun
	if ex.MayHaveRun {
		outcome = apierr.OutcomeUnknown
	}
	return &apierr.Error{
		Code: apierr.CodeQuarantined, Status: http.StatusUnprocessableEntity, Outcome: outcome,
		Message:    "targets crashed while they ran requests with this content or a part of this prompt, so it is not sent to another one",
		Remedy:     "change the request, or send it again after the time in Retry-After; report the request id to the operators",
		RetryAfter: q.Until - f.Clock.Elapsed(),
		Cause:      fmt.Errorf("%s crashed targets %d times in a row (source %s)", q.Fingerprint, q.Crashes, q.Source),
	}
}

func (f *QuarantineFilter) startAttempt(ex *Exchange) {
	if f != nil {
		ex.attemptSentAt = f.Clock.Elapsed()
	}
}

// recordSuccess records that the target began to respond to the request of the
// current attempt.
func (f *QuarantineFilter) recordSuccess(ex *Exchange) {
	if f != nil {
		f.Detector.RecordSuccess(ex.attemptSentAt, ex.quarantineKeys...)
	}
}

// finishAttempt records a response that is not a stream, or a crash of the target.
// last is nil if the attempt gave a complete response.
func (f *QuarantineFilter) finishAttempt(ex *Exchange, last *failure, eventsBefore int) {
	if f == nil {
		return
	}
	ex.attemptBroke = brokeBeforeFirstEvent(ex, last, eventsBefore)
	if ex.attemptBroke {
		f.recordBrokenAttempt(ex, last)
		return
	}
	if last == nil && !ex.Route.StreamsEvents {
		f.recordSuccess(ex)
	}
}

// recordBrokenAttempt records that the request may have crashed its target, if the
// target has crashed.
func (f *QuarantineFilter) recordBrokenAttempt(ex *Exchange, last *failure) {
	at, t := f.Clock.Elapsed(), ex.Target
	crashed := targetconn.IsDown(ex.Context(), t.Address)
	f.RequestLog.RecordBrokenAttempt(ex, t, last, crashed)
	if !crashed {
		return
	}
	counts := f.Detector.RecordCrash(poison.Crash{
		Fingerprints: ex.Fingerprints, Target: xxhash.Sum64String(t.Key()), SentAt: ex.attemptSentAt, At: at,
	})
	f.RequestLog.RecordSuspect(ex, t, counts)
}

// stopsRetry reports whether the request must not be sent to another target because
// it is suspected to crash targets.
func (f *QuarantineFilter) stopsRetry(ex *Exchange, last *failure) bool {
	if f == nil || !ex.attemptBroke || !f.Detector.StopsRetries(ex.Fingerprints...) {
		return false
	}
	f.RequestLog.RecordDeniedRetry(ex, last, "suspected to crash targets")
	return true
}

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

// sharedPartIDs returns the IDs of the first maxSharedParts parts of the prompt that
// other requests can share, which are all but the last.
func sharedPartIDs(ex *Exchange) []string {
	parts := ex.Metadata.PromptParts
	if len(parts) == 0 {
		return nil
	}
	ids := make([]string, min(len(parts)-1, maxSharedParts))
	for n := range ids {
		ids[n] = parts[n].ID
	}
	return ids
}

// RecordBrokenAttempt logs and counts an attempt whose connection the target
// broke before the first event.
func (l *RequestLog) RecordBrokenAttempt(ex *Exchange, t *target.Target, last *failure, crashed bool) {
	l.Metrics.Add("attempts_broken_before_first_event", 1)
	args := []any{"request_id", ex.Metadata.ID, "target", t.ID, "incarnation", t.Incarnation, "organisation", ex.OrganisationName(),
		"route", ex.RouteName(), "parts", sharedPartIDs(ex), "attempt", ex.Attempts, "crashed", crashed}
	if last != nil {
		args = append(args, "cause", last.cause)
	}
	l.Log.Info("the target broke the connection before the first event", args...)
}

// RecordSuspect logs and counts a request that was in flight at a crash, with the
// counted crashes of each fingerprint.
func (l *RequestLog) RecordSuspect(ex *Exchange, t *target.Target, counts []int) {
	l.Metrics.Add("suspects_counted", 1)
	l.Log.Info("suspect counted", "request_id", ex.Metadata.ID, "target", t.ID, "fingerprints", ex.Fingerprints, "crashes", counts)
}
