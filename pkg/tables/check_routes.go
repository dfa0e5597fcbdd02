package tables

import (
	"fmt"
	"slices"
	"strings"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

// checkRoutes checks routes against each other and, when the pools table was
// read too, against its pools and organisations.
func (d *decoder) checkRoutes(havePools bool) {
	for i := range d.tables.Routes {
		route, section := &d.tables.Routes[i], d.routes[i]
		d.checkAccess(route, section)
		d.checkObjective(route, section)
		if havePools {
			d.checkRoutePool(route, section)
			d.checkRouteOrganisations(route, section)
		}
	}
	d.checkEqualRoutes()
}

func (d *decoder) checkNotEmpty() {
	if len(d.tables.Routes) == 0 {
		d.report.Add(inifile.Issue{File: d.routesFile, Problem: "the table has no route, so every request would be refused", Remedy: "add a section [route NAME]"})
	}
}

func (d *decoder) checkAccess(route *Route, section *inifile.Section) {
	if route.Access != AccessOpen {
		return
	}
	if section.HasValid(keyOrganisations) {
		section.Report(keyOrganisations, "the list has no effect, because access = open lets everybody in", "remove the list, or write access = keys")
	}
	// An idempotency key is scoped to the organisation of the caller, and
	// callers of an open route have none.
	if !route.Repeatable {
		section.Report(keyRepeatable, "an open route cannot be non-repeatable, because its callers have no organisation to scope their idempotency keys", "write access = keys, or repeatable = true")
	}
}

func (d *decoder) checkObjective(route *Route, section *inifile.Section) {
	if section.HasValid(keyFirstToken) && !section.HasInvalid(keyDeadline) && route.Objective.FirstToken > route.Deadline {
		section.Report(keyFirstToken, "the objective is longer than the deadline of "+inifile.FormatDuration(route.Deadline), "write a duration up to the deadline")
	}
}

func (d *decoder) checkRoutePool(route *Route, section *inifile.Section) {
	if !section.HasValid(keyPool) || d.pool(route.Pool) != nil {
		return
	}
	section.Report(keyPool, fmt.Sprintf("pool %q is not in %s", route.Pool, d.poolsFile), nearestRemedy("pool", route.Pool, d.poolNames()))
}

func (d *decoder) checkRouteOrganisations(route *Route, section *inifile.Section) {
	known := d.organisationNames()
	for _, name := range route.Organisations {
		if !slices.Contains(known, name) {
			section.Report(keyOrganisations, fmt.Sprintf("organisation %q is not in %s", name, d.poolsFile), nearestRemedy("organisation", name, known))
		}
	}
}

func nearestRemedy(what, name string, known []string) string {
	best := inifile.NearestName(name, known)
	if best == "" {
		return fmt.Sprintf("add a section [%s %s]", what, name)
	}
	return fmt.Sprintf("add a section [%s %s], or write %q, the nearest known name", what, name, best)
}

// matchKey is what two routes have in common when they match the same requests.
type matchKey struct{ host, path, model string }

// checkEqualRoutes checks groups of routes that match the same requests. One
// of them is picked at random by weight, so that they must agree on who may
// use them and on whether requests may be repeated.
func (d *decoder) checkEqualRoutes() {
	first := make(map[matchKey]int)
	total := make(map[matchKey]int)
	for i := range d.tables.Routes {
		route := &d.tables.Routes[i]
		if !d.routes[i].HasValid(keyPath) {
			continue
		}
		key := matchKey{strings.ToLower(route.Host), route.Path, route.Model}
		total[key] += route.Weight
		if j, ok := first[key]; ok {
			d.checkAgree(i, j)
			continue
		}
		first[key] = i
	}
	for i := range d.tables.Routes {
		route := &d.tables.Routes[i]
		key := matchKey{strings.ToLower(route.Host), route.Path, route.Model}
		if route.Weight == 0 && d.routes[i].HasValid(keyPath) {
			d.checkNoWeight(i, first[key], total[key])
		}
	}
}

func (d *decoder) checkNoWeight(i, first, total int) {
	const remedy = "write a weight of at least 1, or remove the route"
	if total == 0 && first == i {
		d.routes[i].Report(keyWeight, "weight 0 does not take a route out of service when no other one has weight", remedy)
		return
	}
	d.routes[i].Report(keyWeight, "the route never matches, because other routes for the same host, path and model take all requests", remedy)
}

func (d *decoder) checkAgree(i, j int) {
	a, b := &d.tables.Routes[i], &d.tables.Routes[j]
	section, place := d.routes[i], d.routes[j].Location("")
	const remedy = "write the same value for both, or change host, path or model"
	report := func(key string) {
		section.Report(key, fmt.Sprintf("the value differs from route %s at %s, which matches the same requests", b.Name, place), remedy)
	}
	if a.Repeatable != b.Repeatable {
		report(keyRepeatable)
	}
	if a.Access != b.Access {
		report(keyAccess)
	}
	if !sameSet(a.Organisations, b.Organisations) {
		report(keyOrganisations)
	}
}

func sameSet(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}
