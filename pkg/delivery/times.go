package delivery

import (
	"slices"
	"time"
)

const (
	// slowFactor is how many times the old version's median a slow answer takes. Versions
	// that operators call slow take several times as long.
	slowFactor = 2.5
	// slowMargin keeps short answers from being slow because of a scheduling delay.
	slowMargin = 20 * time.Millisecond
	// The median is that of the last referenceTimes answers, once there are
	// minReferenceTimes; it is computed again after each medianInterval answers.
	referenceTimes    = 64
	minReferenceTimes = 8
	medianInterval    = 8
)

// answerTimes are the last times of the old version's answers on a route, as this
// instance has seen them.
type answerTimes struct {
	times  []time.Duration
	next   int
	count  int
	median time.Duration
}

func (a *answerTimes) add(d time.Duration) {
	if len(a.times) < referenceTimes {
		a.times = append(a.times, d)
	} else {
		a.times[a.next] = d
		a.next = (a.next + 1) % referenceTimes
	}
	a.count++
	if len(a.times) >= minReferenceTimes && (a.median == 0 || a.count%medianInterval == 0) {
		sorted := slices.Clone(a.times)
		slices.Sort(sorted)
		a.median = sorted[len(sorted)/2]
	}
}

// slowFrom returns the time from which an answer is slow. ok is false while there are too
// few times.
func (a *answerTimes) slowFrom() (limit time.Duration, ok bool) {
	return time.Duration(slowFactor*float64(a.median)) + slowMargin, a.median > 0
}
