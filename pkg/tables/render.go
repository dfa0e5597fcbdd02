package tables

import (
	"slices"
	"strings"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

// part is one section of a table with its fields.
type part struct {
	header string
	fields []inifile.Field
}

// Render returns the canonical text of both tables: without comments and
// defaults, pools and organisations by name, keys in a fixed order. Routes keep
// their order, because it decides between routes that match equally well.
func Render(t *Tables) Source {
	return Source{Routes: renderParts(routeParts(t)), Pools: renderParts(poolParts(t))}
}

func renderParts(parts []part) []byte {
	texts := make([]string, 0, len(parts))
	for _, p := range parts {
		texts = append(texts, inifile.Render(p.header, p.fields))
	}
	return []byte(strings.Join(texts, "\n"))
}

func routeParts(t *Tables) []part {
	parts := make([]part, 0, len(t.Routes))
	for _, route := range t.Routes {
		parts = append(parts, part{kindRoute.Keyword + " " + route.Name, routeFields(&route)})
	}
	return parts
}

func poolParts(t *Tables) []part {
	settings := t.Quota
	var parts []part
	for _, field := range settingsFields(&settings) {
		if !field.IsDefault() {
			parts = append(parts, part{kindQuota.Keyword, []inifile.Field{field}})
		}
	}
	pools := slices.SortedFunc(slices.Values(t.Pools), func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	for _, pool := range pools {
		parts = append(parts, part{kindPool.Keyword + " " + pool.Name, poolFields(&pool)})
	}
	organisations := slices.SortedFunc(slices.Values(t.Organisations), func(a, b Organisation) int { return strings.Compare(a.Name, b.Name) })
	for _, org := range organisations {
		org.Keys = slices.SortedFunc(slices.Values(org.Keys), func(a, b APIKey) int { return strings.Compare(a.Name, b.Name) })
		parts = append(parts, part{kindOrganisation.Keyword + " " + org.Name, organisationFields(&org)})
	}
	return parts
}
