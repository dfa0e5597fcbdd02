package tables

import (
	"fmt"
	"slices"
	"strings"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

// Change is a difference between two versions of the tables: a key with another
// value, or a section that was added, removed or moved.
type Change struct {
	Section string // header without brackets
	Key     string // empty if the whole section was added, removed or moved
	Old     string // empty if the old version lacks the key or section
	New     string // empty if the new version lacks the key or section
}

// Values of Change.Old and Change.New for a whole section.
const (
	sectionPresent        = "present"
	sectionPositionFormat = "position %d" // from 1, among the routes in both versions
)

// Diff returns the changes from old to new: moved routes, then the sections of
// new in order, then removed sections. Values are compared in canonical form, so
// comments, spacing and explicitly written defaults are no changes.
func Diff(old, new *Tables) []Change {
	changes := diffRouteOrder(old.Routes, new.Routes)
	oldSections, newSections := sectionsToCompare(old), sectionsToCompare(new)
	for _, s := range newSections {
		i := slices.IndexFunc(oldSections, func(o tableSection) bool { return o.header == s.header })
		if i < 0 {
			changes = append(changes, Change{Section: s.header, New: sectionPresent})
			changes = append(changes, diffValues(s.header, nil, nonDefaultValues(s.fields))...)
			continue
		}
		changes = append(changes, diffValues(s.header, allValues(oldSections[i].fields), allValues(s.fields))...)
	}
	for _, s := range oldSections {
		if !slices.ContainsFunc(newSections, func(n tableSection) bool { return n.header == s.header }) {
			changes = append(changes, Change{Section: s.header, Old: sectionPresent})
		}
	}
	return changes
}

// sectionsToCompare returns the sections of both tables. The [quota] section is
// always included, so that a change from or to its default shows as a changed
// key rather than as an added or removed section.
func sectionsToCompare(t *Tables) []tableSection {
	sections := routesTableSections(t)
	poolsTable := poolsTableSections(t)
	if len(poolsTable) == 0 || poolsTable[0].header != kindQuota.Keyword {
		quota := t.Quota
		sections = append(sections, tableSection{kindQuota.Keyword, quotaFields(&quota)})
	}
	return append(sections, poolsTable...)
}

// diffRouteOrder returns a change for each route whose position differs among
// the routes that are in both versions.
func diffRouteOrder(old, new []Route) []Change {
	oldNames, newNames := commonRouteNames(old, new), commonRouteNames(new, old)
	var changes []Change
	for i, name := range newNames {
		if oldNames[i] == name {
			continue
		}
		oldIndex := slices.Index(oldNames, name)
		changes = append(changes, Change{Section: kindRoute.Keyword + " " + name, Old: fmt.Sprintf(sectionPositionFormat, oldIndex+1), New: fmt.Sprintf(sectionPositionFormat, i+1)})
	}
	return changes
}

// commonRouteNames returns the names of the routes that others contains too, in
// the order of routes.
func commonRouteNames(routes, others []Route) []string {
	var names []string
	for _, route := range routes {
		if slices.ContainsFunc(others, func(r Route) bool { return r.Name == route.Name }) {
			names = append(names, route.Name)
		}
	}
	return names
}

// keyValue is a key with its value in canonical form.
type keyValue struct{ key, text string }

func allValues(fields []inifile.Field) []keyValue {
	values := make([]keyValue, 0, len(fields))
	for _, field := range fields {
		values = append(values, keyValue{field.Key, field.Text()})
	}
	return values
}

func nonDefaultValues(fields []inifile.Field) []keyValue {
	return allValues(slices.DeleteFunc(slices.Clone(fields), inifile.Field.IsDefault))
}

func diffValues(section string, old, new []keyValue) []Change {
	var changes []Change
	for _, v := range new {
		oldText := findText(old, v.key)
		if oldText != v.text {
			changes = append(changes, Change{Section: section, Key: v.key, Old: oldText, New: v.text})
		}
	}
	for _, v := range old {
		if v.text != "" && !slices.ContainsFunc(new, func(n keyValue) bool { return n.key == v.key }) {
			changes = append(changes, Change{Section: section, Key: v.key, Old: v.text})
		}
	}
	return changes
}

// findText returns the text of key in values, or an empty string.
func findText(values []keyValue, key string) string {
	for _, v := range values {
		if v.key == key {
			return v.text
		}
	}
	return ""
}

// FormatDiff returns a readable text with one line per change below the header
// of its section. It returns an empty string if there are no changes.
func FormatDiff(changes []Change) string {
	var b strings.Builder
	section := ""
	for _, c := range changes {
		switch {
		case c.Key == "" && c.Old == "":
			fmt.Fprintf(&b, "+ [%s]\n", c.Section)
		case c.Key == "" && c.New == "":
			fmt.Fprintf(&b, "- [%s]\n", c.Section)
		case c.Section != section:
			fmt.Fprintf(&b, "  [%s]\n", c.Section)
		}
		section = c.Section
		writeChange(&b, c)
	}
	return b.String()
}

func writeChange(b *strings.Builder, c Change) {
	switch {
	case c.Key == "" && c.Old != "" && c.New != "":
		fmt.Fprintf(b, "~   moved from %s to %s\n", c.Old, c.New)
	case c.Key == "":
	case c.Old == "":
		fmt.Fprintf(b, "+   %s = %s\n", c.Key, c.New)
	case c.New == "":
		fmt.Fprintf(b, "-   %s = %s\n", c.Key, c.Old)
	default:
		fmt.Fprintf(b, "~   %s = %s -> %s\n", c.Key, c.Old, c.New)
	}
}
