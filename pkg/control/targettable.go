package control

import (
	"encoding/binary"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

const (
	// ageUnit is the unit in which instances exchange the ages of
	// confirmations. Ages are rounded up at each hop, so that a coarser unit
	// would make them look too old.
	ageUnit = 50 * time.Millisecond
	// ageUnknown stands for ages that do not fit into a byte, from 12.75 s.
	ageUnknown = 255
	// sharedRecordTTL is how long a record without confirmation stays in the
	// digest and is sent to peers. A target that left the list is not confirmed
	// any more.
	sharedRecordTTL = 30 * time.Second
	// unreachableAfter is the age of the last confirmation from which an
	// instance marks a target as unreachable although it is not an observer, or
	// although another instance reached the target. It is several times
	// staleAfter: an instance without a route to the targets must not make them
	// unreachable for all whenever a confirmation is late.
	unreachableAfter = 10 * time.Second
	// recordTTL is how long the record of an unlisted target is kept without
	// confirmation. It exceeds sharedRecordTTL, so that a peer that lags a
	// little does not bring the record back.
	recordTTL = time.Minute
	// maxTargetRecords bounds the table. It is several times the design scale.
	maxTargetRecords = 4096
	// maxRecordFieldBytes bounds the length of each string of a record.
	maxRecordFieldBytes = 256
)

// targetTable holds the states of the targets, as observed by this instance or
// by peers. It is safe for concurrent use.
//
// Records are ordered by version, and at the same version by the hash of their
// content. An instance that reads a state that differs from the record creates
// a record with the next version. So an observer that restarted, or that missed
// updates, has its old version ignored and continues from the newer one. Two
// observers that see the same change create identical records, which replicate
// as one. If they create different records concurrently, one is discarded; if
// that was the right one, the next read corrects it.
type targetTable struct {
	mu        sync.Mutex
	entries   map[string]*targetEntry
	sorted    []*targetEntry // by ID; nil after an entry was added or removed
	changedAt time.Time      // when a record last changed
}

type targetEntry struct {
	record      peer.TargetRecord
	hash        uint64    // of the record
	confirmedAt time.Time // start of the last read that confirmed the record
	changedAt   time.Time // when this instance got the record
	failedAt    time.Time // start of the last read here, if it failed; otherwise zero
	// markedUnreachable is set while the record is one with which this instance
	// marked the target as unreachable.
	markedUnreachable bool
	// reachedElsewhere is set if another instance reached the target after
	// that. The target then counts as reachable as long as confirmations
	// arrive.
	reachedElsewhere bool
}

func newTargetTable() *targetTable { return &targetTable{entries: make(map[string]*targetEntry)} }

// hashRecord returns a hash of all fields except the age.
func hashRecord(r peer.TargetRecord) uint64 {
	var flags byte
	for bit, set := range []bool{r.Reachable, r.Leaving, r.CanResume} {
		if set {
			flags |= 1 << bit
		}
	}
	buffer := binary.BigEndian.AppendUint64(make([]byte, 0, 192), r.Version)
	buffer = append(buffer, flags)
	for _, text := range []string{r.ID, r.Incarnation, r.Model, r.WeightVersion, r.Adapter} {
		buffer = binary.BigEndian.AppendUint16(buffer, uint16(len(text)))
		buffer = append(buffer, text...)
	}
	return xxhash.Sum64(buffer)
}

// validRecord rejects records that no correct instance sends, so that a faulty
// peer cannot exhaust the memory.
func validRecord(r peer.TargetRecord) bool {
	for _, text := range []string{r.ID, r.Incarnation, r.Model, r.WeightVersion, r.Adapter} {
		if len(text) > maxRecordFieldBytes {
			return false
		}
	}
	return r.ID != "" && r.Version > 0 && r.AgeMillis >= 0 && r.AgeMillis < sharedRecordTTL.Milliseconds()
}

// recordRead records a successful read that started at began. It reports
// whether the record changed. If the record changed during the read, the state
// may be older than that change: it is ignored, and the next read decides.
func (t *targetTable) recordRead(id string, state engine.State, began time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := peer.TargetRecord{
		ID: id, Reachable: true, Leaving: state.Leaving, CanResume: state.CanResume, Incarnation: state.Incarnation,
		Model: state.Model, WeightVersion: state.WeightVersion, Adapter: state.Adapter,
	}
	e := t.entries[id]
	if e != nil {
		e.failedAt, e.markedUnreachable, e.reachedElsewhere = time.Time{}, false, false
		next.Version = e.record.Version
		if e.record == next {
			e.confirmAt(began)
			return false
		}
		if e.changedAt.After(began) {
			return false
		}
	}
	return t.setNextVersion(next, began) != nil
}

// recordFailedRead records a failed read that started at began. It reports
// whether the record changed. While other instances confirm that they reach the
// target, only an observer may mark it as unreachable, and only once: if
// another instance then reaches it, it counts as reachable.
func (t *targetTable) recordFailedRead(id string, observer bool, began time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := peer.TargetRecord{ID: id}
	if e := t.entries[id]; e != nil {
		e.failedAt = began
		if !e.record.Reachable {
			e.confirmAt(began)
			return false
		}
		if (e.reachedElsewhere || !observer) && time.Since(e.confirmedAt) < unreachableAfter || e.changedAt.After(began) {
			return false
		}
		next = e.record
		next.Reachable = false
	}
	e := t.setNextVersion(next, began)
	if e == nil {
		return false
	}
	e.failedAt, e.markedUnreachable, e.reachedElsewhere = began, true, false
	return true
}

// setNextVersion stores a record under the next version. It returns nil if the
// table is full.
func (t *targetTable) setNextVersion(r peer.TargetRecord, began time.Time) *targetEntry {
	r.Version++
	e := t.entryFor(r.ID)
	if e == nil {
		return nil
	}
	t.changedAt = time.Now()
	e.record, e.hash, e.confirmedAt, e.changedAt = r, hashRecord(r), began, t.changedAt
	return e
}

// entryFor returns the entry of a target, and creates it if necessary. It
// returns nil if the table is full.
func (t *targetTable) entryFor(id string) *targetEntry {
	e := t.entries[id]
	if e == nil && len(t.entries) < maxTargetRecords {
		e = &targetEntry{}
		t.entries[id] = e
		t.sorted = nil
	}
	return e
}

func (e *targetEntry) confirmAt(at time.Time) {
	if at.After(e.confirmedAt) {
		e.confirmedAt = at
	}
}

// isSupersededBy reports whether r, with the given hash, replaces the record of
// the entry.
func (e *targetEntry) isSupersededBy(r peer.TargetRecord, hash uint64) bool {
	if r.Version != e.record.Version {
		return r.Version > e.record.Version
	}
	return hash > e.hash
}

// merge merges the records of a peer, whose ages count back from base. It
// returns the IDs of the records that were new here, and the records that are
// newer here.
func (t *targetTable) merge(records []peer.TargetRecord, base time.Time) (changedIDs []string, newer []peer.TargetRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, r := range records {
		if !validRecord(r) {
			continue
		}
		confirmed := base.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
		r.AgeMillis = 0
		hash := hashRecord(r)
		e := t.entryFor(r.ID)
		switch {
		case e == nil:
		case e.hash == hash:
			e.confirmAt(confirmed)
		case e.isSupersededBy(r, hash):
			e.reachedElsewhere = r.Reachable && (e.markedUnreachable || e.reachedElsewhere)
			e.markedUnreachable = false
			e.record, e.hash, e.confirmedAt, e.changedAt = r, hash, confirmed, now
			t.changedAt = now
			changedIDs = append(changedIDs, r.ID)
		case now.Sub(e.confirmedAt) < sharedRecordTTL:
			newer = append(newer, e.wireRecord(now))
		}
	}
	return changedIDs, newer
}

// wireRecord returns the record with its age in milliseconds, rounded up, as it
// is sent to peers.
func (e *targetEntry) wireRecord(now time.Time) peer.TargetRecord {
	r := e.record
	r.AgeMillis = max(0, now.Sub(e.confirmedAt).Milliseconds()+1)
	return r
}

// records returns the records with the given ids, or all if ids is nil. It
// leaves out those without confirmation for sharedRecordTTL.
func (t *targetTable) records(ids []string) []peer.TargetRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var out []peer.TargetRecord
	if ids == nil {
		for _, e := range t.sharedEntries(now) {
			out = append(out, e.wireRecord(now))
		}
		return out
	}
	for _, id := range ids {
		if e := t.entries[id]; e != nil && now.Sub(e.confirmedAt) < sharedRecordTTL {
			out = append(out, e.wireRecord(now))
		}
	}
	return out
}

