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
	// ageUnit is the unit in which the ages of confirmations are exchanged. Ages
	// are rounded up at each hop, so a coarse unit would age them.
	ageUnit = 50 * time.Millisecond
	// ageUnknown stands for ages that do not fit into a byte, from 12.75 s.
	ageUnknown = 255
	// sharedLife is how long a record without confirmation is still part of the
	// digest and sent to peers. Nobody confirms a target that left the list.
	sharedLife = 30 * time.Second
	// denyAfter is the age of the last confirmation from which an instance that
	// is no observer, or was contradicted, says that a target is unreachable. It
	// exceeds staleAfter several times: an instance without a way to the targets
	// must not make them unreachable for all whenever a confirmation is late.
	denyAfter = 10 * time.Second
	// recordLife is how long such a record is kept when its target is not listed.
	// It exceeds sharedLife, so that a peer that is a little behind does not
	// bring a record back.
	recordLife = time.Minute
	// maxTargetRecords bounds the table, at several times the design scale.
	maxTargetRecords = 4096
	// maxRecordField bounds the strings of a record.
	maxRecordField = 256
)

// targetTable holds the state of the targets as observed here or by peers.
//
// Records are ordered by version, and at the same version by the hash of their
// content. Whoever reads a target and finds another state than the record's
// gives it the next version. An observer that restarted, or that missed updates,
// so has its old version ignored and goes on from the newer one. Two observers
// that see the same change make the same record, which spreads as one. If they
// make different records at once, one of them loses, and if that was the right
// one, the next read corrects it.
type targetTable struct {
	mu      sync.Mutex
	entries map[string]*targetEntry
	sorted  []*targetEntry // by id; nil after an entry was added or removed
	changed time.Time      // when a record last changed
}

type targetEntry struct {
	record    peer.TargetRecord
	hash      uint64    // of the record
	confirmed time.Time // when a read last confirmed the record
	changed   time.Time // when the record came to be known here
	failed    time.Time // last failed read here, zero after a successful one
	// denied: this instance made the record say that the target is unreachable.
	denied bool
	// contradicted: another instance reached the target after that. It then
	// counts as reachable for as long as its confirmations arrive.
	contradicted bool
}

func newTargetTable() *targetTable { return &targetTable{entries: make(map[string]*targetEntry)} }

// hashRecord covers all fields but the age.
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

// validRecord refuses what no instance sends, so that a faulty peer cannot fill
// the memory.
func validRecord(r peer.TargetRecord) bool {
	for _, text := range []string{r.ID, r.Incarnation, r.Model, r.WeightVersion, r.Adapter} {
		if len(text) > maxRecordField {
			return false
		}
	}
	return r.ID != "" && r.Version > 0 && r.AgeMillis >= 0 && r.AgeMillis < sharedLife.Milliseconds()
}

// observe records a successful read that began at a time. It reports whether
// the record changed. If another change arrived during the read, the answer may
// be older than that, and the next read decides.
func (t *targetTable) observe(id string, state engine.State, began time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := peer.TargetRecord{
		ID: id, Reachable: true, Leaving: state.Leaving, CanResume: state.CanResume, Incarnation: state.Incarnation,
		Model: state.Model, WeightVersion: state.WeightVersion, Adapter: state.Adapter,
	}
	e := t.entries[id]
	if e != nil {
		e.failed, e.denied, e.contradicted = time.Time{}, false, false
		next.Version = e.record.Version
		if e.record == next {
			e.confirm(began)
			return false
		}
		if e.changed.After(began) {
			return false
		}
	}
	return t.advance(next, began) != nil
}

// fail records a failed read. It reports whether the record changed. While
// others confirm that they reach the target, only its observers may say the
// contrary, and only once: it then counts as reachable elsewhere.
func (t *targetTable) fail(id string, observer bool, began time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := peer.TargetRecord{ID: id}
	if e := t.entries[id]; e != nil {
		e.failed = began
		if !e.record.Reachable {
			e.confirm(began)
			return false
		}
		if (e.contradicted || !observer) && time.Since(e.confirmed) < denyAfter || e.changed.After(began) {
			return false
		}
		next = e.record
		next.Reachable = false
	}
	e := t.advance(next, began)
	if e == nil {
		return false
	}
	e.failed, e.denied, e.contradicted = began, true, false
	return true
}

// advance makes a record with the next version current. It returns nil if the
// table is full.
func (t *targetTable) advance(r peer.TargetRecord, began time.Time) *targetEntry {
	r.Version++
	e := t.entry(r.ID)
	if e == nil {
		return nil
	}
	t.changed = time.Now()
	e.record, e.hash, e.confirmed, e.changed = r, hashRecord(r), began, t.changed
	return e
}

