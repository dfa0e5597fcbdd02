package delivery

import (
	"cmp"
	"maps"
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
	// warmUpTime is the time after the first exposed request, and after the move began, in
	// which answers of engines may take longer because their caches are empty.
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
	// observed is set if the order was given while this process watched the orders, and
	// isInForce if its version was the only one in use then.
	observed, isInForce bool

	objectVersion uint64 // of the order's object
	status        Status // as read from the store

	allowance      allowance
	firstExposedAt time.Duration
	own            Evidence
	ownRow         row
	rows           map[uint64]*row // of other processes
	others         Evidence        // sum of rows
	countedTargets map[uint32]bool
	ownMove        move
	moves          map[uint64]toldMove // of other processes
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
		order: order, id: order.ID(), phase: PhaseTrial, own: NewEvidence(), others: NewEvidence(), ownRow: row{Process: process}, ownMove: move{Process: process},
		countedTargets: make(map[uint32]bool), moves: make(map[uint64]toldMove),
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

// record adds an answer to the own counts. took is scaled by the request's work.
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
		if now-max(d.firstExposedAt, d.movingAt) < warmUpTime {
			limit += time.Duration(float64(s.coldAllowance) * s.scale)
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
	switch {
	case d.countedTargets[key.Target]:
	case len(d.countedTargets) < maxCountedTargets:
		d.countedTargets[key.Target] = true
	default:
		key.Target = OtherTargets
	}
	d.own.New[key] = d.own.New[key].plus(c)
}

// updateOwnRow brings the own row up to date. targets are those of the pool.
func (d *delivery) updateOwnRow(targets []*target.Target, now time.Duration) {
	d.updateOwnMove(targets, now)
	next := row{Process: d.ownRow.Process}
	next.setEvidence(d.own)
	if next.Counter = d.ownRow.Counter; !next.equals(&d.ownRow) {
		next.Counter++
	}
	d.ownRow = next
}

// toldMove is a move that another process told, and when it arrived.
type toldMove struct {
	move
	at time.Duration
}

// updateOwnMove brings the own move up to date.
func (d *delivery) updateOwnMove(targets []*target.Target, now time.Duration) {
	next := move{Process: d.ownMove.Process, Counter: d.ownMove.Counter, HasMoved: d.hasMoved(now)}
	for _, t := range targets {
		if t.Version != d.order.Version {
			next.AtOld += uint32(max(0, t.Live.InFlight.Load()))
		}
	}
	if next != d.ownMove {
		next.Counter++
	}
	d.ownMove = next
}

// mergeMove takes over what another process tells about its move if it is newer.
func (d *delivery) mergeMove(m move, now time.Duration) {
	known, isKnown := d.moves[m.Process]
	if m.Process == d.ownMove.Process || !isKnown && len(d.moves) >= maxRows || isKnown && m.Counter <= known.Counter {
		return
	}
	d.moves[m.Process] = toldMove{m, now}
}

// newestMoves returns the own move and those that arrived last.
func (d *delivery) newestMoves() []move {
	told := slices.Collect(maps.Values(d.moves))
	slices.SortFunc(told, func(a, b toldMove) int { return cmp.Compare(b.at, a.at) })
	moves := []move{d.ownMove}
	for _, m := range told[:min(len(told), maxMoves)] {
		moves = append(moves, m.move)
	}
	return moves
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

// allMoved reports whether this process and all given ones choose no old target and have no
// request there. Without a list of processes it is not known.
func (d *delivery) allMoved(processes []uint64) bool {
	if len(processes) == 0 || !d.ownMove.isDone() {
		return false
	}
	return !slices.ContainsFunc(processes, func(p uint64) bool {
		m, isKnown := d.moves[p]
		return p != d.ownMove.Process && !(isKnown && m.isDone())
	})
}

func (m move) isDone() bool { return m.HasMoved && m.AtOld == 0 }
