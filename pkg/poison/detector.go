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
	// maxSuccesses bounds each of the two generations of successes.
	maxSuccesses = 4096
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
// crash before. Several targets that crash at once for another reason therefore
// count once. It is safe for concurrent use.
type Detector struct {
	Clock clock.Clock
	// OnChange is called without locks and must not block. It may be nil.
	OnChange func(Change)

	mu          sync.Mutex
	suspects    map[Fingerprint][]*Crash
	quarantined map[Fingerprint]Quarantine
	recent      []*Crash
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

type spreadSuccess struct {
	sentAt, recordedAt time.Duration
}

// NewDetector returns an empty detector.
func NewDetector(c clock.Clock) *Detector {
	return &Detector{
		Clock: c, suspects: make(map[Fingerprint][]*Crash), quarantined: make(map[Fingerprint]Quarantine),
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
	counts := make([]int, len(c.Fingerprints))
	for n, f := range c.Fingerprints {
		if success := d.lastSuccess(f); success > c.At {
			// The instance that saw the crash counts it, so it has to learn of the success.
			d.spreadSuccesses[f] = spreadSuccess{success, d.Clock.Elapsed()}
			continue
		}
		d.addSuspect(f, &c)
		counts[n] = d.countCrashes(f, nil).crashes
	}
	return counts
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
	if n := slices.IndexFunc(crashes, c.isSameAs); n < 0 {
		crashes = append(crashes, c)
	} else if c.SentAt > crashes[n].SentAt {
		crashes[n] = c // more likely to follow the crash before
	}
	slices.SortStableFunc(crashes, func(a, b *Crash) int { return cmp.Compare(a.At, b.At) })
	if len(crashes) > maxCrashes {
		// The first ones decide when there are enough, the last ones whether a
		// success ended the suspicion.
		crashes = slices.Delete(crashes, maxCrashes/2, maxCrashes/2+1)
	}
	d.suspects[f] = crashes
}

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
	for _, c := range d.suspects[f] {
		if c.SentAt <= e.last || skip(c) {
			continue
		}
		e.crashes, e.last = e.crashes+1, c.At
		if e.crashes == crashesToQuarantine {
			e.sufficient = c.At
		}
	}
	return e
}

// isExplained reports whether another fingerprint in quarantine was in flight at the
// same crash. The caller holds mu.
func (d *Detector) isExplained(f Fingerprint, c *Crash) bool {
	for q := range d.quarantined {
		switch {
		case q == f:
		case slices.Contains(c.Fingerprints, q):
			return true
		case q.isRequest() && d.isPartOf(f, q):
			// Other requests with the part crashed targets too: it may be the part.
		case slices.ContainsFunc(d.suspects[q], c.isSameAs):
			return true
		}
	}
	return false
}

// isExplainedWhole reports whether a crash is evidence against none of its
// fingerprints. The caller holds mu.
func (d *Detector) isExplainedWhole(c *Crash) bool {
	return len(d.quarantined) > 0 && !slices.ContainsFunc(c.Fingerprints, func(f Fingerprint) bool { return !d.isExplained(f, c) })
}

// refutes reports whether the crashes of a fingerprint that are known here all have
// another explanation. The caller holds mu.
func (d *Detector) refutes(f Fingerprint) bool {
	return len(d.suspects[f]) > 0 && d.countCrashes(f, nil).crashes == 0
}

// isPartOf reports whether a request that is suspect has a part. The caller holds
// mu.
func (d *Detector) isPartOf(part, request Fingerprint) bool {
	crashes := d.suspects[request]
	return len(crashes) > 0 && slices.Contains(crashes[0].Fingerprints, part)
}

// isSameAs reports whether both requests were in flight at the same crash: at the
// same target and at the same time.
func (c *Crash) isSameAs(other *Crash) bool {
	return c.Target == other.Target && c.SentAt < other.At && other.SentAt < c.At
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
		rest := slices.DeleteFunc(crashes, func(c *Crash) bool { return c.At < sentAt })
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
		if e := d.countCrashes(f, nil); !known && e.crashes >= crashesToQuarantine && now-e.sufficient >= settle {
			due[f] = e
		}
	}
	rank := func(f Fingerprint) int {
		r := 2
		for _, c := range d.suspects[f] {
			parts := c.Fingerprints[:len(c.Fingerprints)-1]
			at := slices.Index(parts, f)
			if at < 0 {
				return 0 // a request
			}
			if slices.ContainsFunc(parts[at+1:], func(other Fingerprint) bool { _, ok := due[other]; return ok }) {
				r = 1 // a more specific part is due
			}
		}
		return r
	}
	var best Fingerprint
	bestRank := -1
	for f, e := range due {
		r := rank(f)
		if r > bestRank || r == bestRank && (e.crashes > due[best].crashes || e.crashes == due[best].crashes && f < best) {
			best, bestRank = f, r
		}
	}
	return best, due[best], bestRank >= 0
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
	for f, crashes := range d.suspects {
		if now-crashes[0].At < suspectWindow {
			continue
		}
		rest := slices.DeleteFunc(crashes, func(c *Crash) bool { return now-c.At >= suspectWindow })
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
