package state

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

func stored(era, number uint64, generation string) objectstore.Object {
	return object("main", objectstore.Revision(era, number), generation)
}

// A restored store shows an older configuration under a newer revision. Taking it would let
// keys work again that were withdrawn.
func TestRestoredStoreDoesNotTakeAConfigurationBack(t *testing.T) {
	fake := clock.NewFake(time.Now())
	fake.Advance(time.Hour)
	store := &fakeStore{object: stored(1, 100, "8")}
	c := newConfiguration(store, fake)
	assert.Assert(t, c.ReadWithProof(t.Context()))
	store.object = stored(2, 95, "7")
	fake.Advance(time.Second)
	assert.Assert(t, c.ReadWithProof(t.Context()), "no proof although the operators have not had time to write again")
	assert.Equal(t, c.Snapshot().Generation, uint64(8))
	assert.Assert(t, c.IsNewerThanStore())

	store.object = stored(2, 97, "8")
	assert.Assert(t, c.ReadWithProof(t.Context()))
	assert.Assert(t, !c.IsNewerThanStore())
	store.object = stored(2, 98, "9")
	assert.Assert(t, c.ReadWithProof(t.Context()))
	assert.Equal(t, c.Snapshot().Generation, uint64(9))
	applied := 0
	c.OnApplied = func(*tables.Snapshot) { applied++ }
	store.object = stored(3, 90, "9")
	assert.Assert(t, c.ReadWithProof(t.Context()))
	assert.Equal(t, applied, 0)
	store.object = stored(4, 90, "9 with another text")
	assert.Assert(t, c.ReadWithProof(t.Context()))
	assert.Equal(t, applied, 1, "what the operators wrote instead is not in force")
}

// If the operators never write again, all instances with keys became not ready 30 s after a
// restore, although each read shows that the store has no newer configuration.
func TestOlderConfigurationProvesTheNewerOne(t *testing.T) {
	fake := clock.NewFake(time.Now())
	fake.Advance(time.Hour)
	store := &fakeStore{object: stored(1, 100, "8")}
	c := newConfiguration(store, fake)
	assert.Assert(t, c.ReadWithProof(t.Context()))
	restored := stored(2, 95, "7")
	store.object = restored
	for range 3 {
		assert.Assert(t, c.ReadWithProof(t.Context()))
		fake.Advance(time.Minute)
		c.Confirm(restored.Version, 7, fake.Elapsed())
		assert.Equal(t, c.ProofAge(), time.Duration(0))
	}
	assert.Equal(t, c.Snapshot().Generation, uint64(8))
	fake.Advance(time.Minute)
	c.Confirm(stored(2, 96, "9").Version, 9, fake.Elapsed())
	assert.Equal(t, c.ProofAge(), time.Minute, "a newer configuration elsewhere confirms the one in force")
}

// An instance that has only what the restored store shows must not be confirmed by one that
// has a newer configuration, although its own revision is of a newer era.
func TestNewerConfigurationOfAnEarlierEraDoesNotConfirmAnOlderOne(t *testing.T) {
	fake := clock.NewFake(time.Now())
	fake.Advance(time.Hour)
	c := newConfiguration(&fakeStore{object: stored(2, 95, "7")}, fake)
	assert.Assert(t, c.ReadWithProof(t.Context()))
	fake.Advance(time.Second)
	c.Confirm(objectstore.Revision(1, 100), 8, fake.Elapsed())
	assert.Equal(t, c.ProofAge(), time.Second)
	c.MergeNewer(objectstore.Revision(1, 100), []byte("8"))
	assert.Equal(t, c.Snapshot().Generation, uint64(8))
	c.Confirm(objectstore.Revision(1, 100), 8, fake.Elapsed())
	assert.Equal(t, c.ProofAge(), time.Duration(0))
}

// A process that starts after the restore must not serve with what the store shows before it
// has asked others: callers would be served with keys that every other process refuses.
func TestFirstConfigurationWaitsForOthers(t *testing.T) {
	store := &fakeStore{object: stored(2, 95, "7")}
	start := func() *Configuration {
		c := newConfiguration(store, clock.NewFake(time.Now()))
		c.AwaitsOthers = true
		return c
	}
	c := start()
	assert.Assert(t, !c.ReadWithProof(t.Context()))
	assert.Assert(t, c.Snapshot() == nil && c.IsHeld())
	c.MergeNewer(objectstore.Revision(1, 100), []byte("8"))
	c.ComparedWithOthers()
	assert.Equal(t, c.Snapshot().Generation, uint64(8))
	assert.Assert(t, c.IsNewerThanStore())

	c = start()
	assert.Assert(t, !c.ReadWithProof(t.Context()))
	c.ComparedWithOthers()
	assert.Equal(t, c.Snapshot().Generation, uint64(7), "nobody has a newer one")

	store.object = object("main", 95, "7")
	c = start()
	assert.Assert(t, c.ReadWithProof(t.Context()), "held back although the store has no eras")
}

// Whatever the store and other instances show across restores, no instance goes back, and it
// has the newest configuration once the operators have written it again.
func TestGenerationNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		fake := clock.NewFake(time.Now())
		fake.Advance(time.Hour)
		store := &fakeStore{}
		instances := []*Configuration{newConfiguration(store, fake), newConfiguration(store, fake)}
		index := rapid.IntRange(0, 1)
		era, number, generation := uint64(1), uint64(1), uint64(1)
		store.object = stored(era, number, "1")
		written := map[uint64]objectstore.Object{1: store.object} // by generation
		var reached [2]uint64
		write := func() {
			number++
			store.object = stored(era, number, strconv.FormatUint(generation, 10))
			written[generation] = store.object
		}
		r.Repeat(map[string]func(*rapid.T){
			"write": func(*rapid.T) { generation++; write() },
			"restore": func(r *rapid.T) {
				shown := rapid.Uint64Range(1, generation).Draw(r, "shown")
				era++
				number = objectstore.Number(written[shown].Version)
				store.object = stored(era, number, strconv.FormatUint(shown, 10))
			},
			"write again": func(*rapid.T) { write() },
			"read":        func(r *rapid.T) { instances[index.Draw(r, "instance")].ReadWithProof(r.Context()) },
			"late": func(r *rapid.T) {
				if o, ok := written[rapid.Uint64Range(1, generation).Draw(r, "generation")]; ok {
					instances[index.Draw(r, "instance")].applyIfNewer(o)
				}
			},
			"ask": func(r *rapid.T) {
				i := index.Draw(r, "instance")
				if o, _, ok := instances[i].NewerThan(reached[1-i]); ok {
					instances[1-i].MergeNewer(o.Version, o.Value)
				}
			},
			"": func(r *rapid.T) {
				for i, c := range instances {
					assert.Assert(r, c.generation() >= reached[i], "from %d to %d", reached[i], c.generation())
					reached[i] = c.generation()
				}
			},
		})
		write()
		for _, c := range instances {
			assert.Assert(r, c.ReadWithProof(r.Context()))
			assert.Equal(r, c.generation(), generation)
			assert.Assert(r, !c.IsNewerThanStore())
		}
	})
}