// dropUnlisted drops unlisted targets that have not been confirmed for
// recordTTL.
func (t *targetTable) dropUnlisted(listed map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if !listed[id] && time.Since(e.confirmedAt) > recordTTL {
			delete(t.entries, id)
			t.sorted = nil
		}
	}
}

// sharedEntries returns the entries that were confirmed within sharedRecordTTL,
// sorted by ID. It runs under mu.
func (t *targetTable) sharedEntries(now time.Time) []*targetEntry {
	if t.sorted == nil {
		for _, e := range t.entries {
			t.sorted = append(t.sorted, e)
		}
		sort.Slice(t.sorted, func(i, j int) bool { return strings.Compare(t.sorted[i].record.ID, t.sorted[j].record.ID) < 0 })
	}
	shared := make([]*targetEntry, 0, len(t.sorted))
	for _, e := range t.sorted {
		if now.Sub(e.confirmedAt) < sharedRecordTTL {
			shared = append(shared, e)
		}
	}
	return shared
}

// confirmBody returns the digest of the table and the ages of its
// confirmations.
func (t *targetTable) confirmBody() peer.TargetsConfirmBody {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	entries := t.sharedEntries(now)
	body := peer.TargetsConfirmBody{
		Digest: digestEntries(entries), IsSettled: now.Sub(t.changedAt) > tableSettleTime, Ages: make([]byte, len(entries)),
	}
	for i, e := range entries {
		units := (now.Sub(e.confirmedAt) + ageUnit - 1) / ageUnit
		body.Ages[i] = byte(min(max(units, 0), ageUnknown))
	}
	return body
}

func digestEntries(entries []*targetEntry) uint64 {
	var digest uint64
	for _, e := range entries {
		digest += e.hash // each hash covers ID and version, so the order does not matter
	}
	return digest
}

// applyConfirmation reports whether a peer's table is the same. If it is, the
// ages of the peer's confirmations, counted back from base, are applied where
// they are newer.
func (t *targetTable) applyConfirmation(body peer.TargetsConfirmBody, base time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := t.sharedEntries(time.Now())
	if digestEntries(entries) != body.Digest || len(entries) != len(body.Ages) {
		return false
	}
	for i, units := range body.Ages {
		if units != ageUnknown {
			entries[i].confirmAt(base.Add(-time.Duration(units) * ageUnit))
		}
	}
	return true
}

// lookup returns the record of a target and when it was last confirmed. A
// target that this instance failed to read within staleAfter is unreachable
// here, whatever others report.
func (t *targetTable) lookup(id string) (peer.TargetRecord, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return peer.TargetRecord{}, time.Time{}
	}
	r := e.record
	if !e.failedAt.IsZero() && time.Since(e.failedAt) < staleAfter {
		r.Reachable = false
	}
	return r, e.confirmedAt
}
