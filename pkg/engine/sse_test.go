package engine

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// When a connection breaks within an event, the incomplete event must not reach the
// caller. Events that are too large or malformed must fail instead of using up
// memory.
func TestEventReader(t *testing.T) {
	tests := []struct {
		name, text string
		events     []StreamEvent
		err        error // nil: any error but io.EOF
	}{
		{"empty stream", "", nil, io.EOF},
		{"one event", "id: 1\ndata: a\n\n", []StreamEvent{{Position: 1, Data: []byte("a")}}, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", []StreamEvent{{Position: 1, Data: []byte("a")}}, io.EOF},
		{"no space after the colon", "data:a\n\n", []StreamEvent{{Position: 0, Data: []byte("a")}}, io.EOF},
		{"several data lines", "data: a\ndata: b\n\n", []StreamEvent{{Position: 0, Data: []byte("a\nb")}}, io.EOF},
		{"comment and blank lines", "\n: keep-alive\n\ndata: a\n\n", []StreamEvent{{Data: []byte("a")}}, io.EOF},
		{"id without data", "id: 7\n\ndata: a\n\n", []StreamEvent{{Data: []byte("a")}}, io.EOF},
		{"event with a name", "event: usage\ndata: a\n\n", []StreamEvent{{Name: "usage", Data: []byte("a")}}, io.EOF},
		{"stream ends after the data line", "data: a\n\ndata: b\n", []StreamEvent{{Position: 0, Data: []byte("a")}}, io.ErrUnexpectedEOF},
		{"stream ends within a line", "data: a\n\ndata: b", []StreamEvent{{Position: 0, Data: []byte("a")}}, io.ErrUnexpectedEOF},
		{"position is not a number", "id: x\ndata: a\n\n", nil, nil},
		{"line over the limit", "data: " + strings.Repeat("x", MaxEventBytes) + "\n\n", nil, ErrEventTooLarge},
		{"event over the limit", strings.Repeat("data: "+strings.Repeat("x", MaxEventBytes/4)+"\n", 5) + "\n", nil, ErrEventTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader := NewEventReader(strings.NewReader(test.text))
			for _, want := range test.events {
				got, err := reader.Next()
				assert.NilError(t, err)
				assert.DeepEqual(t, got, want)
			}
			_, err := reader.Next()
			if test.err == nil {
				assert.Assert(t, err != nil && !errors.Is(err, io.EOF))
				return
			}
			assert.Assert(t, errors.Is(err, test.err), "%v", err)
		})
	}
}

// No bytes of a faulty target may make the reader panic, and an event must stay the
// same when it is written and read again.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"))
	f.Add([]byte("data: [DONE]\r\n\r\n"))
	f.Add([]byte("id: 18446744073709551616\n\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		reader := NewEventReader(bytes.NewReader(text))
		for {
			event, err := reader.Next()
			if err != nil {
				return
			}
			if bytes.ContainsRune(event.Data, '\r') || strings.ContainsRune(event.Name, '\r') {
				continue // the reader strips carriage returns at the end of a line
			}
			var out bytes.Buffer
			assert.NilError(t, WriteEvent(&out, event))
			reread, err := NewEventReader(&out).Next()
			assert.NilError(t, err)
			assert.Equal(t, reread.Position, event.Position)
			assert.Equal(t, reread.Name, event.Name)
			assert.Equal(t, string(reread.Data), string(event.Data))
		}
	})
}
