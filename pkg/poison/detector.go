package poison

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
)

const (
	// QuarantineDuration is how long a fingerprint is refused.
	QuarantineDuration = 10 * time.Minute
	// crashesToQuarantine is the number of crashes, one after the other, that
	// quarantine a fingerprint.
	crashesToQuarantine = 3
	// crashSpacing is the least time between two counted crashes of a part that targets
	// ran before: targets that crash for one other reason do so within it, and
	// requests that are repeated meanwhile reach targets that are about to crash.
	crashSpacing = 250 * time.Millisecond
	// sameCrashWindow is the time within which failures at one incarnation of a target
	// are one crash. Requests that are sent on a connection of a target that has just crashed fail
	// too. It is shorter than a restart, because the new incarnation is known late.
	sameCrashWindow = 2 * time.Second
	// crashesToStopRetries is the number of crashes after which a request is not
	// sent to another target.
	crashesToStopRetries = 2
	// settleTime is how long after enough crashes a fingerprint is quarantined. In
	// that time successes that other instances have seen arrive.
	settleTime = 800 * time.Millisecond
	// stormSettleTime replaces settleTime while a quarantine of a part is younger than
	// that. The requests that it concerns still crash targets then, and the evidence that excuses
	// others arrives later than usual.
	stormSettleTime = 1600 * time.Millisecond
	// suspectWindow is how long a crash counts.
	suspectWindow = 10 * time.Minute
	// spreadTime is how long crashes and successes are repeated to other instances.
	spreadTime = 3 * time.Second
	// rememberTime is how long crashes that were recorded are known, and how long a
	// quarantine that was lifted is not taken over from other instances. It is longer
	// than crashes and quarantines that are passed on can return.
	rememberTime = 30 * time.Second
	// maxSuspects bounds the fingerprints with crashes, maxCrashes the crashes of
	// each, maxQuarantined the fingerprints in quarantine, maxRecent the crashes that
	// are sent to other instances, and maxRemembered those that are known.
	maxSuspects    = 4096
	maxCrashes     = 128
	maxQuarantined = 256
	maxRecent      = 512
	maxRemembered  = 4096
	// maxRequestsPerCrash bounds the requests that are known for each crash of a part.
	maxRequestsPerCrash = 16
	// maxTargetCrashes bounds the crashes of targets that are known.
	maxTargetCrashes = 1024
	// maxSuccesses bounds each of the two generations of successes.
	maxSuccesses = 8192
)

// Crash is a request that was in flight at a target when the target crashed, and
// had no event yet. It may have caused the crash.
type Crash struct {
	// ID is the same at all instances, which pass crashes on. Times are not: they
	// grow by the time on the way. RecordCrash draws it if it is zero.
	ID uint64
	// Fingerprints are those of the parts, in the order of the prompt, and then
	// that of the request. Later ones are more specific.
	Fingerprints []Fingerprint
	Target       uint64        // hash of the target and its incarnation
	SentAt, At   time.Duration // since boot
}

// Source tells how this instance learned of a quarantine.
type Source string

// Sources of quarantines.
const (
	SourceOwn   Source = "own"
	SourcePeer  Source = "peer"
	SourceStore Source = "store"
)

// Quarantine is a fingerprint that is kept away from targets.
type Quarantine struct {
	Fingerprint Fingerprint
	Until       time.Duration // since boot
	LastCrash   time.Duration // since boot
	Crashes     int
	Source      Source
}

// Change is a change of what the detector believes.
type Change struct {
	Kind       ChangeKind
	Quarantine Quarantine
}

// ChangeKind is the kind of a Change.
type ChangeKind int

// Kinds of changes.
const (
	ChangeCleared ChangeKind = iota
	ChangeQuarantined
	ChangeLifted
	ChangeExpired
)

