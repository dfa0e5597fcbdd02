package inifile

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Document is a file whose syntax has been read. Its sections are decoded one
// by one.
type Document struct {
	File     string
	report   *Report
	sections []*Section
}

// SectionKind is a kind of section that a file may hold: [word] or, when Named,
// [word NAME].
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

// Parse reads the syntax of text and reports sections that are of no kind.
// Mistakes go to report; what could be read is in the document.
func Parse(file string, text []byte, report *Report, kinds ...SectionKind) *Document {
	d := &Document{File: file, report: report}
	index := indexLines(d, text)
	d.sections = index.sections
	d.loadValues(index.clean.String())
	d.checkKinds(kinds)
	return d
}

// loadOptions switch off everything that could spread a value over several
// lines or take it from another key, so that each value has exactly one line.
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

func (d *Document) loadValues(clean string) {
	file, err := ini.LoadSources(loadOptions, []byte(clean))
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

func (d *Document) checkKinds(kinds []SectionKind) {
	for _, section := range d.sections {
		word, name, named := strings.Cut(section.Header, " ")
		section.Name = strings.TrimSpace(name)
		if kind, ok := findKind(kinds, word); ok && kind.HasName == named {
			section.word = word
			continue
		}
		section.Report("", "unknown section", sectionRemedy(word, kinds))
	}
}

func findKind(kinds []SectionKind, word string) (SectionKind, bool) {
	for _, kind := range kinds {
		if kind.Keyword == word {
			return kind, true
		}
	}
	return SectionKind{}, false
}

func sectionRemedy(word string, kinds []SectionKind) string {
	headers := make(map[string]string, len(kinds))
	var words []string
	for _, kind := range kinds {
		headers[kind.Keyword] = "[" + kind.header() + "]"
		words = append(words, kind.Keyword)
	}
	best := NearestName(word, words)
	if best == "" {
		return "remove it"
	}
	return fmt.Sprintf("the nearest known section is %s", headers[best])
}

// Sections returns the sections of a kind in file order.
func (d *Document) Sections(word string) []*Section {
	var found []*Section
	for _, section := range d.sections {
		if section.word == word {
			found = append(found, section)
		}
	}
	return found
}

// Section returns the only section of a kind without names. When the file has
// none, it returns an empty section, whose required keys are then missing.
func (d *Document) Section(word string) *Section {
	if found := d.Sections(word); len(found) > 0 {
		return found[0]
	}
	return newSection(d, word, 0)
}
