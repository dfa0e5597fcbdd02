package inifile

import (
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"
)

var (
	headerPattern = regexp.MustCompile(`^\[([^\[\]]*)\]\s*([#;].*)?$`)
	keyPattern    = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_.-]*$`)
)

const byteOrderMark = "\ufeff"

// lineScanner records the line number of each section and key, which ini.v1
// does not provide, and collects the valid lines for ini.v1. Lines with syntax
// errors are reported and skipped, because ini.v1 stops at the first error.
type lineScanner struct {
	doc        *Document
	sections   []*Section
	byHeader   map[string]*Section
	current    *Section
	validLines strings.Builder
}

func scanLines(doc *Document, text []byte) *lineScanner {
	s := &lineScanner{doc: doc, byHeader: make(map[string]*Section)}
	for i, line := range strings.Split(strings.TrimLeft(string(text), byteOrderMark), "\n") {
		s.addLine(i+1, strings.TrimSpace(line))
	}
	return s
}

func (s *lineScanner) addLine(number int, line string) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case !utf8.ValidString(line) || strings.ContainsFunc(line, isControl):
		s.report(number, "", "the line holds a control character or is not UTF-8", "save the file as plain UTF-8 text")
	case line[0] == '[':
		s.addHeader(number, line)
	default:
		s.addKey(number, line)
	}
}

func isControl(r rune) bool { return r != '\t' && unicode.IsControl(r) }

func (s *lineScanner) addHeader(number int, line string) {
	match := headerPattern.FindStringSubmatch(line)
	header := ""
	if match != nil {
		header = strings.Join(strings.Fields(match[1]), " ")
	}
	if header == "" {
		// The keys that follow belong to no known section. A section without a
		// header collects them, so that they are not added to the previous one.
		s.current = newSection(s.doc, "", number)
		s.report(number, "", "not a section header", "write [name] on a line of its own")
		return
	}
	s.validLines.WriteString("[" + header + "]\n")
	if first := s.byHeader[header]; first != nil {
		s.current = first
		first.reportAt(number, "", "the section appears twice", "merge it with the one on line "+formatInt(first.Line))
		return
	}
	s.current = newSection(s.doc, header, number)
	s.byHeader[header] = s.current
	s.sections = append(s.sections, s.current)
}

func (s *lineScanner) addKey(number int, line string) {
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !found:
		s.report(number, "", "neither a section header nor key = value", "write key = value, or start a comment with #")
	case !keyPattern.MatchString(key):
		s.report(number, key, "not a valid key name", "use letters, digits, '_', '.' and '-', starting with a letter")
	case s.current == nil:
		s.report(number, key, "the key is before the first section", "move it below the [section] it belongs to")
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		s.report(number, key, "the value is quoted with ` or \"\"\"", "write it on one line, plain or in \"double quotes\"")
	case s.current.Header == "":
	case s.current.entries[key] != nil:
		first := s.current.entries[key].line
		s.report(number, key, "the key appears twice in its section", "remove it here or on line "+formatInt(first))
	default:
		s.current.entries[key] = &entry{line: number}
		s.current.keyOrder = append(s.current.keyOrder, key)
		s.validLines.WriteString(key + " = " + value + "\n")
	}
}

func (s *lineScanner) report(number int, key, problem, remedy string) {
	if s.current != nil {
		s.current.reportAt(number, key, problem, remedy)
		return
	}
	s.doc.report.Add(Issue{File: s.doc.File, Line: number, Key: key, Problem: problem, Remedy: remedy})
}
