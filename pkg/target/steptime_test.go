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
	for hop := range 5 {
		l.RecordStepTime(30*time.Millisecond, now.Add(time.Duration(hop)*60*time.Millisecond))
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

// A target kept its last pace for ever if later reports stated none, and a single report
// after a pause was followed whole.
func TestPaceRecoversAndNoSingleReportIsFollowed(t *testing.T) {
	l, now := &LiveState{}, time.Now()
	l.RecordLoad(Load{PacePercent: 300}, now)
	assert.Assert(t, l.Pace(now) <= 2.2, "the first report is followed whole: %v", l.Pace(now))
	for i := range 20 {
		now = now.Add(5 * time.Second)
		l.RecordLoad(Load{PacePercent: []int{300, 100}[i%2]}, now)
		assert.Assert(t, l.Pace(now) <= 2.3, "a sparse report is followed whole: %v", l.Pace(now))
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		l.RecordLoad(Load{PacePercent: 300}, now)
	}
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		l.RecordLoad(Load{Running: 1}, now)
	}
	assert.Assert(t, l.Pace(now) < 1.05, "the pace does not recover: %v", l.Pace(now))
}

// A target that stated a pace of one percent got all requests.
func TestStatedPaceIsBounded(t *testing.T) {
	for _, percent := range []int{1, 10_000_000} {
		l, now := &LiveState{}, time.Now()
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			l.RecordLoad(Load{PacePercent: percent}, now)
		}
		assert.Assert(t, l.Pace(now) >= minPace && l.Pace(now) <= maxPace, "%v", l.Pace(now))
	}
}

// Ten samples of a time long ago outweighed the first new one.
func TestOldStepTimesLoseTheirWeight(t *testing.T) {
	l, now := &LiveState{}, time.Now()
	for i := range 10 {
		l.RecordStepTime(90*time.Millisecond, now.Add(time.Duration(i)*time.Second))
	}
	now = now.Add(10 * time.Minute)
	l.RecordStepTime(30*time.Millisecond, now)
	mean, samples := l.StepTime(now)
	assert.Assert(t, mean < 31*time.Millisecond && samples < 1.1, "%v with weight %v", mean, samples)
}
