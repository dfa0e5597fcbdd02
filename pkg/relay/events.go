package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
)

const (
	// initialEventBufferBytes is the initial size of the event buffer.
	initialEventBufferBytes = 2 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
)

var errEventTooLarge = errors.New("an event of the stream exceeds the size limit")

// relayEvents sends a stream of events to the caller, complete events only: if
// the stream breaks off within an event, another target sends that event again.
func (f *ForwardFilter) relayEvents(ex *Exchange, response *targetconn.Response, idle *idleTimer, markStarted func()) *failure {
	buffer := make([]byte, 0, initialEventBufferBytes)
	last := time.Now()
	eventsBefore := ex.EventCount
	for {
		if len(buffer) == cap(buffer) {
			if cap(buffer) >= maxEventBytes {
				return f.streamFailure(ex, errEventTooLarge)
			}
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if end := completeEventsLen(buffer); end > 0 {
			markStarted()
			idle.reset()
			now := time.Now()
			if ex.EventCount > 0 {
				ex.LongestEventGap = max(ex.LongestEventGap, now.Sub(last))
			}
			last = now
			if writeErr := f.sendEvents(ex, response, buffer[:end]); writeErr != nil {
				return &failure{requestSent: true, mayHaveRun: true, reason: "the caller does not read", cause: writeErr}
			}
			buffer = append(buffer[:0], buffer[end:]...)
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return f.streamFailure(ex, err)
		}
		if len(buffer) > 0 {
			return f.streamFailure(ex, io.ErrUnexpectedEOF)
		}
		if ex.EventCount == eventsBefore && endsWithConnection(response) {
			// A target that crashed before its first event ends its stream in the
			// same way.
			return f.streamFailure(ex, io.ErrUnexpectedEOF)
		}
		if !ex.HeaderSent {
			f.sendStreamHeader(ex, response)
		}
		return nil
	}
}

// endsWithConnection reports whether only the end of the connection ends the body.
func endsWithConnection(response *targetconn.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

func (f *ForwardFilter) streamFailure(ex *Exchange, err error) *failure {
	return &failure{requestSent: true, mayHaveRun: true, canTryOther: true, reason: "stream cut off", cause: err}
}

// sendEvents sends complete events to the caller and records the ID of the last
// one.
func (f *ForwardFilter) sendEvents(ex *Exchange, response *targetconn.Response, events []byte) error {
	if !ex.HeaderSent {
		f.sendStreamHeader(ex, response)
		ex.FirstEventAt = time.Now()
	}
	if _, err := ex.Writer.Write(events); err != nil {
		return err
	}
	ex.EventCount += bytes.Count(events, eventEnd)
	if id := lastEventID(events); id != "" {
		ex.Metadata.LastEventID = id
	}
	return http.NewResponseController(ex.Writer).Flush()
}

func (f *ForwardFilter) sendStreamHeader(ex *Exchange, response *targetconn.Response) {
	copyEndToEndHeaders(ex.Writer.Header(), response.Header)
	ex.sendHeader(response.StatusCode)
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// completeEventsLen returns the length of the complete events at the start of
// data.
func completeEventsLen(data []byte) int {
	at := bytes.LastIndex(data, eventEnd)
	if at < 0 {
		return 0
	}
	return at + len(eventEnd)
}

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) string {
	for len(events) > 0 {
		at := bytes.LastIndex(events, idField)
		if at < 0 {
			return ""
		}
		if at == 0 || events[at-1] == '\n' {
			line, _, _ := bytes.Cut(events[at+len(idField):], []byte("\n"))
			return string(bytes.TrimSpace(line))
		}
		events = events[:at]
	}
	return ""
}
