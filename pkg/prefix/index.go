package prefix

import (
	"sync"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// IndexParams bound an index.
type IndexParams struct {
	// Lifetime is how long a routed piece counts without being used again.
	// Engines evict within seconds and this instance does not see them do it.
	Lifetime time.Duration
	// EventLag is the largest expected delay of cache events. An eviction does
	// not cancel a use that is more recent than this.
	EventLag time.Duration
	// MaxEntries bounds the memory: one entry is one piece on one target and
	// takes 81 bytes with its share of the map (measured with a full index).
	MaxEntries int
}

// DefaultIndexParams hold 10 s of 400 requests/s of 16 pieces in 5.3 MB.
func DefaultIndexParams() IndexParams {
	return IndexParams{Lifetime: 10 * time.Second, EventLag: 2 * time.Second, MaxEntries: 1 << 16}
}

// Slot is the dense number of a target in an index.
type Slot uint32

// Match is what a target is expected to hold of a prompt.
type Match struct {
	Slot           Slot
	ExpectedPieces float64 // leading pieces, weighted with the confidence in them
}

// maxHolders bounds the targets remembered per piece, so that a lookup of a
// piece that every target holds stays short. The least recent is dropped.
const maxHolders = 16

const none = int32(-1)

// entry says that a target holds a piece. Entries of one digest form a list.
type entry struct {
	digest     uint64
	used       int64 // last routing, unix nanoseconds; 0 if known from events only
	slot       Slot
	epoch      uint32 // of the target's incarnation when it was routed
	eventEpoch uint32 // of the trusted part of the event stream; 0 if not from events
	next, prev int32
}

// slotState is what makes entries of a target valid. An entry of an older epoch
// is invalid, so a whole target is dropped without a walk over its entries.
type slotState struct {
	id, incarnation, weights string
	epoch, eventEpoch        uint32
	sequence                 uint64 // last cache event applied
	hasSequence              bool
	bestStamp                uint32
	best                     float64
}

// Index remembers which target holds which piece. It is safe for concurrent use.
type Index struct {
	mu      sync.Mutex
	params  IndexParams
	slots   map[string]Slot
	states  []slotState
	unused  []Slot
	heads   map[uint64]int32
	entries []entry
	free    []int32
	hand    int
	stamp   uint32
}

// NewIndex returns an empty index.
func NewIndex(params IndexParams) *Index {
	return &Index{params: params, slots: make(map[string]Slot), heads: make(map[uint64]int32)}
}

// weightsOf names everything that a target's cache depends on but its incarnation.
func weightsOf(t *target.Target) string {
	return t.Model + "\x00" + t.Adapter + "\x00" + t.WeightVersion
}

// Register registers a target as last observed and returns its slot. What is known
// of another incarnation or of other weights is dropped.
func (x *Index) Register(t *target.Target) Slot {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, ok := x.slots[t.ID]
	if !ok {
		slot = x.newSlot(t)
	}
	s := &x.states[slot]
	if weights := weightsOf(t); s.incarnation != t.Incarnation || s.weights != weights {
		s.incarnation, s.weights = t.Incarnation, weights
		s.drop()
	}
	return slot
}

func (x *Index) newSlot(t *target.Target) Slot {
	var slot Slot
	if n := len(x.unused); n > 0 {
		slot, x.unused = x.unused[n-1], x.unused[:n-1]
	} else {
		slot = Slot(len(x.states))
		x.states = append(x.states, slotState{})
	}
	s := &x.states[slot]
	s.id, s.incarnation, s.weights = t.ID, t.Incarnation, weightsOf(t)
	s.drop()
	x.slots[t.ID] = slot
	return slot
}

func (s *slotState) drop() {
	s.epoch++
	s.eventEpoch++
	s.sequence, s.hasSequence = 0, false
}

// Remove drops everything about a target and frees its slot.
func (x *Index) Remove(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, ok := x.slots[id]
	if !ok {
		return
	}
	x.states[slot].drop()
	delete(x.slots, id)
	x.unused = append(x.unused, slot)
}

// Invalidate drops what is known of a target's cache, for example after failures.
func (x *Index) Invalidate(slot Slot) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.states[slot].drop()
}

// RecordRouted notes that a prompt was sent to a target, which then holds its pieces.
func (x *Index) RecordRouted(slot Slot, digests []uint64, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, digest := range digests {
		e := x.find(digest, slot, now)
		e.used, e.epoch = now.UnixNano(), x.states[slot].epoch
	}
}

// ApplyEvents feeds a batch of cache events of a target. Batches of another than the
// present incarnation are ignored. A gap drops what earlier events said,
// because an eviction may be among the lost events; routing history stays, as
// it expires by itself. Events that were applied before are skipped.
func (x *Index) ApplyEvents(id string, batch engine.EventBatch, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, ok := x.slots[id]
	if !ok || x.states[slot].incarnation != batch.Incarnation {
		return
	}
	for _, event := range batch.Events {
		x.apply(slot, event, now)
	}
}

// LastSequence returns the sequence number of the last event applied for a target.
func (x *Index) LastSequence(id string) uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if slot, ok := x.slots[id]; ok {
		return x.states[slot].sequence
	}
	return 0
}