// Detector counts crashes and successes of fingerprints. A fingerprint is
// quarantined after crashesToQuarantine crashes that followed one another, with no
// success in between: a crash counts only if its request was sent after the
// crash before. For a part, which many requests share, a crash counts only if most
// targets that crashed at about the same time had a request with the part, and if targets
// ran the part before, only crashSpacing after the crash before. Targets that crash at once for
// another reason therefore count once or not at all. A part is blamed for the crashes of different
// requests only, and if these are all of one organisation, it is kept away only in
// the prompts of that one. It is safe for concurrent use.
type Detector struct {
	Clock clock.Clock
	// OnChange is called without locks and must not block. It may be nil.
	OnChange func(Change)

	mu          sync.Mutex
	suspects    map[Fingerprint][]*sighting
	quarantined map[Fingerprint]Quarantine
	recent      []*Crash
	// targetCrashes are the crashes of targets in the order of their times, whatever
	// was in flight.
	targetCrashes []targetCrash
	// successes holds the times at which the newest successful requests were sent,
	// in two generations.
	successes, olderSuccesses map[Fingerprint]time.Duration
	// spreadSuccesses are the successes that ended a suspicion.
	spreadSuccesses map[Fingerprint]spreadSuccess
	// remembered has the times of recorded crashes by their IDs, in two
	// generations.
	remembered, olderRemembered map[uint64]time.Duration
	lifted                      map[Fingerprint]time.Duration
}

// sighting is a crash of a target at which requests with a fingerprint were in flight.
type sighting struct {
	*Crash   // of the request that was sent last before the crash
	requests []sentRequest
}

type sentRequest struct {
	request Fingerprint
	sentAt  time.Duration
}

// targetCrash is the crash of a target, once for all requests that were in flight.
type targetCrash struct {
	target uint64
	at     time.Duration
}

type spreadSuccess struct {
	sentAt, recordedAt time.Duration
}

// NewDetector returns an empty detector.
func NewDetector(c clock.Clock) *Detector {
	return &Detector{
		Clock: c, suspects: make(map[Fingerprint][]*sighting), quarantined: make(map[Fingerprint]Quarantine),
		successes: make(map[Fingerprint]time.Duration), spreadSuccesses: make(map[Fingerprint]spreadSuccess),
		remembered: make(map[uint64]time.Duration), lifted: make(map[Fingerprint]time.Duration),
	}
}

// RecordCrash records a crash that this or another instance has seen. It returns
// the number of counted crashes of each fingerprint, or nil if the crash was known.
func (d *Detector) RecordCrash(c Crash) []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.ID == 0 {
		c.ID = rand.Uint64()
	}
	if len(c.Fingerprints) == 0 || !d.remember(&c) {
		return nil
	}
	if len(d.recent) == maxRecent {
		d.recent = slices.Delete(d.recent, 0, 1)
	}
	d.recent = append(d.recent, &c)
	d.addTargetCrash(targetCrash{c.Target, c.At})
	for _, f := range WithOrganisation(c.Fingerprints) {
		if success := d.lastSuccess(f); success > c.At {
			// The instance that saw the crash counts it, so it has to learn of the success.
			d.spreadSuccesses[f] = spreadSuccess{success, d.Clock.Elapsed()}
			continue
		}
		d.addSuspect(f, &c)
	}
	counts := make([]int, len(c.Fingerprints))
	for n, f := range c.Fingerprints {
		counts[n] = d.countCrashes(f, nil).crashes
	}
	return counts
}

// addTargetCrash records the crash of a target if it is not known. The caller holds mu.
func (d *Detector) addTargetCrash(c targetCrash) {
	if slices.ContainsFunc(d.targetCrashes, func(known targetCrash) bool {
		return known.target == c.target && (known.at-c.at).Abs() < sameCrashWindow
	}) {
		return
	}
	if len(d.targetCrashes) == maxTargetCrashes {
		d.targetCrashes = slices.Delete(d.targetCrashes, 0, 1)
	}
	at, _ := slices.BinarySearchFunc(d.targetCrashes, c.at, func(known targetCrash, at time.Duration) int { return cmp.Compare(known.at, at) })
	d.targetCrashes = slices.Insert(d.targetCrashes, at, c)
}

