package delivery

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxNoticeBytes keeps a notice in one packet.
	maxNoticeBytes = 1100
	// finalNoticeTime is how long the end of a delivery is told at least. It reaches all
	// instances in a few rounds; those without messages read it from the store.
	finalNoticeTime = 20 * time.Second
	// maxCountedTargets bounds the targets that an instance counts apart.
	maxCountedTargets = 8
	// maxMoves keeps a message about moves in one packet.
	maxMoves = 70
	// maxRows bounds the processes whose counts are kept for a delivery.
	maxRows = 4096
)

// notice tells other instances about a delivery. Evidence in it is cumulative.
type notice struct {
	_       struct{} `cbor:",toarray"`
	OrderID uint64
	Phase   Phase
	AgeMS   uint32 // of the order; zero if the sender does not know it
	// IsInForce is set if the sender had only the ordered version in use before the order.
	IsInForce bool
	Rows      []row
	Moves     []move
}

// move tells whether a process still uses old targets during a move.
type move struct {
	_       struct{} `cbor:",toarray"`
	Process uint64
	Counter uint32 // rises with each change
	// HasMoved is set once the process chooses no old target any more, and AtOld is the
	// number of its requests that are still there.
	HasMoved bool
	AtOld    uint32
}

// row is what one process tells about a delivery.
type row struct {
	_       struct{} `cbor:",toarray"`
	Process uint64   // hash of the incarnation
	Counter uint32   // rises with each change
	Old     []oldCounts
	New     []newCounts
}

type oldCounts struct {
	_      struct{} `cbor:",toarray"`
	Route  uint32
	Counts Counts
}

type newCounts struct {
	_      struct{} `cbor:",toarray"`
	Key    routeTargetRow
	Counts Counts
}

type routeTargetRow struct {
	_             struct{} `cbor:",toarray"`
	Route, Target uint32
}

func (r *row) evidence() Evidence {
	e := NewEvidence()
	for _, c := range r.Old {
		e.Old[c.Route] = e.Old[c.Route].plus(c.Counts)
	}
	for _, c := range r.New {
		key := RouteTarget{c.Key.Route, c.Key.Target}
		e.New[key] = e.New[key].plus(c.Counts)
	}
	return e
}

// setEvidence replaces the counts of a row.
func (r *row) setEvidence(e Evidence) {
	r.Old, r.New = r.Old[:0:0], r.New[:0:0]
	for _, route := range sortedRoutes(e.Old) {
		r.Old = append(r.Old, oldCounts{Route: route, Counts: e.Old[route]})
	}
	for key, c := range e.New {
		r.New = append(r.New, newCounts{Key: routeTargetRow{Route: key.Route, Target: key.Target}, Counts: c})
	}
}

// equals reports whether two rows differ in Counter only.
func (r *row) equals(other *row) bool {
	return slices.Equal(r.Old, other.Old) && sameNew(r.New, other.New)
}

func sameNew(a, b []newCounts) bool {
	if len(a) != len(b) {
		return false
	}
	known := make(map[routeTargetRow]Counts, len(a))
	for _, c := range a {
		known[c.Key] = c.Counts
	}
	return !slices.ContainsFunc(b, func(c newCounts) bool { return known[c.Key] != c.Counts })
}

// encodeNotice encodes a notice with as many rows as fit, in the given order.
func encodeNotice(n notice, rows []*row) ([]byte, error) {
	size := 0
	for _, r := range rows {
		encoded, err := cbor.Marshal(r)
		if err != nil {
			return nil, err
		}
		if size += len(encoded); size > maxNoticeBytes && len(n.Rows) > 0 {
			break
		}
		n.Rows = append(n.Rows, *r)
	}
	return cbor.Marshal(n)
}
