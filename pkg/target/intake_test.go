package target

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Work reached a target during a pause that it had asked for, when a later response
// asked for a shorter one.
func TestNoWorkBeforeTheEndOfAnyPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := &Target{ID: "t", Slots: 8, Live: &LiveState{}}
		now, pausedUntil := time.Hour, time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "asks") {
				pause := time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause ms")) * time.Millisecond
				x.Live.RecordPause(now, pause)
				pausedUntil = max(pausedUntil, now+pause)
			}
			intake := x.Intake(now)
			if intake.Allowed && now < pausedUntil {
				t.Fatalf("work allowed %v before the end of a pause", pausedUntil-now)
			}
			if !intake.Allowed && intake.From > pausedUntil+maxPauseSpread {
				t.Fatalf("work refused until %v after the end of all pauses", intake.From-pausedUntil)
			}
			if !intake.Allowed && x.IntakeForChoice(now).Allowed {
				t.Fatal("a target that gets no work is chosen")
			}
		}
	})
}

// All requests that had waited for the end of a pause reached the target at once, and
// it asked for the next one.
func TestReturnAfterAPauseIsGradual(t *testing.T) {
	x := &Target{ID: "t", Slots: 16, Live: &LiveState{}}
	x.Live.RecordPause(0, time.Second)
	end := x.Intake(0).From
	start := func(at time.Duration) (sent int) {
		for x.IntakeForChoice(at).Allowed && sent < 100 {
			x.Live.InFlight.Add(1)
			sent++
		}
		return sent
	}
	assert.Equal(t, start(end-time.Millisecond), 0)
	assert.Equal(t, start(end), 1)
	assert.Equal(t, start(end+returnPeriod/2), 8)
	assert.Equal(t, start(end+returnPeriod), 100, "still limited after the return")
}