// remember reports whether the crash is new. The caller holds mu.
func (d *Detector) remember(c *Crash) bool {
	if _, known := d.remembered[c.ID]; known {
		return false
	}
	if _, known := d.olderRemembered[c.ID]; known {
		return false
	}
	if len(d.remembered) >= maxRemembered {
		d.olderRemembered, d.remembered = d.remembered, make(map[uint64]time.Duration)
	}
	d.remembered[c.ID] = c.At
	return true
}

// addSuspect records a crash of a fingerprint, once for all requests with it that
// were in flight at the crash. The caller holds mu.
func (d *Detector) addSuspect(f Fingerprint, c *Crash) {
	crashes, known := d.suspects[f]
	if !known && len(d.suspects) >= maxSuspects {
		d.evictSuspect()
	}
	if n := slices.IndexFunc(crashes, func(known *sighting) bool { return c.isSameAs(known.Crash) }); n < 0 {
		crashes = append(crashes, newSighting(c))
	} else {
		crashes[n].add(c)
	}
	slices.SortStableFunc(crashes, func(a, b *sighting) int { return cmp.Compare(a.At, b.At) })
	if len(crashes) > maxCrashes {
		// The first ones decide when there are enough, the last ones whether a
		// success ended the suspicion.
		crashes = slices.Delete(crashes, maxCrashes/2, maxCrashes/2+1)
	}
	d.suspects[f] = crashes
}

func newSighting(c *Crash) *sighting {
	return &sighting{Crash: c, requests: []sentRequest{{c.request(), c.SentAt}}}
}

// add adds a request that was in flight at the same crash.
func (s *sighting) add(c *Crash) {
	if c.SentAt < s.At && c.SentAt > s.SentAt || s.SentAt >= c.At {
		// A request that was sent later is more likely to follow the crash before, but
		// not one that was sent after the target had crashed.
		s.Crash = c
	}
	if slices.ContainsFunc(s.requests, func(known sentRequest) bool { return known.request == c.request() }) {
		return
	}
	if len(s.requests) < maxRequestsPerCrash {
		s.requests = append(s.requests, sentRequest{c.request(), c.SentAt})
		return
	}
	oldest := 0
	for n, known := range s.requests {
		if known.sentAt < s.requests[oldest].sentAt {
			oldest = n
		}
	}
	if s.requests[oldest].sentAt < c.SentAt {
		s.requests[oldest] = sentRequest{c.request(), c.SentAt}
	}
}

// request returns the fingerprint of the request.
func (c *Crash) request() Fingerprint { return c.Fingerprints[len(c.Fingerprints)-1] }

// partIndex returns the position of a part in the prompt, or -1 if the prompt does not have
// it. part may be one within the organisation of the request.
func (c *Crash) partIndex(part Fingerprint) int {
	organisation, within := part.splitOrganisation()
	if organisation != "" && organisation != c.request().organisation() {
		return -1
	}
	return slices.Index(c.Fingerprints[:len(c.Fingerprints)-1], within)
}

// contains reports whether the request has a fingerprint.
func (c *Crash) contains(f Fingerprint) bool { return f == c.request() || c.partIndex(f) >= 0 }

// evictSuspect removes the fingerprint whose last crash is the oldest. The caller
// holds mu.
func (d *Detector) evictSuspect() {
	var oldest Fingerprint
	var oldestAt time.Duration
	for f, crashes := range d.suspects {
		if at := crashes[len(crashes)-1].At; oldest == "" || at < oldestAt {
			oldest, oldestAt = f, at
		}
	}
	delete(d.suspects, oldest)
}

// evidence is what the crashes of a fingerprint amount to.
type evidence struct {
	crashes    int           // that followed one another
	last       time.Duration // time of the last of them
	sufficient time.Duration // time of the one that made them enough for a quarantine
}

// countCrashes returns the evidence against a fingerprint from the crashes that
// skip does not exclude. A nil skip excludes those that a quarantined fingerprint
// explains. The caller holds mu.
func (d *Detector) countCrashes(f Fingerprint, skip func(*Crash) bool) evidence {
	if skip == nil {
		skip = func(c *Crash) bool { return d.isExplained(f, c) }
	}
	e := evidence{last: -1}
	for _, s := range d.suspects[f] {
		if s.SentAt <= e.last || skip(s.Crash) {
			continue
		}
		e.crashes, e.last = e.crashes+1, s.At
		if e.crashes == crashesToQuarantine {
			e.sufficient = s.At
		}
	}
	return e
}

