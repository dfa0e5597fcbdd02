// Package explain collects the log lines of several instances that explain what
// happened to one request.
package explain

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

const (
	// timeBefore and timeAfter extend the time span of a request's own lines. Lines
	// about its targets and about its instance's state are taken from this span.
	timeBefore = 10 * time.Second
	timeAfter  = time.Second
	// maxLineBytes is the longest line that can be read.
	maxLineBytes = 1 << 20
)

// stateMessages are the messages about an instance's own state, such as its
// configuration and leases, which affects how it handles requests.
var stateMessages = []string{
	"started", "stopping", "stopped", "settings reloaded", "readiness changed", "store lost", "store reached again",
	"configuration in force", "configuration cannot be read", "weights named", "holds the lease for orders",
	"lease for orders lost", "instances that share limits", "store of cached parts lost", "store of cached parts reached",
	"log lines dropped",
}

var (
	timestampPattern = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d[0-9.]*(Z|[+-]\d\d:?\d\d)`)
	targetPattern    = regexp.MustCompile(`\btarget=([^\s"]+)`)
)

// logLine is one line of an instance's log.
type logLine struct {
	instance string // as passed to AddLog
	time     time.Time
	text     string
}

// ErrRequestNotFound is returned if no log has a line with the request's ID.
var ErrRequestNotFound = errors.New("no line has the request's id: check that the logs cover its time; a request that was served in time has no line of its own")

// Logs holds the log lines of several instances. It is not safe for concurrent use.
type Logs struct {
	lines []logLine
}

// AddLog adds the log of one instance. Lines without a timestamp are skipped. An
// error of r or a line over 1 MiB ends the reading with an error; the lines before
// it are kept.
func (l *Logs) AddLog(instance string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		match := timestampPattern.FindString(text)
		timestamp, err := time.Parse(time.RFC3339Nano, match)
		if err != nil {
			timestamp, err = time.Parse("2006-01-02T15:04:05.000Z0700", match)
		}
		if err != nil {
			continue // not a log line
		}
		l.lines = append(l.lines, logLine{instance, timestamp, text})
	}
	return scanner.Err()
}

// WriteRequest writes the log lines that concern the request with the given ID, in
// order of time and each prefixed with its instance: the request's own lines, lines
// about its targets, and lines about the state of its instance. It returns
// ErrRequestNotFound if no line has the ID, and errors of w.
func (l *Logs) WriteRequest(w io.Writer, id string) error {
	var ownLines []logLine
	requestTargets := make(map[string]bool)
	for _, line := range l.lines {
		if !strings.Contains(line.text, "request_id="+id) {
			continue
		}
		ownLines = append(ownLines, line)
		for _, match := range targetPattern.FindAllStringSubmatch(line.text, -1) {
			requestTargets[match[1]] = true
		}
	}
	if len(ownLines) == 0 {
		return fmt.Errorf("%s: %w", id, ErrRequestNotFound)
	}
	first, last := ownLines[0].time, ownLines[0].time
	for _, line := range ownLines {
		if line.time.Before(first) {
			first = line.time
		}
		if line.time.After(last) {
			last = line.time
		}
	}
	selected := ownLines
	for _, line := range l.lines {
		if line.time.Before(first.Add(-timeBefore)) || line.time.After(last.Add(timeAfter)) || strings.Contains(line.text, "request_id=") {
			continue
		}
		if line.instance == ownLines[0].instance && isStateMessage(line.text) || concernsTargets(line.text, requestTargets) {
			selected = append(selected, line)
		}
	}
	slices.SortStableFunc(selected, func(a, b logLine) int { return a.time.Compare(b.time) })
	for _, line := range selected {
		if _, err := fmt.Fprintf(w, "%s: %s\n", line.instance, line.text); err != nil {
			return err
		}
	}
	return nil
}

// isStateMessage reports whether a line has one of stateMessages.
func isStateMessage(text string) bool {
	for _, message := range stateMessages {
		if strings.Contains(text, ": "+message) {
			return true
		}
	}
	return false
}

// concernsTargets reports whether a line is about one of the request's targets.
func concernsTargets(text string, requestTargets map[string]bool) bool {
	match := targetPattern.FindStringSubmatch(text)
	return match != nil && requestTargets[match[1]]
}
