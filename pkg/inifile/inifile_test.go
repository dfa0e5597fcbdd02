package inifile

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type testItem struct {
	name  string
	wait  time.Duration
	size  int64
	count int
	share float64
	on    bool
	mode  string
	list  []string
}

func (s *testItem) fields() []Field {
	return []Field{
		Text("name", &s.name, Rule{Required: true, Syntax: "a word"}),
		Duration("wait", &s.wait, Range[time.Duration]{Default: time.Minute, Min: time.Second, Max: time.Hour}),
		Size("size", &s.size, Range[int64]{Default: 1 << 20, Max: 1 << 30}),
		Int("count", &s.count, Range[int]{Default: 3, Min: 1, Max: 9}),
		Float("share", &s.share, Range[float64]{Default: 0.5, Max: 1}),
		Bool("on", &s.on, true),
		Enum("mode", &s.mode, "slow", "fast"),
		List("list", &s.list, Rule{Syntax: "words"}),
	}
}

// decode decodes all [item NAME] sections of text and returns the last.
func decode(text string) (testItem, error) {
	var report Report
	var s testItem
	doc := Parse("f.ini", []byte(text), &report, SectionKind{Keyword: "item", HasName: true}, SectionKind{Keyword: "only"})
	for _, section := range doc.Sections("item") {
		s = testItem{}
		section.Decode(s.fields()...)
	}
	return s, report.Err()
}

// Every mistake must be reported with its own line. If parsing stops at the
// first one, or a line is miscounted, the operator mends a file in many rounds
// or looks for a mistake in the wrong place.
func TestParseReportsEveryMistake(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown key", "[item a]\nname=x\nwayt = 5s", `f.ini:3: [item a] wayt: unknown key; the nearest known key is "wait"`},
		{"unknown section", "[itme a]", "f.ini:1: [itme a] unknown section; the nearest known section is [item NAME]"},
		{"name missing", "[item]", "f.ini:1: [item] unknown section; the nearest known section is [item NAME]"},
		{"name not allowed", "[only x]", "f.ini:1: [only x] unknown section; the nearest known section is [only]"},
		{"section twice", "[item a]\nname=x\n\n[item  a]", "f.ini:4: [item a] the section appears twice; merge it with the one on line 1"},
		{"key twice", "[item a]\nname=x\n#\nname=y", "f.ini:4: [item a] name: the key appears twice in its section; remove it here or on line 2"},
		{"required key", "\n[item a]", "f.ini:2: [item a] name: the key is missing; add a line name = a word"},
		{"empty value", "[item a]\nname=x\nmode =", "f.ini:3: [item a] mode: the value is empty; write slow or fast, or remove the line"},
		{"duration without unit", "[item a]\nname=x\nwait=0", `f.ini:3: [item a] wait: "0" is not a duration`},
		{"out of range", "[item a]\nname=x\nwait=2d", "f.ini:3: [item a] wait: 2d is out of range; write a duration with a unit (ms, s, m, h, d) from 1s to 1h"},
		{"size without unit", "[item a]\nname=x\nsize=5", `f.ini:3: [item a] size: "5" is not a size`},
		{"size overflow", "[item a]\nname=x\nsize=9999999999999GiB", `"9999999999999GiB" is not a size`},
		{"not a number", "[item a]\nname=x\ncount=1.5", `f.ini:3: [item a] count: "1.5" is not a whole number; write a whole number from 1 to 9`},
		{"NaN", "[item a]\nname=x\nshare=NaN", `f.ini:3: [item a] share: "NaN" is not a number`},
		{"not a boolean", "[item a]\nname=x\non=yes", `f.ini:3: [item a] on: "yes" is not true or false`},
		{"unknown enum value", "[item a]\nname=x\nmode=fats", `f.ini:3: [item a] mode: "fats" is not a known value; write slow or fast; the nearest is "fast"`},
		{"list item empty", "[item a]\nname=x\nlist=a,,b", "f.ini:3: [item a] list: the list has an empty item"},
		{"list item twice", "[item a]\nname=x\nlist=a, b, a", `f.ini:3: [item a] list: the list has "a" twice`},
		{"no delimiter", "[item a]\nname=x\nrubbish", "f.ini:3: [item a] neither a section header nor key = value"},
		{"unclosed header", "[item a\nname=x", "f.ini:1: not a section header; write [name] on a line of its own"},
		{"invalid key name", "[item a]\nname=x\n\"a\"=b", `f.ini:3: [item a] "a": not a valid key name`},
		{"key before section", "name=x", "f.ini:1: name: the key is before the first section"},
		{"value over several lines", "[item a]\nname=\"\"\"x\n", "f.ini:2: [item a] name: the value is quoted"},
		{"control character", "[item a]\nname=x\x00", "f.ini:2: [item a] the line holds a control character"},
	}
	var sections []string
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := decode(tt.text)
			assert.ErrorContains(t, err, tt.want)
		})
		sections = append(sections, "\n["+"item n"+formatInt(len(sections))+"]"+strings.TrimPrefix(tt.text, "[item a]"))
	}
	// All mistakes in one file must still be reported one by one.
	_, err := decode(strings.Join(sections, "\n"))
	var iniError *Error
	assert.Assert(t, errors.As(err, &iniError))
	assert.Assert(t, len(iniError.Issues) >= len(tests), "%d issues for %d mistakes:\n%v", len(iniError.Issues), len(tests), err)
}

// Comments, quotes, line ends and missing keys must be decoded correctly, or a
// process runs with settings other than those in its file.
func TestDecodeAndRenderValues(t *testing.T) {
	s, err := decode("\ufeff# comment\r\n[item a] ; comment\r\nname = \"x # y\" # z\r\nwait = 90s\r\nlist = a, b\r\n")
	assert.NilError(t, err)
	want := testItem{"x # y", 90 * time.Second, 1 << 20, 3, 0.5, true, "slow", []string{"a", "b"}}
	assert.Equal(t, fmt.Sprintf("%+v", s), fmt.Sprintf("%+v", want))
	assert.Equal(t, Render("item a", s.fields()), "[item a]\nname = \"x # y\"\nwait = 1m30s\nlist = a, b\n")
}

// A value must not change when it is formatted and parsed again, or a rendered
// table has another meaning than its source.
func TestUnitsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(0, math.MaxInt64).Draw(t, "duration"))
		if rapid.Bool().Draw(t, "whole minutes") {
			d = d.Truncate(time.Minute)
		}
		parsed, err := ParseDuration(FormatDuration(d))
		assert.NilError(t, err)
		assert.Equal(t, parsed, d)
		size := rapid.Int64Range(0, math.MaxInt64).Draw(t, "size")
		parsedSize, err := ParseSize(FormatSize(size))
		assert.NilError(t, err)
		assert.Equal(t, parsedSize, size)
	})
	assert.Equal(t, FormatDuration(30*day), "30d")
	assert.Equal(t, FormatDuration(90*time.Minute), "1h30m")
	assert.Equal(t, FormatDuration(10*time.Minute), "10m")
}
