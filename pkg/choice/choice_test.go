package choice

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewingwheel.example/lacewingwheel/pkg/prefix"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

var start = time.Unix(1_000_000, 0)

func all(*target.Target) bool { return true }

func newTargets(n int) *target.Set {
	var targets []*target.Target
	for i := range n {
		targets = append(targets, &target.Target{
			ID: fmt.Sprint("engine-", i), Zone: fmt.Sprint("z", i%4), Incarnation: "1", Reachable: true, Live: &target.LiveState{},
		})
	}
	return target.NewSet(targets)
}

type router struct {
	*Chooser
	view *View
}

func newRouter(name string, set *target.Set, instances int) *router {
	c := New(DefaultParams(), name, "z0", prefix.NewIndex(prefix.DefaultIndexParams()))
	c.SetInstances(instances)
	c.Sync(set, start)
	return &router{Chooser: c, view: c.NewView(set, all)}
}

func (r *router) send(digests []uint64, now time.Time) *target.Target {
	req := Request{Digests: digests, PieceTokens: 1000, PromptTokens: 1000*len(digests) + 500, TargetLimit: 64}
	return r.Choose(r.view, &req, nil, now)
}

// Guards against instances that place the same prefix differently: each must
// come to the same target without history and without talking.
func TestInstancesAgree(t *testing.T) {
	for key := range uint64(50) {
		want := ""
		for i := range 5 {
			got := newRouter(fmt.Sprint("router-", i), newTargets(18), 5).send([]uint64{key, key + 1000}, start).ID
			if i > 0 {
				assert.Equal(t, got, want)
			}
			want = got
		}
	}
}

// prefillQueue stands in for the prompts that wait on targets.
type prefillQueue struct {
	done map[*target.Target][]time.Time
}

func (q *prefillQueue) add(t *target.Target, work time.Duration, now time.Time) {
	starts := now
	if n := len(q.done[t]); n > 0 {
		starts = q.done[t][n-1]
	}
	q.done[t] = append(q.done[t], starts.Add(work))
	t.Live.AwaitingFirstToken.Add(1)
}

func (q *prefillQueue) drain(now time.Time) {
	for t, done := range q.done {
		for len(done) > 0 && !done[0].After(now) {
			done = done[1:]
			t.Live.AwaitingFirstToken.Add(-1)
		}
		q.done[t] = done
	}
}

// Guards against a hot prefix that overloads one target, and against one that
// stays on many targets, and in their caches, after demand has fallen.
func TestHotPrefixSpreadsAndShrinks(t *testing.T) {
	r := newRouter("router", newTargets(18), 1)
	queue := prefillQueue{done: make(map[*target.Target][]time.Time)}
	now := start
	// Each request computes for 80 ms, so one target can take 12.5 per second.
	// The last half of a minute counts.
	used := func(perSecond int) int {
		targets := make(map[string]bool)
		for i := range 60 * perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			queue.drain(now)
			got := r.send([]uint64{1, 2, 3, 4, 5, 6}, now)
			queue.add(got, 80*time.Millisecond, now)
			if i > 30*perSecond {
				targets[got.ID] = true
			}
		}
		return len(targets)
	}
	cold := used(5)
	hot := used(100)
	coldAgain := used(5)
	assert.Assert(t, cold <= 3 && hot >= 12 && coldAgain <= 6, "%d, %d, %d targets", cold, hot, coldAgain)
}

// Guards against a new prefix going to a target that already has far more than
// the mean load.
func TestBoundedLoad(t *testing.T) {
	set := newTargets(18)
	first := newRouter("a", set, 1).send([]uint64{7}, start)
	first.Live.InFlight.Store(50)
	assert.Assert(t, newRouter("b", set, 1).send([]uint64{7}, start) != first)
}

