package inifile

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Document is a parsed INI file. Its values are still text; Section.Decode
// converts them, one section at a time.
type Document struct {
	File     string // file name that issues show
	report   *Report
	sections []*Section
}

// SectionKind is a kind of section that a file may contain: [keyword] or, if
// HasName is set, [keyword NAME].
type SectionKind struct {
	Keyword string
	HasName bool
}

func (k SectionKind) header() string {
	if k.HasName {
		return k.Keyword + " NAME"
	}
	return k.Keyword
}

// Parse parses text and adds syntax errors and sections of unknown kinds to
// report. The returned document holds everything that could be parsed. The file
// name is used in issues only.
func Parse(file string, text []byte, report *Report, kinds ...SectionKind) *Document {
	d := &Document{File: file, report: report}
	scanner := scanLines(d, text)
	d.sections = scanner.sections
	d.loadValues(scanner.validLines.String())
	d.assignKinds(kinds)
	return d
}

// loadOptions disable line continuation and every other syntax that gives a
// value more than one line, so that each issue has exactly one line.
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

func (d *Document) loadValues(validLines string) {
	file, err := ini.LoadSources(loadOptions, []byte(validLines))
	if err != nil {
		d.report.Add(Issue{File: d.File, Problem: err.Error(), Remedy: "write sections as [name] and values as key = value"})
		return
	}
	for _, section := range d.sections {
		for key, entry := range section.entries {
			// Value, unlike String, does not substitute %(name)s.
			entry.value = file.Section(section.Header).Key(key).Value()
		}
	}
}

// assignKinds sets the keyword and name of every section, and reports sections
// whose header matches none of kinds.
func (d *Document) assignKinds(kinds []SectionKind) {
	for _, section := range d.sections {
		keyword, name, hasName := strings.Cut(section.Header, " ")
		section.Name = strings.TrimSpace(name)
		if kind, ok := findKind(kinds, keyword); ok && kind.HasName == hasName {
			section.keyword = keyword
			continue
		}
		section.Report("", "unknown section", unknownSectionRemedy(keyword, kinds))
	}
}

func findKind(kinds []SectionKind, keyword string) (SectionKind, bool) {
	for _, kind := range kinds {
		if kind.Keyword == keyword {
			return kind, true
		}
	}
	return SectionKind{}, false
}

func unknownSectionRemedy(keyword string, kinds []SectionKind) string {
	headers := make(map[string]string, len(kinds))
	var keywords []string
	for _, kind := range kinds {
		headers[kind.Keyword] = "[" + kind.header() + "]"
		keywords = append(keywords, kind.Keyword)
	}
	nearest := NearestName(keyword, keywords)
	if nearest == "" {
		return "remove it"
	}
	return fmt.Sprintf("the nearest known section is %s", headers[nearest])
}

// Sections returns the sections with a keyword in file order.
func (d *Document) Sections(keyword string) []*Section {
	var matching []*Section
	for _, section := range d.sections {
		if section.keyword == keyword {
			matching = append(matching, section)
		}
	}
	return matching
}

// Section returns the section of a kind that has no name. If the file does not
// contain it, Section returns an empty section, and decoding that reports the
// required keys as missing.
func (d *Document) Section(keyword string) *Section {
	if matching := d.Sections(keyword); len(matching) > 0 {
		return matching[0]
	}
	return newSection(d, keyword, 0)
}
