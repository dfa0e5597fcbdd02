package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

// Requests go to a leaving or restarted target if a stale update replaces a
// newer one: one that arrives late, twice or out of order, or that comes from
// an observer that restarted or read before the change.
func TestStaleTargetUpdatesAreIgnored(t *testing.T) {
	one, two, other := newTargetTable(), newTargetTable(), newTargetTable()
	now := time.Now()
	serving, leaving := engine.State{Incarnation: "1"}, engine.State{Incarnation: "1", Leaving: true}
	send := func(from, to *targetTable) (changedIDs []string, newer []peer.TargetRecord) {
		return to.merge(from.records(nil), time.Now())
	}
	version := func(table *targetTable) uint64 {
		r, _ := table.lookup("e")
		return r.Version
	}
	assert.Assert(t, one.recordRead("e", serving, now))
	late := one.records(nil)
	send(one, two)
	assert.Assert(t, two.recordRead("e", leaving, time.Now()))
	changedIDs, _ := send(two, one)
	assert.DeepEqual(t, changedIDs, []string{"e"})
	changedIDs, newer := one.merge(late, time.Now())
	assert.Equal(t, len(changedIDs), 0, "a late update replaced a newer one")
	assert.Equal(t, len(newer), 1, "the sender of a late update does not get the newer record")
	changedIDs, _ = send(two, one)
	assert.Equal(t, len(changedIDs), 0, "an update that arrived twice counts as new twice")
	assert.Assert(t, !one.recordRead("e", serving, now), "a read that began before the last change replaced it")

	// Concurrent different changes: the order of arrival must not matter.
	assert.Assert(t, one.recordRead("e", engine.State{Incarnation: "2"}, time.Now()))
	assert.Assert(t, two.recordRead("e", engine.State{Incarnation: "3"}, time.Now()))
	fromOne, fromTwo := one.records(nil), two.records(nil)
	other.merge(fromOne, time.Now())
	other.merge(fromTwo, time.Now())
	one.merge(fromTwo, time.Now())
	two.merge(fromOne, time.Now())
	a, _ := one.lookup("e")
	b, _ := two.lookup("e")
	c, _ := other.lookup("e")
	assert.Equal(t, a, b)
	assert.Equal(t, a, c)
	// The instance whose record was discarded corrects it with its next read.
	truth := engine.State{Incarnation: "2"}
	if a.Incarnation == "2" {
		truth.Incarnation = "3"
	}
	assert.Assert(t, one.recordRead("e", truth, time.Now()))
	send(one, two)
	b, _ = two.lookup("e")
	assert.Equal(t, b.Incarnation, truth.Incarnation)

	restarted := newTargetTable()
	restarted.recordRead("e", leaving, time.Now())
	changedIDs, newer = send(restarted, one)
	assert.Equal(t, len(changedIDs), 0, "a restarted observer replaced a newer record")
	restarted.merge(newer, time.Now())
	assert.Equal(t, version(restarted), version(one))
	restarted.recordRead("e", leaving, time.Now())
	changedIDs, _ = send(restarted, one)
	assert.Equal(t, len(changedIDs), 1, "the update of an observer that restarted is ignored")
}

// The memory of an instance grows without bound if the table accepts invalid
// records, or if instances keep sending each other the record of a removed
// target.
func TestTargetTableIsBounded(t *testing.T) {
	table := newTargetTable()
	old := peer.TargetRecord{ID: "old", Version: 1, AgeMillis: sharedRecordTTL.Milliseconds()}
	long := peer.TargetRecord{ID: string(make([]byte, maxRecordFieldBytes+1)), Version: 1}
	changedIDs, _ := table.merge([]peer.TargetRecord{old, long, {Version: 1}, {ID: "unversioned"}}, time.Now())
	assert.Equal(t, len(changedIDs), 0)
	table.recordRead("gone", engine.State{}, time.Now().Add(-2*recordTTL))
	table.recordRead("listed", engine.State{}, time.Now().Add(-2*recordTTL))
	assert.Equal(t, len(table.records(nil)), 0, "an old record is sent")
	table.dropUnlisted(map[string]bool{"listed": true})
	assert.Equal(t, len(table.entries), 1)
}
