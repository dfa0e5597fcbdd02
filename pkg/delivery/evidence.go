package delivery

import (
	"github.com/cespare/xxhash/v2"
)

// Counts are cumulative counts of the answers of a version.
type Counts struct {
	_        struct{} `cbor:",toarray"`
	Answers  uint32   // that came, or had to come and did not
	Failures uint32   // of Answers
	Timed    uint32   // answers whose time was compared with the old version's
	Slow     uint32   // of Timed
}

func (c Counts) plus(d Counts) Counts {
	return Counts{Answers: c.Answers + d.Answers, Failures: c.Failures + d.Failures, Timed: c.Timed + d.Timed, Slow: c.Slow + d.Slow}
}

func (c Counts) minus(d Counts) Counts {
	return Counts{Answers: c.Answers - d.Answers, Failures: c.Failures - d.Failures, Timed: c.Timed - d.Timed, Slow: c.Slow - d.Slow}
}

// badShare returns the share of failures plus that of slow answers.
func (c Counts) badShare() float64 {
	return proportion{c.Failures, c.Answers}.value() + proportion{c.Slow, c.Timed}.value()
}

// RouteTarget is a route and a target, each as hash.
type RouteTarget struct{ Route, Target uint32 }

// OtherTargets replaces the target where an instance has counted too many targets apart.
const OtherTargets = 0

// Evidence is what is known about both versions.
type Evidence struct {
	Old map[uint32]Counts      // by route
	New map[RouteTarget]Counts // by route and target
}

// NewEvidence returns empty evidence.
func NewEvidence() Evidence {
	return Evidence{Old: make(map[uint32]Counts), New: make(map[RouteTarget]Counts)}
}

// Add adds the counts of other.
func (e Evidence) Add(other Evidence) {
	for route, c := range other.Old {
		e.Old[route] = e.Old[route].plus(c)
	}
	for key, c := range other.New {
		e.New[key] = e.New[key].plus(c)
	}
}

// Since returns the counts that came after an earlier state of the same evidence.
func (e Evidence) Since(earlier Evidence) Evidence {
	out := NewEvidence()
	for route, c := range e.Old {
		out.Old[route] = c.minus(earlier.Old[route])
	}
	for key, c := range e.New {
		out.New[key] = c.minus(earlier.New[key])
	}
	return out
}

// without returns the evidence without a target.
func (e Evidence) without(target uint32) Evidence {
	out := Evidence{Old: e.Old, New: make(map[RouteTarget]Counts, len(e.New))}
	for key, c := range e.New {
		if key.Target != target {
			out.New[key] = c
		}
	}
	return out
}

// newByRoute returns the counts of the new version by route.
func (e Evidence) newByRoute() map[uint32]Counts {
	out := make(map[uint32]Counts)
	for key, c := range e.New {
		out[key.Route] = out[key.Route].plus(c)
	}
	return out
}

// worstTarget returns the target of the new version with the most bad answers for its
// share of bad ones, and the number of targets that are counted apart.
func (e Evidence) worstTarget() (worst uint32, targets int) {
	byTarget := make(map[uint32]Counts)
	for key, c := range e.New {
		if key.Target != OtherTargets && c.Answers > 0 {
			byTarget[key.Target] = byTarget[key.Target].plus(c)
		}
	}
	worstWeight := -1.0
	for target, c := range byTarget {
		weight := c.badShare() * float64(c.Failures+c.Slow)
		if weight > worstWeight || weight == worstWeight && target < worst {
			worst, worstWeight = target, weight
		}
	}
	return worst, len(byTarget)
}

// hash32 returns the identifier of a route or target in evidence, which is never
// OtherTargets.
func hash32(name string) uint32 { return uint32(xxhash.Sum64String(name)) | 1 }
