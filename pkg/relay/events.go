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
	// eventBufferBytes is the first size of the buffer for events.
	eventBufferBytes = 2 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

var errEventTooLarge = errors.New("an event exceeds the size limit")

// relayEvents passes on a stream, whole events only: a target may stop in the
// middle of one, and another target then sends that event again.
func (f *ForwardFilter) relayEvents(ex *Exchange, response *targetconn.Response, silence *silence, start func()) *failure {
	buffer := make([]byte, 0, eventBufferBytes)
	last := time.Now()
	for {
		if len(buffer) == cap(buffer) {
			if cap(buffer) >= maxEventBytes {
				return f.brokenStream(ex, errEventTooLarge)
			}
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if end := wholeEvents(buffer); end > 0 {
			start()
			silence.heard()
			now := time.Now()
			if ex.EventCount > 0 {
				ex.LongestEventGap = max(ex.LongestEventGap, now.Sub(last))
			}
			last = now
			if writeErr := f.passEvents(ex, response, buffer[:end]); writeErr != nil {
				return &failure{sent: true, ran: true, reason: "the caller does not read", cause: writeErr}
			}
			buffer = append(buffer[:0], buffer[end:]...)
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return f.brokenStream(ex, err)
		}
		if len(buffer) > 0 {
			return f.brokenStream(ex, io.ErrUnexpectedEOF)
		}
		if !ex.HeaderSent {
			f.beginStream(ex, response)
		}
		return nil
	}
}

func (f *ForwardFilter) brokenStream(ex *Exchange, err error) *failure {
	return &failure{sent: true, ran: true, elsewhere: true, reason: "stream cut off", cause: err}
}

// passEvents sends whole events to the caller and notes the id of the last.
func (f *ForwardFilter) passEvents(ex *Exchange, response *targetconn.Response, events []byte) error {
	if !ex.HeaderSent {
		f.beginStream(ex, response)
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

func (f *ForwardFilter) beginStream(ex *Exchange, response *targetconn.Response) {
	h := copyHeader(ex.Writer.Header(), response.Header)
	if response.Close && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		// The end of the connection is the end of the stream here too.
		h.Set("Transfer-Encoding", "identity")
	}
	ex.begin(response.StatusCode)
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// wholeEvents returns the length of the whole events at the start of data.
func wholeEvents(data []byte) int {
	at := bytes.LastIndex(data, eventEnd)
	if at < 0 {
		return 0
	}
	return at + len(eventEnd)
}

// lastEventID returns the id of the last event that has one.
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
