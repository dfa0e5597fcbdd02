// Package burn counts good and bad requests against service-level objectives
// and computes how fast each error budget burns.
package burn

import "time"

// bucketsPerWindow is the number of buckets that a window is divided into. The
// oldest bucket is dropped as a whole, so a window is exact to one twelfth.
const bucketsPerWindow = 12

// BurnWindows are the spans over which burn rates are computed. A page-worthy alarm
// needs a high rate in a long window and in the short one that goes with it, so
// that it ends soon after the fault ends.
var BurnWindows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// RequestCounts are the requests of a window.
type RequestCounts struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// Total returns all requests that count towards the objective.
func (c RequestCounts) Total() uint64 { return c.Good + c.Bad }

func (c *RequestCounts) add(other RequestCounts) {
	c.Good += other.Good
	c.Bad += other.Bad
}

// window counts over a sliding span.
type window struct {
	span    time.Duration
	buckets [bucketsPerWindow]RequestCounts
	newest  int64 // number of the newest bucket since the Unix epoch
}

func (w *window) bucketSpan() time.Duration { return w.span / bucketsPerWindow }

// advance drops buckets that are older than the window.
func (w *window) advance(now time.Time) {
	current := now.UnixNano() / int64(w.bucketSpan())
	if current <= w.newest {
		return
	}
	if current-w.newest >= bucketsPerWindow {
		w.buckets = [bucketsPerWindow]RequestCounts{}
	} else {
		for n := w.newest + 1; n <= current; n++ {
			w.buckets[n%bucketsPerWindow] = RequestCounts{}
		}
	}
	w.newest = current
}

func (w *window) record(now time.Time, good bool) {
	w.advance(now)
	bucket := &w.buckets[w.newest%bucketsPerWindow]
	if good {
		bucket.Good++
		return
	}
	bucket.Bad++
}

func (w *window) counts(now time.Time) RequestCounts {
	w.advance(now)
	var sum RequestCounts
	for _, bucket := range w.buckets {
		sum.add(bucket)
	}
	return sum
}
