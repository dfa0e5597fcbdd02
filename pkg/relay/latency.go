package relay

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the upper bound of the histograms; longer times are
	// recorded as this one.
	maxLatency = time.Minute
	// latencyDigits is the number of significant digits of the histograms.
	latencyDigits = 2
	// maxSeries bounds the number of histograms. Further routes share one.
	maxSeries = 32
	// otherRoutes is the name of the histogram that further routes share.
	otherRoutes = "other"
)

// LatencyHistograms holds a latency histogram per route and implements
// expvar.Var. Its methods may be called concurrently.
type LatencyHistograms struct {
	mu     sync.Mutex
	series map[string]*hdrhistogram.Histogram
}

// Record adds a latency to the histogram of a route.
func (l *LatencyHistograms) Record(route string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.series == nil {
		l.series = make(map[string]*hdrhistogram.Histogram)
	}
	h := l.series[route]
	if h == nil && len(l.series) >= maxSeries {
		route = otherRoutes
		h = l.series[route]
	}
	if h == nil {
		h = hdrhistogram.New(1, maxLatency.Milliseconds(), latencyDigits)
		l.series[route] = h
	}
	// The value is clamped to the range, so RecordValue cannot fail.
	_ = h.RecordValue(min(max(1, d.Milliseconds()), maxLatency.Milliseconds()))
}

// latencySummary is a histogram as it is published, in milliseconds.
type latencySummary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_ms"`
	P90   int64 `json:"p90_ms"`
	P99   int64 `json:"p99_ms"`
	Max   int64 `json:"max_ms"`
	// Buckets has the number of latencies up to each bound.
	Buckets map[string]int64 `json:"up_to_ms"`
}

// latencyBounds are the bounds of the published buckets, in milliseconds.
var latencyBounds = []int64{10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10_000, 60_000}

// String returns the histograms as JSON. It implements expvar.Var.
func (l *LatencyHistograms) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]latencySummary, len(l.series))
	for route, h := range l.series {
		s := latencySummary{
			Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99),
			Max: h.Max(), Buckets: make(map[string]int64, len(latencyBounds)),
		}
		for _, bucket := range h.Distribution() {
			for _, bound := range latencyBounds {
				if bucket.To <= bound {
					s.Buckets[time.Duration(bound*int64(time.Millisecond)).String()] += bucket.Count
				}
			}
		}
		out[route] = s
	}
	text, err := json.Marshal(out)
	if err != nil {
		return `{"error":"histograms cannot be encoded"}`
	}
	return string(text)
}
