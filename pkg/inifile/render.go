package inifile

import "strings"

// Render returns the text of a section with the fields that differ from their
// defaults.
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

// Quote returns value as it must be written in a file. Values with a comment
// character or a quote are quoted, because parsing would otherwise drop parts.
func Quote(value string) string {
	if !strings.ContainsAny(value, "#;'\"") {
		return value
	}
	if strings.Contains(value, `"`) {
		return "'" + value + "'"
	}
	return `"` + value + `"`
}
