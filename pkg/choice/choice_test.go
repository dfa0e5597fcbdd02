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

var startTime = time.Unix(1_000_000, 0)

// anyTarget makes all targets usable.
func anyTarget(*target.Target) bool { return true }

// newTargets returns n idle targets in four zones.
func newTargets(n int) *target.Set {
	var targets []*target.Target
	for i := range n {
		targets = append(targets, &target.Target{
			ID: fmt.Sprint("engine-", i), Zone: fmt.Sprint("z", i%4), Incarnation: "1", Reachable: true, Live: &target.LiveState{},
		})
	}
	return target.NewSet(targets)
}

// router is a chooser with a view of all targets.
type router struct {
	*Chooser
	view *View
}

func newRouter(name string, set *target.Set, instances int) *router {
	c := New(DefaultParams(), name, "z0", prefix.NewIndex(prefix.DefaultIndexParams()))
	c.SetInstances(instances)
	c.Sync(set, startTime)
	return &router{Chooser: c, view: c.NewView(set, anyTarget)}
}

// send chooses a target for a prompt of pieces of 1000 tokens and 500 more
// tokens.
func (r *router) send(digests []uint64, now time.Time) *target.Target {
	req := Request{Digests: digests, PieceTokens: 1000, PromptTokens: 1000*len(digests) + 500, TargetLimit: 64}
	return r.Choose(r.view, &req, nil, now)
}

// Instances without any history must choose the same target for a prefix.
// Otherwise each target computes the prefix again and callers wait longer.
func TestInstancesChooseTheSameTarget(t *testing.T) {
	for key := range uint64(50) {
		want := ""
		for i := range 5 {
			got := newRouter(fmt.Sprint("router-", i), newTargets(18), 5).send([]uint64{key, key + 1000}, startTime).ID
			if i > 0 {
				assert.Equal(t, got, want)
			}
			want = got
		}
	}
}

// prefillQueue simulates the prefill work that is queued on targets.
type prefillQueue struct {
	done map[*target.Target][]time.Time // end of each queued prefill, in order
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

// A hot prefix on one target would overload it. A prefix that stayed on many
// targets after its demand fell would evict other prefixes from their caches.
func TestSpreadFollowsDemand(t *testing.T) {
	r := newRouter("router", newTargets(18), 1)
	queue := prefillQueue{done: make(map[*target.Target][]time.Time)}
	now := startTime
	// The prefill of a request takes 80 ms, so a target can serve 12.5 per
	// second. used returns the number of targets in the last half of a minute.
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
	assert.Assert(t, cold <= 3 && hot >= 12 && coldAgain <= 6, "%d targets at 5 requests/s, %d at 100, %d at 5 again", cold, hot, coldAgain)
}

// A new prefix must not go to a target with far more requests than the mean, or
// its caller waits while other targets are idle.
func TestOverloadedTargetGetsNoNewPrefix(t *testing.T) {
	set := newTargets(18)
	first := newRouter("a", set, 1).send([]uint64{7}, startTime)
	first.Live.InFlight.Store(50)
	assert.Assert(t, newRouter("b", set, 1).send([]uint64{7}, startTime) != first)
}

// A restarted target is idle, so all instances would choose it at once and
// overload it while its cache is empty. Slow start must limit its requests.
func TestSlowStart(t *testing.T) {
	set := newTargets(4)
	for _, other := range set.Targets {
		other.Live.InFlight.Store(20)
	}
	r := newRouter("router", set, 8)
	restarted := *set.Targets[0]
	restarted.Incarnation, restarted.Live = "2", &target.LiveState{}
	set = target.NewSet(append([]*target.Target{&restarted}, set.Targets[1:]...))
	r.Sync(set, startTime)
	r.view = r.NewView(set, anyTarget)
	sendMany := func(now time.Time) int64 {
		restarted.Live.InFlight.Store(0)
		for i := range 100 {
			if got := r.send([]uint64{uint64(i)}, now); got == &restarted {
				got.Live.InFlight.Add(1)
			}
		}
		return restarted.Live.InFlight.Load()
	}
	assert.Assert(t, sendMany(startTime.Add(100*time.Millisecond)) <= 1)
	half := sendMany(startTime.Add(5 * time.Second))
	assert.Assert(t, half >= 1 && half <= 4, "%d", half)
	assert.Assert(t, sendMany(startTime.Add(11*time.Second)) > 8)
}

// An open circuit must stop requests to a failing target, allow one probe at a
// time, and close when a probe succeeds.
func TestCircuitBreaker(t *testing.T) {
	set := newTargets(1)
	only := set.Targets[0]
	r := newRouter("router", set, 1)
	now := startTime
	for range DefaultParams().FailureThreshold {
		assert.Equal(t, r.send(nil, now), only)
		r.RecordResult(only, Failed, now)
	}
	assert.Assert(t, r.send(nil, now) == nil)
	now = now.Add(3 * time.Second)
	assert.Equal(t, r.send(nil, now), only)
	assert.Assert(t, r.send(nil, now) == nil, "a second probe was sent")
	r.RecordResult(only, Failed, now)
	now = now.Add(3 * time.Second)
	assert.Assert(t, r.send(nil, now) == nil, "the open time did not double after a failed probe")
	now = now.Add(3 * time.Second)
	assert.Equal(t, r.send(nil, now), only)
	r.RecordResult(only, Inconclusive, now)
	assert.Equal(t, r.send(nil, now), only, "no other probe was allowed after an inconclusive one")
	r.RecordResult(only, Succeeded, now)
	assert.Equal(t, r.send(nil, now), only)
	assert.Equal(t, r.send(nil, now), only)
}

// A retry must not go to a target that was tried before, and must find each
// target that is left.
func TestExcludedTargetsAreSkipped(t *testing.T) {
	set := newTargets(6)
	r := newRouter("router", set, 1)
	exclude := make(map[string]bool)
	for range set.Targets {
		got := r.Choose(r.view, &Request{TargetLimit: 1}, exclude, startTime)
		assert.Assert(t, got != nil && !exclude[got.ID])
		exclude[got.ID] = true
	}
	assert.Assert(t, r.Choose(r.view, &Request{TargetLimit: 1}, exclude, startTime) == nil)
}

// A wrong selection would make instances disagree on the affinity targets.
func TestSelectTopReturnsHighestRanks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.SliceOfN(rapid.Uint64Range(0, 30), 1, 60).Draw(t, "ranks")
		n := rapid.IntRange(1, len(ranks)).Draw(t, "n")
		set := make([]rankedCandidate, len(ranks))
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

// BenchmarkChoose measures Choose with 620 targets, whose budget is 10
// microseconds. Its prompts share prefixes, share nothing, or have no complete
// piece; for the latter the delay of every target has to be computed.
func BenchmarkChoose(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	// 16 pieces: 4 of a common prefix, 6 of one of 20 documents, 6 of a
	// conversation.
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
			now := startTime
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				r.send(prompts[i%len(prompts)], now)
			}
		})
	}
}
