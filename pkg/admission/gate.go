package admission

import (
	"math"
	"slices"
	"time"
)

// Caller describes a request that needs a target of a pool.
type Caller struct {
	Kind         string // of request; kinds have their own mean service time
	Organisation string
	Rank         Rank      // IsLate is ignored: it follows from DueAt
	Arrived      time.Time // first come, first served among equal ranks
	DueAt        time.Time // objective; zero: none
	LeavesAt     time.Time // the caller is gone or the deadline has passed
}

// rankAt returns the rank of the request at a time.
func (c *Caller) rankAt(now time.Time) Rank {
	r := c.Rank
	r.IsLate = !c.DueAt.IsZero() && now.After(c.DueAt)
	return r
}

// goesBefore reports whether a request is served before another one at a time.
func (c *Caller) goesBefore(other *Caller, now time.Time) bool {
	a, b := c.rankAt(now).order(), other.rankAt(now).order()
	return a < b || a == b && c.Arrived.Before(other.Arrived)
}

// PoolLoad is what an instance knows of the load of a pool's targets.
type PoolLoad struct {
	Slots     int           // of all targets that can take requests
	Busy      int           // requests running or waiting there
	Waiting   int           // requests in the targets' queues
	NoQueue   int           // targets where nothing waits
	FreeRoom  int           // requests that targets have room for, for the rank in question
	ReportAge time.Duration // mean age of the load reports
	Part      float64       // of the demand that reaches this instance
}

// isHalfIdle reports whether the pool has so much room that nobody should be refused.
func (l *PoolLoad) isHalfIdle() bool { return l.Waiting == 0 && 2*l.Busy < l.Slots }

// Verdict is the decision for a request that found no room at once.
type Verdict int

// Verdicts.
const (
	Wait   Verdict = iota // ask again after Decision.CheckAfter
	Try                   // the request may be sent if a target has room for it
	Refuse                // it cannot be served before its caller leaves
)

// Reasons of refusals.
const (
	ReasonLeavesBefore = "wait_too_long" // the expected wait is longer than the caller stays
	ReasonQueueFull    = "queue_full"    // the instance holds as many waiting requests as it may
)

// Decision is a verdict with the figures that it was based on.
type Decision struct {
	Verdict      Verdict
	Reason       string        // of a refusal
	CheckAfter   time.Duration // of Wait
	ReturnAfter  time.Duration // of Refuse: when there is expected to be room
	Ahead        int           // waiting requests that are served before this one
	ExpectedWait time.Duration
	ServiceTime  time.Duration // expected, from sending to the first event
}

const (
	// minCheckInterval is the time between two checks of the first waiting requests,
	// and maxCheckInterval of the last ones.
	minCheckInterval = 20 * time.Millisecond
	maxCheckInterval = 250 * time.Millisecond
	// triedTogether is the number of waiting requests that may be sent at the same
	// time: the first one may need a target that is not free.
	triedTogether = 3
	// maxSentTimes bounds the times that are kept of requests that were sent.
	maxSentTimes = 128
	// quickPart is the number of requests of which one is quicker than the service time
	// that is kept.
	quickPart = 4
	// minReportAge is the age assumed for newer reports, since requests take a
	// moment to the target.
	minReportAge = 50 * time.Millisecond
	// meanWeight is the weight of the newest value in moving averages.
	meanWeight = 0.1
	// minPart bounds the expected wait of an instance that has nearly none of the demand.
	minPart = 0.01
	// maxKinds bounds the kinds with their own service time.
	maxKinds = 64
	// urgencyMemory is how long a kind of request counts as part of the demand after
	// the last request.
	urgencyMemory = 10 * time.Second
)

