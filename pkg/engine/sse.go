package engine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"lacewingwheel.example/lacewingwheel/pkg/memlimit"
)

// MaxEventBytes bounds the data of one event and each line of a stream, in bytes.
const MaxEventBytes = 1 << 20

// ErrEventTooLarge is returned for an event or line over MaxEventBytes.
var ErrEventTooLarge = errors.New("stream event exceeds the size limit")

// StreamEvent is one server-sent event of a generation stream.
type StreamEvent struct {
	Position uint64 // from the id field; zero if the event has none
	Name     string // from the event field; usually empty
	Data     []byte
}

// IsEndMarker reports whether the event marks the end of a complete stream.
func (e StreamEvent) IsEndMarker() bool { return string(e.Data) == EndMarker }

// ErrOutOfMemory is returned for an event that needs more memory than is left for
// responses.
var ErrOutOfMemory = errors.New("no memory is left for the stream event")

// freeEventBytes is the size of an event up to which nothing is reserved in
// EventReader.Memory.
const freeEventBytes = 32 << 10

// EventReader reads server-sent events. It is not safe for concurrent use.
type EventReader struct {
	// Memory holds what large events take. The caller releases it. The zero value has no
	// bound.
	Memory memlimit.Reservation

	r        *bufio.Reader
	reserved int // bytes in Memory
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReader(r)}
}

// Next returns the next complete event. It skips comments and events without data,
// as the format requires. At the end of the stream it returns io.EOF, or
// io.ErrUnexpectedEOF if the stream ends within an event.
func (r *EventReader) Next() (StreamEvent, error) {
	var event StreamEvent
	var data []byte
	started := false
	for {
		line, err := r.readLine(len(data))
		if err != nil {
			if errors.Is(err, io.EOF) && (started || len(line) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return StreamEvent{}, err
		}
		if len(line) == 0 {
			if data == nil {
				event, started = StreamEvent{}, false
				continue
			}
			event.Data = data
			return event, nil
		}
		if err := parseField(line, &event, &data); err != nil {
			return StreamEvent{}, err
		}
		if len(data) > MaxEventBytes {
			return StreamEvent{}, ErrEventTooLarge
		}
		started = true
	}
}

// readLine reads a line of an event of which dataBytes were read before.
func (r *EventReader) readLine(dataBytes int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > MaxEventBytes {
			return nil, ErrEventTooLarge
		}
		if !r.reserve(dataBytes + len(line)) {
			return nil, ErrOutOfMemory
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return line, err
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}

// reserve reports whether there is memory for an event of a size, which is held twice: in
// its lines and in its data.
func (r *EventReader) reserve(bytes int) bool {
	if bytes <= freeEventBytes || 2*bytes <= r.reserved {
		return true
	}
	larger := 4 * bytes
	if !r.Memory.Grow(int64(larger - r.reserved)) {
		return false
	}
	r.reserved = larger
	return true
}

func parseField(line []byte, event *StreamEvent, data *[]byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if *data == nil {
			*data = []byte{}
		} else {
			*data = append(*data, '\n')
		}
		*data = append(*data, value...)
	case "event":
		event.Name = string(value)
	case "id":
		position, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return fmt.Errorf("event id %q is not a stream position: %w", value, err)
		}
		event.Position = position
	}
	return nil
}

// WriteEvent writes one event. It leaves out a zero position and an empty name.
func WriteEvent(w io.Writer, event StreamEvent) error {
	buf := make([]byte, 0, len(event.Data)+32)
	if event.Position > 0 {
		buf = append(buf, "id: "...)
		buf = strconv.AppendUint(buf, event.Position, 10)
		buf = append(buf, '\n')
	}
	if event.Name != "" {
		buf = append(buf, "event: "...)
		buf = append(buf, event.Name...)
		buf = append(buf, '\n')
	}
	for _, line := range bytes.Split(event.Data, []byte("\n")) {
		buf = append(buf, "data: "...)
		buf = append(buf, line...)
		buf = append(buf, '\n')
	}
	buf = append(buf, '\n')
	_, err := w.Write(buf)
	return err
}
