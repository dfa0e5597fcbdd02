package prefix

import (
	"sync"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// IndexParams configure an Index.
type IndexParams struct {
	// Lifetime is how long a piece counts as cached after it was last routed to
	// a target. Engines evict within seconds and need not report it.
	Lifetime time.Duration
	// EventLag is the largest expected delay of cache events. An eviction event
	// does not remove a piece that was routed within this time.
	EventLag time.Duration
	// MaxEntries bounds the memory. One entry is one piece on one target and
	// takes 81 bytes, including its share of the map, when the index is full.
	MaxEntries int
}

// DefaultIndexParams returns parameters for 10 s of 400 requests/s with 16 pieces
// each, which take 5.3 MB.
func DefaultIndexParams() IndexParams {
	return IndexParams{Lifetime: 10 * time.Second, EventLag: 2 * time.Second, MaxEntries: 1 << 16}
}

// Slot is the number of a target in an index. Slots of removed targets are reused.
type Slot uint32

// Match states how much of a prompt a target is expected to have in its cache.
type Match struct {
	Slot           Slot
	ExpectedPieces float64 // number of leading pieces, weighted by confidence
}

// maxEntriesPerPiece bounds the entries per piece, so that a lookup stays short when every
// target has the piece. The entry used least recently is evicted.
const maxEntriesPerPiece = 16

const noEntry = int32(-1)

// entry records that a target has a piece in its cache. The entries of one digest
// form a doubly linked list, the most recent first.
type entry struct {
	digest      uint64
	routedAt    int64 // Unix nanoseconds; 0 if known from cache events only
	slot        Slot
	routedEpoch uint32 // of the slot when it was routed
	eventEpoch  uint32 // of the slot when an event reported it; 0 if none did
	next, prev  int32
}

// slotState holds the epochs that decide whether a target's entries are valid. An
// entry of an older epoch is invalid, so incrementing an epoch invalidates all
// entries of a target without visiting them.
type slotState struct {
	id, incarnation, weights string
	routedEpoch, eventEpoch  uint32
	sequence                 uint64 // last cache event applied
	hasSequence              bool
	lookupID                 uint32  // last lookup that matched the target
	expectedPieces           float64 // of that lookup
}

// Index holds which target is expected to have which piece in its cache. It is
// safe for concurrent use.
type Index struct {
	mu          sync.Mutex
	params      IndexParams
	slotByID    map[string]Slot
	states      []slotState
	unusedSlots []Slot
	firstEntry  map[uint64]int32
	entries     []entry
	freeEntries []int32
	clockHand   int
	lookupID    uint32
}

// NewIndex returns an empty index.
func NewIndex(params IndexParams) *Index {
	return &Index{params: params, slotByID: make(map[string]Slot), firstEntry: make(map[uint64]int32)}
}

// weightsKey returns everything besides the incarnation that the validity of a
// target's cache depends on.
func weightsKey(t *target.Target) string {
	return t.Model + "\x00" + t.Adapter + "\x00" + t.WeightVersion
}

// Register adds or updates a target and returns its slot. If its incarnation or
// weights have changed, all its entries become invalid.
func (x *Index) Register(t *target.Target) Slot {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, ok := x.slotByID[t.ID]
	if !ok {
		slot = x.newSlot(t)
	}
	s := &x.states[slot]
	if weights := weightsKey(t); s.incarnation != t.Incarnation || s.weights != weights {
		s.incarnation, s.weights = t.Incarnation, weights
		s.invalidate()
	}
	return slot
}

func (x *Index) newSlot(t *target.Target) Slot {
	var slot Slot
	if n := len(x.unusedSlots); n > 0 {
		slot, x.unusedSlots = x.unusedSlots[n-1], x.unusedSlots[:n-1]
	} else {
		slot = Slot(len(x.states))
		x.states = append(x.states, slotState{})
	}
	s := &x.states[slot]
	s.id, s.incarnation, s.weights = t.ID, t.Incarnation, weightsKey(t)
	s.invalidate()
	x.slotByID[t.ID] = slot
	return slot
}

func (s *slotState) invalidate() {
	s.routedEpoch++
	s.eventEpoch++
	s.sequence, s.hasSequence = 0, false
}

// Remove removes a target and frees its slot. It does nothing if the target is
// not registered.
func (x *Index) Remove(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, ok := x.slotByID[id]
	if !ok {
		return
	}
	x.states[slot].invalidate()
	delete(x.slotByID, id)
	x.unusedSlots = append(x.unusedSlots, slot)
}

// Invalidate invalidates all entries of a target, for example after failures.
func (x *Index) Invalidate(slot Slot) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.states[slot].invalidate()
}

// RecordRouted records that a prompt was sent to a target, which then has its
// pieces in its cache.
func (x *Index) RecordRouted(slot Slot, digests []uint64, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, digest := range digests {
		e := x.findOrAdd(digest, slot, now)
		e.routedAt, e.routedEpoch = now.UnixNano(), x.states[slot].routedEpoch
	}
}

// ApplyEvents applies a batch of cache events of a target. It ignores batches of
// another incarnation and events that were applied before. A gap in the sequence
// invalidates what earlier events reported, because an eviction may be among the
// lost events. What was recorded by RecordRouted stays, as it expires by itself.
func (x *Index) ApplyEvents(id string, batch engine.EventBatch, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, ok := x.slotByID[id]
	if !ok || x.states[slot].incarnation != batch.Incarnation {
		return
	}
	for _, event := range batch.Events {
		x.applyEvent(slot, event, now)
	}
}

// LastSequence returns the sequence number of the last cache event that was
// applied for a target, or 0 if there is none.
func (x *Index) LastSequence(id string) uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if slot, ok := x.slotByID[id]; ok {
		return x.states[slot].sequence
	}
	return 0
}

