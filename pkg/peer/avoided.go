package peer

import (
	"sync"
	"time"
)

const (
	// firstAvoid is how long an instance that did not answer is passed over the
	// first time. It doubles with each further failure up to maxAvoid. Source: a
	// restart takes about as long, and others take as long as the latter to
	// notice that an instance is gone.
	firstAvoid = 2 * time.Second
	maxAvoid   = 16 * time.Second
)

// Backoff remembers which instances did not answer. The zero value is empty.
type Backoff struct {
	mu        sync.Mutex
	addresses map[string]avoidance
}

type avoidance struct {
	until time.Duration // boot time
	last  time.Duration // for how long
}

// MayCall reports whether an instance is not passed over at a boot time.
func (a *Backoff) MayCall(address string, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now >= a.addresses[address].until
}

// RecordFailure notes that an instance did not answer. It returns how long it is passed
// over, or zero if it is already.
func (a *Backoff) RecordFailure(address string, now time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.addresses[address]
	if now < known.until {
		return 0
	}
	if a.addresses == nil {
		a.addresses = make(map[string]avoidance)
	}
	d := min(max(2*known.last, firstAvoid), maxAvoid)
	a.addresses[address] = avoidance{until: now + d, last: d}
	return d
}

// RecordSuccess notes that an instance answered.
func (a *Backoff) RecordSuccess(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.addresses, address)
}
