package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An instance that is gone must not be called again and again: its backoff doubles
// with each failure up to the maximum. An instance that is back must be called as
// soon as its backoff ends, and a success clears the backoff.
func TestBackoffDoublesUntilSuccess(t *testing.T) {
	var b Backoff
	now := time.Second
	assert.Assert(t, b.MayCall("x", now))
	for _, want := range []time.Duration{minBackoff, 2 * minBackoff, 4 * minBackoff, maxBackoff, maxBackoff} {
		assert.Equal(t, b.RecordFailure("x", now), want)
		assert.Equal(t, b.RecordFailure("x", now), time.Duration(0))
		assert.Assert(t, !b.MayCall("x", now+want-1))
		now += want
		assert.Assert(t, b.MayCall("x", now))
	}
	b.RecordSuccess("x")
	assert.Equal(t, b.RecordFailure("x", now), minBackoff)
	assert.Assert(t, b.MayCall("y", now))
}
