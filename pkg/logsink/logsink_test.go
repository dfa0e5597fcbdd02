package logsink_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/logsink"
)

// Guards against a reader of the log that stops and delays those who log.
func TestStoppedReaderBlocksNobody(t *testing.T) {
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
	assert.Assert(t, time.Since(started) < 2*time.Second, "writing took %v", time.Since(started))
	assert.Assert(t, sink.DroppedLines.Load() > 0)
}

// Guards against a volume that grows with the load, and against lines that are
// dropped in silence.
func TestVolumeIsBounded(t *testing.T) {
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
	assert.Assert(t, lines <= 2*logsink.MaxLinesPerSecond+2, "%d lines", lines)
	assert.Assert(t, strings.Contains(out.String(), "after"))
	assert.Assert(t, strings.Contains(out.String(), "dropped="), "nothing says that lines were dropped")
}
