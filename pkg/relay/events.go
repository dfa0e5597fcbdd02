package relay

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/memlimit"
	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
)

const (
	// initialEventBufferBytes is the initial size of the event buffer.
	initialEventBufferBytes = 2 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// freeEventBytes is the size of the event buffer up to which nothing is reserved in
	// ForwardFilter.Memory. Usual events are shorter.
	freeEventBytes = 16 << 10
)

// errEventRepeated means that a target which resumed a stream began with an event that the
// caller has.
var errEventRepeated = errors.New("the resumed stream repeats an event")

var errEventTooLarge = errors.New("an event of the stream exceeds the size limit")

// relayEvents sends a stream of events to the caller, complete events only: if
// the stream breaks off within an event, another target sends that event again.
func (f *ForwardFilter) relayEvents(ex *Exchange, response *targetconn.Response, idle *idleTimer, markStarted func()) *failure {
	resumedAfter := ""
	if ex.HeaderSent {
		resumedAfter = ex.Metadata.LastEventID
	}
	buffer := &eventBuffer{memory: f.Memory.For(ex.Target.Key())}
	defer buffer.memory.Release()
	steps := newStepSampler(ex.Target)
	defer func() { ex.Target.Live.RecordStepTime(steps.stepTime(), time.Now()) }()
	last := time.Now()
	eventsBefore := ex.EventCount
	for {
		events, err := buffer.readEvents(response.Body)
		if len(events) > 0 {
			if carriesEvent(events) {
				if repeatsEvent(events, resumedAfter) {
					return notResumed(errEventRepeated)
				}
				resumedAfter = ""
				markStarted()
				idle.reset()
				now := time.Now()
				if ex.EventCount > 0 {
					ex.LongestEventGap = max(ex.LongestEventGap, now.Sub(last))
				}
				last = now
				steps.recordEvents(events, now)
			}
			if writeErr := f.sendEvents(ex, response, events); writeErr != nil {
				return &failure{requestSent: true, mayHaveRun: true, reason: "the caller does not read", cause: writeErr}
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return f.streamFailure(ex, err)
		}
		if buffer.isInsideEvent() {
			return f.streamFailure(ex, io.ErrUnexpectedEOF)
		}
		if ex.EventCount == eventsBefore && response.EndsWithConnection() {
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

// isEventStream reports whether a response is a stream of events. The answer of a target
// that was to resume a stream is an error otherwise, whatever its status.
func isEventStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// notResumed returns the failure of an attempt to resume a stream. Nothing of the target's
// answer was sent to the caller.
func notResumed(cause error) *failure {
	return &failure{requestSent: true, mayHaveRun: true, canTryOther: true, reason: "stream not resumed", cause: cause}
}

// repeatsEvent reports whether the first ID in events is not after the one of the last
// event before the stream was resumed. It is false unless both are numbers.
func repeatsEvent(events []byte, last string) bool {
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return false
	}
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			first, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
			return err == nil && first <= before
		}
	}
	return false
}

func (f *ForwardFilter) streamFailure(ex *Exchange, err error) *failure {
	return &failure{requestSent: true, mayHaveRun: true, canTryOther: true, reason: "stream cut off", cause: err}
}

// sendEvents sends complete events to the caller and records the ID of the last
// one.
func (f *ForwardFilter) sendEvents(ex *Exchange, response *targetconn.Response, events []byte) error {
	if !ex.HeaderSent {
		f.sendStreamHeader(ex, response)
	}
	if ex.FirstEventAt.IsZero() && carriesEvent(events) {
		ex.FirstEventAt = time.Now()
	}
	if _, err := ex.Writer.Write(events); err != nil {
		return err
	}
	if carriesEvent(events) {
		ex.EventCount += bytes.Count(events, eventEnd)
	}
	if id := lastEventID(events); id != "" {
		ex.Metadata.LastEventID = id
	}
	return http.NewResponseController(ex.Writer).Flush()
}

func (f *ForwardFilter) sendStreamHeader(ex *Exchange, response *targetconn.Response) {
	copyEndToEndHeaders(ex.Writer.Header(), response.Header)
	ex.sendHeader(response.StatusCode)
}

// carriesEvent reports whether complete blocks of a stream have a field. Blocks of
// comments only keep a connection open: a stalled target may send them for ever.
func carriesEvent(blocks []byte) bool {
	for line := range bytes.Lines(blocks) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// eventBuffer holds the bytes of a stream until their events are complete.
type eventBuffer struct {
	data     []byte
	returned int // length of the complete events at the start of data that were returned
	searched int // no event ends in data between returned and here
	memory   memlimit.Reservation
}

// readEvents reads once and returns the events that are complete then, if any. They
// are valid until the next call. The error is that of the reader, errEventTooLarge or
// targetconn.ErrOutOfMemory.
func (b *eventBuffer) readEvents(r io.Reader) ([]byte, error) {
	if b.returned > 0 {
		b.data = append(b.data[:0], b.data[b.returned:]...)
		b.searched -= b.returned
		b.returned = 0
	}
	if len(b.data) == cap(b.data) {
		if cap(b.data) >= maxEventBytes {
			return nil, errEventTooLarge
		}
		// While the bytes are copied, both buffers take memory.
		if larger := 2 * cap(b.data); larger > freeEventBytes && !b.memory.Grow(int64(larger)) {
			return nil, targetconn.ErrOutOfMemory
		}
		b.data = append(make([]byte, 0, max(initialEventBufferBytes, 2*cap(b.data))), b.data...)
	}
	n, err := r.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	from := max(0, b.searched-len(eventEnd)+1)
	if at := bytes.LastIndex(b.data[from:], eventEnd); at >= 0 {
		b.returned = from + at + len(eventEnd)
	}
	b.searched = len(b.data)
	return b.data[:b.returned], err
}

// isInsideEvent reports whether an event has begun and is not complete.
func (b *eventBuffer) isInsideEvent() bool { return len(b.data) > b.returned }

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
