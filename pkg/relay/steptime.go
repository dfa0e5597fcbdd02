package relay

import (
	"bytes"
	"slices"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/target"
)

const (
	// minStepGaps is the number of gaps between events from which their median tells
	// the speed of a target. maxStepGaps bounds those that are kept.
	minStepGaps, maxStepGaps = 3, 16
	// usualPacePercent is the stated pace of a target that works as usual.
	usualPacePercent = 100
)

// stepSampler measures the step time of a target in one response. The median leaves out
// steps that were delayed by the prompts of other requests, and events that arrived
// together.
type stepSampler struct {
	pace int // as stated with the response, in percent; zero: nothing is measured
	last time.Time
	gaps []time.Duration
}

// newStepSampler returns the sampler of a response, after its load report was recorded.
func newStepSampler(t *target.Target) *stepSampler {
	load, _ := t.NewestLoad()
	if !t.IsEngine {
		load.PacePercent = 0
	}
	return &stepSampler{pace: load.PacePercent}
}

// recordEvents records that events arrived.
func (s *stepSampler) recordEvents(events []byte, now time.Time) {
	if s.pace == 0 || len(s.gaps) == maxStepGaps {
		return
	}
	count := bytes.Count(events, eventEnd)
	if !s.last.IsZero() && count > 0 {
		s.gaps = append(s.gaps, now.Sub(s.last)/time.Duration(count))
	}
	s.last = now
}

// stepTime returns the measured step time in the usual pace of the target, or zero if
// there were too few events.
func (s *stepSampler) stepTime() time.Duration {
	if len(s.gaps) < minStepGaps {
		return 0
	}
	slices.Sort(s.gaps)
	return s.gaps[len(s.gaps)/2] * usualPacePercent / time.Duration(s.pace)
}
