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
	// urgentQueueShare is the part of the slots that requests of the most urgent kind may
	// exceed them by: the target starts these as soon as a slot is free, without the
	// time that a report and a request take.
	urgentQueueShare = 0.25
	// lessUrgentShare is the part of the slots that less urgent requests may fill. The
	// rest is for urgent requests that arrive while reports are on their way.
	// lastShare is the same for those that are late or of an organisation over its
	// share. Neither is under a half: a target that is half idle refuses nobody.
	lessUrgentShare = 0.75
	lastShare       = 0.6
	// lessUrgentQueue and lastQueue are the requests in a target's queue up to which these
	// are sent. A target reads prompts one after another, with requests running long
	// before its slots are full, and a queue keeps it busy until the next report.
	lessUrgentQueue = 3
	lastQueue       = 2
)

// Room is what a target may have when a request of a rank is sent to it.
type Room struct {
	Load  int // requests that run or wait there, with the request
	Queue int // requests that wait there, with the request
}

// MaxRoom returns the most that a target with a number of slots may have. Instances that
// do not know of each other's requests keep the order of ranks by it.
func (r Rank) MaxRoom(slots int) Room {
	part := func(share float64) int { return max(1, int(math.Ceil(share*float64(slots)))) }
	switch {
	case r.IsFirstKind && !r.IsOverShare:
		return Room{Load: part(1 + urgentQueueShare), Queue: part(1 + urgentQueueShare)}
	case r.IsFirstKind:
		return Room{Load: slots, Queue: slots}
	case !r.IsOverShare && !r.IsLate:
		return Room{Load: part(lessUrgentShare), Queue: lessUrgentQueue}
	}
	return Room{Load: part(lastShare), Queue: lastQueue}
}

// Free returns how many requests of the rank a target has room for.
func (r Rank) Free(slots, load, queue int) int {
	most := r.MaxRoom(slots)
	return min(most.Load-load, most.Queue-queue)
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