// countForQuarantine returns the evidence on which a fingerprint is quarantined. For the
// content of a request it is that of countCrashes, because only the same request is
// refused then. The caller holds mu.
func (d *Detector) countForQuarantine(f Fingerprint) evidence {
	e := d.countCrashes(f, nil)
	if e.crashes == 0 || d.suspects[f][0].partIndex(f) < 0 {
		return e
	}
	return d.countPart(f)
}

// countPart returns the evidence against a part. The caller holds mu.
func (d *Detector) countPart(part Fingerprint) evidence {
	spacing := time.Duration(0)
	if d.lastSuccess(part) >= 0 {
		spacing = crashSpacing
	}
	e := evidence{last: -1}
	seen := 0
	requests := make(map[Fingerprint]int) // crashes at which each was in flight
	organisations := make(map[string]int) // counted crashes at which one had a request with the part
	for _, s := range d.suspects[part] {
		if d.isExplained(part, s.Crash) || d.isOutage(part, s.Crash) {
			continue
		}
		seen++
		for _, r := range s.requests {
			requests[r.request]++
		}
		if e.crashes > 0 && (s.SentAt <= e.last || s.At < e.last+spacing) {
			continue
		}
		e.crashes, e.last = e.crashes+1, s.At
		for _, o := range s.organisations() {
			organisations[o]++
		}
		if e.sufficient > 0 || e.crashes < crashesToQuarantine {
			continue
		}
		minRequests, blamed := 2, true
		if len(organisations) > 0 && !part.isWithinOrganisation() {
			minRequests, blamed = crashesToQuarantine, !isOfOneOrganisation(organisations, e.crashes)
		}
		if blamed && len(requests) >= minRequests && !d.isOfOneRequest(requests, seen) {
			e.sufficient = s.At
		}
	}
	if e.sufficient == 0 {
		e.crashes = min(e.crashes, crashesToQuarantine-1)
	}
	return e
}

// isOfOneRequest reports whether one request explains all crashes. A quarantined one is no
// explanation: that others crash targets beside it is evidence against what they share.
// counts has the number of crashes for each request. The caller holds mu.
func (d *Detector) isOfOneRequest(counts map[Fingerprint]int, crashes int) bool {
	for request, n := range counts {
		if _, quarantined := d.quarantined[request]; n == crashes && !quarantined {
			return true
		}
	}
	return false
}

// isOfOneOrganisation reports whether the requests of one organisation explain all crashes:
// it had one in flight at each, and no other had one at two or more. counts has the
// number of crashes for each organisation.
func isOfOneOrganisation(counts map[string]int, crashes int) bool {
	atAll, atSome := 0, 0
	for _, n := range counts {
		if n == crashes {
			atAll++
		}
		if n >= 2 {
			atSome++
		}
	}
	return atAll == 1 && atSome == 1
}

// organisations returns the known organisations of the requests.
func (s *sighting) organisations() []string {
	var all []string
	for _, r := range s.requests {
		if o := r.request.organisation(); o != "" && !slices.Contains(all, o) {
			all = append(all, o)
		}
	}
	return all
}

// isOutage reports whether most of the targets that crashed at about the time of a crash
// had no request with the part, so that the part is not the reason. Crashes that a
// quarantined fingerprint explains are left out. The caller holds mu.
func (d *Detector) isOutage(part Fingerprint, c *Crash) bool {
	const minOthers = 2 // one other crash may be a coincidence
	with := 0
	var without []targetCrash
	at, _ := slices.BinarySearchFunc(d.targetCrashes, c.At-crashSpacing, func(known targetCrash, at time.Duration) int { return cmp.Compare(known.at, at) })
	for _, other := range d.targetCrashes[at:] {
		if other.at > c.At+crashSpacing {
			break
		}
		if d.wasInFlight(part, other) {
			with++
		} else {
			without = append(without, other)
		}
	}
	if len(without) < minOthers || len(without) <= with {
		return false
	}
	without = slices.DeleteFunc(without, d.isExplainedTarget)
	return len(without) >= minOthers && len(without) > with
}

