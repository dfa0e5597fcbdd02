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

// lineIndex finds the line of each section and key, which ini.v1 does not
// tell, and collects the lines that ini.v1 can read. Lines with mistakes are
// reported and left out, because ini.v1 stops at the first one.
type lineIndex struct {
	doc      *Document
	sections []*Section
	byHeader map[string]*Section
	current  *Section
	clean    strings.Builder
}

func indexLines(doc *Document, text []byte) *lineIndex {
	x := &lineIndex{doc: doc, byHeader: make(map[string]*Section)}
	for i, line := range strings.Split(strings.TrimLeft(string(text), byteOrderMark), "\n") {
		x.add(i+1, strings.TrimSpace(line))
	}
	return x
}

func (x *lineIndex) add(number int, line string) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case !utf8.ValidString(line) || strings.ContainsFunc(line, isControl):
		x.report(number, "", "the line holds a control character or is not UTF-8", "save the file as plain UTF-8 text")
	case line[0] == '[':
		x.addHeader(number, line)
	default:
		x.addKey(number, line)
	}
}

func isControl(r rune) bool { return r != '\t' && unicode.IsControl(r) }

func (x *lineIndex) addHeader(number int, line string) {
	match := headerPattern.FindStringSubmatch(line)
	header := ""
	if match != nil {
		header = strings.Join(strings.Fields(match[1]), " ")
	}
	if header == "" {
		// The keys below belong to a section that cannot be named, so they are
		// collected apart rather than added to the section before.
		x.current = newSection(x.doc, "", number)
		x.report(number, "", "not a section header", "write [name] on a line of its own")
		return
	}
	x.clean.WriteString("[" + header + "]\n")
	if first := x.byHeader[header]; first != nil {
		x.current = first
		first.reportAt(number, "", "the section appears twice", "merge it with the one on line "+decimal(first.Line))
		return
	}
	x.current = newSection(x.doc, header, number)
	x.byHeader[header] = x.current
	x.sections = append(x.sections, x.current)
}

func (x *lineIndex) addKey(number int, line string) {
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !found:
		x.report(number, "", "neither a section header nor key = value", "write key = value, or start a comment with #")
	case !keyPattern.MatchString(key):
		x.report(number, key, "not the name of a key", "start with a letter and go on with letters, digits, '_', '.' and '-'")
	case x.current == nil:
		x.report(number, key, "the key stands before the first section", "move it below the [section] it belongs to")
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		x.report(number, key, "the value is quoted with ` or \"\"\"", "write it on one line, plain or in \"double quotes\"")
	case x.current.Header == "":
	case x.current.entries[key] != nil:
		first := x.current.entries[key].line
		x.report(number, key, "the key appears twice in its section", "keep one of it and of line "+decimal(first))
	default:
		x.current.entries[key] = &entry{line: number}
		x.current.order = append(x.current.order, key)
		x.clean.WriteString(key + " = " + value + "\n")
	}
}

func (x *lineIndex) report(number int, key, problem, remedy string) {
	if x.current != nil {
		x.current.reportAt(number, key, problem, remedy)
		return
	}
	x.doc.report.Add(Issue{File: x.doc.File, Line: number, Key: key, Problem: problem, Remedy: remedy})
}
