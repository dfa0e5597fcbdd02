package choice

import "time"

// breaker is the circuit breaker of one target. The zero value is closed.
type breaker struct {
	failures  int           // in sequence, while closed
	openFor   time.Duration // zero while closed
	openUntil time.Time     // half-open afterwards
	probing   bool
	probedAt  time.Time
}

// allows reports whether a request may be sent: always while closed, never
// while open, and one at a time while half-open.
func (b *breaker) allows(now time.Time, p *Params) bool {
	if b.openFor == 0 {
		return true
	}
	if now.Before(b.openUntil) {
		return false
	}
	return !b.probing || now.Sub(b.probedAt) >= p.ProbeTimeout
}

// sent notes that a request goes out.
func (b *breaker) sent(now time.Time) {
	if b.openFor > 0 {
		b.probing, b.probedAt = true, now
	}
}

// succeeded notes a success and reports whether it closed the circuit. While
// the circuit is open it belongs to an earlier request and proves nothing.
func (b *breaker) succeeded(now time.Time) bool {
	if b.openFor > 0 && now.Before(b.openUntil) {
		return false
	}
	closed := b.openFor > 0
	*b = breaker{}
	return closed
}

// failed notes a failure and reports whether it opened the circuit. The time
// it stays open is lengthened by up to a half, by a value of the instance, so
// that not all instances probe at once.
func (b *breaker) failed(now time.Time, p *Params, jitter float64) bool {
	switch {
	case b.openFor > 0 && now.Before(b.openUntil):
		return false
	case b.openFor > 0:
		b.openFor = min(2*b.openFor, p.MaxOpen)
	default:
		b.failures++
		if b.failures < p.FailureThreshold {
			return false
		}
		b.openFor = p.InitialOpen
	}
	b.failures, b.probing = 0, false
	b.openUntil = now.Add(b.openFor + time.Duration(jitter*float64(b.openFor)/2))
	return true
}

// release frees the place of a probe that ended without a result.
func (b *breaker) release() { b.probing = false }
