package inifile

import (
	"fmt"
	"strconv"
	"strings"
)

// Section is one section of a document.
type Section struct {
	Header  string // without brackets
	Name    string // the header without its first word
	Line    int    // 0 when the file has no such section
	doc     *Document
	word    string
	entries map[string]*entry
	order   []string // keys in file order
}

type entry struct {
	line   int
	value  string
	failed bool
}

func newSection(doc *Document, header string, line int) *Section {
	return &Section{Header: header, Line: line, doc: doc, entries: make(map[string]*entry)}
}

// Has reports whether the file sets the key.
func (s *Section) Has(key string) bool { return s.entries[key] != nil }

// HasValid reports whether the file sets the key to a value that was decoded.
// Checks across keys use it to report each mistake once.
func (s *Section) HasValid(key string) bool {
	entry := s.entries[key]
	return entry != nil && !entry.failed
}

// HasInvalid reports whether the file sets the key to a value that could not be
// decoded, so that the target has its default instead.
func (s *Section) HasInvalid(key string) bool {
	entry := s.entries[key]
	return entry != nil && entry.failed
}

// Keys returns the keys that start with a prefix, in file order.
func (s *Section) Keys(prefix string) []string {
	var keys []string
	for _, key := range s.order {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Report records an issue of a key, or of the section when key is empty.
func (s *Section) Report(key, problem, remedy string) {
	s.reportAt(s.lineOf(key), key, problem, remedy)
}

func (s *Section) reportAt(line int, key, problem, remedy string) {
	s.doc.report.Add(Issue{File: s.doc.File, Line: line, Section: s.Header, Key: key, Problem: problem, Remedy: remedy})
}

func (s *Section) lineOf(key string) int {
	if entry := s.entries[key]; entry != nil {
		return entry.line
	}
	return s.Line
}

// Location names the line of a key for the text of another issue.
func (s *Section) Location(key string) string {
	return fmt.Sprintf("%s:%d", s.doc.File, s.lineOf(key))
}

// Decode sets the targets of all fields, to their defaults where the section
// has no such key, and reports keys that no field has.
func (s *Section) Decode(fields ...Field) {
	known := make([]string, 0, len(fields))
	for _, field := range fields {
		known = append(known, field.Key)
		s.decodeField(field)
	}
	s.checkUnknown(known)
}

func (s *Section) decodeField(field Field) {
	entry := s.entries[field.Key]
	if entry == nil {
		field.reset()
		if field.Required {
			s.Report(field.Key, "the key is missing", fmt.Sprintf("add a line %s = %s", field.Key, field.Syntax))
		}
		return
	}
	if entry.value == "" {
		field.reset()
		s.fail(field.Key, &Problem{"the value is empty", "write " + field.Syntax + ", or remove the line"})
		return
	}
	if problem := field.parse(entry.value); problem != nil {
		field.reset()
		s.fail(field.Key, problem)
	}
}

func (s *Section) fail(key string, problem *Problem) {
	s.entries[key].failed = true
	s.Report(key, problem.Description, problem.Remedy)
}

func (s *Section) checkUnknown(known []string) {
	set := make(map[string]bool, len(known))
	for _, key := range known {
		set[key] = true
	}
	for _, key := range s.order {
		if set[key] {
			continue
		}
		remedy := "remove it"
		if best := NearestName(key, known); best != "" {
			remedy = fmt.Sprintf("the nearest known key is %q", best)
		}
		s.Report(key, "unknown key", remedy)
	}
}

func decimal(n int) string { return strconv.Itoa(n) }
