package claim

import (
	"sync"
	"time"
)

const (
	// QuarantineDuration is how long a request that crashed targets is refused.
	QuarantineDuration = 10 * time.Minute
	// suspectWindow is how long after its last crash a request stays suspect.
	// Unrelated crashes are further apart.
	suspectWindow = 10 * time.Minute
	// crashesToQuarantine is the number of crashes that quarantines a request.
	// A single one may be a coincidence.
	crashesToQuarantine = 2
	// sameCrashWindow is the time within which failures on one incarnation of a
	// target count as one crash that several copies of a request have seen. It
	// is shorter than a restart, which matters for services: they have no
	// incarnation that would tell one run from the next.
	sameCrashWindow = 2 * time.Second
	// maxDigests bounds the suspects and, separately, the quarantined requests.
	maxDigests = 4096
	// removeExpiredInterval is the time between two removals of requests whose
	// quarantine has expired.
	removeExpiredInterval = time.Minute
)

// PoisonDetector quarantines requests that crash their targets. It counts the
// crashes that this instance has seen and those reported by other instances. It
// is safe for concurrent use.
type PoisonDetector struct {
	// OnQuarantine is called for each request that RecordCrash quarantines, so
	// that other instances can be notified. It runs on the request path and must
	// not block. It may be nil and must be set before use.
	OnQuarantine func(request Digest, expiry time.Time)
	// OnCrash is called for each new crash that this instance has seen, so that
	// other instances can be notified: a caller that retries its request may
	// reach another instance. It runs on the request path and must not block. It
	// may be nil and must be set before use.
	OnCrash func(crash Crash)

	mu          sync.Mutex
	suspects    map[Digest]*suspect
	quarantined map[Digest]time.Time
	nextRemoval time.Time
}

type suspect struct {
	crashes []crash
	expiry  time.Time
}

// Crash identifies the crash of a target while it ran a request. Incarnation is
// empty for services.
type Crash struct {
	Request     Digest
	Target      string
	Incarnation string
}

type crash struct {
	target, incarnation string
	at                  time.Time
}

// NewPoisonDetector returns an empty detector.
func NewPoisonDetector() *PoisonDetector {
	return &PoisonDetector{suspects: make(map[Digest]*suspect), quarantined: make(map[Digest]time.Time)}
}

// RecordCrash records that this instance saw a target crash while it ran a
// request. It calls OnCrash if the crash is new, and OnQuarantine if the request
// is quarantined because of it.
func (p *PoisonDetector) RecordCrash(request Digest, target, incarnation string, now time.Time) {
	seen := Crash{Request: request, Target: target, Incarnation: incarnation}
	isNew, expiry := p.addCrash(seen, now)
	if isNew && p.OnCrash != nil {
		p.OnCrash(seen)
	}
	if !expiry.IsZero() && p.OnQuarantine != nil {
		p.OnQuarantine(request, expiry)
	}
}

// RecordPeerCrash records a crash that another instance has seen. It calls no
// callbacks.
func (p *PoisonDetector) RecordPeerCrash(seen Crash, now time.Time) { p.addCrash(seen, now) }

// addCrash reports whether the crash is new. If it causes a quarantine, addCrash
// also returns the end of the quarantine, otherwise the zero time.
func (p *PoisonDetector) addCrash(seen Crash, now time.Time) (bool, time.Time) {
	expiry := now.Add(QuarantineDuration)
	isNew, quarantined := p.countCrash(seen.Request, crash{target: seen.Target, incarnation: seen.Incarnation, at: now}, expiry)
	if !quarantined {
		return isNew, time.Time{}
	}
	return isNew, expiry
}

// countCrash counts a crash and reports whether it is new and whether it causes a
// quarantine.
func (p *PoisonDetector) countCrash(request Digest, seen crash, expiry time.Time) (isNew, quarantined bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.suspects[request]
	if s == nil || !seen.at.Before(s.expiry) {
		p.evictSuspects(request, seen.at)
		s = &suspect{}
		p.suspects[request] = s
	}
	if s.hasCrash(seen) {
		return false, false
	}
	s.crashes = append(s.crashes, seen)
	s.expiry = seen.at.Add(suspectWindow)
	if len(s.crashes) < crashesToQuarantine {
		return true, false
	}
	delete(p.suspects, request)
	p.quarantine(request, expiry)
	return true, true
}

func (s *suspect) hasCrash(seen crash) bool {
	for _, c := range s.crashes {
		if c.target == seen.target && c.incarnation == seen.incarnation && seen.at.Sub(c.at) < sameCrashWindow {
			return true
		}
	}
	return false
}

// AddQuarantine quarantines a request on behalf of another instance. It never
// shortens a quarantine.
func (p *PoisonDetector) AddQuarantine(request Digest, expiry time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if expiry.After(p.quarantined[request]) {
		p.quarantine(request, expiry)
	}
}

// QuarantinedUntil returns the end of a request's quarantine, or false if the
// request may run.
func (p *PoisonDetector) QuarantinedUntil(request Digest, now time.Time) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeExpired(now)
	expiry, ok := p.quarantined[request]
	if !ok || !now.Before(expiry) {
		return time.Time{}, false
	}
	// The clock of the instance that set the end may be ahead of this one's.
	if latest := now.Add(QuarantineDuration); expiry.After(latest) {
		expiry = latest
		p.quarantined[request] = expiry
	}
	return expiry, true
}

// removeExpired removes the requests whose quarantine has expired. It visits all
// of them and therefore does nothing within removeExpiredInterval of the last run.
func (p *PoisonDetector) removeExpired(now time.Time) {
	if now.Before(p.nextRemoval) {
		return
	}
	p.nextRemoval = now.Add(removeExpiredInterval)
	for request, expiry := range p.quarantined {
		if !now.Before(expiry) {
			delete(p.quarantined, request)
		}
	}
}

// IsQuarantineEmpty reports whether no request is quarantined. The caller can
// then skip computing the digest of a request.
func (p *PoisonDetector) IsQuarantineEmpty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.quarantined) == 0
}

// quarantine adds a request. If maxDigests is reached, it evicts the request
// whose quarantine ends first.
func (p *PoisonDetector) quarantine(request Digest, expiry time.Time) {
	if _, ok := p.quarantined[request]; !ok && len(p.quarantined) >= maxDigests {
		var first Digest
		var firstExpiry time.Time
		for other, at := range p.quarantined {
			if firstExpiry.IsZero() || at.Before(firstExpiry) {
				first, firstExpiry = other, at
			}
		}
		delete(p.quarantined, first)
	}
	p.quarantined[request] = expiry
}

// evictSuspects makes room for a new suspect when maxDigests is reached: it
// removes expired suspects or, if none has expired, the one that expires first.
func (p *PoisonDetector) evictSuspects(request Digest, now time.Time) {
	if _, ok := p.suspects[request]; ok || len(p.suspects) < maxDigests {
		return
	}
	var first Digest
	var firstExpiry time.Time
	for other, s := range p.suspects {
		if !now.Before(s.expiry) {
			delete(p.suspects, other)
			continue
		}
		if firstExpiry.IsZero() || s.expiry.Before(firstExpiry) {
			first, firstExpiry = other, s.expiry
		}
	}
	if len(p.suspects) >= maxDigests {
		delete(p.suspects, first)
	}
}