// wasInFlight reports whether a request with a fingerprint was in flight at the crash of
// a target. The caller holds mu.
func (d *Detector) wasInFlight(f Fingerprint, crashed targetCrash) bool {
	return slices.ContainsFunc(d.suspects[f], func(c *sighting) bool {
		return c.Target == crashed.target && (c.At-crashed.at).Abs() < sameCrashWindow
	})
}

// isExplainedTarget reports whether a quarantined fingerprint was in flight at the crash
// of a target. The caller holds mu.
func (d *Detector) isExplainedTarget(crashed targetCrash) bool {
	for q := range d.quarantined {
		if d.wasInFlight(q, crashed) {
			return true
		}
	}
	return false
}

// isExplained reports whether another fingerprint in quarantine was in flight at the
// same crash. The caller holds mu.
func (d *Detector) isExplained(f Fingerprint, c *Crash) bool {
	for q := range d.quarantined {
		switch {
		case q == f:
		case q.isRequest() && d.isPartOf(f, q):
			// It may be the part: countPart weighs whether other requests with it crash
			// targets too.
		case c.contains(q), slices.ContainsFunc(d.suspects[q], func(s *sighting) bool { return c.isSameAs(s.Crash) }):
			return true
		}
	}
	return false
}

// isExplainedWhole reports whether a crash is evidence against none of its
// fingerprints. The caller holds mu.
func (d *Detector) isExplainedWhole(c *Crash) bool {
	return len(d.quarantined) > 0 && !slices.ContainsFunc(WithOrganisation(c.Fingerprints), func(f Fingerprint) bool { return !d.isExplained(f, c) })
}

// refutes reports whether the crashes of a fingerprint that are known here all have
// another explanation, or are too few for one that targets ran before. The caller holds
// mu.
func (d *Detector) refutes(f Fingerprint) bool {
	if len(d.suspects[f]) == 0 {
		return false
	}
	e := d.countForQuarantine(f)
	return e.crashes == 0 || e.crashes < crashesToQuarantine && d.lastSuccess(f) >= 0
}

// isPartOf reports whether a request that is suspect has a part. The caller holds
// mu.
func (d *Detector) isPartOf(part, request Fingerprint) bool {
	crashes := d.suspects[request]
	return len(crashes) > 0 && crashes[0].partIndex(part) >= 0
}

// isSameAs reports whether both are the same crash of a target: both requests were in
// flight at the same time, or one was sent to a target that had just crashed.
func (c *Crash) isSameAs(other *Crash) bool {
	return c.Target == other.Target && (c.SentAt < other.At && other.SentAt < c.At || (c.At-other.At).Abs() < sameCrashWindow)
}

// lastSuccess returns when the newest successful request with a fingerprint was
// sent, or -1. The caller holds mu.
func (d *Detector) lastSuccess(f Fingerprint) time.Duration {
	if at, ok := d.successes[f]; ok {
		return at
	}
	if at, ok := d.olderSuccesses[f]; ok {
		return at
	}
	return -1
}

// RecordSuccess records that a request with the fingerprints, sent at a time
// since boot, had an event or a response. It ends the suspicion from earlier
// crashes and the quarantine of its fingerprints.
func (d *Detector) RecordSuccess(sentAt time.Duration, fingerprints ...Fingerprint) {
	var changes []Change
	func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, f := range fingerprints {
			if sentAt <= d.lastSuccess(f) {
				continue
			}
			if len(d.successes) >= maxSuccesses {
				d.olderSuccesses, d.successes = d.successes, make(map[Fingerprint]time.Duration)
			}
			d.successes[f] = sentAt
			changes = append(changes, d.clear(f, sentAt)...)
		}
	}()
	d.report(changes)
}

