// Package inifile decodes INI text strictly. Settings and tables share it, so
// that both report every mistake of a file at once, with its line and a remedy.
package inifile

import (
	"fmt"
	"slices"
	"strings"
)

// Issue is one mistake in a file.
type Issue struct {
	File    string
	Line    int    // 1 is the first line; 0 when no line holds the mistake
	Section string // header without brackets
	Key     string
	Problem string
	Remedy  string
}

// String returns the issue on one line.
func (i Issue) String() string {
	var b strings.Builder
	b.WriteString(i.File)
	if i.Line > 0 {
		fmt.Fprintf(&b, ":%d", i.Line)
	}
	b.WriteString(":")
	if i.Section != "" {
		fmt.Fprintf(&b, " [%s]", i.Section)
	}
	if i.Key != "" {
		fmt.Fprintf(&b, " %s:", i.Key)
	}
	fmt.Fprintf(&b, " %s; %s", i.Problem, i.Remedy)
	return b.String()
}

// Error holds all issues of one or several files.
type Error struct {
	Issues []Issue
}

// Error implements error, with one issue a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Issues))
	for i, issue := range e.Issues {
		lines[i] = issue.String()
	}
	return strings.Join(lines, "\n")
}

// Report collects issues.
type Report struct {
	issues []Issue
}

// Add records an issue.
func (r *Report) Add(issue Issue) { r.issues = append(r.issues, issue) }

// Err returns an *Error with all issues by line, files in the order in which
// they were first reported, or nil when there are none.
func (r *Report) Err() error {
	if len(r.issues) == 0 {
		return nil
	}
	order := make(map[string]int)
	for _, issue := range r.issues {
		if _, ok := order[issue.File]; !ok {
			order[issue.File] = len(order)
		}
	}
	sorted := slices.Clone(r.issues)
	slices.SortStableFunc(sorted, func(a, b Issue) int {
		if a.File != b.File {
			return order[a.File] - order[b.File]
		}
		return a.Line - b.Line
	})
	return &Error{Issues: sorted}
}

// Problem says what is wrong with a value and how to correct it.
type Problem struct {
	Description string
	Remedy      string
}