func (x *Index) applyEvent(slot Slot, event engine.CacheEvent, now time.Time) {
	s := &x.states[slot]
	if s.hasSequence && event.Sequence <= s.sequence {
		return
	}
	if s.hasSequence && event.Sequence != s.sequence+1 {
		s.eventEpoch++
	}
	s.sequence, s.hasSequence = event.Sequence, true
	if !event.Evicted {
		e := x.findOrAdd(event.Digest, slot, now)
		e.eventEpoch = s.eventEpoch
		return
	}
	for at, ok := x.firstEntryOf(event.Digest); ok && at != noEntry; at = x.entries[at].next {
		if e := &x.entries[at]; e.slot == slot {
			e.eventEpoch = 0
			if now.UnixNano()-e.routedAt > int64(x.params.EventLag) {
				x.release(at)
			}
			return
		}
	}
}

// Lookup appends a match to dst for each target that is expected to have a part
// of the prompt in its cache. A target that has a piece also has those before it:
// engines evict the least recently used piece, and using a piece uses all before
// it.
func (x *Index) Lookup(dst []Match, digests []uint64, now time.Time) []Match {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lookupID++
	first := len(dst)
	for k := len(digests) - 1; k >= 0; k-- {
		at, ok := x.firstEntryOf(digests[k])
		for ; ok && at != noEntry; at = x.entries[at].next {
			dst = x.addMatch(dst, &x.entries[at], float64(k+1), now)
		}
	}
	for i := range dst[first:] {
		dst[first+i].ExpectedPieces = x.states[dst[first+i].Slot].expectedPieces
	}
	return dst
}

// addMatch adds or raises the match of the entry's target, if the entry predicts
// more leading pieces than those seen before in this lookup.
func (x *Index) addMatch(dst []Match, e *entry, pieces float64, now time.Time) []Match {
	s := &x.states[e.slot]
	seen := s.lookupID == x.lookupID
	if seen && s.expectedPieces >= pieces {
		return dst
	}
	expected := pieces * x.confidence(e, s, now)
	if expected <= 0 {
		return dst
	}
	if !seen {
		s.lookupID, s.expectedPieces = x.lookupID, expected
		return append(dst, Match{Slot: e.slot})
	}
	s.expectedPieces = max(s.expectedPieces, expected)
	return dst
}

// confidence returns the confidence, from 0 to 1, that the target still has the
// piece in its cache. It is 1 for a piece known from valid events. For a routed
// piece it falls with age, slowly at first: engines evict the least recently used
// piece, so recent pieces are safe, and the age of eviction varies with load.
func (x *Index) confidence(e *entry, s *slotState, now time.Time) float64 {
	if e.eventEpoch != 0 && e.eventEpoch == s.eventEpoch {
		return 1
	}
	if e.routedAt == 0 || e.routedEpoch != s.routedEpoch {
		return 0
	}
	age := float64(now.UnixNano()-e.routedAt) / float64(x.params.Lifetime)
	if age >= 1 {
		return 0
	}
	return 1 - age*age
}

func (x *Index) firstEntryOf(digest uint64) (int32, bool) {
	at, ok := x.firstEntry[digest]
	return at, ok
}

// findOrAdd returns the entry of a piece on a target, a new one if there is none.
// The entry is then the first of its digest's list.
func (x *Index) findOrAdd(digest uint64, slot Slot, now time.Time) *entry {
	head, ok := x.firstEntry[digest]
	if !ok {
		head = noEntry
	}
	count, last := 0, noEntry
	for at := head; at != noEntry; at = x.entries[at].next {
		if x.entries[at].slot == slot {
			if at != head {
				x.unlink(at)
				x.link(at)
			}
			return &x.entries[at]
		}
		count, last = count+1, at
	}
	if count >= maxEntriesPerPiece {
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
	e.prev, e.next = noEntry, noEntry
	if head, ok := x.firstEntry[e.digest]; ok {
		e.next = head
		x.entries[head].prev = at
	}
	x.firstEntry[e.digest] = at
}

func (x *Index) unlink(at int32) {
	e := &x.entries[at]
	if e.next != noEntry {
		x.entries[e.next].prev = e.prev
	}
	switch {
	case e.prev != noEntry:
		x.entries[e.prev].next = e.next
	case e.next != noEntry:
		x.firstEntry[e.digest] = e.next
	default:
		delete(x.firstEntry, e.digest)
	}
}

// release removes an entry from its list and makes it available to allocate.
func (x *Index) release(at int32) {
	x.unlink(at)
	x.freeEntries = append(x.freeEntries, at)
}

// maxSecondChances bounds how many valid entries allocate skips before it evicts
// a valid one.
const maxSecondChances = 8

// allocate returns an unlinked entry. When the index is full it evicts one by the
// clock algorithm: in order of allocation, skipping up to maxSecondChances valid
// entries.
func (x *Index) allocate(now time.Time) int32 {
	if n := len(x.freeEntries); n > 0 {
		at := x.freeEntries[n-1]
		x.freeEntries = x.freeEntries[:n-1]
		return at
	}
	if len(x.entries) < x.params.MaxEntries {
		x.entries = append(x.entries, entry{})
		return int32(len(x.entries) - 1)
	}
	for chance := 0; ; chance++ {
		x.clockHand = (x.clockHand + 1) % len(x.entries)
		e := &x.entries[x.clockHand]
		if chance < maxSecondChances && x.confidence(e, &x.states[e.slot], now) > 0 {
			continue
		}
		x.unlink(int32(x.clockHand))
		return int32(x.clockHand)
	}
}