// Guards against a herd on a target that came back with an empty cache: it is
// idle, so every choice would favour it.
func TestSlowStart(t *testing.T) {
	set := newTargets(4)
	for _, other := range set.Targets {
		other.Live.InFlight.Store(20)
	}
	r := newRouter("router", set, 8)
	restarted := *set.Targets[0]
	restarted.Incarnation, restarted.Live = "2", &target.LiveState{}
	set = target.NewSet(append([]*target.Target{&restarted}, set.Targets[1:]...))
	r.Sync(set, start)
	r.view = r.NewView(set, all)
	sendMany := func(now time.Time) int64 {
		restarted.Live.InFlight.Store(0)
		for i := range 100 {
			if got := r.send([]uint64{uint64(i)}, now); got == &restarted {
				got.Live.InFlight.Add(1)
			}
		}
		return restarted.Live.InFlight.Load()
	}
	assert.Assert(t, sendMany(start.Add(100*time.Millisecond)) <= 1)
	half := sendMany(start.Add(5 * time.Second))
	assert.Assert(t, half >= 1 && half <= 4, "%d", half)
	assert.Assert(t, sendMany(start.Add(11*time.Second)) > 8)
}

// Guards against traffic to a failing target, a herd of probes, and a circuit
// that never closes.
func TestCircuitBreaker(t *testing.T) {
	set := newTargets(1)
	only := set.Targets[0]
	r := newRouter("router", set, 1)
	now := start
	for range DefaultParams().FailureThreshold {
		assert.Equal(t, r.send(nil, now), only)
		r.RecordResult(only, Failed, now)
	}
	assert.Assert(t, r.send(nil, now) == nil)
	now = now.Add(3 * time.Second)
	assert.Equal(t, r.send(nil, now), only)
	assert.Assert(t, r.send(nil, now) == nil, "second probe")
	r.RecordResult(only, Failed, now)
	now = now.Add(3 * time.Second)
	assert.Assert(t, r.send(nil, now) == nil, "the period doubles")
	now = now.Add(3 * time.Second)
	assert.Equal(t, r.send(nil, now), only)
	r.RecordResult(only, Inconclusive, now)
	assert.Equal(t, r.send(nil, now), only, "a probe without result must free its place")
	r.RecordResult(only, Succeeded, now)
	assert.Equal(t, r.send(nil, now), only)
	assert.Equal(t, r.send(nil, now), only)
}

// Guards against a choice of an excluded target and against a choice that ends
// without a target although one is left.
func TestExclude(t *testing.T) {
	set := newTargets(6)
	r := newRouter("router", set, 1)
	exclude := make(map[string]bool)
	for range set.Targets {
		got := r.Choose(r.view, &Request{TargetLimit: 1}, exclude, start)
		assert.Assert(t, got != nil && !exclude[got.ID])
		exclude[got.ID] = true
	}
	assert.Assert(t, r.Choose(r.view, &Request{TargetLimit: 1}, exclude, start) == nil)
}

// Guards the selection of the highest ranks.
func TestSelectTop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.SliceOfN(rapid.Uint64Range(0, 30), 1, 60).Draw(t, "ranks")
		n := rapid.IntRange(1, len(ranks)).Draw(t, "n")
		set := make([]ranked, len(ranks))
		for i, rank := range ranks {
			set[i].rank = rank
		}
		selectTop(set, n)
		slices.SortFunc(ranks, func(a, b uint64) int { return int(b) - int(a) })
		top := ranks[:n]
		for _, s := range set[:n] {
			i := slices.Index(top, s.rank)
			assert.Assert(t, i >= 0)
			top = slices.Delete(top, i, i+1)
		}
	})
}

// BenchmarkChoose guards the budget of 10 microseconds at 620 targets, for
// shared prompts, for prompts that share nothing, and for prompts without a whole
// piece, where the queueing of every target counts.
func BenchmarkChoose(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	// 16 pieces: 4 of a common prefix, 6 of one of 20 documents, 6 of a conversation.
	shared := make([][]uint64, 1000)
	distinct := make([][]uint64, 1000)
	for i := range shared {
		document := rng.Uint64N(20)
		for k := range uint64(16) {
			key := k
			if k >= 4 {
				key += 100 * (1 + document)
			}
			if k >= 10 {
				key += 10000 * uint64(i+1)
			}
			shared[i] = append(shared[i], mix(1, key))
			distinct[i] = append(distinct[i], rng.Uint64())
		}
	}
	for name, prompts := range map[string][][]uint64{"shared": shared, "distinct": distinct, "short": {nil}} {
		b.Run(name, func(b *testing.B) {
			set := newTargets(620)
			for _, t := range set.Targets {
				t.Live.InFlight.Store(rng.Int64N(40))
			}
			r := newRouter("router", set, 410)
			now := start
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				r.send(prompts[i%len(prompts)], now)
			}
		})
	}
}
