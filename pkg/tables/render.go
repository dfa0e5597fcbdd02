package tables

import (
	"slices"
	"strings"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

// tableSection is one section of a table with its fields.
type tableSection struct {
	header string
	fields []inifile.Field
}

// Render returns both tables in canonical form: without comments and defaults,
// pools and organisations sorted by name, and keys in a fixed order. Routes keep
// their order, because it decides between routes that match equally well.
func Render(t *Tables) Source {
	return Source{Routes: renderSections(routesTableSections(t)), Pools: renderSections(poolsTableSections(t))}
}

func renderSections(sections []tableSection) []byte {
	texts := make([]string, 0, len(sections))
	for _, s := range sections {
		texts = append(texts, inifile.Render(s.header, s.fields))
	}
	return []byte(strings.Join(texts, "\n"))
}

func routesTableSections(t *Tables) []tableSection {
	sections := make([]tableSection, 0, len(t.Routes))
	for _, route := range t.Routes {
		sections = append(sections, tableSection{kindRoute.Keyword + " " + route.Name, routeFields(&route)})
	}
	return sections
}

// poolsTableSections returns the sections of the pools table. The first is
// [quota], unless it has only defaults.
func poolsTableSections(t *Tables) []tableSection {
	quota := t.Quota
	var sections []tableSection
	for _, field := range quotaFields(&quota) {
		if !field.IsDefault() {
			sections = append(sections, tableSection{kindQuota.Keyword, []inifile.Field{field}})
		}
	}
	pools := slices.SortedFunc(slices.Values(t.Pools), func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	for _, pool := range pools {
		sections = append(sections, tableSection{kindPool.Keyword + " " + pool.Name, poolFields(&pool)})
	}
	organisations := slices.SortedFunc(slices.Values(t.Organisations), func(a, b Organisation) int { return strings.Compare(a.Name, b.Name) })
	for _, org := range organisations {
		org.Keys = slices.SortedFunc(slices.Values(org.Keys), func(a, b APIKey) int { return strings.Compare(a.Name, b.Name) })
		sections = append(sections, tableSection{kindOrganisation.Keyword + " " + org.Name, organisationFields(&org)})
	}
	return sections
}
