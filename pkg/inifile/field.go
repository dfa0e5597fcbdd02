package inifile

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Field binds a key to a variable. Section.Decode parses the key's value into
// the variable, and Render writes the variable's value.
type Field struct {
	Key      string
	Required bool
	Syntax   string // description of a valid value, for remedies

	parse       func(text string) *Problem // sets the variable; nil if text is valid
	format      func() string              // canonical text of the variable; empty if it is unset
	reset       func()                     // sets the variable to its default
	defaultText string                     // canonical text of the default; empty if there is none
}

// Text returns the variable's value in canonical form.
func (f Field) Text() string { return f.format() }

// Reset sets the variable to its default.
func (f Field) Reset() { f.reset() }

// IsDefault reports whether the variable has its default value.
func (f Field) IsDefault() bool { return f.format() == f.defaultText }

// Rule describes the valid texts of a field or of each item of a list.
type Rule struct {
	Required bool
	Syntax   string                     // description of a valid text, for remedies
	Check    func(text string) *Problem // returns nil if text is valid; a nil Check accepts every text
}

func (r Rule) check(text string) *Problem {
	if r.Check == nil {
		return nil
	}
	return r.Check(text)
}

// Text returns a field for plain text, with the empty text as its default.
func Text(key string, variable *string, rule Rule) Field {
	return Field{
		Key: key, Required: rule.Required, Syntax: rule.Syntax,
		format: func() string { return *variable },
		reset:  func() { *variable = "" },
		parse: func(text string) *Problem {
			*variable = text
			return rule.check(text)
		},
	}
}

// Enum returns a field for one of several values. The first is the default.
func Enum[T ~string](key string, variable *T, values ...T) Field {
	names := make([]string, len(values))
	for i, value := range values {
		names[i] = string(value)
	}
	syntax := strings.Join(names, " or ")
	return Field{
		Key: key, Syntax: syntax, defaultText: names[0],
		format: func() string { return string(*variable) },
		reset:  func() { *variable = values[0] },
		parse: func(text string) *Problem {
			if !slices.Contains(names, text) {
				return &Problem{fmt.Sprintf("%q is not a known value", text),
					fmt.Sprintf("write %s; the nearest is %q", syntax, NearestName(text, names))}
			}
			*variable = T(text)
			return nil
		},
	}
}

// Bool returns a field for true or false.
func Bool(key string, variable *bool, defaultValue bool) Field {
	return Field{
		Key: key, Syntax: "true or false", defaultText: strconv.FormatBool(defaultValue),
		format: func() string { return strconv.FormatBool(*variable) },
		reset:  func() { *variable = defaultValue },
		parse: func(text string) *Problem {
			if text != "true" && text != "false" {
				return &Problem{fmt.Sprintf("%q is not true or false", text), "write true or false"}
			}
			*variable = text == "true"
			return nil
		},
	}
}

// Range describes the valid values of a number, duration or size.
type Range[T cmp.Ordered] struct {
	Required bool
	Default  T // value if the key is missing or its value is invalid
	Min, Max T // inclusive
}

// Int returns a field for a whole number.
func Int(key string, variable *int, r Range[int]) Field {
	return rangeField(key, variable, r, "a whole number", strconv.Atoi, strconv.Itoa)
}

// Float returns a field for a number in decimal notation.
func Float(key string, variable *float64, r Range[float64]) Field {
	return rangeField(key, variable, r, "a number", parseFloat, formatFloat)
}

// Duration returns a field for a duration. Its text must have a unit.
func Duration(key string, variable *time.Duration, r Range[time.Duration]) Field {
	return rangeField(key, variable, r, "a duration with a unit (ms, s, m, h, d)", ParseDuration, FormatDuration)
}

// Size returns a field for a size in bytes. Its text must have a unit.
func Size(key string, variable *int64, r Range[int64]) Field {
	return rangeField(key, variable, r, "a size with a unit (B, KiB, MiB, GiB)", ParseSize, FormatSize)
}

// rangeField returns a field for a value of r. The noun describes the value in
// issues, for example "a whole number".
func rangeField[T cmp.Ordered](key string, variable *T, r Range[T], noun string, parse func(string) (T, error), format func(T) string) Field {
	syntax := fmt.Sprintf("%s from %s to %s", noun, format(r.Min), format(r.Max))
	f := Field{
		Key: key, Required: r.Required, Syntax: syntax,
		format: func() string { return format(*variable) },
		reset:  func() { *variable = r.Default },
		parse: func(text string) *Problem {
			value, err := parse(text)
			if err != nil {
				return &Problem{fmt.Sprintf("%q is not %s", text, noun), "write " + syntax}
			}
			// The negated condition also rejects NaN.
			if !(value >= r.Min && value <= r.Max) {
				return &Problem{fmt.Sprintf("%s is out of range", text), "write " + syntax}
			}
			*variable = value
			return nil
		},
	}
	if !r.Required {
		f.defaultText = format(r.Default)
	}
	return f
}

// List returns a field for texts separated by commas. The rule's Check applies
// to each of them.
func List(key string, variable *[]string, rule Rule) Field {
	return Field{
		Key: key, Required: rule.Required, Syntax: rule.Syntax,
		format: func() string { return strings.Join(*variable, ", ") },
		reset:  func() { *variable = nil },
		parse: func(text string) *Problem {
			items, problem := SplitList(text)
			if problem != nil {
				return problem
			}
			for _, item := range items {
				if problem := rule.check(item); problem != nil {
					return problem
				}
			}
			*variable = items
			return nil
		},
	}
}

// SplitList splits text at its commas and trims the items. Empty and repeated
// items are a problem.
func SplitList(text string) ([]string, *Problem) {
	items := strings.Split(text, ",")
	seen := make(map[string]bool, len(items))
	for i, item := range items {
		item = strings.TrimSpace(item)
		if item == "" {
			return nil, &Problem{"the list has an empty item", "separate items with one comma and end without one"}
		}
		if seen[item] {
			return nil, &Problem{fmt.Sprintf("the list has %q twice", item), "remove one of them"}
		}
		seen[item] = true
		items[i] = item
	}
	return items, nil
}

// Custom returns a field for a variable of any other type, which parse sets,
// format renders and reset sets to its default.
func Custom(key string, rule Rule, parse func(text string) *Problem, format func() string, reset func()) Field {
	return Field{Key: key, Required: rule.Required, Syntax: rule.Syntax, parse: parse, format: format, reset: reset}
}
