package callerconn

import (
	"expvar"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// Every request that waited for memory collected and sorted all stalled receipts under the mutex
// every 2 ms, also when enough memory was about to be released.
func TestEnoughIsReleasedWithoutASearch(t *testing.T) {
	l := New(Limits{Memory: testMemory}, hclog.NewNullLogger(), func(string, expvar.Var) {})
	var receipts []*receipt
	for range 100 {
		r := l.newReceipt(causeBody, func() {})
		assert.NilError(t, l.grow(r, 1000))
		r.progressAt = time.Now().Add(-time.Hour)
		receipts = append(receipts, r)
	}
	wanting := &receipt{cause: causeBody}
	assert.Assert(t, l.endStalled(wanting, 1500)) // ends two
	assert.Equal(t, testing.AllocsPerRun(10, func() { l.endStalled(wanting, 2000) }), 0.0)
	ended := 0
	for _, r := range receipts {
		if l.finish(r) {
			ended++
		}
	}
	assert.Equal(t, ended, 2)
	assert.Equal(t, l.yielding, int64(0))
}
