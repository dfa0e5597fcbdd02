package relay_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/relay"
)

// Every latency must be counted, also beyond the upper bound, and the number of
// histograms must stay bounded when there are many routes.
func TestLatencyHistograms(t *testing.T) {
	var l relay.LatencyHistograms
	for i := range 100 {
		l.Record("r", time.Duration(i+1)*time.Millisecond)
	}
	l.Record("r", time.Hour)
	for i := range 100 {
		l.Record(fmt.Sprint("route-", i), time.Millisecond)
	}
	var shown map[string]struct {
		Count   int64            `json:"count"`
		P50     int64            `json:"p50_ms"`
		Max     int64            `json:"max_ms"`
		Buckets map[string]int64 `json:"up_to_ms"`
	}
	assert.NilError(t, json.Unmarshal([]byte(l.String()), &shown))
	assert.Equal(t, shown["r"].Count, int64(101))
	assert.Assert(t, shown["r"].P50 >= 50 && shown["r"].P50 <= 52, "the median is %d ms, want 50 to 52 ms", shown["r"].P50)
	assert.Assert(t, shown["r"].Max >= 59_000)
	assert.Equal(t, shown["r"].Buckets["50ms"], int64(50))
	assert.Assert(t, len(shown) <= 33, "%d histograms, want at most 33", len(shown))
}
