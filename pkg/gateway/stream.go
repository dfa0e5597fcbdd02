package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
)

// errGap means that a stream left out an event.
var errGap = errors.New("the stream left out an event")

// stream forwards a stream of events. Events that the caller already has are
// dropped, and a missing event fails the attempt.
func (s *Sender) stream(ex *Exchange) *attemptError {
	answer, failure := s.send(ex)
	if failure != nil {
		return failure
	}
	defer answer.close()
	if answer.resp.StatusCode != http.StatusOK {
		return s.relayStatus(ex, answer)
	}
	noteUsage(ex, answer.resp.Header)
	reader := engine.NewEventReader(progressReader{answer.resp.Body, answer.watch})
	for {
		event, err := reader.Next()
		if err != nil {
			return answer.endedEarly("stream", err)
		}
		done, failure := deliver(ex, answer.watch, event)
		if done || failure != nil {
			return failure
		}
	}
}

// progressReader counts every byte as progress, also those of comments that
// keep a connection alive while a request waits in the engine's queue.
type progressReader struct {
	io.Reader
	watch *stallWatch
}

// Read implements io.Reader.
func (r progressReader) Read(data []byte) (int, error) {
	n, err := r.Reader.Read(data)
	if n > 0 {
		r.watch.progress()
	}
	return n, err
}

// deliver sends one event to the caller. It reports whether the stream is complete.
func deliver(ex *Exchange, watch *stallWatch, event engine.StreamEvent) (bool, *attemptError) {
	if event.Position > 0 {
		if event.Position <= ex.DeliveredPosition {
			watch.progress()
			return false, nil
		}
		if event.Position != ex.DeliveredPosition+1 {
			return false, &attemptError{cause: errGap}
		}
	}
	startStream(ex)
	watch.pause()
	if err := engine.WriteEvent(ex.Writer, event); err != nil {
		return false, &attemptError{cause: err, callerGone: true}
	}
	ex.Writer.Flush()
	watch.progress()
	if event.Done() {
		return true, nil
	}
	if event.Position > 0 {
		ex.DeliveredPosition = event.Position
	} else {
		ex.unnumbered = true
	}
	ex.Usage.OutputTokens++
	return false, nil
}

func startStream(ex *Exchange) {
	ex.firstTokenCame()
	if ex.Writer.Started() {
		return
	}
	ex.StreamStarted = true
	ex.Timing.FirstToken = time.Now()
	header := ex.Writer.Header()
	header.Set("Content-Type", engine.EventStream)
	header.Set("Cache-Control", "no-cache")
	ex.Writer.WriteHeader(http.StatusOK)
}
