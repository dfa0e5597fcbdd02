package clock

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d and reports whether ctx is still in force.
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

// Jitter spreads waits over half to one and a half of d, so that instances that
// started or failed together do not call in step.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