func (x *Index) apply(slot Slot, event engine.CacheEvent, now time.Time) {
	s := &x.states[slot]
	if s.hasSequence && event.Sequence <= s.sequence {
		return
	}
	if s.hasSequence && event.Sequence != s.sequence+1 {
		s.eventEpoch++
	}
	s.sequence, s.hasSequence = event.Sequence, true
	if !event.Evicted {
		e := x.find(event.Digest, slot, now)
		e.eventEpoch = s.eventEpoch
		return
	}
	for at, ok := x.head(event.Digest); ok && at != none; at = x.entries[at].next {
		if e := &x.entries[at]; e.slot == slot {
			e.eventEpoch = 0
			if now.UnixNano()-e.used > int64(x.params.EventLag) {
				x.release(at)
			}
			return
		}
	}
}

// Lookup appends to dst each target that is expected to hold a part of the
// prompt. A target that holds a piece also holds those before it: engines
// evict least recently used first, and a use of a piece uses those before it.
func (x *Index) Lookup(dst []Match, digests []uint64, now time.Time) []Match {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stamp++
	first := len(dst)
	for k := len(digests) - 1; k >= 0; k-- {
		at, ok := x.head(digests[k])
		for ; ok && at != none; at = x.entries[at].next {
			dst = x.note(dst, &x.entries[at], float64(k+1), now)
		}
	}
	for i := range dst[first:] {
		dst[first+i].ExpectedPieces = x.states[dst[first+i].Slot].best
	}
	return dst
}

func (x *Index) note(dst []Match, e *entry, pieces float64, now time.Time) []Match {
	s := &x.states[e.slot]
	seen := s.bestStamp == x.stamp
	if seen && s.best >= pieces {
		return dst
	}
	expected := pieces * x.confidence(e, s, now)
	if expected <= 0 {
		return dst
	}
	if !seen {
		s.bestStamp, s.best = x.stamp, expected
		return append(dst, Match{Slot: e.slot})
	}
	s.best = max(s.best, expected)
	return dst
}

// confidence is 1 for a piece that trusted events report. For a routed piece it
// falls with age, slowly at first: engines evict by recency, so young entries
// are safe and the age of eviction varies with pressure.
func (x *Index) confidence(e *entry, s *slotState, now time.Time) float64 {
	if e.eventEpoch != 0 && e.eventEpoch == s.eventEpoch {
		return 1
	}
	if e.used == 0 || e.epoch != s.epoch {
		return 0
	}
	age := float64(now.UnixNano()-e.used) / float64(x.params.Lifetime)
	if age >= 1 {
		return 0
	}
	return 1 - age*age
}

func (x *Index) head(digest uint64) (int32, bool) {
	at, ok := x.heads[digest]
	return at, ok
}

// find returns the entry of a piece on a target, which it moves to the front
// of the piece's list, or a new one.
func (x *Index) find(digest uint64, slot Slot, now time.Time) *entry {
	head, ok := x.heads[digest]
	if !ok {
		head = none
	}
	count, last := 0, none
	for at := head; at != none; at = x.entries[at].next {
		if x.entries[at].slot == slot {
			if at != head {
				x.unlink(at)
				x.link(at)
			}
			return &x.entries[at]
		}
		count, last = count+1, at
	}
	if count >= maxHolders {
		x.release(last)
	}
	at := x.allocate(now)
	x.entries[at] = entry{digest: digest, slot: slot}
	x.link(at)
	return &x.entries[at]
}

// link puts an entry at the front of its digest's list.
func (x *Index) link(at int32) {
	e := &x.entries[at]
	e.prev, e.next = none, none
	if head, ok := x.heads[e.digest]; ok {
		e.next = head
		x.entries[head].prev = at
	}
	x.heads[e.digest] = at
}

func (x *Index) unlink(at int32) {
	e := &x.entries[at]
	if e.next != none {
		x.entries[e.next].prev = e.prev
	}
	switch {
	case e.prev != none:
		x.entries[e.prev].next = e.next
	case e.next != none:
		x.heads[e.digest] = e.next
	default:
		delete(x.heads, e.digest)
	}
}

func (x *Index) release(at int32) {
	x.unlink(at)
	x.free = append(x.free, at)
}

// secondChances bounds how many entries that still count are passed over
// before one is evicted all the same.
const secondChances = 8

// allocate returns an unlinked entry. When the index is full it evicts in the
// order of insertion and passes over a few entries that still count.
func (x *Index) allocate(now time.Time) int32 {
	if n := len(x.free); n > 0 {
		at := x.free[n-1]
		x.free = x.free[:n-1]
		return at
	}
	if len(x.entries) < x.params.MaxEntries {
		x.entries = append(x.entries, entry{})
		return int32(len(x.entries) - 1)
	}
	for chance := 0; ; chance++ {
		x.hand = (x.hand + 1) % len(x.entries)
		e := &x.entries[x.hand]
		if chance < secondChances && x.confidence(e, &x.states[e.slot], now) > 0 {
			continue
		}
		x.unlink(int32(x.hand))
		return int32(x.hand)
	}
}
