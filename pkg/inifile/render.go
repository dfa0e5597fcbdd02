package inifile

import "strings"

// Render writes a section with the fields that differ from their default.
func Render(header string, fields []Field) string {
	var b strings.Builder
	b.WriteString("[" + header + "]\n")
	for _, field := range fields {
		if field.IsDefault() {
			continue
		}
		b.WriteString(field.Key + " = " + Quote(field.Text()) + "\n")
	}
	return b.String()
}

// Quote returns a value as it must be written: in quotes when it would
// otherwise lose a part to a comment or to the removal of quotes.
func Quote(value string) string {
	if !strings.ContainsAny(value, "#;'\"") {
		return value
	}
	if strings.Contains(value, `"`) {
		return "'" + value + "'"
	}
	return `"` + value + `"`
}
