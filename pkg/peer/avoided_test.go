package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against instances that are gone and asked again and again, and against
// those that are back and never asked.
func TestAvoided(t *testing.T) {
	var a Backoff
	now := time.Second
	assert.Assert(t, a.MayCall("x", now))
	for _, want := range []time.Duration{firstAvoid, 2 * firstAvoid, 4 * firstAvoid, maxAvoid, maxAvoid} {
		assert.Equal(t, a.RecordFailure("x", now), want)
		assert.Equal(t, a.RecordFailure("x", now), time.Duration(0))
		assert.Assert(t, !a.MayCall("x", now+want-1))
		now += want
		assert.Assert(t, a.MayCall("x", now))
	}
	a.RecordSuccess("x")
	assert.Equal(t, a.RecordFailure("x", now), firstAvoid)
	assert.Assert(t, a.MayCall("y", now))
}
