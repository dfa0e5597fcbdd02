package tables

import (
	"fmt"
	"slices"
	"strings"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

// Change is the difference of one key between two tables. An empty value means
// that the side does not have the key.
type Change struct {
	Section string
	Key     string // empty when a section was added, removed or moved
	Old     string
	New     string
}

// Values of Change when a whole section differs.
const (
	sectionPresent = "present"
	sectionMoved   = "position %d"
)

// Diff returns the changes from old to new, by section in the order of new and
// then of old. Values are compared in canonical form, so that comments, spacing
// and defaults that are written out make no difference.
func Diff(old, new *Tables) []Change {
	changes := diffOrder(old.Routes, new.Routes)
	oldParts, newParts := diffParts(old), diffParts(new)
	for _, p := range newParts {
		i := slices.IndexFunc(oldParts, func(q part) bool { return q.header == p.header })
		if i < 0 {
			changes = append(changes, Change{Section: p.header, New: sectionPresent})
			changes = append(changes, diffFields(p.header, nil, visibleValues(p.fields))...)
			continue
		}
		changes = append(changes, diffFields(p.header, allValues(oldParts[i].fields), allValues(p.fields))...)
	}
	for _, p := range oldParts {
		if !slices.ContainsFunc(newParts, func(q part) bool { return q.header == p.header }) {
			changes = append(changes, Change{Section: p.header, Old: sectionPresent})
		}
	}
	return changes
}

// diffParts always includes the quota settings, so that a change from or to
// their default shows as a change of a key rather than of a section.
func diffParts(t *Tables) []part {
	parts := routeParts(t)
	pools := poolParts(t)
	if len(pools) == 0 || pools[0].header != kindQuota.Keyword {
		settings := t.Quota
		parts = append(parts, part{kindQuota.Keyword, settingsFields(&settings)})
	}
	return append(parts, pools...)
}

// diffOrder reports routes whose order among the common ones changed.
func diffOrder(old, new []Route) []Change {
	oldOrder, newOrder := commonOrder(old, new), commonOrder(new, old)
	var changes []Change
	for i, name := range newOrder {
		if oldOrder[i] == name {
			continue
		}
		was := slices.Index(oldOrder, name)
		changes = append(changes, Change{Section: kindRoute.Keyword + " " + name, Old: fmt.Sprintf(sectionMoved, was+1), New: fmt.Sprintf(sectionMoved, i+1)})
	}
	return changes
}

// commonOrder returns the names of the routes that are in both tables.
func commonOrder(routes, others []Route) []string {
	var names []string
	for _, route := range routes {
		if slices.ContainsFunc(others, func(r Route) bool { return r.Name == route.Name }) {
			names = append(names, route.Name)
		}
	}
	return names
}

type value struct{ key, text string }

func allValues(fields []inifile.Field) []value {
	values := make([]value, 0, len(fields))
	for _, field := range fields {
		values = append(values, value{field.Key, field.Text()})
	}
	return values
}

func visibleValues(fields []inifile.Field) []value {
	return allValues(slices.DeleteFunc(slices.Clone(fields), inifile.Field.IsDefault))
}

func diffFields(section string, old, new []value) []Change {
	var changes []Change
	for _, v := range new {
		before := textOf(old, v.key)
		if before != v.text {
			changes = append(changes, Change{Section: section, Key: v.key, Old: before, New: v.text})
		}
	}
	for _, v := range old {
		if v.text != "" && !slices.ContainsFunc(new, func(w value) bool { return w.key == v.key }) {
			changes = append(changes, Change{Section: section, Key: v.key, Old: v.text})
		}
	}
	return changes
}

func textOf(values []value, key string) string {
	for _, v := range values {
		if v.key == key {
			return v.text
		}
	}
	return ""
}

// FormatDiff writes changes for people, one line each below its section. It is
// empty when there are none.
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