// clear removes the crashes of a fingerprint before a successful request was sent,
// and its quarantine if all of its crashes were before. The caller holds mu.
func (d *Detector) clear(f Fingerprint, sentAt time.Duration) []Change {
	var changes []Change
	if crashes := d.suspects[f]; len(crashes) > 0 && crashes[0].At < sentAt {
		e := d.countCrashes(f, nil)
		rest := slices.DeleteFunc(crashes, func(s *sighting) bool { return s.At < sentAt })
		if d.suspects[f] = rest; len(rest) == 0 {
			delete(d.suspects, f)
		}
		if e.crashes > 0 {
			changes = append(changes, Change{ChangeCleared, Quarantine{Fingerprint: f, Crashes: e.crashes, LastCrash: e.last}})
		}
	}
	if q, ok := d.quarantined[f]; ok && q.LastCrash < sentAt {
		delete(d.quarantined, f)
		d.lifted[f] = d.Clock.Elapsed()
		changes = append(changes, Change{ChangeLifted, q})
	}
	if len(changes) > 0 {
		d.spreadSuccesses[f] = spreadSuccess{sentAt, d.Clock.Elapsed()}
	}
	return changes
}

// AddQuarantine records a quarantine that another instance started or that was
// stored. It reports whether the fingerprint was not in quarantine before.
func (d *Detector) AddQuarantine(q Quarantine) bool {
	q.Until = min(q.Until, d.Clock.Elapsed()+QuarantineDuration)
	added := func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		success := d.lastSuccess(q.Fingerprint)
		if _, lifted := d.lifted[q.Fingerprint]; lifted || success > q.LastCrash {
			d.spreadSuccesses[q.Fingerprint] = spreadSuccess{success, d.Clock.Elapsed()}
			return false
		}
		if _, known := d.quarantined[q.Fingerprint]; known || len(d.quarantined) >= maxQuarantined {
			return false
		}
		if q.Source == SourcePeer && d.refutes(q.Fingerprint) {
			return false // the instance that quarantined it does not know the explanation yet
		}
		d.quarantined[q.Fingerprint] = q
		return true
	}()
	if added {
		d.report([]Change{{ChangeQuarantined, q}})
	}
	return added
}

// Update starts the quarantines that are due and ends those that have expired. It
// is called regularly.
func (d *Detector) Update() {
	var changes []Change
	func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		now := d.Clock.Elapsed()
		for f, q := range d.quarantined {
			if now >= q.Until {
				delete(d.quarantined, f)
				delete(d.suspects, f)
				changes = append(changes, Change{ChangeExpired, q})
			}
		}
		d.removeOld(now)
		changes = append(changes, d.startQuarantines(now)...)
	}()
	d.report(changes)
}

// startQuarantines quarantines the fingerprints with enough evidence. Each one
// explains crashes of others, so that the strongest comes first. The caller holds mu.
func (d *Detector) startQuarantines(now time.Duration) []Change {
	var changes []Change
	for len(d.quarantined) < maxQuarantined {
		f, e, ok := d.strongest(now)
		if !ok {
			break
		}
		q := Quarantine{Fingerprint: f, Until: now + QuarantineDuration, LastCrash: e.last, Crashes: e.crashes, Source: SourceOwn}
		d.quarantined[f] = q
		changes = append(changes, Change{ChangeQuarantined, q})
	}
	return changes
}

// strongest returns the fingerprint that is due for quarantine and explains crashes
// best: parts come before requests, the more specific of two parts of the same
// requests before the other, and then the one with the most crashes. The caller
// holds mu.
func (d *Detector) strongest(now time.Duration) (Fingerprint, evidence, bool) {
	due := make(map[Fingerprint]evidence)
	settle := settleTime
	for f, q := range d.quarantined {
		if !f.isRequest() && now-(q.Until-QuarantineDuration) < stormSettleTime {
			settle = stormSettleTime
		}
	}
	for f, crashes := range d.suspects {
		_, known := d.quarantined[f]
		if len(crashes) < crashesToQuarantine {
			continue
		}
		if known {
			continue
		}
		if e := d.countForQuarantine(f); e.crashes >= crashesToQuarantine && now-e.sufficient >= settle {
			due[f] = e
		}
	}
	rank := func(f Fingerprint) int {
		r := 2
		for _, s := range d.suspects[f] {
			at := s.partIndex(f)
			if at < 0 {
				return 0 // a request
			}
			for other := range due {
				if s.partIndex(other) > at {
					r = 1 // a more specific part is due
				}
			}
		}
		return r
	}
	var best Fingerprint
	bestRank := -1
	for f, e := range due {
		r := rank(f)
		if r > bestRank || r == bestRank && e.explainsMoreThan(f, due[best], best) {
			best, bestRank = f, r
		}
	}
	return best, due[best], bestRank >= 0
}

