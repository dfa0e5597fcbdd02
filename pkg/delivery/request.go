package delivery

import (
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// Outcome is how an attempt at a target ended, as evidence about its version.
type Outcome uint8

// Outcomes.
const (
	// OutcomeNone is no evidence: the request was not sent, the target said that it has not
	// run it, or the caller left.
	OutcomeNone     Outcome = iota
	OutcomeAnswered         // whole, and no failure
	OutcomeFailed           // the target answered with a failure
	OutcomeBroken           // no whole answer
	OutcomeTimedOut         // no whole answer at the deadline
)

// Selection selects the versions that may get the attempts of one request. The methods
// of a nil Selection select all. It is used by one goroutine at a time.
type Selection struct {
	controller *Controller
	pool       string
	routeName  string
	route      uint32
	key        float64 // place in the hash range
	// coldAllowance is how much longer an engine takes that has no shared part cached.
	coldAllowance time.Duration
	compareTime   bool
	scale         float64 // of times before they are compared

	attempts int       // that were chosen a target for
	delivery *delivery // of the current attempt
	target   *target.Target
	reserved bool // allowance for the current attempt
}

// comparedWork is the work to whose size the times of requests are scaled.
const comparedWork = 50 * time.Millisecond

// Request describes a request for a Selection.
type Request struct {
	Pool, Route string
	// Key selects the requests that go to a new version: those with the same key do.
	Key           string
	ColdAllowance time.Duration
	// Work is the time that the request is expected to take beside no other; zero if it is
	// about the same for all requests of the route. Requests with the same key go to the same
	// version and may all be long, so times are compared in proportion to it.
	Work time.Duration
	// IsResumed is set if the caller has a part of the answer, so that its time tells
	// nothing.
	IsResumed bool
}

// Begin returns the selection for a request. It returns nil if the controller is nil.
func (c *Controller) Begin(r Request) *Selection {
	if c == nil {
		return nil
	}
	scale := 1.0
	if r.Work > 0 {
		scale = float64(comparedWork) / float64(r.Work)
	}
	return &Selection{scale: scale, controller: c, pool: r.Pool, routeName: r.Route, route: hash32(r.Route), key: unitHash(r.Key), coldAllowance: r.ColdAllowance, compareTime: !r.IsResumed}
}

// Candidates returns the targets for the next attempt: one of first if any of them can take
// it, else one of second. It may be called again while the request waits for a target.
func (s *Selection) Candidates(all []*target.Target) (first, second []*target.Target) {
	if s == nil {
		return all, nil
	}
	c := s.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	s.release()
	p := c.pool(s.pool)
	d := p.delivery
	s.delivery, s.target = d, nil
	now := c.Clock.Elapsed()
	if d == nil || d.phase == PhaseCompleted {
		return p.usableTargets(all, now), nil
	}
	parts := c.split(p, all, now)
	switch {
	case d.isInForce && !d.sawOld:
		return parts.new, nil
	case d.phase == PhaseRolledBack, d.missingAt > 0:
		return parts.old, nil
	case d.hasMoved(now):
		return parts.new, nil
	case d.phase == PhaseMoving && s.attempts == 0 && s.key < movingRange(c.share(), now-d.movingAt, d.order.Duration):
		return parts.new, parts.old
	case d.phase == PhaseMoving:
		return parts.old, parts.new
	}
	return s.trialCandidates(d, parts)
}

// trialCandidates selects targets in the trial. Only the first attempt may go to the new
// version, so that repeats stay within the allowance, and only within it.
func (s *Selection) trialCandidates(d *delivery, parts split) (first, second []*target.Target) {
	share, slack := s.controller.share(), s.controller.slack(d)
	if s.attempts > 0 || len(parts.trial) == 0 || d.allowance.left(share, slack) < 1 {
		return parts.old, nil
	}
	isExposed := s.key < d.allowance.exposedRange(share, slack)
	if !isExposed && countUsable(parts.old) > 0 {
		return parts.old, nil
	}
	d.allowance.exposed++
	s.reserved = true
	return parts.trial, parts.old
}

// release returns the allowance of an attempt that did not go to the new version. The
// caller holds the lock of the controller.
func (s *Selection) release() {
	if s.reserved {
		s.delivery.allowance.exposed--
		s.reserved = false
	}
}

// Choose records the target of the attempt, before it is sent there; nil: there is none.
func (s *Selection) Choose(t *target.Target) {
	if s == nil {
		return
	}
	s.controller.mu.Lock()
	defer s.controller.mu.Unlock()
	s.target = t
	if t != nil {
		s.attempts++
	}
	if d := s.delivery; d != nil && (t == nil || t.Version != d.order.Version) {
		s.release()
	}
}

// MayUse reports whether the target may still get the attempt. It is called right before
// the request is sent: the phase may have changed since the choice.
func (s *Selection) MayUse(t *target.Target) bool {
	if s == nil {
		return true
	}
	c := s.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(s.pool)
	d := p.delivery
	if d == nil {
		return true
	}
	isNew := t.Version == d.order.Version
	switch {
	case d.isInForce && !d.sawOld:
		return isNew
	case d.phase == PhaseCompleted:
		return !p.versions.blocked[t.Version]
	case d.phase == PhaseRolledBack, d.missingAt > 0:
		return !isNew
	case d.hasMoved(c.Clock.Elapsed()):
		return isNew
	case d.phase == PhaseTrial && isNew:
		// An attempt that was chosen before the order was known has no allowance.
		return s.reserved && s.delivery == d
	}
	return true
}

// Finish records how the attempt ended. wasSent is set if the target may have got the
// request, and took is the time since the attempt began.
func (s *Selection) Finish(o Outcome, wasSent bool, took time.Duration) {
	if s == nil || s.target == nil {
		return
	}
	c := s.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(s.pool)
	d := s.delivery
	isOld := d == nil || s.target.Version != d.order.Version
	if wasSent {
		s.reserved = false
	} else {
		s.release()
	}
	took = time.Duration(float64(took) * s.scale)
	times := p.timesOf(s.route)
	p.routes[s.route] = s.routeName
	if isOld && o == OutcomeAnswered && s.compareTime {
		times.add(took)
	}
	if d == nil || d != p.delivery || !wasSent {
		return
	}
	if s.attempts == 1 {
		d.allowance.sent++
	}
	if !isOld {
		c.Metrics.Add("delivery_requests_to_new_version", 1)
	}
	if o != OutcomeNone {
		now := c.Clock.Elapsed()
		if !isOld && d.firstExposedAt == 0 {
			d.firstExposedAt = now
		}
		d.record(s, o, now, times, took)
	}
}
