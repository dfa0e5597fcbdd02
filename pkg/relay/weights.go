package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/placement"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// A target keeps requests in its queue for as long as others run. So the time
// for which superseded weights may be used is not only compared when a target is
// chosen, but is also stated to the target as the request's timeout: the target
// then refuses a request that it cannot begin in time.

const (
	// weightsMargin covers the way to the target.
	weightsMargin = 200 * time.Millisecond
	// minTimeOnWeights is the least time that is left for a request at a target
	// with superseded weights.
	minTimeOnWeights = 500 * time.Millisecond
	// wholeAnswerTime is the time in which nearly all answers are complete. A
	// request that cannot go on at another target is ended with the use of the
	// weights.
	wholeAnswerTime = 8 * time.Second
	// cutAnswerCost is the cost of a target with superseded weights, compared to
	// others in expected delay, for a request that cannot go on elsewhere and has
	// no time left there. It falls to zero at wholeAnswerTime.
	cutAnswerCost = 400 * time.Millisecond
)

// errWeightsExpired ends an attempt that has not begun when the use of the
// target's weights ends.
var errWeightsExpired = errors.New("the use of the target's weights has ended")

// noWeightsLimit is the time on weights that are not superseded.
const noWeightsLimit = time.Duration(1<<63 - 1)

// timeOnWeights returns how long a target may work on a request that is sent at
// the boot time now. It is negative after the use of the target's weights.
func timeOnWeights(t *target.Target, now time.Duration) time.Duration {
	if t.WeightsUsableUntil == 0 {
		return noWeightsLimit
	}
	return t.WeightsUsableUntil - weightsMargin - now
}

// cutCost returns the cost of sending a request that cannot go on elsewhere to a
// target that may work on it for left.
func cutCost(left time.Duration) time.Duration {
	if left >= wholeAnswerTime {
		return 0
	}
	return time.Duration(float64(cutAnswerCost) * (1 - float64(left)/float64(wholeAnswerTime)))
}

// pickTarget chooses a target that was not tried and whose weights may be used
// for long enough, of the software versions that the request may go to. If hasRoom is not nil, it must
// hold for the target.
func (f *ForwardFilter) pickTarget(ex *Exchange, r *placement.Request, tried map[string]bool, hasRoom func(*target.Target) bool) placement.Choice {
	candidates, others := ex.versions.Candidates(f.Targets.InPool(ex.Pool.Name))
	choice := f.pickAmong(ex, r, tried, hasRoom, candidates)
	if choice.Target == nil && len(others) > 0 {
		choice = f.pickAmong(ex, r, tried, hasRoom, others)
	}
	ex.versions.Choose(choice.Target)
	return choice
}

// pickAmong is pickTarget among the given targets.
func (f *ForwardFilter) pickAmong(ex *Exchange, r *placement.Request, tried map[string]bool, hasRoom func(*target.Target) bool, candidates []*target.Target) placement.Choice {
	now, untilDeadline := f.Clock.Elapsed(), time.Until(ex.Deadline)
	r.CacheSalt = f.cacheNamespace(ex)
	pick := func(needed time.Duration) placement.Choice {
		return f.Placer.Pick(candidates, r, func(t *target.Target) bool {
			return tried[t.Key()] || !t.IntakeForChoice(now).Allowed || timeOnWeights(t, now) < min(needed, untilDeadline) || hasRoom != nil && !hasRoom(t)
		}, time.Now())
	}
	choice := pick(minTimeOnWeights)
	if ex.Repeatable() || choice.Target == nil {
		return choice
	}
	left := timeOnWeights(choice.Target, now)
	if left >= min(wholeAnswerTime, untilDeadline) {
		return choice
	}
	if unhurried := pick(wholeAnswerTime); unhurried.Target != nil && unhurried.Cost <= choice.Cost+cutCost(left) {
		return unhurried
	}
	return choice
}

// weightsWatch cancels an attempt that has not begun when the use of its target's
// weights ends. This concerns requests that were sent before newer weights were
// announced: their timeout at the target is longer.
type weightsWatch struct {
	begun atomic.Bool
	timer *time.Timer // nil if the request ends before any weights can expire
}

// watchWeights starts the watch of an attempt at t. cancel ends the attempt.
func (f *ForwardFilter) watchWeights(ctx context.Context, ex *Exchange, t *target.Target, cancel context.CancelCauseFunc) *weightsWatch {
	w := &weightsWatch{}
	shortest := f.RolloutDeadline - weightsMargin
	untilDeadline := time.Until(ex.Deadline)
	if !t.IsEngine || f.RolloutDeadline <= 0 || untilDeadline < shortest {
		return w
	}
	// The function uses w.timer, so the first timeout is set only after it is
	// assigned.
	w.timer = time.AfterFunc(untilDeadline+shortest, func() {
		if ctx.Err() != nil || w.begun.Load() {
			return
		}
		left := shortest
		if now := f.current(ex.Pool.Name, t); now != nil {
			left = timeOnWeights(now, f.Clock.Elapsed())
		}
		if left <= 0 {
			cancel(errWeightsExpired)
			return
		}
		w.timer.Reset(min(left, shortest))
	})
	w.timer.Reset(shortest)
	return w
}

// stop ends the watch, since the request has begun or ended.
func (w *weightsWatch) stop() {
	w.begun.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
}