// Gate decides which requests of an instance may be sent to the targets of a pool
// under contention, and in which order. It holds those that wait. It does no I/O, and
// it is not safe for concurrent use. Load pattern: demand above what the targets can do,
// for seconds.
type Gate struct {
	maxWaiting int
	waiting    []*Entry
	returns    ReturnTimes
	// passes are the times of requests that were sent while others of their kind waited, of
	// the most urgent kind and of the others: less urgent ones may stand still while urgent
	// ones are served.
	passes map[bool]passTimes
	// sent are the times of the last requests that were sent, of the most urgent kind and
	// of the others.
	sent     map[bool][]time.Time
	services map[string]time.Duration // quick times from sending to the first event, by kind
	// mostUrgent is the least urgency value of the demand, as of mostUrgentAt.
	mostUrgent   int
	mostUrgentAt time.Time
}

// passTimes are the mean time between two requests that were sent, zero if it is not known,
// and the time of the last one, or when requests began to wait.
type passTimes struct {
	interval time.Duration
	last     time.Time
}

// next returns the times after a request is sent.
func (p passTimes) next(now time.Time) passTimes {
	since := now.Sub(p.last)
	if p.interval == 0 {
		return passTimes{interval: since, last: now}
	}
	return passTimes{interval: p.interval + time.Duration(meanWeight*float64(since-p.interval)), last: now}
}

// Entry is a waiting request.
type Entry struct {
	Caller
	dropped bool // gave its place to a request that goes before it
	// needsOther is set if the targets that had room at the last check cannot take it.
	needsOther bool
}

// NewGate returns a gate that holds up to maxWaiting requests.
func NewGate(maxWaiting int) *Gate {
	return &Gate{maxWaiting: maxWaiting, services: make(map[string]time.Duration), sent: make(map[bool][]time.Time), passes: make(map[bool]passTimes)}
}

// WaitingByKind returns the number of waiting requests of each kind.
func (g *Gate) WaitingByKind() map[string]int {
	counts := make(map[string]int)
	for _, e := range g.waiting {
		counts[e.Kind]++
	}
	return counts
}

// IsMostUrgent records a request of an urgency and reports whether no more urgent ones
// were asked for lately.
func (g *Gate) IsMostUrgent(urgency int, now time.Time) bool {
	if urgency <= g.mostUrgent || now.Sub(g.mostUrgentAt) > urgencyMemory {
		g.mostUrgent, g.mostUrgentAt = urgency, now
	}
	return urgency <= g.mostUrgent
}

// MayPass reports whether a new request may be sent at once if a target has room: no
// waiting request goes before it, and the instance has not used its part of the room.
// If it is sent, it must be recorded with Passed.
func (g *Gate) MayPass(c *Caller, load PoolLoad, now time.Time) bool {
	return g.ahead(c, now) == 0 && g.hasPart(c.Rank, load, now)
}

// Passed records that a new request of a rank was sent.
func (g *Gate) Passed(r Rank, now time.Time) {
	g.recordSent(r, now)
	if times, waits := g.passes[r.IsFirstKind]; waits {
		g.passes[r.IsFirstKind] = times.next(now)
	}
}

// place is how many waiting requests go before another one.
type place struct{ first, others int } // of the most urgent kind, and less urgent ones

func (p place) total() int { return p.first + p.others }

// ahead returns the number of waiting requests that go before c.
func (g *Gate) ahead(c *Caller, now time.Time) int { return g.aheadOf(c, nil, now).total() }

// aheadOf returns the waiting requests that go before c, without one entry.
func (g *Gate) aheadOf(c *Caller, without *Entry, now time.Time) (p place) {
	own := c.rankAt(now).order()
	for _, e := range g.waiting {
		if e == without || e.needsOther {
			continue
		}
		order := e.rankAt(now).order()
		switch {
		case order > own || order == own && !e.Arrived.Before(c.Arrived):
		case e.Rank.IsFirstKind:
			p.first++
		default:
			p.others++
		}
	}
	return p
}

// Preview returns what Offer would decide about a request, without letting it wait.
func (g *Gate) Preview(c Caller, load PoolLoad, now time.Time) Decision {
	if g.MayPass(&c, load, now) {
		return Decision{Verdict: Try}
	}
	return g.judge(&Entry{Caller: c}, load, now)
}

