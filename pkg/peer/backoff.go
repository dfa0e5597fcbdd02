package peer

import (
	"sync"
	"time"
)

const (
	// minBackoff is the first backoff of an instance that did not answer. It
	// doubles with each further failure up to maxBackoff. A restart takes about
	// minBackoff; other instances detect that an instance is gone within about
	// maxBackoff.
	minBackoff = 2 * time.Second
	maxBackoff = 16 * time.Second
)

// Backoff tracks, by address, which instances did not answer and until when they
// are not to be called. The zero value is ready to use. It is safe for concurrent
// use.
type Backoff struct {
	mu     sync.Mutex
	states map[string]backoffState
}

type backoffState struct {
	until time.Duration // end of the backoff, in time since boot
	delay time.Duration // length of the backoff
}

// MayCall reports whether the address is not in backoff at now, which is in time
// since boot.
func (b *Backoff) MayCall(address string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now >= b.states[address].until
}

// Until returns when the backoff of the address ends, in time since boot; zero if it has
// none.
func (b *Backoff) Until(address string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.states[address].until
}

// RecordFailure starts a backoff after a failed call at now and returns its
// length. It returns zero and changes nothing if the address is in backoff already.
func (b *Backoff) RecordFailure(address string, now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.states[address]
	if now < state.until {
		return 0
	}
	if b.states == nil {
		b.states = make(map[string]backoffState)
	}
	d := min(max(2*state.delay, minBackoff), maxBackoff)
	b.states[address] = backoffState{until: now + d, delay: d}
	return d
}

// RecordSuccess clears the backoff of an address.
func (b *Backoff) RecordSuccess(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.states, address)
}
