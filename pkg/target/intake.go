package target

import (
	"math/rand/v2"
	"time"
)

const (
	// MaxPause bounds the pause that a target may ask for.
	MaxPause = 10 * time.Minute
	// pauseSpreadDivisor and maxPauseSpread set by how much a pause is prolonged, at
	// random, so that instances and callers do not return together.
	pauseSpreadDivisor = 10
	maxPauseSpread     = 250 * time.Millisecond
	// returnPeriod is the time after a pause in which the requests of this instance at
	// the target may grow from one to its slots.
	returnPeriod = time.Second
)

// Notice is what a target says in a response about new work.
type Notice struct {
	Leaving bool          // it leaves and wants no new work from any instance
	Pause   time.Duration // it wants no work from this instance for so long; zero: it does not say
}

// Intake tells whether a target may get new work from this instance.
type Intake struct {
	Allowed bool
	// From is the boot time from which the target may get work again. It is zero if
	// that is never the case in this incarnation, or if work is allowed now.
	From time.Duration
}

// Intake returns whether new work may be sent to the target at a boot time. A target
// that leaves gets none, and one that asked for a pause gets none until its end. Load
// pattern: targets that shed load or are emptied while requests go on.
func (t *Target) Intake(now time.Duration) Intake {
	if t.Leaving {
		return Intake{}
	}
	if until := t.Live.pausedUntilAt(); now < until {
		return Intake{From: until}
	}
	return Intake{Allowed: true}
}

// IntakeForChoice is Intake with the bound on requests that return after a pause. It is
// used to choose a target; a request that was chosen for it counts itself.
func (t *Target) IntakeForChoice(now time.Duration) Intake {
	intake := t.Intake(now)
	until := t.Live.pausedUntilAt()
	if !intake.Allowed || until == 0 || now >= until+returnPeriod {
		return intake
	}
	share := float64(now-until) / float64(returnPeriod)
	if float64(t.Live.InFlight.Load()) < 1+share*float64(t.Slots) {
		return intake
	}
	return Intake{From: until + returnPeriod}
}

// RecordPause records that the target asked for a pause at a boot time. It reports
// whether the target was not paused before. A shorter pause does not end a longer one.
func (l *LiveState) RecordPause(now, pause time.Duration) bool {
	pause = min(pause, MaxPause)
	until := int64(now + pause + rand.N(min(pause/pauseSpreadDivisor, maxPauseSpread)+1))
	for {
		before := l.pausedUntil.Load()
		if before >= until {
			return false
		}
		if l.pausedUntil.CompareAndSwap(before, until) {
			return before <= int64(now)
		}
	}
}

func (l *LiveState) pausedUntilAt() time.Duration { return time.Duration(l.pausedUntil.Load()) }

// RecordLeavingHint records that another instance says that the target leaves. Messages
// between instances are hints: the target is only avoided.
func (l *LiveState) RecordLeavingHint() { l.leavingHint.Store(true) }

// HasLeavingHint reports whether another instance says that the target leaves.
func (l *LiveState) HasLeavingHint() bool { return l.leavingHint.Load() }
