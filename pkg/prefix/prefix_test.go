package prefix

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

var start = time.Unix(1_000_000, 0)

// Equal digests for different organisations, models, adapters or weights would
// route a prompt by a cache that cannot serve it. AppendDigests runs for every
// request and must not allocate.
func TestChain(t *testing.T) {
	prompt := bytes.Repeat([]byte("0123456789"), 100)
	salt := Salt{Organisation: "ab", Model: "c", Adapter: "d", WeightVersion: "e"}
	digests := AppendDigests(nil, salt, prompt, 300)
	assert.Equal(t, len(digests), 3)
	longer := AppendDigests(nil, salt, append(bytes.Clone(prompt), prompt...), 300)
	assert.DeepEqual(t, longer[:3], digests)
	for _, other := range []Salt{
		{"a", "bc", "d", "e"}, {"ab", "x", "d", "e"}, {"ab", "c", "x", "e"}, {"ab", "c", "d", "x"}, {"abc", "", "d", "e"},
	} {
		for k, digest := range AppendDigests(nil, other, prompt, 300) {
			assert.Assert(t, digest != digests[k], "%v shares piece %d", other, k)
		}
	}
	buf := make([]uint64, 0, 8)
	assert.Equal(t, testing.AllocsPerRun(100, func() { buf = AppendDigests(buf[:0], salt, prompt, 300) }), 0.0)
}

func engineTarget(id, incarnation, weights string) *target.Target {
	return &target.Target{ID: id, Incarnation: incarnation, Model: "m", WeightVersion: weights, Live: &target.LiveState{}}
}

func pieces(x *Index, digests []uint64, now time.Time) float64 {
	matches := x.Lookup(nil, digests, now)
	if len(matches) == 0 {
		return 0
	}
	return matches[0].ExpectedPieces
}

// Entries of an earlier incarnation, of older weights, of a removed target or
// older than Lifetime must not count. Otherwise prompts go to targets that no
// longer have them in their caches.
func TestStaleEntriesDoNotCount(t *testing.T) {
	digests := []uint64{1, 2, 3}
	for name, test := range map[string]struct {
		then  *target.Target
		after time.Duration
		want  float64
	}{
		"current":             {engineTarget("a", "1", "w1"), 0, 3},
		"new incarnation":     {engineTarget("a", "2", "w1"), 0, 0},
		"new weights":         {engineTarget("a", "1", "w2"), 0, 0},
		"older than Lifetime": {engineTarget("a", "1", "w1"), 11 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			x := NewIndex(DefaultIndexParams())
			x.RecordRouted(x.Register(engineTarget("a", "1", "w1")), digests, start)
			x.Register(test.then)
			assert.Equal(t, pieces(x, digests, start.Add(test.after)), test.want)
		})
	}
	x := NewIndex(DefaultIndexParams())
	slot := x.Register(engineTarget("a", "1", "w1"))
	x.RecordRouted(slot, digests, start)
	x.Remove("a")
	assert.Equal(t, x.Register(engineTarget("b", "1", "w1")), slot)
	assert.Equal(t, pieces(x, digests, start), 0.0)
}

// After a gap in the cache events or a restart of the target, earlier events must
// not count, and repeated events must have no effect. A delayed eviction event
// must not remove a piece that was routed again since.
func TestCacheEvents(t *testing.T) {
	x := NewIndex(DefaultIndexParams())
	slot := x.Register(engineTarget("a", "1", "w"))
	late := start.Add(time.Hour)
	add := func(sequence, digest uint64, evicted bool, incarnation string) {
		x.ApplyEvents("a", engine.EventBatch{Incarnation: incarnation, Events: []engine.CacheEvent{
			{Sequence: sequence, Digest: digest, Evicted: evicted}}}, late)
	}
	add(7, 1, false, "1")
	add(8, 2, false, "1")
	assert.Equal(t, pieces(x, []uint64{1, 2}, late), 2.0)
	add(8, 2, true, "1") // repeated
	add(9, 3, false, "0")
	assert.Equal(t, pieces(x, []uint64{1, 2, 3}, late), 2.0)
	add(9, 2, true, "1")
	assert.Equal(t, pieces(x, []uint64{1, 2}, late), 1.0)
	add(11, 5, false, "1") // 10 is lost
	assert.Equal(t, pieces(x, []uint64{1}, late), 0.0)
	assert.Equal(t, pieces(x, []uint64{5}, late), 1.0)
	x.RecordRouted(slot, []uint64{5}, late)
	add(12, 5, true, "1")
	assert.Equal(t, pieces(x, []uint64{5}, late), 1.0)
	x.Register(engineTarget("a", "2", "w"))
	assert.Equal(t, pieces(x, []uint64{5}, late), 0.0)
	assert.Equal(t, x.LastSequence("a"), uint64(0))
}

// For any order of operations the index keeps its memory bound, and a lookup never
// reports a target that the piece was not routed to.
func TestIndexIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := NewIndex(IndexParams{Lifetime: time.Second, EventLag: time.Second, MaxEntries: 40})
		routed := make(map[string]bool)
		now := start
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			id := rapid.IntRange(0, 50).Draw(t, "target")
			digest := uint64(rapid.IntRange(0, 9).Draw(t, "digest"))
			slot := x.Register(engineTarget(fmt.Sprint(id), "1", "w"))
			x.RecordRouted(slot, []uint64{digest}, now)
			routed[fmt.Sprint(digest, "/", slot)] = true
			matches := x.Lookup(nil, []uint64{digest}, now)
			assert.Assert(t, len(matches) > 0 && len(matches) <= maxEntriesPerPiece)
			for _, m := range matches {
				assert.Assert(t, routed[fmt.Sprint(digest, "/", m.Slot)])
			}
		}
		assert.Assert(t, len(x.entries) <= 40)
	})
}

// The estimated rate must neither overflow after hours of traffic nor grow with
// the number of requests, and the memory must stay bounded.
func TestRateEstimateStaysBounded(t *testing.T) {
	d := NewRateEstimator(10*time.Second, 100)
	var rates []float64
	for i := range 400_000 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		rates = d.AddRequest(rates[:0], []uint64{uint64(i % 2), uint64(1000 + i)}, 3, now)
	}
	assert.Assert(t, rates[0] > 14 && rates[0] < 16, "%v", rates)
	assert.Assert(t, len(d.current)+len(d.previous) <= 104)
}
