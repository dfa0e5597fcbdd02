package delivery

import (
	"math"
	"time"
)

const (
	// trialPart is the part of the exposed share and slack that the trial may use. The rest
	// is for the move, in which a version may turn out bad as well.
	trialPart = 0.5
	// rangeGrowth is by how much an allowance of one unused request widens the range of
	// requests that may be exposed.
	rangeGrowth = 1.0
)

// allowance bounds the requests of one process that go to a new version in the trial. It
// depends on no message: the sum over all processes keeps to the fleet's bound because
// each keeps to its own.
type allowance struct {
	sent    uint64 // requests that were sent for the pool since the order
	exposed uint64 // of these, and of those that are being sent, to the new version
}

// left returns how many more requests may be exposed.
func (a allowance) left(share, slack float64) float64 {
	return share*float64(a.sent) + slack - float64(a.exposed)
}

// exposedRange returns the part of the hash range of requests that goes to the new version.
// It widens while allowance is unused: a few prompts may have most of the traffic.
func (a allowance) exposedRange(share, slack float64) float64 {
	return min(1, share*max(0, 1+rangeGrowth*(a.left(share, slack)-1)))
}

// movingRange is exposedRange during the move.
func movingRange(share float64, movingFor, duration time.Duration) float64 {
	progress := float64(movingFor) / float64(rampTime(duration))
	return min(1, share+(1-share)*max(0, progress))
}

// trialTargetCount returns how many targets of the new version the trial uses: as many as
// then have the load of an old one, and two at least, so that a bad target can be told
// from a bad version.
func trialTargetCount(share float64, oldTargets, newTargets int) int {
	return min(newTargets, max(2, int(math.Ceil(share*float64(oldTargets)))))
}
