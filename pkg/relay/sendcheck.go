package relay

import (
	"errors"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// errTargetLeft ends an attempt whose target has left, or announced that it
// leaves, since it was chosen.
var errTargetLeft = errors.New("the target has left or is leaving")

// checkCanSend returns an error if the request may not be sent to t any more: the
// target was chosen before its connection was opened.
func (f *ForwardFilter) checkCanSend(ex *Exchange, t *target.Target) error {
	now := f.current(ex.Pool.Name, t)
	switch {
	case now == nil || now.Leaving:
		return errTargetLeft
	case timeOnWeights(now, f.Clock.Elapsed()) <= 0:
		return errWeightsExpired
	}
	return nil
}

// timeAtTarget returns how long the target may work on the request from now on.
func (f *ForwardFilter) timeAtTarget(ex *Exchange, t *target.Target) time.Duration {
	left := time.Until(ex.Deadline)
	if now := f.current(ex.Pool.Name, t); now != nil {
		left = min(left, timeOnWeights(now, f.Clock.Elapsed()))
	}
	return left
}

// current returns the newest snapshot of a target, or nil if it is no longer
// listed.
func (f *ForwardFilter) current(pool string, t *target.Target) *target.Target {
	for _, other := range f.Targets.InPool(pool) {
		if other.Live == t.Live {
			return other
		}
	}
	return nil
}
