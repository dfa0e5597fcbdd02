// Package inifile decodes INI text strictly. It reports all mistakes of a file
// at once, each with its line and a remedy. Settings and tables both use it.
package inifile

import (
	"fmt"
	"slices"
	"strings"
)

// Issue is one mistake in a file.
type Issue struct {
	File    string
	Line    int    // from 1; 0 if the issue concerns no particular line
	Section string // header without brackets, or empty
	Key     string // empty if the issue concerns no particular key
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

// Error holds the issues of one or more files.
type Error struct {
	Issues []Issue
}

// Error returns the issues, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Issues))
	for i, issue := range e.Issues {
		lines[i] = issue.String()
	}
	return strings.Join(lines, "\n")
}

// Report collects issues. The zero value is empty and ready to use. It is not
// safe for concurrent use.
type Report struct {
	issues []Issue
}

// Add adds an issue.
func (r *Report) Add(issue Issue) { r.issues = append(r.issues, issue) }

// Err returns nil if there are no issues, and otherwise an *Error with all of
// them: files in the order of their first issue, and by line within a file.
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

// Problem describes what is wrong with a value and how to correct it.
type Problem struct {
	Description string
	Remedy      string
}
