package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// unevenEngines returns n engines that state their pace, with speeds of 0.6, 1 and 1.6 by
// turns, and the step times that others measured there.
func unevenEngines(n int, now time.Time) (all []*target.Target, speeds map[string]float64) {
	all, speeds = engines(n), make(map[string]float64)
	for i, x := range all {
		x.Pool = "pool"
		speed := []float64{0.6, 1, 1.6}[i%3]
		speeds[x.ID] = speed
		x.Live.RecordLoad(target.Load{PacePercent: 100}, now)
		for k := range 8 {
			x.Live.RecordStepTime(time.Duration(30e6/speed), now.Add(-time.Duration(8-k)*time.Second))
		}
	}
	return all, speeds
}

// Slow engines got as many prompts as fast ones, and callers there waited longest. They
// must get fewer, but still some, or their speed would not be measured again.
func TestSlowTargetsAreHomeOfFewerPrompts(t *testing.T) {
	now := time.Now()
	all, speeds := unevenEngines(30, now)
	p := New(DefaultParams(), "zone-0")
	homes := make(map[float64]int)
	for n := range 3000 {
		homes[speeds[p.Pick(all, sharedPromptRequest(n, 0), nil, now).Target.ID]]++
	}
	assert.Assert(t, homes[0.6] > 200 && homes[0.6] < 700, "%v", homes)
	assert.Assert(t, homes[1.6] > 1300, "%v", homes)
}

// Instances that heard different samples would send a prompt to different homes, and each
// would compute it. They must agree on nearly all.
func TestInstancesAgreeOnHomesDespiteDifferentSamples(t *testing.T) {
	now := time.Now()
	random := rand.New(rand.NewPCG(1, 1))
	views := make([][]*target.Target, 2)
	for v := range views {
		views[v], _ = unevenEngines(30, now)
		for _, x := range views[v] {
			mean, _ := x.Live.StepTime(now)
			x.Live.RecordStepTime(time.Duration(float64(mean)*math.Exp(0.3*random.NormFloat64())), now)
		}
	}
	one, two := New(DefaultParams(), "zone-0"), New(DefaultParams(), "zone-1")
	same := 0
	for n := range 1000 {
		if one.Pick(views[0], sharedPromptRequest(n, 0), nil, now).Target.ID == two.Pick(views[1], sharedPromptRequest(n, 1), nil, now).Target.ID {
			same++
		}
	}
	assert.Assert(t, same >= 900, "instances agree on %d of 1000 homes", same)
}

// Forty instances with reports of the same age sent their requests to the target that was
// fastest at that moment, which was then the slowest.
func TestInstancesDoNotAllFollowTheNewestPace(t *testing.T) {
	now := time.Now()
	var all []*target.Target
	for i := range 12 {
		x := &target.Target{ID: fmt.Sprintf("s-%d", i), Pool: "plain", Zone: "zone-0", Slots: 6, Live: &target.LiveState{}}
		for k := range 10 {
			x.Live.RecordLoad(target.Load{Running: 1, PacePercent: 100 + 150*((i+k)%4/3)}, now.Add(time.Duration(k-10)*200*time.Millisecond))
		}
		all = append(all, x)
	}
	chosen := make(map[string]int)
	for i := range 40 {
		p := New(DefaultParams(), "zone-0")
		for k := range 3 {
			chosen[p.Pick(all, &Request{SpreadKey: fmt.Sprint(i, k)}, nil, now).Target.ID]++
		}
	}
	for id, n := range chosen {
		assert.Assert(t, n <= 30, "%s got %d of 120", id, n)
	}
	assert.Assert(t, len(chosen) >= 9, "only %d of 12 targets are used", len(chosen))
}

// The prefill time was a constant of another kind of engine, so queues looked three times
// as short as they were.
func TestPrefillTimeIsLearned(t *testing.T) {
	now := time.Now()
	all, _ := unevenEngines(3, now)
	p := New(DefaultParams(), "zone-0")
	r := sharedPromptRequest(1, 0)
	choice := p.Pick(all, r, nil, now)
	before := choice.Delay
	for i := range 20 {
		took := 2900 * 32 * time.Microsecond
		if i%2 == 1 {
			took *= 6 // behind a queue, or nothing was cached
		}
		p.RecordPrefill(choice.Target, 2900, took, now)
	}
	after := p.Pick(all, r, nil, now).Delay
	assert.Assert(t, after > 2*before && after < 4*before, "%v before, %v after", before, after)
}

