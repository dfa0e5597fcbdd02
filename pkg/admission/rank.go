package admission

import (
	"math"
	"slices"
)

// Rank is the place of a request in the order in which a pool under contention serves
// requests. Load pattern: more is asked for than the targets can do, and an urgent kind
// shares them with one that occupies them for long.
type Rank struct {
	Urgency     int  // 0 is the most urgent
	IsFirstKind bool // no kind of request of the pool is more urgent
	IsOverShare bool // the organisation uses more than its share
	IsLate      bool // the objective has passed
}

// order numbers ranks, the first to be served first: by urgency, then organisations within
// their share, then what can still be in time.
func (r Rank) order() int {
	const perUrgency, overShare, late = 4, 2, 1
	n := perUrgency * r.Urgency
	if r.IsOverShare {
		n += overShare
	}
	if r.IsLate {
		n += late
	}
	return n
}

const (
	// queueShare is the part of the slots that requests of the most urgent kind may
	// exceed them by: the target starts these as soon as a slot is free, without the
	// time that a report and a request take.
	queueShare = 0.25
	// lessUrgentShare is the part of the slots that less urgent requests may fill. The
	// rest is for urgent requests that arrive while reports are on their way.
	// lastShare is the same for those that are late or of an organisation over its
	// share. Neither is under a half: a target that is half idle refuses nobody.
	lessUrgentShare = 0.75
	lastShare       = 0.6
)

// MaxLoad returns the number of requests at a target, including this one, up to which a
// request of the rank may be sent there. slots is the number of requests that the target
// can run together. Instances that do not know of each other's
// requests keep the order of ranks by it.
func (r Rank) MaxLoad(slots int) int {
	share := 1 + queueShare
	switch {
	case r.IsFirstKind && !r.IsOverShare:
	case r.IsFirstKind, !r.IsOverShare && !r.IsLate:
		share = lessUrgentShare
	default:
		share = lastShare
	}
	return max(1, int(math.Ceil(share*float64(slots))))
}

const (
	// firstEnginePriority and lastEnginePriority are the priorities that this router uses
	// of those that engines distinguish.
	firstEnginePriority, lastEnginePriority = 1, 9
	// maxSteps is the number of engine priorities of one urgency: as usual, over share or
	// late, and both.
	maxSteps = 3
)

// Scale maps the priorities of organisations and routes to urgencies and engine
// priorities. All instances with the same configuration have the same scale, so that the
// queue of an engine has their common order.
type Scale struct {
	organisations, routes []int // distinct priorities, in order
}

// NewScale returns the scale for the priorities that occur in a pool.
func NewScale(organisations, routes []int) Scale {
	distinct := func(values []int) []int {
		values = slices.Clone(values)
		slices.Sort(values)
		return slices.Compact(values)
	}
	return Scale{organisations: distinct(organisations), routes: distinct(routes)}
}

// Urgency returns the place of a request, from 0. The priority of the organisation takes
// precedence over that of the route.
func (s Scale) Urgency(organisation, route int) int {
	atOrganisation, _ := slices.BinarySearch(s.organisations, organisation)
	atRoute, _ := slices.BinarySearch(s.routes, route)
	return atOrganisation*len(s.routes) + atRoute
}

// EnginePriority returns the priority of a request in the queue of an engine, from 1, the
// most urgent, to 9.
func (s Scale) EnginePriority(r Rank) int {
	const available = lastEnginePriority - firstEnginePriority + 1
	urgencies := max(1, len(s.organisations)*len(s.routes))
	steps := min(max(1, available/urgencies), maxSteps)
	level := min(r.Urgency*max(1, min(steps, available)), available-1)
	if urgencies > available {
		level = min(r.Urgency*available/urgencies, available-1)
	}
	step := 0
	if r.IsOverShare {
		step++
	}
	if r.IsLate {
		step++
	}
	return min(firstEnginePriority+level+min(step, steps-1), lastEnginePriority)
}
