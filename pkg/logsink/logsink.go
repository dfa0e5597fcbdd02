// Package logsink writes log lines without ever blocking the one who logs.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the number of lines that wait for a slow reader.
	queueLines = 2048
	// MaxLinesPerSecond bounds the volume. Source: at 300 bytes a line it is
	// 60 KB/s, more than an instance writes in any single failure.
	MaxLinesPerSecond = 200
	// reportInterval is the time between lines that tell of dropped lines.
	reportInterval = time.Second
)

// Sink is an io.Writer that drops lines when the reader is too slow or the
// volume is over its bound, and writes how many.
type Sink struct {
	out          io.Writer
	lines        chan []byte
	DroppedLines atomic.Int64 // since the start
	done         chan struct{}
	second       atomic.Int64
	written      atomic.Int64
	started      time.Time
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}), started: time.Now()}
	go s.run()
	return s
}

// Write implements io.Writer. It takes one line and never fails or waits.
func (s *Sink) Write(line []byte) (int, error) {
	second := int64(time.Since(s.started) / time.Second)
	if s.second.Swap(second) != second {
		s.written.Store(0)
	}
	if s.written.Add(1) > MaxLinesPerSecond {
		s.DroppedLines.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.DroppedLines.Add(1)
	}
	return len(line), nil
}

func (s *Sink) run() {
	defer close(s.done)
	reported, reportedAt := int64(0), time.Now()
	for line := range s.lines {
		_, _ = s.out.Write(line) // there is nowhere else to report a failed log write
		if dropped := s.DroppedLines.Load(); dropped > reported && time.Since(reportedAt) > reportInterval {
			_, _ = fmt.Fprintf(s.out, "level=warn msg=\"log lines dropped\" dropped=%d\n", dropped-reported)
			reported, reportedAt = dropped, time.Now()
		}
	}
}

// Close writes what is queued, for at most a bounded time.
func (s *Sink) Close(limit time.Duration) {
	close(s.lines)
	select {
	case <-s.done:
	case <-time.After(limit):
	}
}
