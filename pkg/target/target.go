// Package target describes the model engines and plain services that requests
// can be sent to.
package target

import (
	"cmp"
	"math"
	"sync/atomic"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// Load is a target's own report of its load. It is stale by the time it is
// read: use LiveState for the requests of this instance.
type Load struct {
	Running      int `json:"running"`       // requests
	Waiting      int `json:"waiting"`       // requests in the target's queue
	QueuedTokens int `json:"queued_tokens"` // prompt tokens that are not prefilled yet
	// PacePercent is how long work takes on the target's machine now, in percent of the
	// usual time; zero if the report does not state it.
	PacePercent int `json:"pace_percent,omitempty"`
}

// Target is a snapshot of one target. It is immutable apart from Live.
type Target struct {
	ID            string
	Role          objectstore.Role
	Address       string
	Zone          string
	Labels        map[string]string
	Version       string // of its software; empty if the list does not state it
	WarmingUp     bool   // is slower than usual after its start
	Leaving       bool
	Incarnation   string // changes when the target restarts; its cache is then empty
	Model         string
	WeightVersion string
	Adapter       string
	CanResume     bool
	Reachable     bool
	IsEngine      bool // a model engine, which caches parts of prompts; otherwise a plain service
	AboutToLoad   bool // is loading weights or will be ordered to next
	// WeightsUsableUntil is the boot time until which a request may begin on its
	// weights; zero if they are not superseded.
	WeightsUsableUntil time.Duration
	// WeightsUseIsAssumed is set if the true end of their use may be later.
	WeightsUseIsAssumed bool
	// MissingSince is the boot time from which its entry is missing; zero while it is
	// listed. The target is used because the entry may only have lapsed.
	MissingSince time.Duration
	Slots        int    // requests that it can run concurrently; zero if unknown
	CacheTokens  int    // memory for running requests and cached parts, in tokens; zero if unknown
	Pool         string // empty if the list of targets does not name it
	Load         Load   // as of the snapshot; NewestLoad may be more recent
	Live         *LiveState
}

// ListState tells how current a list of targets is.
type ListState struct {
	Age      time.Duration // since the time up to which the list is known to be complete
	MaxAge   time.Duration // from which this instance reads changes itself; zero if it always does
	Revision uint64        // of the store
	From     string        // address of the instance that sent the newest proof; empty for the store
}

// IsNewerVersion reports whether weight version a is newer than b.
func IsNewerVersion(a, b string) bool { return CompareVersions(a, b) > 0 }

// CompareVersions compares two weight versions, with the older one first. Versions
// are whole numbers in decimal, so the longer one is the larger.
func CompareVersions(a, b string) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
}

// Key returns a key that is unique to the target and its incarnation.
func (t *Target) Key() string { return t.ID + "/" + t.Incarnation }

// LiveState is the state of a target that changes between snapshots: the
// requests of this instance and the target's newest load report. All snapshots
// of the same incarnation share it. It is safe for concurrent use.
type LiveState struct {
	InFlight           atomic.Int64 // requests of this instance
	InFlightTokens     atomic.Int64 // tokens reserved for them
	AwaitingFirstToken atomic.Int64 // requests sent that have no first token yet
	reported           atomic.Pointer[reportedLoad]
	lastSeen           atomic.Int64 // time of the last data from the target, in Unix nanoseconds
	pausedUntil        atomic.Int64 // boot time in nanoseconds until which the target wants no work; zero: never asked
	leavingHint        atomic.Bool
	steps              stepTimes
}

// MarkSeen records that data from the target arrived at the given time.
func (l *LiveState) MarkSeen(at time.Time) {
	if n := at.UnixNano(); n > l.lastSeen.Load() {
		l.lastSeen.Store(n)
	}
}

// SeenSince reports whether data from the target arrived after the given time.
func (l *LiveState) SeenSince(at time.Time) bool { return l.lastSeen.Load() > at.UnixNano() }

// reportedLoad is a load report and the time of its observation.
type reportedLoad struct {
	load     Load
	observed time.Time
	pace     float64   // mean of the stated paces; zero if none was stated
	paceAt   time.Time // of the newest report that stated one
	inFlight int64     // requests of this instance when it was recorded
}

