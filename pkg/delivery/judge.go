package delivery

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// Verdict is what the evidence says about a new version.
type Verdict uint8

// Verdicts.
const (
	VerdictHold Verdict = iota // too little evidence for another verdict
	VerdictGood
	VerdictBad
)

// String implements fmt.Stringer.
func (v Verdict) String() string { return [...]string{"hold", "good", "bad"}[v] }

// Finding is the comparison that led to a verdict.
type Finding struct {
	Verdict  Verdict
	Reason   string
	Route    uint32     // or allRoutes
	New, Old proportion // bad answers of both versions
	// Bound is the bound of the difference of the proportions, and Threshold what it
	// was compared with.
	Bound, Threshold float64
}

const (
	// minDifference is how much higher the proportion of bad answers of a bad version is
	// at least. The trouble of single targets stays below it in a pool of some size.
	minFailureDifference = 0.03
	minSlowDifference    = 0.10
	// A version is good if the difference is certainly below these.
	maxFailureDifference = 0.10
	maxSlowDifference    = 0.25
	// badConfidence is in standard deviations. The evidence is judged several times a
	// second on several routes, so a single test must be strict.
	badConfidence = 3.3
	// restConfidence applies to the evidence without the worst target, and to the
	// verdict that a version is good, which is given once.
	restConfidence = 1.64
	// excessConfidence applies once maxExcess bad answers more than the old version would
	// have given have come: the bound on requests after the 50th bad answer is near.
	excessConfidence = 2.3
	maxExcess        = 30
	// A verdict needs so many bad answers, or answers, on a route, so that one request
	// or one crash does not decide.
	minBadAnswers     = 4
	minBadAnswersRest = 2
	minNewAnswers     = 10
	minOldAnswers     = 20
	// minGoodAnswers is needed on each route for the verdict that a version is good, or
	// minGoodShare of the old version's answers where a route has few requests.
	minGoodAnswers      = 32
	minGoodShare        = 0.02
	minGoodAnswersTotal = 30
)

// proportion is a number of events of a kind among n.
type proportion struct{ k, n uint32 }

func (p proportion) value() float64 {
	if p.n == 0 {
		return 0
	}
	return float64(p.k) / float64(p.n)
}

// String implements fmt.Stringer.
func (p proportion) String() string { return fmt.Sprintf("%d/%d", p.k, p.n) }

// wilson returns the bounds of a proportion at z standard deviations (Wilson's interval).
func (p proportion) wilson(z float64) (low, high float64) {
	if p.n == 0 {
		return 0, 1
	}
	n, v := float64(p.n), p.value()
	centre := (v + z*z/(2*n)) / (1 + z*z/n)
	half := z / (1 + z*z/n) * math.Sqrt(v*(1-v)/n+z*z/(4*n*n))
	return max(0, centre-half), min(1, centre+half)
}

// differenceBounds returns the bounds of a-b at z standard deviations (Newcombe's hybrid
// interval).
func differenceBounds(a, b proportion, z float64) (low, high float64) {
	lowA, highA := a.wilson(z)
	lowB, highB := b.wilson(z)
	d := a.value() - b.value()
	return d - math.Hypot(a.value()-lowA, highB-b.value()), d + math.Hypot(highA-a.value(), b.value()-lowB)
}

// measure is one kind of bad answers.
type measure struct {
	name    string
	of      func(Counts) proportion
	minimum float64 // difference of a bad version
	maximum float64 // difference of a good one
}

var measures = []measure{
	{"failed answers", func(c Counts) proportion { return proportion{c.Failures, c.Answers} }, minFailureDifference, maxFailureDifference},
	{"slow answers", func(c Counts) proportion { return proportion{c.Slow, c.Timed} }, minSlowDifference, maxSlowDifference},
}

// Judge judges a new version on its evidence since the order (whole) and of the last
// seconds (recent), in which a version that turned bad shows. candidates is the number of
// targets of the new version that could give evidence.
//
// Load: steady traffic, with failures and overload that both versions share.
func Judge(whole, recent Evidence, candidates int) Finding {
	if f := judgeExcess(whole); f.Verdict == VerdictBad {
		return f
	}
	for _, e := range []Evidence{whole, recent} {
		if f, isBad := judgeBad(e, candidates); isBad {
			return f
		}
	}
	return judgeGood(whole, recent)
}

// judgeBad tells whether a route is bad, also without the worst target: one bad
// target is no bad version if there are others.
func judgeBad(e Evidence, candidates int) (Finding, bool) {
	f, isBad := findBad(e, badConfidence, minBadAnswers)
	if !isBad || candidates <= 1 {
		return f, isBad
	}
	worst, _ := e.worstTarget()
	if _, isBad = findBad(e.without(worst), restConfidence, minBadAnswersRest); !isBad {
		return Finding{Reason: "one target"}, false
	}
	return f, true
}

