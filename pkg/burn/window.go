// Package burn counts good and bad requests against service-level objectives
// and computes how fast each error budget burns.
package burn

import "time"

// bucketsPerWindow is the number of buckets of a sliding window. The oldest
// bucket is dropped as a whole, so the window covers 11/12 to 12/12 of its
// length.
const bucketsPerWindow = 12

// BurnWindows are the windows over which burn rates are computed, shortest
// first. An alarm needs a high rate in a long window and in the short window
// paired with it, so that it clears soon after the fault ends.
var BurnWindows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// RequestCounts holds the numbers of good and bad requests in a window.
type RequestCounts struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// Total returns the number of requests that count towards the objective.
func (c RequestCounts) Total() uint64 { return c.Good + c.Bad }

func (c *RequestCounts) add(other RequestCounts) {
	c.Good += other.Good
	c.Bad += other.Bad
}

// window counts requests in a sliding window of the given length.
type window struct {
	length  time.Duration
	buckets [bucketsPerWindow]RequestCounts // ring, indexed by bucket number modulo size
	newest  int64                           // number of the newest bucket since the Unix epoch
}

func (w *window) bucketLength() time.Duration { return w.length / bucketsPerWindow }

// advance clears the buckets that have left the window.
func (w *window) advance(now time.Time) {
	current := now.UnixNano() / int64(w.bucketLength())
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
