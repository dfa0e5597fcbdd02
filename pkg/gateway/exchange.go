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

// Exchange is a request and its response on the way through the chain, with the
// results of the filters so far. Only the goroutine that handles the request writes
// its fields.
type Exchange struct {
	Writer  *responseWriter
	Request *http.Request // holds no key after Authentication

	ID       string
	Snapshot *tables.Snapshot
	Deadline time.Time

	KeyDigest    [32]byte
	HasKey       bool
	Organisation *tables.Organisation // nil if the request has no key

	Route      *tables.Route
	Pool       *tables.Pool
	Body       []byte
	Generation GenerationRequest

	ReservedTokens        int64 // tokens reserved by RateLimit
	estimatedPromptTokens int64 // the prompt's part of ReservedTokens
	Target                *target.Target
	Usage                 Usage
	Timing                Timing

	// Attempts counts the attempts to send the request to a target.
	Attempts int
	// MayHaveRun is true once a target may have received the request.
	MayHaveRun bool
	// StreamStarted is true once the response has begun as an event stream.
	StreamStarted bool
	// DeliveredPosition is the position of the last event sent to the caller; 0
	// before the first.
	DeliveredPosition uint64
	// sentUnnumberedEvent is true once an event without a position was sent to the
	// caller. The stream then cannot resume, because it would repeat that event.
	sentUnnumberedEvent bool
	// weightVersion is the weight version of the target that generated the events
	// so far.
	weightVersion string

	digest *claim.Digest // of the request; set on first use of Digest

	// awaitingFirstTokenOn is the target whose AwaitingFirstToken includes the
	// request, or nil.
	awaitingFirstTokenOn *target.LiveState
}

// markAwaitingFirstToken counts a streaming engine request in its target's
// AwaitingFirstToken until clearAwaitingFirstToken. Other requests are not counted:
// their first byte comes only after all tokens have been generated.
func (ex *Exchange) markAwaitingFirstToken() {
	if ex.Generation.Stream && ex.Pool.Kind == tables.PoolEngine {
		ex.awaitingFirstTokenOn = ex.Target.Live
		ex.awaitingFirstTokenOn.AwaitingFirstToken.Add(1)
	}
}

// clearAwaitingFirstToken undoes markAwaitingFirstToken. It does nothing if the
// request is not counted.
func (ex *Exchange) clearAwaitingFirstToken() {
	if ex.awaitingFirstTokenOn != nil {
		ex.awaitingFirstTokenOn.AwaitingFirstToken.Add(-1)
		ex.awaitingFirstTokenOn = nil
	}
}

// GenerationRequest holds the fields that the router reads from the body of a
// generation request.
type GenerationRequest struct {
	Model     string
	Stream    bool
	MaxTokens int    // 0 if the caller set no limit
	Prompt    []byte // JSON of the messages or the prompt, whose prefix engines cache
}

// Usage holds token counts reported by the target; 0 if not reported. For a
// stream, OutputTokens counts the events that were sent to the caller.
type Usage struct {
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Timing holds the times from which latencies are computed.
type Timing struct {
	Start      time.Time
	FirstToken time.Time // start of the response if it is not streamed; zero before
	End        time.Time
}

// Context returns the context of the request.
func (ex *Exchange) Context() context.Context { return ex.Request.Context() }

// OrganisationName returns the name of the organisation, or "" if the request
// has no key.
func (ex *Exchange) OrganisationName() string {
	if ex.Organisation == nil {
		return ""
	}
	return ex.Organisation.Name
}

// Digest returns a digest of the organisation, method, URI and body. It is
// computed once, on the first call.
func (ex *Exchange) Digest() claim.Digest {
	if ex.digest == nil {
		d := claim.DigestRequest(ex.OrganisationName(), ex.Request.Method, ex.Request.URL.RequestURI(), ex.Body)
		ex.digest = &d
	}
	return *ex.digest
}

// callerError converts err to the error document for the caller. The outcome is
// always unknown once a target may have received the request.
func (ex *Exchange) callerError(err error) *apierr.Error {
	failure := apierr.From(err)
	if ex.MayHaveRun {
		failure.Outcome = apierr.OutcomeUnknown
	}
	return failure
}

// abortResponse ends a response that has begun and cannot be completed. A stream
// ends with an error event instead of the end marker. Any other response is cut
// off by a panic with http.ErrAbortHandler, so that the caller cannot mistake it
// for a complete one.
func (ex *Exchange) abortResponse(failure *apierr.Error) {
	if !ex.StreamStarted {
		panic(http.ErrAbortHandler)
	}
	failure.Outcome = apierr.OutcomeUnknown
	data, err := json.Marshal(failure.Document(ex.ID))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if engine.WriteEvent(ex.Writer, engine.StreamEvent{Data: data}) != nil {
		panic(http.ErrAbortHandler)
	}
	ex.Writer.Flush()
}

// responseWriter tracks whether the response has begun and can record it for
// later replay.
type responseWriter struct {
	http.ResponseWriter
	started   bool
	Status    int                // 0 until the response has begun
	recording *responseRecording // nil if the response is not recorded
}

// responseRecording is a copy of a response of at most claim.MaxResponseBytes.
type responseRecording struct {
	response claim.Response
	overflow bool
}

// startRecording starts to record the response. Until the recording overflows,
// writes succeed even if the caller has disconnected, so that the whole response
// is recorded.
func (w *responseWriter) startRecording() { w.recording = &responseRecording{} }

// endRecording stops the recording and returns the response, or nil if nothing
// was recorded or the response was too large.
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

// add appends data to the body. It reports whether the recording still holds
// the whole response; it does not after an overflow or if r is nil.
func (r *responseRecording) add(data []byte) bool {
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

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Started reports whether the response has begun.
func (w *responseWriter) Started() bool { return w.started }

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
