// Package target describes the targets that requests can be sent to.
package target

import (
	"sync/atomic"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// Load is what a target reports about itself. It lags behind reality.
type Load struct {
	Running      int `json:"running"`
	Waiting      int `json:"waiting"`
	QueuedTokens int `json:"queued_tokens"`
}

// Target is one target as last observed. It is immutable apart from Live.
type Target struct {
	ID             string
	Role           objectstore.Role
	Address        string
	Zone           string
	Labels         map[string]string
	Leaving        bool
	Incarnation    string // changes when the target restarts; its cache is then empty
	Model          string
	WeightVersion  string
	Adapter        string
	CanResume      bool
	Reachable      bool
	IsEngine       bool   // it generates from prompts, with a cache of their parts
	AboutToLoad    bool   // it loads weights now or is next to be ordered to
	WeightsExpired bool   // newer weights were named so long ago that its own may not be used
	Slots          int    // requests that it runs at once; zero if not known
	CacheTokens    int    // memory that running requests and cached parts share; zero if not known
	Pool           string // set where the list of targets names the pool
	Load           Load   // newest known when the snapshot was made; see NewestLoad
	Live           *LiveState
}

// Key names the target and its incarnation.
func (t *Target) Key() string { return t.ID + "/" + t.Incarnation }

// LiveState holds what changes without a new snapshot: this instance's own work on a
// target, and the target's newest load. It is shared by all snapshots of the
// same target.
type LiveState struct {
	InFlight           atomic.Int64 // requests
	InFlightTokens     atomic.Int64 // tokens reserved for them
	AwaitingFirstToken atomic.Int64 // requests sent whose first token has not come
	reported           atomic.Pointer[reportedLoad]
	heard              atomic.Int64 // when the target last sent something, in Unix nanoseconds
}

// MarkSeen notes that the target sent something.
func (l *LiveState) MarkSeen(at time.Time) {
	if n := at.UnixNano(); n > l.heard.Load() {
		l.heard.Store(n)
	}
}

// SeenSince reports whether the target sent something after a time.
func (l *LiveState) SeenSince(at time.Time) bool { return l.heard.Load() > at.UnixNano() }

// reportedLoad is a load and when it was observed.
type reportedLoad struct {
	load     Load
	observed time.Time
}

// RecordLoad records a load that the target reported at a time. An older one
// than the newest known is dropped.
func (l *LiveState) RecordLoad(load Load, observed time.Time) {
	l.MarkSeen(observed)
	next := &reportedLoad{load: load, observed: observed}
	for {
		known := l.reported.Load()
		if known != nil && known.observed.After(observed) {
			return
		}
		if l.reported.CompareAndSwap(known, next) {
			return
		}
	}
}

// NewestLoad returns the newest load that the target reported, from a response
// or from a read of its state, and when it was observed. The time is zero if no
// load is known.
func (t *Target) NewestLoad() (Load, time.Time) {
	if known := t.Live.reported.Load(); known != nil {
		return known.load, known.observed
	}
	return Load{}, time.Time{}
}

// Matches reports whether the target has all labels of a selector.
func (t *Target) Matches(selector map[string]string) bool {
	for label, value := range selector {
		if t.Labels[label] != value {
			return false
		}
	}
	return true
}

// Set is an immutable list of all known targets.
type Set struct {
	Targets []*Target
	ByID    map[string]*Target
}

// NewSet indexes targets.
func NewSet(targets []*Target) *Set {
	s := &Set{Targets: targets, ByID: make(map[string]*Target, len(targets))}
	for _, t := range targets {
		s.ByID[t.ID] = t
	}
	return s
}
