package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/claim"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// Exchange is one request on its way through the chain and what the filters
// have found out about it.
type Exchange struct {
	Writer  *responseWriter
	Request *http.Request // carries no key once the key filter has run

	ID       string
	Snapshot *tables.Snapshot
	Deadline time.Time

	KeyDigest    [32]byte
	HasKey       bool
	Organisation *tables.Organisation // nil on routes open to all

	Route      *tables.Route
	Pool       *tables.Pool
	Body       []byte
	Generation GenerationRequest

	Cost           int64 // tokens reserved
	promptEstimate int64 // the part of Cost that is for the prompt
	Target         *target.Target
	Usage          Usage
	Timing         Timing

	// Attempts counts how often the request was sent to a target.
	Attempts int
	// MayHaveRun is true from the time at which a target may have received the
	// request.
	MayHaveRun bool
	// StreamStarted is true while the response is a stream of events.
	StreamStarted bool
	// DeliveredPosition is that of the last event that the caller received.
	DeliveredPosition uint64
	// unnumbered is true once the caller has an event without a position. The
	// stream then cannot resume: it would repeat that event.
	unnumbered bool
	// weights is the weight version that gave the events so far.
	weights string

	digest *claim.Digest // of the request; computed on first use

	// pending is set while an attempt waits for its first token.
	pending *target.LiveState
}

// awaitFirstToken counts a stream as pending on its target. Other calls are not
// counted: their first byte comes only when all tokens have been generated.
func (ex *Exchange) awaitFirstToken() {
	if ex.Generation.Stream && ex.Pool.Kind == tables.PoolEngine {
		ex.pending = ex.Target.Live
		ex.pending.AwaitingFirstToken.Add(1)
	}
}

// firstTokenCame ends the count of awaitFirstToken, if it has not ended.
func (ex *Exchange) firstTokenCame() {
	if ex.pending != nil {
		ex.pending.AwaitingFirstToken.Add(-1)
		ex.pending = nil
	}
}

// GenerationRequest is what the router reads of a generation request.
type GenerationRequest struct {
	Model     string
	Stream    bool
	MaxTokens int
	Prompt    []byte // the part of the body whose prefix can be cached
}

// Usage is what the target reported.
type Usage struct {
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Timing holds the instants that objectives are measured by.
type Timing struct {
	Start      time.Time
	FirstToken time.Time
	End        time.Time
}

// Context returns the context of the request.
func (ex *Exchange) Context() context.Context { return ex.Request.Context() }

// OrganisationName returns the organisation for logs and metrics.
func (ex *Exchange) OrganisationName() string {
	if ex.Organisation == nil {
		return ""
	}
	return ex.Organisation.Name
}

// Digest returns the digest of the request's content for its organisation.
func (ex *Exchange) Digest() claim.Digest {
	if ex.digest == nil {
		d := claim.DigestRequest(ex.OrganisationName(), ex.Request.Method, ex.Request.URL.RequestURI(), ex.Body)
		ex.digest = &d
	}
	return *ex.digest
}

// failure returns err as the error for the caller. Whatever a filter states,
// the outcome is unknown once a target may have received the request.
func (ex *Exchange) failure(err error) *apierr.Error {
	failure := apierr.From(err)
	if ex.MayHaveRun {
		failure.Outcome = apierr.Unknown
	}
	return failure
}

// endStarted ends a response that has begun and cannot be completed. A stream
// gets an error event in place of the end marker; any other response is cut, so
// that the caller cannot take it as complete.
func (ex *Exchange) endStarted(failure *apierr.Error) {
	if !ex.StreamStarted {
		panic(http.ErrAbortHandler)
	}
	failure.Outcome = apierr.Unknown
	data, err := json.Marshal(failure.Document(ex.ID))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if engine.WriteEvent(ex.Writer, engine.StreamEvent{Data: data}) != nil {
		panic(http.ErrAbortHandler)
	}
	ex.Writer.Flush()
}

// responseWriter remembers whether the response has begun, and records it on
// request.
type responseWriter struct {
	http.ResponseWriter
	started   bool
	Status    int
	recording *recording
}

// recording is a copy of a response in bounded size.
type recording struct {
	response claim.Response
	overflow bool
}

// record starts to record the response. While the recording is complete, a
// caller that is gone does not fail the writes: the rest is still recorded.
func (w *responseWriter) record() { w.recording = &recording{} }

// endRecording returns the recorded response, or nil if there is none or it is
// too large.
func (w *responseWriter) endRecording() *claim.Response {
	r := w.recording
	w.recording = nil
	if r == nil || r.overflow || !w.started {
		return nil
	}
	return &r.response
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.started = true
	w.Status = status
	if w.recording != nil {
		w.recording.response = claim.Response{Status: status, Header: w.Header().Clone()}
		w.recording.response.Header.Del(engine.HeaderRequestID)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(data []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	n, err := w.ResponseWriter.Write(data)
	if w.recording.add(data) {
		return len(data), nil
	}
	return n, err
}

// add records data and reports whether the recording is complete so far.
func (r *recording) add(data []byte) bool {
	if r == nil || r.overflow {
		return false
	}
	if len(r.response.Body)+len(data) > claim.MaxResponseBytes {
		r.overflow = true
		r.response.Body = nil
		return false
	}
	r.response.Body = append(r.response.Body, data...)
	return true
}

// Flush sends buffered data to the caller.
func (w *responseWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Started reports whether the response has begun.
func (w *responseWriter) Started() bool { return w.started }

// Unwrap lets http.ResponseController reach the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