// allRoutes stands for the sum of all routes. The requests of both versions are chosen by
// hash, so they have the same mix of routes, and the sum shows a trouble of all of them
// sooner.
const allRoutes = 0

// withAllRoutes returns the counts by route, with their sum.
func withAllRoutes(m map[uint32]Counts) map[uint32]Counts {
	out := maps.Clone(m)
	var sum Counts
	for _, c := range m {
		sum = sum.plus(c)
	}
	out[allRoutes] = sum
	return out
}

// findBad returns the first route and measure on which the new version is worse.
func findBad(e Evidence, z float64, minBad uint32) (Finding, bool) {
	counts, oldCounts := withAllRoutes(e.newByRoute()), withAllRoutes(e.Old)
	for _, route := range sortedRoutes(counts) {
		for _, m := range measures {
			p, old := m.of(counts[route]), m.of(oldCounts[route])
			if p.k < minBad || old.n < minOldAnswers || minBad == minBadAnswers && p.n < minNewAnswers {
				continue
			}
			if low, _ := differenceBounds(p, old, z); low > m.minimum {
				return Finding{Verdict: VerdictBad, Reason: m.name, Route: route, New: p, Old: old, Bound: low, Threshold: m.minimum}, true
			}
		}
	}
	return Finding{}, false
}

// judgeExcess tells whether the new version has given many more bad answers than the old
// one would have, on weaker evidence for each route. The worst target is left out if there
// are several others.
func judgeExcess(e Evidence) Finding {
	if worst, targets := e.worstTarget(); targets > 2 {
		e = e.without(worst)
	}
	excess := 0.0
	var worst Finding
	for route, c := range e.newByRoute() {
		for _, m := range measures {
			p, old := m.of(c), m.of(e.Old[route])
			if low, _ := differenceBounds(p, old, excessConfidence); old.n >= minOldAnswers && low > 0 {
				excess += float64(p.k) - float64(p.n)*old.value()
				if worst.Verdict != VerdictBad || low > worst.Bound {
					worst = Finding{Verdict: VerdictBad, Reason: "many " + m.name, Route: route, New: p, Old: old, Bound: low}
				}
			}
		}
	}
	if excess < maxExcess {
		return Finding{}
	}
	worst.Threshold = 0
	return worst
}

// judgeGood tells whether the new version is certainly not worse on any route.
func judgeGood(whole, recent Evidence) Finding {
	worst, targets := whole.worstTarget()
	if targets > 2 {
		if _, isBad := findBad(whole, restConfidence, minBadAnswersRest); isBad {
			whole, recent = whole.without(worst), recent.without(worst)
		}
	}
	counts := whole.newByRoute()
	total := uint32(0)
	for _, c := range counts {
		total += c.Answers
	}
	if total < minGoodAnswersTotal {
		return Finding{Reason: "few answers", New: proportion{0, total}, Threshold: minGoodAnswersTotal}
	}
	oldTotal := uint32(0)
	for _, c := range whole.Old {
		oldTotal += c.Answers
	}
	if oldTotal < minOldAnswers {
		return Finding{Reason: "few answers of the old version", Old: proportion{0, oldTotal}, Threshold: minOldAnswers}
	}
	for _, route := range sortedRoutes(whole.Old) {
		for _, m := range measures {
			p, old := m.of(counts[route]), m.of(whole.Old[route])
			needed := min(minGoodAnswers, uint32(minGoodShare*float64(old.n)))
			if p.n < needed {
				return Finding{Reason: "few answers with " + m.name + " known", Route: route, New: p, Old: old, Threshold: float64(needed)}
			}
			if p.n < minGoodAnswers {
				continue
			}
			if _, high := differenceBounds(p, old, restConfidence); high > m.maximum {
				return Finding{Reason: "perhaps more " + m.name, Route: route, New: p, Old: old, Bound: high, Threshold: m.maximum}
			}
		}
	}
	for _, e := range []Evidence{whole, recent} {
		if f, isSuspect := findBad(e, restConfidence, minBadAnswersRest); isSuspect {
			f.Verdict, f.Reason = VerdictHold, "perhaps more "+f.Reason
			return f
		}
	}
	return Finding{Verdict: VerdictGood, Reason: "no route is worse", New: proportion{0, total}}
}

// sortedRoutes returns the routes in an order that is the same on all instances.
func sortedRoutes(m map[uint32]Counts) []uint32 {
	routes := make([]uint32, 0, len(m))
	for route := range m {
		routes = append(routes, route)
	}
	slices.Sort(routes)
	return routes
}
