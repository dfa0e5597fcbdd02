// Package explain finds the story of one request in the logs of instances.
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
	// before and after bound the lines about targets and about what an instance
	// believed that belong to a request.
	before = 10 * time.Second
	after  = time.Second
	// maxLineBytes bounds a line.
	maxLineBytes = 1 << 20
)

// stateMessages are the messages about what an instance believes, which
// decides over requests.
var stateMessages = []string{
	"started", "stopping", "stopped", "settings reloaded", "readiness changed", "store lost", "store reached again",
	"configuration in force", "configuration cannot be read", "weights named", "holds the lease for orders",
	"lease for orders lost", "instances that share limits", "store of cached parts lost", "store of cached parts reached",
	"log lines dropped",
}

var (
	stamp   = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d[0-9.]*(Z|[+-]\d\d:?\d\d)`)
	targets = regexp.MustCompile(`\btarget=([^\s"]+)`)
)

// line is one line of a log.
type line struct {
	source string
	at     time.Time
	text   string
}

// ErrRequestNotFound means that no log has a line of the request.
var ErrRequestNotFound = errors.New("no line has the request's id: check that the logs cover its time; a request that was served in time has no line of its own")

// Logs collects lines of several instances.
type Logs struct {
	lines []line
}

// AddLog adds the log of one instance.
func (l *Logs) AddLog(source string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		found := stamp.FindString(text)
		at, err := time.Parse(time.RFC3339Nano, found)
		if err != nil {
			at, err = time.Parse("2006-01-02T15:04:05.000Z0700", found)
		}
		if err != nil {
			continue // not a line of a log
		}
		l.lines = append(l.lines, line{source, at, text})
	}
	return scanner.Err()
}

// WriteRequest writes all lines of a request, and those about its targets and about
// what its instance believed, in the order of time.
func (l *Logs) WriteRequest(w io.Writer, id string) error {
	var own []line
	involved := make(map[string]bool)
	for _, x := range l.lines {
		if !strings.Contains(x.text, "request_id="+id) {
			continue
		}
		own = append(own, x)
		for _, match := range targets.FindAllStringSubmatch(x.text, -1) {
			involved[match[1]] = true
		}
	}
	if len(own) == 0 {
		return fmt.Errorf("%s: %w", id, ErrRequestNotFound)
	}
	first, last := own[0].at, own[0].at
	for _, x := range own {
		if x.at.Before(first) {
			first = x.at
		}
		if x.at.After(last) {
			last = x.at
		}
	}
	story := own
	for _, x := range l.lines {
		if x.at.Before(first.Add(-before)) || x.at.After(last.Add(after)) || strings.Contains(x.text, "request_id=") {
			continue
		}
		if x.source == own[0].source && isState(x.text) || isAbout(x.text, involved) {
			story = append(story, x)
		}
	}
	slices.SortStableFunc(story, func(a, b line) int { return a.at.Compare(b.at) })
	for _, x := range story {
		if _, err := fmt.Fprintf(w, "%s: %s\n", x.source, x.text); err != nil {
			return err
		}
	}
	return nil
}

func isState(text string) bool {
	for _, message := range stateMessages {
		if strings.Contains(text, ": "+message) {
			return true
		}
	}
	return false
}

func isAbout(text string, involved map[string]bool) bool {
	match := targets.FindStringSubmatch(text)
	return match != nil && involved[match[1]]
}
