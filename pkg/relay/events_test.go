package relay

import (
	"io"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"
)

// pieceReader returns at most n bytes for each call.
type pieceReader struct {
	io.Reader
	n int
}

func (r pieceReader) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), r.n)]) }

// Events must be found wherever the pieces of a stream end, or they arrive late or
// not at all.
func TestEventsInPieces(t *testing.T) {
	stream := "id: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n" + strings.Repeat("id: 3\ndata: ccc\n\n", 400)
	for _, rest := range []string{"", "id: 4\nda", "id: 4\ndata: d\n"} {
		for _, n := range []int{1, 2, 3, 7, 16, 1000, 5000} {
			buffer := &eventBuffer{}
			r := pieceReader{strings.NewReader(stream + rest), n}
			got, err := "", error(nil)
			for err == nil {
				var events []byte
				events, err = buffer.readEvents(r)
				got += string(events)
			}
			assert.Equal(t, err, io.EOF)
			assert.Assert(t, got == stream, "pieces of %d bytes: %d bytes of events, want %d", n, len(got), len(stream))
			assert.Equal(t, buffer.isInsideEvent(), rest != "")
		}
	}
	buffer := &eventBuffer{}
	events, err := buffer.readEvents(iotest.DataErrReader(strings.NewReader("id: 1\ndata: a\n\nid")))
	assert.Equal(t, string(events), "id: 1\ndata: a\n\n", "events that arrive together with the end")
	assert.Equal(t, err, io.EOF)
	assert.Assert(t, buffer.isInsideEvent())
}

// processorTime returns the processor time of this process, which unlike the time of day
// does not grow while other processes have the processor.
func processorTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// An event without end that arrives in the segments of a network must not take the
// processor from other requests: at 0.4 cores 100 ms of work are a pause of 250 ms,
// the longest that a route allows between its events.
func TestEventWithoutEndCostsLittle(t *testing.T) {
	const segmentBytes = 1400
	fastest := time.Hour
	for range 3 { // the garbage of earlier tests may be collected meanwhile
		started := processorTime(t)
		buffer := &eventBuffer{}
		r := pieceReader{strings.NewReader(strings.Repeat("x", 2*maxEventBytes)), segmentBytes}
		var err error
		for err == nil {
			_, err = buffer.readEvents(r)
		}
		assert.Equal(t, err, errEventTooLarge)
		fastest = min(fastest, processorTime(t)-started)
	}
	assert.Assert(t, fastest < 100*time.Millisecond, "%v until the event was found too large", fastest)
}
