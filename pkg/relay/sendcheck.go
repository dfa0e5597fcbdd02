package relay

import (
	"errors"
	"math/rand/v2"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// errTargetLeft ends an attempt whose target has left, or announced that it
// leaves, since it was chosen.
var errTargetLeft = errors.New("the target has left or is leaving")

// errTargetPaused ends an attempt whose target has asked for a pause since it was
// chosen.
var errTargetPaused = errors.New("the target has asked for a pause")

// errVersionWithdrawn ends an attempt whose target has a software version that may not be
// used any more since it was chosen.
var errVersionWithdrawn = errors.New("the target's version may not be used any more")

// checkCanSend returns an error if the request may not be sent to t any more: the
// target was chosen before its connection was opened.
func (f *ForwardFilter) checkCanSend(ex *Exchange, t *target.Target) error {
	now := f.current(ex.Pool.Name, t)
	switch {
	case now == nil || now.Leaving:
		return errTargetLeft
	case !now.Intake(f.Clock.Elapsed()).Allowed:
		return errTargetPaused
	case !ex.versions.MayUse(now):
		return errVersionWithdrawn
	case timeOnWeights(now, f.Clock.Elapsed()) <= 0:
		return errWeightsExpired
	}
	return nil
}

// timeUntilIntake returns the time until the first target of the pool takes work again
// after a pause, or zero if none is paused or one takes work now. It is prolonged at
// random by up to a quarter, so that callers do not return together.
func (f *ForwardFilter) timeUntilIntake(ex *Exchange) time.Duration {
	now, first := f.Clock.Elapsed(), time.Duration(0)
	for _, t := range f.Targets.InPool(ex.Pool.Name) {
		switch intake := t.IntakeForChoice(now); {
		case intake.Allowed:
			return 0
		case intake.From > 0 && (first == 0 || intake.From < first):
			first = intake.From
		}
	}
	if first == 0 {
		return 0
	}
	wait := max(0, first-now)
	return wait + rand.N(wait/4+1)
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
