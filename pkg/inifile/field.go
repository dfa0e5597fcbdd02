package inifile

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Field binds a key to the variable that holds its value. Decoding and
// rendering use the same fields.
type Field struct {
	Key      string
	Required bool
	Syntax   string // what a value looks like, for remedies

	parse    func(text string) *Problem // sets the target
	format   func() string              // canonical text of the target, empty when unset
	reset    func()                     // sets the target to its default
	standard string                     // canonical text of the default, empty for none
}

// Text returns the canonical text of the field's value.
func (f Field) Text() string { return f.format() }

// Reset sets the target to its default.
func (f Field) Reset() { f.reset() }

// IsDefault reports whether the field has its default value.
func (f Field) IsDefault() bool { return f.format() == f.standard }

// Rule describes the values of a text field or of each item of a list.
type Rule struct {
	Required bool
	Syntax   string
	Check    func(text string) *Problem // nil accepts every text
}

func (r Rule) check(text string) *Problem {
	if r.Check == nil {
		return nil
	}
	return r.Check(text)
}

// Text is a field of plain text without default.
func Text(key string, target *string, rule Rule) Field {
	return Field{
		Key: key, Required: rule.Required, Syntax: rule.Syntax,
		format: func() string { return *target },
		reset:  func() { *target = "" },
		parse: func(text string) *Problem {
			*target = text
			return rule.check(text)
		},
	}
}

// Enum is a field that has one of several values, the first by default.
func Enum[T ~string](key string, target *T, values ...T) Field {
	names := make([]string, len(values))
	for i, value := range values {
		names[i] = string(value)
	}
	form := strings.Join(names, " or ")
	return Field{
		Key: key, Syntax: form, standard: names[0],
		format: func() string { return string(*target) },
		reset:  func() { *target = values[0] },
		parse: func(text string) *Problem {
			if !slices.Contains(names, text) {
				return &Problem{fmt.Sprintf("%q is not a known value", text),
					fmt.Sprintf("write %s; the nearest is %q", form, NearestName(text, names))}
			}
			*target = T(text)
			return nil
		},
	}
}

// Bool is a field that is true or false.
func Bool(key string, target *bool, standard bool) Field {
	return Field{
		Key: key, Syntax: "true or false", standard: strconv.FormatBool(standard),
		format: func() string { return strconv.FormatBool(*target) },
		reset:  func() { *target = standard },
		parse: func(text string) *Problem {
			if text != "true" && text != "false" {
				return &Problem{fmt.Sprintf("%q is not true or false", text), "write true or false"}
			}
			*target = text == "true"
			return nil
		},
	}
}

// Range describes the values of a number.
type Range[T cmp.Ordered] struct {
	Required bool
	Default  T
	Min, Max T // both included
}

// Int is a field with a whole number.
func Int(key string, target *int, r Range[int]) Field {
	return ranged(key, target, r, "a whole number", strconv.Atoi, strconv.Itoa)
}

// Float is a field with a decimal number.
func Float(key string, target *float64, r Range[float64]) Field {
	return ranged(key, target, r, "a number", parseFloat, formatFloat)
}

// Duration is a field with a duration, whose unit must be written.
func Duration(key string, target *time.Duration, r Range[time.Duration]) Field {
	return ranged(key, target, r, "a duration with a unit (ms, s, m, h, d)", ParseDuration, FormatDuration)
}

// Size is a field with a number of bytes, whose unit must be written.
func Size(key string, target *int64, r Range[int64]) Field {
	return ranged(key, target, r, "a size with a unit (B, KiB, MiB, GiB)", ParseSize, FormatSize)
}

func ranged[T cmp.Ordered](key string, target *T, r Range[T], what string, parse func(string) (T, error), format func(T) string) Field {
	form := fmt.Sprintf("%s from %s to %s", what, format(r.Min), format(r.Max))
	f := Field{
		Key: key, Required: r.Required, Syntax: form,
		format: func() string { return format(*target) },
		reset:  func() { *target = r.Default },
		parse: func(text string) *Problem {
			value, err := parse(text)
			if err != nil {
				return &Problem{fmt.Sprintf("%q is not %s", text, what), "write " + form}
			}
			// The negated form also refuses NaN.
			if !(value >= r.Min && value <= r.Max) {
				return &Problem{fmt.Sprintf("%s is out of range", text), "write " + form}
			}
			*target = value
			return nil
		},
	}
	if !r.Required {
		f.standard = format(r.Default)
	}
	return f
}

// List is a field with values separated by commas.
func List(key string, target *[]string, rule Rule) Field {
	return Field{
		Key: key, Required: rule.Required, Syntax: rule.Syntax,
		format: func() string { return strings.Join(*target, ", ") },
		reset:  func() { *target = nil },
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
			*target = items
			return nil
		},
	}
}

// SplitList splits a list at its commas. Items are not empty and not repeated.
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

// Custom is a field of a type that this package does not know.
func Custom(key string, rule Rule, parse func(text string) *Problem, format func() string, reset func()) Field {
	return Field{Key: key, Required: rule.Required, Syntax: rule.Syntax, parse: parse, format: format, reset: reset}
}
