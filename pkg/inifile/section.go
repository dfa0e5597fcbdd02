package inifile

import (
	"fmt"
	"strconv"
	"strings"
)

// Section is one section of a document.
type Section struct {
	Header   string // without brackets
	Name     string // the header without its keyword
	Line     int    // line of the header; 0 if the file has no such section
	doc      *Document
	keyword  string
	entries  map[string]*entry
	keyOrder []string // keys in file order
}

type entry struct {
	line    int
	value   string
	invalid bool
}

func newSection(doc *Document, header string, line int) *Section {
	return &Section{Header: header, Line: line, doc: doc, entries: make(map[string]*entry)}
}

// Has reports whether the file sets key.
func (s *Section) Has(key string) bool { return s.entries[key] != nil }

// HasValid reports whether the file sets key and Decode accepted the value.
// Checks that compare keys use it, so that an invalid value gets one issue only.
func (s *Section) HasValid(key string) bool {
	entry := s.entries[key]
	return entry != nil && !entry.invalid
}

// HasInvalid reports whether the file sets key and Decode rejected the value.
// The variable of the field then has its default.
func (s *Section) HasInvalid(key string) bool {
	entry := s.entries[key]
	return entry != nil && entry.invalid
}

// Keys returns the keys that start with prefix, in file order.
func (s *Section) Keys(prefix string) []string {
	var keys []string
	for _, key := range s.keyOrder {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Report adds an issue about key, or about the section if key is empty.
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

// Location returns "file:line" of key, or of the section header if key is empty
// or not set. Issues use it to refer to another line.
func (s *Section) Location(key string) string {
	return fmt.Sprintf("%s:%d", s.doc.File, s.lineOf(key))
}

// Decode sets the variables of all fields. A field whose key is missing or has
// an invalid value gets its default. Missing required keys, invalid values and
// keys without a field are reported.
func (s *Section) Decode(fields ...Field) {
	known := make([]string, 0, len(fields))
	for _, field := range fields {
		known = append(known, field.Key)
		s.decodeField(field)
	}
	s.reportUnknownKeys(known)
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
		s.reportInvalid(field.Key, &Problem{"the value is empty", "write " + field.Syntax + ", or remove the line"})
		return
	}
	if problem := field.parse(entry.value); problem != nil {
		field.reset()
		s.reportInvalid(field.Key, problem)
	}
}

func (s *Section) reportInvalid(key string, problem *Problem) {
	s.entries[key].invalid = true
	s.Report(key, problem.Description, problem.Remedy)
}

func (s *Section) reportUnknownKeys(known []string) {
	set := make(map[string]bool, len(known))
	for _, key := range known {
		set[key] = true
	}
	for _, key := range s.keyOrder {
		if set[key] {
			continue
		}
		remedy := "remove it"
		if nearest := NearestName(key, known); nearest != "" {
			remedy = fmt.Sprintf("the nearest known key is %q", nearest)
		}
		s.Report(key, "unknown key", remedy)
	}
}

func formatInt(n int) string { return strconv.Itoa(n) }
