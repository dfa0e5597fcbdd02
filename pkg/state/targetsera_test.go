package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

func inEra(era uint64, o objectstore.Object) objectstore.Object {
	o.Version = objectstore.Revision(era, o.Version)
	return o
}

// newRestoredTargets returns the view of a list in era 1 after which the store was restored.
func newRestoredTargets(c *clock.Fake, list []objectstore.Object, events ...objectstore.Event) *Targets {
	c.Advance(time.Hour)
	x := newTargets(c)
	x.StoreHealth.RecordEra(1)
	x.replace(list)
	x.apply(events)
	x.StoreHealth.RecordEra(2)
	return x
}

// A target whose entry was removed has gone, although the restored store shows the entry
// again: requests were sent to targets that had left. An entry that is written again, or that
// outlasts its heartbeats, is one of a target that serves.
func TestRemovedTargetStaysGoneAfterARestore(t *testing.T) {
	c := clock.NewFake(time.Now())
	a, b := inEra(1, object("a", 5, "1 1 0")), inEra(1, object("b", 6, "1 1 0"))
	x := newRestoredTargets(c, []objectstore.Object{a, b}, objectstore.Event{Object: a, Deleted: true}, objectstore.Event{Object: b, Deleted: true})
	for _, era := range []uint64{2, 3} {
		x.replace([]objectstore.Object{inEra(era, object("a", 5, "1 1 0")), inEra(era, object("b", 4, "1 1 0"))})
		assert.Equal(t, len(targetsByID(x)), 0, "a target that has gone is used in era %d", era)
	}
	x.apply([]objectstore.Event{{Object: inEra(3, object("a", 9, "1 1 0"))}})
	assert.Assert(t, targetsByID(x)["a"] != nil, "an entry that was written again is not used")
	c.Advance(withheldPeriod + time.Second)
	x.ReconcileExpired()
	assert.Assert(t, targetsByID(x)["b"] != nil, "an entry that outlasts its heartbeats is not used")
}

// An entry that the copy does not have is written again with a number that the lost time has
// used. Its target serves, also if that took longer than missing entries are kept.
func TestTargetLostByARestoreIsUsedWhenItWritesAgain(t *testing.T) {
	c := clock.NewFake(time.Now())
	x := newRestoredTargets(c, []objectstore.Object{inEra(1, object("a", 118, "1 1 0"))})
	x.replace(nil)
	c.Advance(lapsedGrace + time.Millisecond)
	x.ReconcileExpired()
	assert.Equal(t, len(targetsByID(x)), 0)
	x.apply([]objectstore.Event{{Object: inEra(2, object("a", 100, "1 1 0"))}})
	assert.Equal(t, len(targetsByID(x)), 1)
}

// A restarted target does not become its earlier incarnation again because the copy has the
// entry of that one: marks of leaving and loads are kept by incarnation.
func TestEarlierIncarnationDoesNotReturnWithARestore(t *testing.T) {
	r := inEra(1, object("r", 100, "2 1 0"))
	x := newRestoredTargets(clock.NewFake(time.Now()), []objectstore.Object{inEra(1, object("r", 50, "1 1 0"))}, objectstore.Event{Object: r})
	live := targetsByID(x)["r"].Live
	x.replace([]objectstore.Object{inEra(2, object("r", 50, "1 1 0"))})
	assert.Equal(t, targetsByID(x)["r"].Incarnation, "2")
	x.apply([]objectstore.Event{{Object: inEra(2, object("r", 60, "2 1 0"))}})
	assert.Equal(t, targetsByID(x)["r"].Live, live)
}

// A target that left does not take new requests because the copy has its entry from before.
// Neither do its weights go back: requests that name the older ones would be refused.
func TestTargetDoesNotGoBackWithARestore(t *testing.T) {
	left, loaded := inEra(1, object("left", 5, "1 1 1")), inEra(1, object("loaded", 6, "1 2 0"))
	x := newRestoredTargets(clock.NewFake(time.Now()), []objectstore.Object{left, loaded})
	x.replace([]objectstore.Object{inEra(2, object("left", 3, "1 1 0")), inEra(2, object("loaded", 4, "1 1 0"))})
	assert.Assert(t, targetsByID(x)["left"].Leaving)
	assert.Equal(t, targetsByID(x)["loaded"].WeightVersion, "2")
}

// Targets that registered in the lost seconds write their entries again within two seconds.
// Dropping them until then refuses requests that they could serve.
func TestTargetLostByARestoreIsKeptForAWhile(t *testing.T) {
	c := clock.NewFake(time.Now())
	x := newRestoredTargets(c, []objectstore.Object{inEra(1, object("new", 5, "1 1 0"))})
	x.replace(nil)
	assert.Equal(t, len(targetsByID(x)), 1)
	c.Advance(lapsedGrace + time.Millisecond)
	x.ReconcileExpired()
	assert.Equal(t, len(targetsByID(x)), 0)
}

// Named weights never go back with the store.
func TestNamedWeightsDoNotGoBackWithARestore(t *testing.T) {
	x := newRestoredTargets(clock.NewFake(time.Now()), []objectstore.Object{inEra(1, object("a", 5, "1 1 0"))})
	x.RecordNewestVersion("m", "2", time.Minute, false)
	x.RecordNewestVersion("m", "1", time.Minute, false)
	assert.Equal(t, x.NewestVersion("m"), "2")
}
