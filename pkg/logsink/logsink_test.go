package logsink_test

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/logsink"
)

// Guards against requests that hang on logging: when the log's reader stops and the
// pipe is full, Write must drop lines and not block.
func TestWriteWithStoppedReader(t *testing.T) {
	read, write, err := os.Pipe()
	assert.NilError(t, err)
	defer read.Close()
	defer write.Close()
	sink := logsink.New(write)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	started := time.Now()
	for range 20_000 {
		_, err := sink.Write(line)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(started) < 2*time.Second, "20000 writes took %v", time.Since(started))
	assert.Assert(t, sink.DroppedLines.Load() > 0)
}

// Guards against a log that fills the disk under load, and against lines that are
// dropped without a report in the log.
func TestLineRateIsBounded(t *testing.T) {
	var out bytes.Buffer
	sink := logsink.New(&out)
	for i := range 10 * logsink.MaxLinesPerSecond {
		_, err := fmt.Fprintf(sink, "line %d\n", i)
		assert.NilError(t, err)
	}
	time.Sleep(1100 * time.Millisecond)
	_, err := fmt.Fprintln(sink, "after")
	assert.NilError(t, err)
	sink.Close(time.Second)
	lines := strings.Count(out.String(), "\n")
	assert.Assert(t, lines <= 2*logsink.MaxLinesPerSecond+2, "%d lines written", lines)
	assert.Assert(t, strings.Contains(out.String(), "after"))
	assert.Assert(t, strings.Contains(out.String(), "dropped="), "no line reports dropped lines")
}

// Lines have text of callers, such as request IDs of 16 KB. Those that were queued for a slow
// reader filled the memory.
func TestLongLinesTakeLittleMemory(t *testing.T) {
	read, write, err := os.Pipe()
	assert.NilError(t, err)
	defer read.Close()
	sink := logsink.New(write)
	const lines, maxHeld = logsink.MaxLinesPerSecond - 1, 1 << 20
	line := []byte(strings.Repeat("x", 64<<10) + "\n")
	for range lines {
		_, err := sink.Write(line)
		assert.NilError(t, err)
	}
	go func() {
		sink.Close(10 * time.Second)
		_ = write.Close()
	}()
	text, err := io.ReadAll(read)
	assert.NilError(t, err)
	assert.Assert(t, len(text) > 0 && len(text) <= maxHeld+64<<10, "%d bytes", len(text))
	assert.Assert(t, sink.DroppedLines.Load() > 0)
	for written := range strings.Lines(string(text)) {
		assert.Assert(t, len(written) <= 8<<10 && strings.HasSuffix(written, "\n"))
	}
}
