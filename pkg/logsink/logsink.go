// Package logsink writes log lines without blocking the goroutines that log.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines and maxQueuedBytes bound the lines that are queued for a slow reader.
	maxQueuedLines = 2048
	maxQueuedBytes = 1 << 20
	// maxLineBytes bounds a line, which may have text of a caller.
	maxLineBytes = 8 << 10
	// MaxLinesPerSecond bounds the log volume. At 300 bytes per line, 200 lines per
	// second are 60 KB/s, more than an instance writes in any single failure.
	MaxLinesPerSecond = 200
	// dropReportInterval is the minimum time between reports of dropped lines.
	dropReportInterval = time.Second
)

// Sink is an io.Writer that queues log lines and writes them in the background.
// It drops lines when the queue is full or MaxLinesPerSecond is exceeded, and
// reports in the log how many were dropped. It cuts lines at maxLineBytes.
type Sink struct {
	out             io.Writer
	lines           chan []byte
	queuedBytes     atomic.Int64
	DroppedLines    atomic.Int64  // since the sink was created
	flushed         chan struct{} // closed when all lines are written after Close
	currentSecond   atomic.Int64  // since started
	linesThisSecond atomic.Int64
	started         time.Time
}

// New returns a sink that writes to out and starts its background goroutine, which
// Close ends.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), flushed: make(chan struct{}), started: time.Now()}
	go s.writeLines()
	return s
}

// Write implements io.Writer. Each call must pass one line. Write never blocks or
// fails and may be called concurrently, but not after Close.
func (s *Sink) Write(line []byte) (int, error) {
	second := int64(time.Since(s.started) / time.Second)
	if s.currentSecond.Swap(second) != second {
		s.linesThisSecond.Store(0)
	}
	if s.linesThisSecond.Add(1) > MaxLinesPerSecond {
		s.DroppedLines.Add(1)
		return len(line), nil
	}
	queued := cutLine(line)
	if s.queuedBytes.Add(int64(len(queued))) <= maxQueuedBytes {
		select {
		case s.lines <- queued:
			return len(line), nil
		default:
		}
	}
	s.queuedBytes.Add(-int64(len(queued)))
	s.DroppedLines.Add(1)
	return len(line), nil
}

// cutLine returns a copy of a line that is not too long.
func cutLine(line []byte) []byte {
	const mark = "... (cut)\n"
	if len(line) <= maxLineBytes {
		return bytes.Clone(line)
	}
	return append(append(make([]byte, 0, maxLineBytes), line[:maxLineBytes-len(mark)]...), mark...)
}

// writeLines writes queued lines until Close, and reports dropped lines.
func (s *Sink) writeLines() {
	defer close(s.flushed)
	reportedDrops, reportedAt := int64(0), time.Now()
	for line := range s.lines {
		_, _ = s.out.Write(line) // a failed log write cannot be reported anywhere else
		s.queuedBytes.Add(-int64(len(line)))
		if dropped := s.DroppedLines.Load(); dropped > reportedDrops && time.Since(reportedAt) > dropReportInterval {
			_, _ = fmt.Fprintf(s.out, "level=warn msg=\"log lines dropped\" dropped=%d\n", dropped-reportedDrops)
			reportedDrops, reportedAt = dropped, time.Now()
		}
	}
}

// Close stops the sink and waits until the queued lines are written, at most for
// timeout. It must be called only once.
func (s *Sink) Close(timeout time.Duration) {
	close(s.lines)
	select {
	case <-s.flushed:
	case <-time.After(timeout):
	}
}
