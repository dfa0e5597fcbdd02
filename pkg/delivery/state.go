package delivery

import (
	"math/rand/v2"
	"slices"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/target"
)

const (
	// recentTime is the span of recent evidence, made of snapshots every snapshotInterval.
	recentTime       = 4 * time.Second
	snapshotInterval = 500 * time.Millisecond
	// withdrawalTime is how long an order must be missing to count as withdrawn. A store
	// that comes back from an older copy lacks it until the operator writes it again.
	withdrawalTime = 5 * time.Second
	// crashInterval is the time within which the broken answers of one target count once:
	// a crash breaks all that run there.
	crashInterval = time.Second
	// warmUpTime is the time after the first exposed request in which answers of engines may
	// take longer because their caches are empty.
	warmUpTime = 6 * time.Second
)

// delivery is the state of one order at this instance. The lock of the controller guards
// it.
type delivery struct {
	order Order
	id    uint64
	phase Phase
	// orderedAt is the boot time from which the order's duration counts.
	orderedAt  time.Duration
	timeSource timeSource
	// unknownSince is the boot time from which timeSource is timeUnknown.
	unknownSince time.Duration
	movingAt     time.Duration // since when this instance knows that the move began
	finalAt      time.Duration
	missingAt    time.Duration // since when the order is missing; zero while it is there
	sawOld       bool

	objectVersion uint64 // of the order's object
	status        Status // as read from the store

	allowance      allowance
	firstExposedAt time.Duration
	own            Evidence
	ownRow         row
	rows           map[uint64]*row // of other processes
	others         Evidence        // sum of rows
	brokenAt       map[uint32]time.Duration
	snapshots      []snapshot
	finding        Finding
	loggedFinding  string
	wantsComplete  bool
}

type snapshot struct {
	at       time.Duration
	evidence Evidence
}

func newDelivery(order Order, process uint64) *delivery {
	return &delivery{
		order: order, id: order.ID(), phase: PhaseTrial, own: NewEvidence(), others: NewEvidence(), ownRow: row{Process: process},
		rows: make(map[uint64]*row), brokenAt: make(map[uint32]time.Duration),
	}
}

// raise takes a phase over if it is higher. It reports whether it was.
func (d *delivery) raise(p Phase, now time.Duration) bool {
	if p <= d.phase || p > PhaseCompleted {
		return false
	}
	d.phase = p
	if p == PhaseMoving {
		d.movingAt = now
	}
	if p.IsFinal() {
		d.finalAt = now
	}
	return true
}

// timeSource is from where the time of an order is known, the best one last.
type timeSource uint8

const (
	timeUnknown  timeSource = iota
	timeOfDay               // stored by another process, by its clock
	timeTold                // by another instance; late by the way of the message
	timeObserved            // the view of the store did not have the order then
)

// setTime takes over the time of the order if its source is better than the known one.
func (d *delivery) setTime(at time.Duration, source timeSource) {
	if source > d.timeSource {
		d.orderedAt, d.timeSource = at, source
	}
}

func (d *delivery) age(now time.Duration) time.Duration {
	if d.timeSource == timeUnknown {
		return 0
	}
	return now - d.orderedAt
}

// isKnownToHaveEnded reports whether the end need not be told any more: it was for a while,
// and the store has it, also for an instance that starts later.
func (d *delivery) isKnownToHaveEnded(now time.Duration) bool {
	isStored := d.status.Version == d.order.Version && d.status.Phase == d.phase
	return d.phase.IsFinal() && isStored && now-d.finalAt > finalNoticeTime
}

// hasMoved reports whether this instance must not choose old targets any more.
func (d *delivery) hasMoved(now time.Duration) bool {
	return d.phase == PhaseCompleted || d.phase == PhaseMoving && d.missingAt == 0 && now-d.movingAt >= rampTime(d.order.Duration)
}

// total returns the counts of all processes that are known.
func (d *delivery) total() Evidence {
	e := NewEvidence()
	e.Add(d.own)
	e.Add(d.others)
	return e
}

// judge judges the evidence of now.
func (d *delivery) judge(now time.Duration, candidates int) {
	whole := d.total()
	recent := whole
	for _, s := range d.snapshots {
		if now-s.at >= recentTime {
			recent = whole.Since(s.evidence)
		}
	}
	if n := len(d.snapshots); n == 0 || now-d.snapshots[n-1].at >= snapshotInterval {
		d.snapshots = append(d.snapshots, snapshot{now, whole})
		if n >= int(recentTime/snapshotInterval)+1 {
			d.snapshots = d.snapshots[1:]
		}
	}
	d.finding = Judge(whole, recent, candidates)
}

// record adds an answer to the own counts.
func (d *delivery) record(s *Selection, o Outcome, now time.Duration, times *answerTimes, took time.Duration) {
	c := Counts{Answers: 1}
	if o == OutcomeBroken {
		key := hash32(s.target.Key())
		if at, ok := d.brokenAt[key]; ok && now-at < crashInterval {
			return
		}
		d.brokenAt[key] = now
	}
	if o == OutcomeBroken || o == OutcomeFailed {
		c.Failures = 1
	}
	if limit, ok := times.slowFrom(); ok && (o == OutcomeAnswered || o == OutcomeTimedOut) && s.compareTime {
		if now-d.firstExposedAt < warmUpTime {
			limit += s.coldAllowance
		}
		c.Timed = 1
		if took > limit {
			c.Slow = 1
		}
	}
	if s.target.Version != d.order.Version {
		d.own.Old[s.route] = d.own.Old[s.route].plus(c)
		return
	}
	key := RouteTarget{s.route, hash32(s.target.Key())}
	if _, known := d.own.New[key]; !known && len(d.own.New) >= maxCountedTargets {
		key.Target = OtherTargets
	}
	d.own.New[key] = d.own.New[key].plus(c)
}

// updateOwnRow brings the own row up to date. targets are those of the pool.
func (d *delivery) updateOwnRow(targets []*target.Target, now time.Duration) {
	next := row{Process: d.ownRow.Process, HasMoved: d.hasMoved(now)}
	for _, t := range targets {
		if t.Version != d.order.Version {
			next.AtOld += uint32(max(0, t.Live.InFlight.Load()))
		}
	}
	next.setEvidence(d.own)
	if next.Counter = d.ownRow.Counter; !next.equals(&d.ownRow) {
		next.Counter++
	}
	d.ownRow = next
}

// mergeRow takes over the counts of another process if they are newer.
func (d *delivery) mergeRow(r row) {
	known := d.rows[r.Process]
	if r.Process == d.ownRow.Process || known == nil && len(d.rows) >= maxRows || known != nil && r.Counter <= known.Counter {
		return
	}
	added := r.evidence()
	if known != nil {
		added = added.Since(known.evidence())
	}
	d.others.Add(added)
	d.rows[r.Process] = &r
}

// noticeRows returns the own row and then others, in random order.
func (d *delivery) noticeRows() []*row {
	rows := make([]*row, 0, 1+len(d.rows))
	for _, r := range d.rows {
		rows = append(rows, r)
	}
	rand.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	return slices.Insert(rows, 0, &d.ownRow)
}

// allMoved reports whether all given processes choose no old target and have no request
// there.
func (d *delivery) allMoved(processes []uint64) bool {
	for _, p := range processes {
		r := d.rows[p]
		if p == d.ownRow.Process {
			r = &d.ownRow
		}
		if r == nil || !r.HasMoved || r.AtOld > 0 {
			return false
		}
	}
	return true
}
