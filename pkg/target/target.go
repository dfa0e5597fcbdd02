// Package target describes the targets that requests can be sent to.
package target

import (
	"sync/atomic"

	"lacewingwheel.example/lacewingwheel/pkg/platform"
)

// Load is what a target reports about itself. It lags behind reality.
type Load struct {
	Running      int `json:"running"`
	Waiting      int `json:"waiting"`
	QueuedTokens int `json:"queued_tokens"`
}

// Target is one target as last observed. It is immutable apart from Live.
type Target struct {
	ID            string
	Role          platform.Role
	Address       string
	Zone          string
	Labels        map[string]string
	Leaving       bool
	Incarnation   string // changes when the target restarts; its cache is then empty
	Model         string
	WeightVersion string
	Adapter       string
	CanResume     bool
	Reachable     bool
	Load          Load
	Live          *Live
}

// Live counts this instance's own work on a target. It is shared by all
// snapshots of the same target.
type Live struct {
	InFlight       atomic.Int64 // requests
	InFlightTokens atomic.Int64 // tokens reserved for them
	Pending        atomic.Int64 // requests sent whose first token has not come
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
