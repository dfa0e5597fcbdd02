package choice

import "time"

// breaker is the circuit breaker of one target. The zero value is closed. It is
// not safe for concurrent use.
type breaker struct {
	failures  int           // consecutive, while closed
	openFor   time.Duration // zero while closed
	openUntil time.Time     // half-open afterwards
	probing   bool          // a probe is in flight
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

// recordSent records that a request was sent. It is the probe if the circuit is
// half-open.
func (b *breaker) recordSent(now time.Time) {
	if b.openFor > 0 {
		b.probing, b.probedAt = true, now
	}
}

// recordSuccess records a success and reports whether it closed the circuit. It
// has no effect while the circuit is open, since the request was sent before
// that.
func (b *breaker) recordSuccess(now time.Time) bool {
	if b.openFor > 0 && now.Before(b.openUntil) {
		return false
	}
	closed := b.openFor > 0
	*b = breaker{}
	return closed
}

// recordFailure records a failure and reports whether it opened the circuit.
// The open time is extended by up to a half in proportion to jitter, a value in
// [0, 1) that differs between instances, so that they do not all probe at the
// same time.
func (b *breaker) recordFailure(now time.Time, p *Params, jitter float64) bool {
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

// releaseProbe allows another probe after one that ended without a result.
func (b *breaker) releaseProbe() { b.probing = false }