func (t *targetTable) entry(id string) *targetEntry {
	e := t.entries[id]
	if e == nil && len(t.entries) < maxTargetRecords {
		e = &targetEntry{}
		t.entries[id] = e
		t.sorted = nil
	}
	return e
}

func (e *targetEntry) confirm(at time.Time) {
	if at.After(e.confirmed) {
		e.confirmed = at
	}
}

// olderThan reports whether a record replaces the one of the entry.
func (e *targetEntry) olderThan(r peer.TargetRecord, hash uint64) bool {
	if r.Version != e.record.Version {
		return r.Version > e.record.Version
	}
	return hash > e.hash
}

// merge takes records of a peer over. Their ages count back from base. It
// returns the ids of those that were new, and own records that are newer.
func (t *targetTable) merge(records []peer.TargetRecord, base time.Time) (news []string, newer []peer.TargetRecord) {
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
		e := t.entry(r.ID)
		switch {
		case e == nil:
		case e.hash == hash:
			e.confirm(confirmed)
		case e.olderThan(r, hash):
			e.contradicted = r.Reachable && (e.denied || e.contradicted)
			e.denied = false
			e.record, e.hash, e.confirmed, e.changed = r, hash, confirmed, now
			t.changed = now
			news = append(news, r.ID)
		case now.Sub(e.confirmed) < sharedLife:
			newer = append(newer, e.export(now))
		}
	}
	return news, newer
}

// export returns the record as it is sent, with its age rounded up.
func (e *targetEntry) export(now time.Time) peer.TargetRecord {
	r := e.record
	r.AgeMillis = max(0, now.Sub(e.confirmed).Milliseconds()+1)
	return r
}

// records returns the records of some targets, or of all if ids is nil.
func (t *targetTable) records(ids []string) []peer.TargetRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var out []peer.TargetRecord
	if ids == nil {
		for _, e := range t.shared(now) {
			out = append(out, e.export(now))
		}
		return out
	}
	for _, id := range ids {
		if e := t.entries[id]; e != nil && now.Sub(e.confirmed) < sharedLife {
			out = append(out, e.export(now))
		}
	}
	return out
}

// forget drops old records of targets that are not listed.
func (t *targetTable) forget(listed map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if !listed[id] && time.Since(e.confirmed) > recordLife {
			delete(t.entries, id)
			t.sorted = nil
		}
	}
}

// shared returns the entries that peers should have too, by id. It runs under mu.
func (t *targetTable) shared(now time.Time) []*targetEntry {
	if t.sorted == nil {
		for _, e := range t.entries {
			t.sorted = append(t.sorted, e)
		}
		sort.Slice(t.sorted, func(i, j int) bool { return strings.Compare(t.sorted[i].record.ID, t.sorted[j].record.ID) < 0 })
	}
	shared := make([]*targetEntry, 0, len(t.sorted))
	for _, e := range t.sorted {
		if now.Sub(e.confirmed) < sharedLife {
			shared = append(shared, e)
		}
	}
	return shared
}

// confirmation returns what the table says to a peer's.
func (t *targetTable) confirmation() peer.TargetsConfirmBody {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	entries := t.shared(now)
	body := peer.TargetsConfirmBody{
		Digest: digestEntries(entries), Settled: now.Sub(t.changed) > settleTime, Ages: make([]byte, len(entries)),
	}
	for i, e := range entries {
		units := (now.Sub(e.confirmed) + ageUnit - 1) / ageUnit
		body.Ages[i] = byte(min(max(units, 0), ageUnknown))
	}
	return body
}

func digestEntries(entries []*targetEntry) uint64 {
	var digest uint64
	for _, e := range entries {
		digest += e.hash // a hash covers the id and version, so order does not matter
	}
	return digest
}

// confirmAll takes over the ages of a peer's confirmations, counted back from
// base. It reports whether the tables are the same.
func (t *targetTable) confirmAll(body peer.TargetsConfirmBody, base time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := t.shared(time.Now())
	if digestEntries(entries) != body.Digest || len(entries) != len(body.Ages) {
		return false
	}
	for i, units := range body.Ages {
		if units != ageUnknown {
			entries[i].confirm(base.Add(-time.Duration(units) * ageUnit))
		}
	}
	return true
}

// view returns the record of a target and when it was confirmed. A target that
// this instance could not read just now is unreachable here, whatever others say.
func (t *targetTable) view(id string) (peer.TargetRecord, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return peer.TargetRecord{}, time.Time{}
	}
	r := e.record
	if !e.failed.IsZero() && time.Since(e.failed) < staleAfter {
		r.Reachable = false
	}
	return r, e.confirmed
}
