package tables

import (
	"fmt"
	"slices"
	"strings"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

// checkRoutes checks routes against each other and, if hasPools is set, against
// the pools and organisations of the pools table.
func (d *decoder) checkRoutes(hasPools bool) {
	for i := range d.tables.Routes {
		route, section := &d.tables.Routes[i], d.routeSections[i]
		d.checkAccess(route, section)
		d.checkObjective(route, section)
		if hasPools {
			d.checkRoutePool(route, section)
			d.checkRouteOrganisations(route, section)
		}
	}
	d.checkEquivalentRoutes()
}

func (d *decoder) checkHasRoutes() {
	if len(d.tables.Routes) == 0 {
		d.report.Add(inifile.Issue{File: d.routesFile, Problem: "the table has no route, so every request would be refused", Remedy: "add a section [route NAME]"})
	}
}

func (d *decoder) checkAccess(route *Route, section *inifile.Section) {
	if route.Access != AccessOpen {
		return
	}
	if section.HasValid(keyOrganisations) {
		section.Report(keyOrganisations, "the list has no effect, because access = open allows every caller", "remove the list, or write access = keys")
	}
	// An idempotency key is scoped to the organisation of the caller, and
	// callers of an open route have none.
	if !route.Repeatable {
		section.Report(keyRepeatable, "an open route cannot be non-repeatable, because its callers have no organisation to scope their idempotency keys", "write access = keys, or repeatable = true")
	}
}

func (d *decoder) checkObjective(route *Route, section *inifile.Section) {
	if section.HasValid(keyObjectiveFirstToken) && !section.HasInvalid(keyDeadline) && route.Objective.FirstToken > route.Deadline {
		section.Report(keyObjectiveFirstToken, "the objective is longer than the deadline of "+inifile.FormatDuration(route.Deadline), "write a duration up to the deadline")
	}
}

func (d *decoder) checkRoutePool(route *Route, section *inifile.Section) {
	if !section.HasValid(keyPool) || d.findPool(route.Pool) != nil {
		return
	}
	section.Report(keyPool, fmt.Sprintf("pool %q is not in %s", route.Pool, d.poolsFile), unknownNameRemedy("pool", route.Pool, d.poolNames()))
}

func (d *decoder) checkRouteOrganisations(route *Route, section *inifile.Section) {
	known := d.organisationNames()
	for _, name := range route.Organisations {
		if !slices.Contains(known, name) {
			section.Report(keyOrganisations, fmt.Sprintf("organisation %q is not in %s", name, d.poolsFile), unknownNameRemedy("organisation", name, known))
		}
	}
}

// unknownNameRemedy returns the remedy for a reference to a section that does
// not exist. The keyword is that of the section.
func unknownNameRemedy(keyword, name string, known []string) string {
	nearest := inifile.NearestName(name, known)
	if nearest == "" {
		return fmt.Sprintf("add a section [%s %s]", keyword, name)
	}
	return fmt.Sprintf("add a section [%s %s], or write %q, the nearest known name", keyword, name, nearest)
}

// matchKey identifies the requests that a route matches. Routes with equal keys
// match the same requests.
type matchKey struct{ host, path, model string }

// checkEquivalentRoutes checks groups of routes that match the same requests.
// Requests are distributed over a group at random by weight, so its routes must
// agree on who may use them and on whether requests are repeatable.
func (d *decoder) checkEquivalentRoutes() {
	firstRoute := make(map[matchKey]int)
	totalWeight := make(map[matchKey]int)
	for i := range d.tables.Routes {
		route := &d.tables.Routes[i]
		if !d.routeSections[i].HasValid(keyPath) {
			continue
		}
		key := matchKey{strings.ToLower(route.Host), route.Path, route.Model}
		totalWeight[key] += route.Weight
		if j, ok := firstRoute[key]; ok {
			d.checkRoutesAgree(i, j)
			continue
		}
		firstRoute[key] = i
	}
	for i := range d.tables.Routes {
		route := &d.tables.Routes[i]
		key := matchKey{strings.ToLower(route.Host), route.Path, route.Model}
		if route.Weight == 0 && d.routeSections[i].HasValid(keyPath) {
			d.reportZeroWeight(i, firstRoute[key], totalWeight[key])
		}
	}
}

// reportZeroWeight reports route i, which has weight 0. The first route of a
// group gets all requests if the total weight of the group is 0.
func (d *decoder) reportZeroWeight(i, firstRoute, totalWeight int) {
	const remedy = "write a weight of at least 1, or remove the route"
	if totalWeight == 0 && firstRoute == i {
		d.routeSections[i].Report(keyWeight, "weight 0 does not take a route out of service when no other route for the same host, path and model has weight", remedy)
		return
	}
	d.routeSections[i].Report(keyWeight, "the route never matches, because other routes for the same host, path and model take all requests", remedy)
}

// checkRoutesAgree reports the keys of route i that differ from route j.
func (d *decoder) checkRoutesAgree(i, j int) {
	a, b := &d.tables.Routes[i], &d.tables.Routes[j]
	section, location := d.routeSections[i], d.routeSections[j].Location("")
	const remedy = "write the same value for both, or change host, path or model"
	report := func(key string) {
		section.Report(key, fmt.Sprintf("the value differs from route %s at %s, which matches the same requests", b.Name, location), remedy)
	}
	if a.Repeatable != b.Repeatable {
		report(keyRepeatable)
	}
	if a.Access != b.Access {
		report(keyAccess)
	}
	if !equalSets(a.Organisations, b.Organisations) {
		report(keyOrganisations)
	}
}

func equalSets(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}