// Offer decides about a request for which no target has room. If it waits, the entry
// must be passed to Check until it is removed with Pass or Leave.
func (g *Gate) Offer(c Caller, load PoolLoad, now time.Time) (*Entry, Decision) {
	e := &Entry{Caller: c}
	d := g.judge(e, load, now)
	if d.Verdict == Refuse {
		return nil, d
	}
	if len(g.waiting) >= g.maxWaiting && !g.dropLast(e, now) {
		return nil, g.refuse(d, e.Rank, ReasonQueueFull, now)
	}
	g.waiting = append(g.waiting, e)
	g.beginPasses(e.Rank, now)
	return e, d
}

// SetRank sets the rank of a waiting request, which may change while it waits.
func (g *Gate) SetRank(e *Entry, r Rank, now time.Time) {
	before := e.Rank
	e.Rank = r
	if !e.dropped && r.IsFirstKind != before.IsFirstKind {
		g.beginPasses(r, now)
		g.endPasses(before)
	}
}

// beginPasses records that a request of a rank begins to wait.
func (g *Gate) beginPasses(r Rank, now time.Time) {
	if _, waits := g.passes[r.IsFirstKind]; !waits {
		g.passes[r.IsFirstKind] = passTimes{last: now}
	}
}

// endPasses forgets the times of the kind of a rank if no request of it waits any more:
// they say nothing about the next time that requests wait.
func (g *Gate) endPasses(r Rank) {
	if !slices.ContainsFunc(g.waiting, func(e *Entry) bool { return e.Rank.IsFirstKind == r.IsFirstKind }) {
		delete(g.passes, r.IsFirstKind)
	}
}

// dropLast makes room for a request by taking the place of the last one in the order. It
// returns false if the new request is the last one itself.
func (g *Gate) dropLast(e *Entry, now time.Time) bool {
	last := e
	for _, other := range g.waiting {
		if !other.dropped && last.goesBefore(&other.Caller, now) {
			last = other
		}
	}
	last.dropped = true
	if last != e {
		g.remove(last)
	}
	return last != e
}

// SkipTargets records that no target with room can take a waiting request that Check let
// try. Until its next check it is not ahead of others, which may use that room.
func (g *Gate) SkipTargets(e *Entry) { e.needsOther = true }

// Check decides about a waiting request again.
func (g *Gate) Check(e *Entry, load PoolLoad, now time.Time) Decision {
	e.needsOther = false
	if e.dropped {
		return g.refuse(g.estimate(e, load, now), e.Rank, ReasonQueueFull, now)
	}
	d := g.judge(e, load, now)
	if d.Verdict == Wait && d.Ahead < triedTogether && g.hasPart(e.Rank, load, now) {
		d.Verdict = Try
	}
	return d
}

// judge returns Refuse if the request cannot be served before its caller leaves, and
// Wait otherwise.
func (g *Gate) judge(e *Entry, load PoolLoad, now time.Time) Decision {
	d := g.estimate(e, load, now)
	if !load.isHalfIdle() && now.Add(d.ExpectedWait+d.ServiceTime).After(e.LeavesAt) {
		return g.refuse(d, e.Rank, ReasonLeavesBefore, now)
	}
	return d
}

// estimate returns what is expected of a request that waits. One that cannot be in time any
// more is counted behind those that can.
func (g *Gate) estimate(e *Entry, load PoolLoad, now time.Time) Decision {
	ahead := g.aheadOf(&e.Caller, nil, now)
	d := Decision{Verdict: Wait, Ahead: ahead.total(), ServiceTime: g.services[e.Kind]}
	d.CheckAfter = min(minCheckInterval*time.Duration(1+d.Ahead/triedTogether), maxCheckInterval)
	d.ExpectedWait = g.expectedWait(ahead, load, d.ServiceTime, now)
	if !e.DueAt.IsZero() && now.Add(d.ExpectedWait+d.ServiceTime).After(e.DueAt) {
		late := e.Caller
		late.DueAt = now.Add(-1)
		d.ExpectedWait = g.expectedWait(g.aheadOf(&late, e, now), load, d.ServiceTime, now)
	}
	return d
}