const (
	// paceMeanTime is the time after which an earlier pace counts for 1/e in the mean.
	// The stated pace changes faster than reports reach all instances: if they followed
	// each one, all would send to the same targets. For the same reason a single report
	// counts for maxPaceWeight at most, however old the one before is.
	paceMeanTime  = time.Second
	maxPaceWeight = 0.6
	// paceLifetime is the time after the last report in which the deviation from the
	// usual pace falls to 1/e.
	paceLifetime = 2 * time.Second
	// minPace and maxPace bound a stated pace, so that no target gets all of the work or
	// none for what it says.
	minPace, maxPace = 0.25, 10
)

// setPace sets the mean pace after the report before, which may be nil.
func (r *reportedLoad) setPace(before *reportedLoad) {
	if before != nil {
		r.pace, r.paceAt = before.pace, before.paceAt
	}
	if r.load.PacePercent <= 0 {
		return
	}
	stated := min(max(float64(r.load.PacePercent)/100, minPace), maxPace)
	earlier := 0.0 // weight of the mean before; what neither it nor this report has counts as usual
	if !r.paceAt.IsZero() {
		earlier = math.Exp(-float64(r.observed.Sub(r.paceAt)) / float64(paceMeanTime))
	}
	weight := min(1-earlier, maxPaceWeight)
	r.pace, r.paceAt = 1+earlier*(r.pace-1)+weight*(stated-1), r.observed
}

// paceNow returns the mean pace, which returns to the usual one when no report states it.
func (r *reportedLoad) paceNow(now time.Time) float64 {
	if r == nil || r.pace == 0 {
		return 1
	}
	age := max(0, float64(now.Sub(r.paceAt))/float64(paceLifetime))
	return 1 + (r.pace-1)*math.Exp(-age)
}

// Pace returns how long work takes at the target, relative to its usual time. It is 1
// if the target does not say or has not said so lately.
func (l *LiveState) Pace(now time.Time) float64 { return l.reported.Load().paceNow(now) }

// HasStatedPace reports whether the target has stated a pace. Not every later report repeats
// it: instances of earlier versions pass reports on without it.
func (l *LiveState) HasStatedPace() bool {
	newest := l.reported.Load()
	return newest != nil && !newest.paceAt.IsZero()
}

// RecordLoad records a load report of the target. Reports older than the newest
// recorded one are dropped.
func (l *LiveState) RecordLoad(load Load, observed time.Time) {
	l.MarkSeen(observed)
	next := &reportedLoad{load: load, observed: observed, inFlight: l.InFlight.Load()}
	for {
		newest := l.reported.Load()
		if newest != nil && newest.observed.After(observed) {
			return
		}
		next.setPace(newest)
		if l.reported.CompareAndSwap(newest, next) {
			return
		}
	}
}

// NewestLoad returns the newest load report, from a response or a read of the
// target's state, and the time of its observation. The time is zero if there is
// no report.
func (t *Target) NewestLoad() (Load, time.Time) {
	if newest := t.Live.reported.Load(); newest != nil {
		return newest.load, newest.observed
	}
	return Load{}, time.Time{}
}

// EstimateLoad returns the requests that run or wait at the target, by its newest load
// report and the requests that this instance has sent or ended since, and how many of
// them wait. Those sent since count as waiting. The time is that of the report, or zero
// if there is none.
func (t *Target) EstimateLoad() (busy, waiting int, observed time.Time) {
	own := int(t.Live.InFlight.Load())
	newest := t.Live.reported.Load()
	if newest == nil {
		return own, 0, time.Time{}
	}
	since := own - int(newest.inFlight)
	busy = newest.load.Running + newest.load.Waiting + since
	return max(own, busy), newest.load.Waiting + max(0, since), newest.observed
}

// Matches reports whether the target has all labels of the selector.
func (t *Target) Matches(selector map[string]string) bool {
	for label, value := range selector {
		if t.Labels[label] != value {
			return false
		}
	}
	return true
}

// Set is an immutable snapshot of all known targets.
type Set struct {
	Targets []*Target
	ByID    map[string]*Target
}

// NewSet returns a set of the given targets, indexed by ID.
func NewSet(targets []*Target) *Set {
	s := &Set{Targets: targets, ByID: make(map[string]*Target, len(targets))}
	for _, t := range targets {
		s.ByID[t.ID] = t
	}
	return s
}
