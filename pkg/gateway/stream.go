package gateway

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
)

// errMissingEvent is returned if the positions of a stream have a gap.
var errMissingEvent = errors.New("an event is missing from the target's stream")

// errNotResumed is returned if a target that was to resume a stream answers with
// something else.
var errNotResumed = errors.New("the target did not resume the stream")

// forwardStream copies an event stream to the caller. Events that were already
// sent to the caller are dropped; a missing event fails the attempt.
func (s *Sender) forwardStream(ex *Exchange) *attemptError {
	response, failure := s.send(ex)
	if failure != nil {
		return failure
	}
	defer response.close()
	if response.resp.StatusCode != http.StatusOK {
		return s.relayBuffered(ex, response)
	}
	resumes := ex.Writer.Started()
	if resumes && !strings.HasPrefix(response.resp.Header.Get("Content-Type"), engine.ContentTypeEventStream) {
		return &attemptError{cause: errNotResumed}
	}
	readUsageHeaders(ex, response.resp.Header)
	reader := engine.NewEventReader(progressReader{response.resp.Body, response.stall})
	reader.Memory = s.memory.For(ex.Target.ID)
	defer func() { reader.Memory.Release() }()
	for {
		event, err := reader.Next()
		if err != nil {
			return response.readError("stream", err)
		}
		if resumes && event.Position == 0 {
			// Its place in the stream is unknown; it may be an error of the target.
			return &attemptError{cause: errNotResumed}
		}
		done, failure := deliverEvent(ex, response.stall, event)
		if done || failure != nil {
			return failure
		}
	}
}

// progressReader restarts the stall timer on every read that returns data.
// Comments that engines send as keep-alive while a request is queued count as
// progress too.
type progressReader struct {
	io.Reader
	stall *stallTimer
}

// Read implements io.Reader.
func (r progressReader) Read(data []byte) (int, error) {
	n, err := r.Reader.Read(data)
	if n > 0 {
		r.stall.restart()
	}
	return n, err
}

// deliverEvent sends one event to the caller unless it was sent before. It
// reports whether the stream is complete.
func deliverEvent(ex *Exchange, stall *stallTimer, event engine.StreamEvent) (bool, *attemptError) {
	if event.Position > 0 {
		if event.Position <= ex.DeliveredPosition {
			stall.restart()
			return false, nil
		}
		if event.Position != ex.DeliveredPosition+1 {
			return false, &attemptError{cause: errMissingEvent}
		}
	}
	startStream(ex)
	stall.pause()
	if err := engine.WriteEvent(ex.Writer, event); err != nil {
		return false, &attemptError{cause: err, callerGone: true}
	}
	ex.Writer.Flush()
	stall.restart()
	if event.IsEndMarker() {
		return true, nil
	}
	if event.Position > 0 {
		ex.DeliveredPosition = event.Position
	} else {
		ex.sentUnnumberedEvent = true
	}
	ex.Usage.OutputTokens++
	return false, nil
}

// startStream ends the wait for the first token and sends the response header, unless
// the header was sent before the stream was resumed.
func startStream(ex *Exchange) {
	ex.clearAwaitingFirstToken()
	if ex.Writer.Started() {
		return
	}
	ex.StreamStarted = true
	ex.Timing.FirstToken = time.Now()
	header := ex.Writer.Header()
	header.Set("Content-Type", engine.ContentTypeEventStream)
	header.Set("Cache-Control", "no-cache")
	ex.Writer.WriteHeader(http.StatusOK)
}
