package admission

import "time"

// maxBookedAhead bounds how far ahead return times are booked.
const maxBookedAhead = 5 * time.Second

// ReturnTimes hands out times at which refused callers should come back, one after
// another in the order of refusals. Load pattern: many callers are refused in a burst;
// if they returned together, the next ones would be refused for the same reason.
type ReturnTimes struct {
	last time.Time // booked last
}

// Book returns the time until the caller should come back: not before wait, and spacing
// after the one before. Beyond maxBookedAhead all get the same time, which the sender
// of Retry-After spreads at random.
func (r *ReturnTimes) Book(wait, spacing time.Duration, now time.Time) time.Duration {
	at := now.Add(wait)
	if next := r.last.Add(spacing); next.After(at) {
		at = next
	}
	if latest := now.Add(max(wait, maxBookedAhead)); at.After(latest) {
		at = latest
	}
	r.last = at
	return at.Sub(now)
}