// expectedWait returns the time until the requests ahead are let through.
func (g *Gate) expectedWait(ahead place, load PoolLoad, service time.Duration, now time.Time) time.Duration {
	return time.Duration(ahead.first)*g.passInterval(true, load, service, now) +
		time.Duration(ahead.others)*g.passInterval(false, load, service, now)
}

// passInterval returns the expected time between two requests, of the most urgent kind or
// of the others, that are let through while such ones wait: the mean since requests began to wait, but not below the time since the last
// one. As long as there is no mean, it is the time in which this instance may send one into
// the reported room, or after which its part of the running requests has ended.
func (g *Gate) passInterval(ofFirstKind bool, load PoolLoad, service time.Duration, now time.Time) time.Duration {
	times, waits := g.passes[ofFirstKind]
	if times.interval > 0 {
		return max(times.interval, now.Sub(times.last))
	}
	if part := load.Part * float64(load.FreeRoom); part > 0 {
		return time.Duration(float64(max(load.ReportAge, minReportAge)) / part)
	}
	interval := time.Duration(float64(service) / max(minPart, load.Part*float64(load.Busy)))
	if waits {
		interval = max(interval, now.Sub(times.last))
	}
	return interval
}

// refuse turns a decision into a refusal and books the time of return.
func (g *Gate) refuse(d Decision, r Rank, reason string, now time.Time) Decision {
	d.Verdict, d.Reason = Refuse, reason
	d.ReturnAfter = g.returns.Book(d.ExpectedWait, max(g.passes[r.IsFirstKind].interval, minCheckInterval), now)
	return d
}

// hasPart reports whether this instance has sent less than its part of the room that the
// reports show. They do not show what was sent since, so that all instances see the same
// room until the next ones arrive. Where its part is no whole number of requests, it sends
// the next larger one in a correspondingly longer time.
func (g *Gate) hasPart(r Rank, load PoolLoad, now time.Time) bool {
	part := load.Part * float64(load.FreeRoom)
	if part <= 0 {
		return false
	}
	count := math.Ceil(part)
	period := time.Duration(float64(max(load.ReportAge, minReportAge)) * count / part)
	sent := 0
	for _, at := range g.sent[r.IsFirstKind] {
		if now.Sub(at) < period {
			sent++
		}
	}
	return sent < int(count)
}

// recordSent records a request of a rank that is sent now.
func (g *Gate) recordSent(r Rank, now time.Time) {
	sent := g.sent[r.IsFirstKind]
	if len(sent) == maxSentTimes {
		sent = append(sent[:0], sent[1:]...)
	}
	g.sent[r.IsFirstKind] = append(sent, now)
}

// Pass removes a waiting request that is sent now.
func (g *Gate) Pass(e *Entry, now time.Time) {
	g.Passed(e.Rank, now)
	g.remove(e)
}

// Leave removes a waiting request that is not sent.
func (g *Gate) Leave(e *Entry) { g.remove(e) }

func (g *Gate) remove(e *Entry) {
	for n, other := range g.waiting {
		if other == e {
			last := len(g.waiting) - 1
			g.waiting[n], g.waiting[last] = g.waiting[last], nil
			g.waiting = g.waiting[:last]
			g.endPasses(e.Rank)
			return
		}
	}
}

// RecordService records the time from sending a request to its first event. The gate keeps
// a time that one in quickPart requests stays below: a request is refused only if even
// quick ones would be too late, and times of targets that hang say nothing about others.
func (g *Gate) RecordService(kind string, took time.Duration) {
	quick, ok := g.services[kind]
	switch {
	case !ok && len(g.services) >= maxKinds:
	case !ok:
		g.services[kind] = took
	case took < quick:
		g.services[kind] = (quick + took) / 2
	default:
		g.services[kind] = quick + time.Duration(meanWeight*float64(quick)/(quickPart-1))
	}
}