// explainsMoreThan orders the evidence against two fingerprints of equal rank. A part in all
// prompts comes before the same one within an organisation.
func (e evidence) explainsMoreThan(f Fingerprint, other evidence, otherFingerprint Fingerprint) bool {
	if e.crashes != other.crashes {
		return e.crashes > other.crashes
	}
	if f.isWithinOrganisation() != otherFingerprint.isWithinOrganisation() {
		return otherFingerprint.isWithinOrganisation()
	}
	return f < otherFingerprint
}

// removeOld removes crashes that no longer count and those that were sent to other
// instances for long enough. The caller holds mu.
func (d *Detector) removeOld(now time.Duration) {
	d.recent = slices.DeleteFunc(d.recent, func(c *Crash) bool { return now-c.At >= spreadTime })
	isOld := func(_ uint64, at time.Duration) bool { return now-at >= rememberTime }
	maps.DeleteFunc(d.remembered, isOld)
	maps.DeleteFunc(d.olderRemembered, isOld)
	maps.DeleteFunc(d.lifted, func(_ Fingerprint, at time.Duration) bool { return now-at >= rememberTime })
	for f, s := range d.spreadSuccesses {
		if now-s.recordedAt >= spreadTime {
			delete(d.spreadSuccesses, f)
		}
	}
	d.targetCrashes = slices.DeleteFunc(d.targetCrashes, func(c targetCrash) bool { return now-c.at >= suspectWindow })
	for f, crashes := range d.suspects {
		if now-crashes[0].At < suspectWindow {
			continue
		}
		rest := slices.DeleteFunc(crashes, func(s *sighting) bool { return now-s.At >= suspectWindow })
		if d.suspects[f] = rest; len(rest) == 0 {
			delete(d.suspects, f)
		}
	}
}

// Find returns the quarantine of one of the fingerprints, or false if there is none.
func (d *Detector) Find(fingerprints ...Fingerprint) (Quarantine, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.quarantined) == 0 {
		return Quarantine{}, false
	}
	now := d.Clock.Elapsed()
	for _, f := range fingerprints {
		if q, ok := d.quarantined[f]; ok && now < q.Until {
			return q, true
		}
	}
	return Quarantine{}, false
}

// StopsRetries reports whether a request with the fingerprints must not be sent to
// another target, because one of them has crashed targets before. Crashes that a
// fingerprint of other requests explains as well do not count.
func (d *Detector) StopsRetries(fingerprints ...Fingerprint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(fingerprints, func(f Fingerprint) bool {
		n := d.countCrashes(f, nil).crashes
		if n < crashesToStopRetries {
			return false
		}
		others := d.countCrashes(f, func(c *Crash) bool {
			return d.isExplained(f, c) || slices.ContainsFunc(c.Fingerprints, func(other Fingerprint) bool {
				return !slices.Contains(fingerprints, other) && d.countCrashes(other, nil).crashes >= n
			})
		})
		return others.crashes >= crashesToStopRetries
	})
}

// Quarantines returns the quarantines in force.
func (d *Detector) Quarantines() []Quarantine {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]Quarantine, 0, len(d.quarantined))
	for _, q := range d.quarantined {
		all = append(all, q)
	}
	return all
}

func (d *Detector) report(changes []Change) {
	if d.OnChange == nil {
		return
	}
	for _, c := range changes {
		d.OnChange(c)
	}
}
