package gossip

import (
	"slices"
	"time"
)

const (
	// stepVersion is the version of datagrams with step times of targets. Instances that
	// do not know it ignore them.
	stepVersion = 7
	// stepInterval is the time between two rounds with step times. They change more
	// slowly than the load.
	stepInterval = time.Second
	// maxStepAge is the age above which a sample is neither sent nor accepted. It leaves
	// time for four rounds.
	maxStepAge = 4 * time.Second
	// maxSteps keeps a datagram within one packet.
	maxSteps = 64
)

// StepTime is a sample of the step time of a target.
type StepTime struct {
	Target uint64 // hash of the target's key
	Step   time.Duration
	At     time.Time
}

type stepDatagram struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Steps   []stepRecord
}

type stepRecord struct {
	_      struct{} `cbor:",toarray"`
	Target uint64
	StepUS uint32
	AgeMS  uint32
}

// dueStepTimes returns the newest step times of this round, at most maxSteps.
func (g *Gossip) dueStepTimes(now time.Time) []stepRecord {
	if g.StepTimes == nil {
		return nil
	}
	g.mu.Lock()
	due := now.Sub(g.stepsAt) >= stepInterval
	if due {
		g.stepsAt = now
	}
	g.mu.Unlock()
	if !due {
		return nil
	}
	var steps []stepRecord
	for _, s := range g.StepTimes() {
		if age := now.Sub(s.At); age <= maxStepAge {
			steps = append(steps, stepRecord{Target: s.Target, StepUS: uint32(s.Step.Microseconds()), AgeMS: uint32(max(0, age.Milliseconds()))})
		}
	}
	slices.SortFunc(steps, func(a, b stepRecord) int { return int(a.AgeMS) - int(b.AgeMS) })
	return steps[:min(len(steps), maxSteps)]
}

func (g *Gossip) handleStepTimes(d stepDatagram, now time.Time) {
	if g.OnStepTime == nil {
		return
	}
	for _, s := range d.Steps {
		age := time.Duration(s.AgeMS) * time.Millisecond
		if age <= maxStepAge {
			g.OnStepTime(StepTime{Target: s.Target, Step: time.Duration(s.StepUS) * time.Microsecond, At: now.Add(-age)})
		}
	}
}
