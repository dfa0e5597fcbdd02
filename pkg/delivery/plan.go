package delivery

import "time"

const (
	// The lead is the time before the deadline at which the move begins: for the ramp, for
	// the requests that run at old targets and for the write of the status. It is
	// leadShare of the duration within these bounds.
	minLead   = 3 * time.Second
	maxLead   = 6 * time.Second
	leadShare = 0.3
	// rampShare is the part of the lead in which the exposed share rises to all requests.
	// The caches of new targets fill meanwhile.
	rampShare = 0.35
	// writeTime is kept of the lead for the write of the status.
	writeTime = 700 * time.Millisecond
	// rankDelay is how long the next instance in the ranking waits for the one before.
	rankDelay = 700 * time.Millisecond
	// minNewTargets is the part of the old version's usable targets that the new version
	// needs for a move: fewer could not take the load.
	minNewTargets = 1.0 / 3
	// alreadyInForceAge is the age of an order for a version beside which there is no other
	// from which it is completed: entries of others may come late.
	alreadyInForceAge = 2 * time.Second
)

// Lead returns the time before the deadline of an order at which the move begins.
func Lead(duration time.Duration) time.Duration {
	return min(maxLead, max(minLead, time.Duration(leadShare*float64(duration))))
}

// rampTime returns the time in which the exposed share rises during the move.
func rampTime(duration time.Duration) time.Duration {
	return time.Duration(rampShare * float64(Lead(duration)))
}

// Situation is what a step of a delivery depends on.
type Situation struct {
	Phase    Phase
	Duration time.Duration
	Age      time.Duration // since the order
	Finding  Finding
	Rank     int // of this instance for the duty to act, from zero
	// Usable targets of both versions. SawOld is set if there were any old ones.
	OldTargets, NewTargets int
	SawOld                 bool
	// IsInForce is set if the ordered version was the only one in use before the order.
	IsInForce bool
	StoreLost bool
	MovingFor time.Duration // since this instance knows that the move began
	// AllMoved is set if all instances say that they choose no old target and have no
	// request at one.
	AllMoved bool
}

// Action is the next step of a delivery.
type Action uint8

// Actions.
const (
	ActionNone Action = iota
	ActionMove
	ActionComplete
	ActionRollBack
)

// Decide returns the next step. Rolling back needs nobody else; the other steps are
// those of the first instance in the ranking, and of the next ones after a delay.
func Decide(s Situation) Action {
	delay := time.Duration(s.Rank) * rankDelay
	switch {
	case s.Phase.IsFinal():
		return ActionNone
	case s.SawOld && s.Finding.Verdict == VerdictBad:
		return ActionRollBack
	case s.StoreLost || s.NewTargets == 0:
		return ActionNone
	case s.Phase == PhaseMoving:
		return decideMoving(s, delay)
	case s.IsInForce && s.Age >= alreadyInForceAge+delay:
		return ActionMove
	case s.SawOld && s.Finding.Verdict == VerdictGood && s.Age >= s.Duration-Lead(s.Duration)+delay && float64(s.NewTargets) >= minNewTargets*float64(s.OldTargets):
		return ActionMove
	}
	return ActionNone
}

func decideMoving(s Situation, delay time.Duration) Action {
	ramp, longest := rampTime(s.Duration), Lead(s.Duration)-writeTime
	switch {
	case s.IsInForce:
		return ActionComplete
	case s.MovingFor < ramp+delay:
		return ActionNone
	case s.AllMoved || s.MovingFor >= longest+delay:
		return ActionComplete
	}
	return ActionNone
}
