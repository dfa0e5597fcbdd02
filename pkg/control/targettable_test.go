package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

// Guards against a stale update that replaces a newer one: late, sent twice,
// crossed with another, or from an observer that restarted or read too early.
func TestStaleTargetUpdates(t *testing.T) {
	one, two, other := newTargetTable(), newTargetTable(), newTargetTable()
	now := time.Now()
	serving, leaving := engine.State{Incarnation: "1"}, engine.State{Incarnation: "1", Leaving: true}
	send := func(from, to *targetTable) (news []string, newer []peer.TargetRecord) {
		return to.merge(from.records(nil), time.Now())
	}
	version := func(table *targetTable) uint64 {
		r, _ := table.view("e")
		return r.Version
	}
	assert.Assert(t, one.observe("e", serving, now))
	late := one.records(nil)
	send(one, two)
	assert.Assert(t, two.observe("e", leaving, time.Now()))
	news, _ := send(two, one)
	assert.DeepEqual(t, news, []string{"e"})
	news, newer := one.merge(late, time.Now())
	assert.Equal(t, len(news), 0, "a late update replaced a newer one")
	assert.Equal(t, len(newer), 1, "the sender of a late update is not told")
	news, _ = send(two, one)
	assert.Equal(t, len(news), 0, "an update that was sent twice is new twice")
	assert.Assert(t, !one.observe("e", serving, now), "a read that began before the last change replaced it")

	// Both see different changes at once: the order of arrival does not matter.
	assert.Assert(t, one.observe("e", engine.State{Incarnation: "2"}, time.Now()))
	assert.Assert(t, two.observe("e", engine.State{Incarnation: "3"}, time.Now()))
	fromOne, fromTwo := one.records(nil), two.records(nil)
	other.merge(fromOne, time.Now())
	other.merge(fromTwo, time.Now())
	one.merge(fromTwo, time.Now())
	two.merge(fromOne, time.Now())
	a, _ := one.view("e")
	b, _ := two.view("e")
	c, _ := other.view("e")
	assert.Equal(t, a, b)
	assert.Equal(t, a, c)
	// The loser corrects it with its next read.
	truth := engine.State{Incarnation: "2"}
	if a.Incarnation == "2" {
		truth.Incarnation = "3"
	}
	assert.Assert(t, one.observe("e", truth, time.Now()))
	send(one, two)
	b, _ = two.view("e")
	assert.Equal(t, b.Incarnation, truth.Incarnation)

	restarted := newTargetTable()
	restarted.observe("e", leaving, time.Now())
	news, newer = send(restarted, one)
	assert.Equal(t, len(news), 0, "a restarted observer replaced a newer record")
	restarted.merge(newer, time.Now())
	assert.Equal(t, version(restarted), version(one))
	restarted.observe("e", leaving, time.Now())
	news, _ = send(restarted, one)
	assert.Equal(t, len(news), 1, "an observer that restarted is not heard")
}

// Guards against tables that grow without end, and against records of a removed
// target that instances bring back to each other.
func TestTargetTableIsBounded(t *testing.T) {
	table := newTargetTable()
	old := peer.TargetRecord{ID: "old", Version: 1, AgeMillis: sharedLife.Milliseconds()}
	long := peer.TargetRecord{ID: string(make([]byte, maxRecordField+1)), Version: 1}
	news, _ := table.merge([]peer.TargetRecord{old, long, {Version: 1}, {ID: "unversioned"}}, time.Now())
	assert.Equal(t, len(news), 0)
	table.observe("gone", engine.State{}, time.Now().Add(-2*recordLife))
	table.observe("listed", engine.State{}, time.Now().Add(-2*recordLife))
	assert.Equal(t, len(table.records(nil)), 0, "an old record is sent")
	table.forget(map[string]bool{"listed": true})
	assert.Equal(t, len(table.entries), 1)
}
