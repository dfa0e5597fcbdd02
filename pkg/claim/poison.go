package claim

import (
	"sync"
	"time"
)

const (
	// QuarantineDuration is how long a request that crashes targets is refused.
	QuarantineDuration = 10 * time.Minute
	// suspectTime is how long one crash is remembered. Unrelated crashes are
	// further apart.
	suspectTime = 10 * time.Minute
	// crashesToQuarantine is the number of crashes that a request is let cause:
	// one may be chance.
	crashesToQuarantine = 2
	// sameCrashWindow is the time within which failures on one incarnation of a
	// target are one crash, seen by several copies of a request. A target needs
	// longer to start again, and services have no incarnation to tell starts
	// apart by.
	sameCrashWindow = 2 * time.Second
	// maxPoison bounds the digests kept, for suspects and quarantined each.
	maxPoison = 4096
	// removeExpiredInterval is the time between two removals of released
	// requests.
	removeExpiredInterval = time.Minute
)

// PoisonDetector finds requests that crash their targets. It counts the crashes that
// this instance has seen: crashes that two instances have seen one each of do
// not add up.
type PoisonDetector struct {
	// OnQuarantine is called for each request that this instance quarantines,
	// to tell other instances. It runs on the request path and must not block.
	// It may be nil and must be set before use.
	OnQuarantine func(request Digest, expiry time.Time)
	// OnCrash is called for each new crash that this instance has seen, so that
	// crashes seen by different instances add up: a caller that sends its
	// request again may reach another one. It may be nil and must be set before
	// use.
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

// Crash is a target that crashed while it ran a request.
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

// RecordCrash records that a request was running on a target that crashed.
func (p *PoisonDetector) RecordCrash(request Digest, target, incarnation string, now time.Time) {
	seen := Crash{Request: request, Target: target, Incarnation: incarnation}
	isNew, expiry := p.observe(seen, now)
	if isNew && p.OnCrash != nil {
		p.OnCrash(seen)
	}
	if !expiry.IsZero() && p.OnQuarantine != nil {
		p.OnQuarantine(request, expiry)
	}
}

// RecordPeerCrash records a crash that another instance has seen.
func (p *PoisonDetector) RecordPeerCrash(seen Crash, now time.Time) { p.observe(seen, now) }

// observe reports whether the crash is new, and until when the request is
// quarantined by it.
func (p *PoisonDetector) observe(seen Crash, now time.Time) (bool, time.Time) {
	expiry := now.Add(QuarantineDuration)
	isNew, quarantined := p.record(seen.Request, crash{target: seen.Target, incarnation: seen.Incarnation, at: now}, expiry)
	if !quarantined {
		return isNew, time.Time{}
	}
	return isNew, expiry
}

// record reports whether the crash is new and whether the request is
// quarantined by it.
func (p *PoisonDetector) record(request Digest, seen crash, expiry time.Time) (isNew, quarantined bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.suspects[request]
	if s == nil || !seen.at.Before(s.expiry) {
		p.makeRoomForSuspect(request, seen.at)
		s = &suspect{}
		p.suspects[request] = s
	}
	if s.has(seen) {
		return false, false
	}
	s.crashes = append(s.crashes, seen)
	s.expiry = seen.at.Add(suspectTime)
	if len(s.crashes) < crashesToQuarantine {
		return true, false
	}
	delete(p.suspects, request)
	p.quarantine(request, expiry)
	return true, true
}

func (s *suspect) has(seen crash) bool {
	for _, c := range s.crashes {
		if c.target == seen.target && c.incarnation == seen.incarnation && seen.at.Sub(c.at) < sameCrashWindow {
			return true
		}
	}
	return false
}

// AddQuarantine quarantines a request by the notice of another instance.
func (p *PoisonDetector) AddQuarantine(request Digest, expiry time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if expiry.After(p.quarantined[request]) {
		p.quarantine(request, expiry)
	}
}

// QuarantinedUntil reports until when a request is quarantined. It is false when the
// request may run.
func (p *PoisonDetector) QuarantinedUntil(request Digest, now time.Time) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeExpired(now)
	expiry, ok := p.quarantined[request]
	if !ok || !now.Before(expiry) {
		return time.Time{}, false
	}
	// The clock of the instance that sent a notice may be ahead.
	if latest := now.Add(QuarantineDuration); expiry.After(latest) {
		expiry = latest
		p.quarantined[request] = expiry
	}
	return expiry, true
}

// removeExpired releases requests whose time is over, at intervals, because it
// looks at all of them.
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

// IsQuarantineEmpty reports whether nothing is quarantined, so that the digest of a
// request need not be computed.
func (p *PoisonDetector) IsQuarantineEmpty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.quarantined) == 0
}

// quarantine adds a request. When there are too many, the one that would be
// released first makes room.
func (p *PoisonDetector) quarantine(request Digest, expiry time.Time) {
	if _, ok := p.quarantined[request]; !ok && len(p.quarantined) >= maxPoison {
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

// makeRoomForSuspect drops the suspects that have expired, and if that is not
// enough the one that expires first.
func (p *PoisonDetector) makeRoomForSuspect(request Digest, now time.Time) {
	if _, ok := p.suspects[request]; ok || len(p.suspects) < maxPoison {
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
	if len(p.suspects) >= maxPoison {
		delete(p.suspects, first)
	}
}