// Pools whose targets state no pace must be served as before, whatever the step times.
func TestPoolsWithoutPaceAreUnaffected(t *testing.T) {
	now := time.Now()
	all, plain := engines(18), engines(18)
	for i, x := range all {
		x.Live.RecordLoad(target.Load{Running: i % 3}, now)
		plain[i].Live.RecordLoad(target.Load{Running: i % 3}, now)
		x.Live.RecordStepTime(time.Duration(10*(i+1))*time.Millisecond, now)
	}
	one, two := New(DefaultParams(), "zone-0"), New(DefaultParams(), "zone-0")
	for n := range 200 {
		r := sharedPromptRequest(n, n)
		one.RecordPrefill(all[0], 2900, 60*time.Millisecond+2900*11*time.Microsecond, now) // a time that every request takes
		one.RecordPrefill(all[1], 2900, 9200*11*time.Microsecond, now)                     // nothing was cached
		a, b := one.Pick(all, r, nil, now), two.Pick(plain, r, nil, now)
		assert.Equal(t, a.Target.ID, b.Target.ID)
		assert.Equal(t, a.Cost, b.Cost)
	}
}

func BenchmarkPickUneven(b *testing.B) {
	all, _ := unevenEngines(240, time.Now())
	p := New(DefaultParams(), "zone-0")
	r := sharedPromptRequest(1, 1)
	for b.Loop() {
		p.Pick(all, r, nil, time.Now())
	}
}

// A prompt that got a quarter of the traffic overloaded its home, and a cold one was computed
// on several targets. Eight instances with reports that are 400 ms old replay ten seconds:
// 16 requests a second for one prompt, and two a second for each of four cold ones.
func TestHotPromptGetsHomesByItsLoad(t *testing.T) {
	const reportAge, perToken = 400 * time.Millisecond, 32 * time.Microsecond
	start := time.Now()
	all, speeds := unevenEngines(12, start)
	placers := make([]*Placer, 8)
	for i := range placers {
		placers[i] = New(DefaultParams(), "zone-0")
	}
	type run struct {
		target    *target.Target
		sent, end time.Time
	}
	var running []run
	freeAt := make(map[string]time.Time)
	used := make(map[int]map[string]int)
	late := 0
	for at, i := start, 0; at.Before(start.Add(10 * time.Second)); at, i = at.Add(time.Second/24), i+1 {
		queued := make(map[string]int)
		kept := running[:0]
		for _, r := range running {
			if r.end.After(at.Add(-reportAge)) && r.sent.Before(at.Add(-reportAge)) {
				queued[r.target.ID]++
			}
			if r.end.After(at.Add(-reportAge)) {
				kept = append(kept, r)
			}
		}
		running = kept
		for _, x := range all {
			x.Live.RecordLoad(target.Load{Waiting: queued[x.ID], PacePercent: 100}, at.Add(-reportAge))
		}
		prompt := 0
		if i%3 == 2 {
			prompt = 1 + i/3%4
		}
		r := sharedPromptRequest(prompt, i)
		p := placers[i%len(placers)]
		choice := p.Pick(all, r, nil, at)
		id := choice.Target.ID
		if used[prompt] == nil {
			used[prompt] = make(map[string]int)
		}
		used[prompt][id]++
		work := time.Duration(float64(2900*perToken) / speeds[id])
		begin := at
		if freeAt[id].After(begin) {
			begin = freeAt[id]
		}
		freeAt[id] = begin.Add(work)
		if begin.Sub(at)+work > time.Second {
			late++
		}
		p.RecordSent(choice.Target, r, choice.UncachedTokens, at)
		p.RecordFirstEvent(choice.Target, choice.UncachedTokens)
		running = append(running, run{choice.Target, at, freeAt[id]})
	}
	assert.Equal(t, late, 0, "requests with a first event after a second; targets by prompt: %v", used)
	assert.Assert(t, len(used[0]) >= 2, "the hot prompt is on %d targets", len(used[0]))
	for prompt := 1; prompt <= 4; prompt++ {
		assert.Assert(t, len(used[prompt]) <= 2, "cold prompt %d is on %d targets: %v", prompt, len(used[prompt]), used[prompt])
	}
}

// The highest hash became the lowest one by an overflow.
func TestWeightedHashKeepsTheOrder(t *testing.T) {
	hashes := []uint64{0, 1 << 20, 1 << 40, 1 << 62, math.MaxUint64 - 1<<12, math.MaxUint64}
	for _, weight := range []float64{0.4, 0.999, 2} {
		for i := 1; i < len(hashes); i++ {
			assert.Assert(t, weightedHash(hashes[i], weight) >= weightedHash(hashes[i-1], weight), "%d, weight %v", i, weight)
		}
	}
}
