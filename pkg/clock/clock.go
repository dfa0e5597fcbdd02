// Package clock provides the time through an interface, so that tests can control
// it, and helpers for waits.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock provides the time of day and the time since boot. Implementations are safe
// for concurrent use.
type Clock interface {
	// Now returns the time of day.
	Now() time.Time
	// Elapsed returns the time since boot, including time spent suspended.
	// Leases are measured with it, because the monotonic clock of time.Time
	// does not advance while the machine is suspended.
	Elapsed() time.Duration
}

// System is the clock of the machine.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// Elapsed implements Clock.
func (System) Elapsed() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Fake is a clock for tests. Only Advance moves it.
type Fake struct {
	mu      sync.Mutex
	now     time.Time
	elapsed time.Duration
}

// NewFake returns a fake clock with the time of day now and zero elapsed time.
func NewFake(now time.Time) *Fake { return &Fake{now: now} }

// Now implements Clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Elapsed implements Clock.
func (f *Fake) Elapsed() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.elapsed
}

// Advance moves the time of day and the elapsed time forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	f.elapsed += d
}
