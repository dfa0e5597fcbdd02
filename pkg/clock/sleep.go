package clock

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d and returns true. It returns false as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Jitter returns a random duration from 0.5 d to 1.5 d, so that instances that
// started or failed together do not retry at the same time. It panics unless d is
// positive.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
