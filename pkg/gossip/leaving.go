package gossip

import (
	"slices"
	"time"
)

const (
	// leavingVersion is the version of datagrams about targets that leave. Instances
	// that do not know it ignore them.
	leavingVersion = 5
	// maxLeavingAge is how long it is passed on that a target leaves, from when the
	// first instance learned of it. With the fan-out it reaches all in that time.
	maxLeavingAge = 3 * time.Second
	// maxLeaving keeps a datagram within one packet.
	maxLeaving = 64
)

type leavingDatagram struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Targets []leavingRecord
}

type leavingRecord struct {
	_      struct{} `cbor:",toarray"`
	Target uint64   // hash of the target's key
	AgeMS  uint32   // since the first instance learned of it
}

// ReportLeaving records that a target said to this instance that it leaves.
func (g *Gossip) ReportLeaving(key string) { g.recordLeaving(HashTarget(key), time.Now()) }

// recordLeaving records since when a target is known to leave, and reports whether it
// was not known.
func (g *Gossip) recordLeaving(id uint64, since time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.leaving[id]; known {
		return false
	}
	if g.leaving == nil {
		g.leaving = make(map[uint64]time.Time)
	}
	g.leaving[id] = since
	return true
}

// leavingRecords returns the targets of which others should learn, the newest first,
// and forgets those that are too old.
func (g *Gossip) leavingRecords(now time.Time) []leavingRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	var records []leavingRecord
	for id, since := range g.leaving {
		age := now.Sub(since)
		if age > 2*maxLeavingAge {
			// Kept for longer than datagrams travel, so that it does not begin again.
			delete(g.leaving, id)
		}
		if age <= maxLeavingAge {
			records = append(records, leavingRecord{Target: id, AgeMS: uint32(max(0, age.Milliseconds()))})
		}
	}
	slices.SortFunc(records, func(a, b leavingRecord) int { return int(a.AgeMS) - int(b.AgeMS) })
	return records[:min(len(records), maxLeaving)]
}

func (g *Gossip) handleLeaving(d leavingDatagram, now time.Time) {
	for _, r := range d.Targets {
		age := time.Duration(r.AgeMS) * time.Millisecond
		if age <= maxLeavingAge && g.recordLeaving(r.Target, now.Add(-age)) && g.OnLeaving != nil {
			g.OnLeaving(r.Target)
		}
	}
}
