package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// The prompts of other requests between two events made an engine look slow, and events
// that arrived together made it look fast.
func TestStepTimeLeavesOutDisturbedSteps(t *testing.T) {
	engine := &target.Target{IsEngine: true, Live: &target.LiveState{}}
	now := time.Now()
	engine.Live.RecordLoad(target.Load{PacePercent: 200}, now)
	s := newStepSampler(engine)
	for _, gap := range []time.Duration{0, 60, 700, 60, 60, 1, 60, 900, 60} {
		now = now.Add(gap * time.Millisecond)
		s.recordEvents([]byte("data: x\n\n"), now)
	}
	now = now.Add(120 * time.Millisecond)
	s.recordEvents([]byte("data: x\n\ndata: y\n\n"), now)
	assert.Equal(t, s.stepTime(), 30*time.Millisecond)

	silent := newStepSampler(&target.Target{IsEngine: true, Live: &target.LiveState{}})
	for range 9 {
		silent.recordEvents([]byte("data: x\n\n"), time.Now())
	}
	assert.Equal(t, silent.stepTime(), time.Duration(0), "a target that states no pace is measured")
}
