// Package delivery moves the traffic of a pool from the targets of one software version
// to those of another (progressive delivery), on an operator's order. Few requests go to
// the new version until it is judged; then all do, or none.
//
// The decisions (Judge, Decide, exposure) do no I/O. Every instance takes them on the
// counts of all instances that it knows; docs/design/delivery.md says why no instance
// has to live on for that.
package delivery

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Order asks that the traffic of a pool moves to a version within a duration.
type Order struct {
	Pool, Version string
	Duration      time.Duration
}

// ID identifies the order in messages. The revision of its object is no part of it:
// status writes and a store that comes back from a copy change that.
func (o Order) ID() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%q %q %d", o.Pool, o.Version, o.Duration))
}

// Phase is how far a delivery has come. Instances that know different phases take the
// highest. Completed is above rolled back because it is only reached by a write to the
// store, after which there are no old targets to go back to.
type Phase uint8

// Phases of a delivery.
const (
	PhaseTrial Phase = iota + 1
	PhaseMoving
	PhaseRolledBack
	PhaseCompleted
)

// IsFinal reports whether the delivery has ended.
func (p Phase) IsFinal() bool { return p >= PhaseRolledBack }

// String implements fmt.Stringer.
func (p Phase) String() string {
	switch p {
	case PhaseTrial:
		return "trial"
	case PhaseMoving:
		return "moving"
	case PhaseRolledBack:
		return "rolled back"
	case PhaseCompleted:
		return "completed"
	}
	return "none"
}

// Status is what the order's object says about its delivery. Phase is zero if it says
// nothing.
type Status struct {
	Version string
	Phase   Phase
}
