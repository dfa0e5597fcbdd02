package target

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A sample that was heard from several instances counted several times, and a target that
// had been slow once stayed slow for ever.
func TestStepTimeCountsSamplesOnceAndAges(t *testing.T) {
	l, now := &LiveState{}, time.Now()
	for range 5 {
		l.RecordStepTime(30*time.Millisecond, now)
	}
	l.RecordStepTime(90*time.Millisecond, now.Add(-time.Second)) // late
	mean, samples := l.StepTime(now)
	assert.Assert(t, mean > 29*time.Millisecond && mean < 31*time.Millisecond, "%v", mean)
	assert.Equal(t, samples, 1.0)
	_, samples = l.StepTime(now.Add(5 * stepTimeLifetime))
	assert.Assert(t, samples < 0.01)
}

// A pace that changes with each report must not be followed at once, and must be
// forgotten when reports stop.
func TestPaceIsAMeanThatAges(t *testing.T) {
	l, now := &LiveState{}, time.Now()
	assert.Equal(t, l.Pace(now), 1.0)
	for i := range 40 {
		now = now.Add(100 * time.Millisecond)
		l.RecordLoad(Load{PacePercent: 100 + 150*(i%2)}, now)
	}
	assert.Assert(t, l.Pace(now) > 1.5 && l.Pace(now) < 2, "%v", l.Pace(now))
	assert.Assert(t, l.Pace(now.Add(4*paceLifetime)) < 1.05)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		l.RecordLoad(Load{PacePercent: 250}, now)
	}
	assert.Assert(t, l.Pace(now) > 2.3, "a lasting pace is not followed: %v", l.Pace(now))
}
