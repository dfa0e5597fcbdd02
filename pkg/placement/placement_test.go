package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// engines returns n idle engines in three zones.
func engines(n int) []*target.Target {
	var all []*target.Target
	for i := range n {
		all = append(all, &target.Target{
			ID: fmt.Sprintf("i-%d", i), Incarnation: "1", Zone: fmt.Sprintf("zone-%d", i%3), IsEngine: true, Slots: 64,
			CacheTokens: 100_000, Model: "m", WeightVersion: "1", Live: &target.LiveState{},
		})
	}
	return all
}

// sharedPromptRequest returns a request of 9200 tokens whose first two parts
// are shared by all requests for the same prompt.
func sharedPromptRequest(prompt, request int) *Request {
	return &Request{
		Parts:        []Part{{"root", 2500}, {fmt.Sprintf("subject-%d", prompt), 3800}, {fmt.Sprintf("own-%d", request), 2900}},
		PromptTokens: 9200, MaxOutputTokens: 20, NewestVersion: "1",
	}
}

// If instances in different zones chose different targets for the same shared
// prompt, each target would prefill it again and callers would wait longer.
func TestInstancesAgreeOnTheHome(t *testing.T) {
	all := engines(18)
	now := time.Now()
	for n := range 100 {
		one := New(DefaultParams(), "zone-0").Pick(all, sharedPromptRequest(n, 0), nil, now)
		two := New(DefaultParams(), "zone-1").Pick(all, sharedPromptRequest(n, 1), nil, now)
		assert.Equal(t, one.Target.ID, two.Target.ID)
		assert.Assert(t, one.IsHome)
	}
}

// An uneven hash would make a few targets the home of most prompts and overload
// them while others are idle.
func TestHomesAreSpread(t *testing.T) {
	all := engines(18)
	p := New(DefaultParams(), "zone-0")
	homes := make(map[string]int)
	for n := range 1800 {
		homes[p.Pick(all, sharedPromptRequest(n, 0), nil, time.Now()).Target.ID]++
	}
	for id, n := range homes {
		assert.Assert(t, n > 50 && n < 200, "%s is the home of %d of 1800 prompts", id, n)
	}
}

// A prompt that left its home for a short queue would be prefilled again
// elsewhere. One that never left it would overload its home when most of the
// traffic asks for it.
func TestHotPromptSpillsWhenItsHomeIsFull(t *testing.T) {
	all := engines(18)
	p := New(DefaultParams(), "zone-0")
	now := time.Now()
	used := make(map[string]int)
	for i := range 40 {
		r := sharedPromptRequest(7, i)
		choice := p.Pick(all, r, nil, now)
		choice.Target.Live.InFlight.Add(1)
		choice.Target.Live.InFlightTokens.Add(int64(r.PromptTokens))
		p.RecordSent(choice.Target, r, choice.UncachedTokens, now)
		if i < 3 {
			assert.Assert(t, choice.IsHome, "request %d was not sent to its home", i)
		} else if !choice.IsHome && used[choice.Target.ID] == 0 {
			assert.Assert(t, choice.CacheSource != nil, "%s is not the home and has no CacheSource", choice.Target.ID)
		}
		used[choice.Target.ID]++
	}
	assert.Assert(t, len(used) >= 3, "40 requests for one prompt went to only %d targets", len(used))
}

// Requests to plain services have no shared parts. Without SpreadKey and the
// cost of running requests they would all go to one target.
func TestServiceRequestsAreSpread(t *testing.T) {
	var all []*target.Target
	for i := range 4 {
		all = append(all, &target.Target{ID: fmt.Sprintf("s-%d", i), Zone: "zone-0", Slots: 6, Live: &target.LiveState{}})
	}
	p := New(DefaultParams(), "zone-0")
	for i := range 24 {
		choice := p.Pick(all, &Request{SpreadKey: fmt.Sprint(i)}, nil, time.Now())
		choice.Target.Live.InFlight.Add(1)
	}
	for _, s := range all {
		n := s.Live.InFlight.Load()
		assert.Assert(t, n >= 4 && n <= 8, "%s has %d of 24", s.ID, n)
	}
}

// Requests must not go to a home that is leaving, loading, unreachable, busy or
// failing, and must go there again once a temporary cause is over.
func TestUnusableHomeIsSkipped(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name        string
		change      func(p *Placer, home *target.Target)
		after       time.Duration
		chosenAgain bool // the home is chosen after that time
	}{
		{"leaving", func(_ *Placer, h *target.Target) { h.Leaving = true }, time.Hour, false},
		{"about to load weights", func(_ *Placer, h *target.Target) { h.AboutToLoad = true }, time.Hour, false},
		{"unreachable", func(p *Placer, h *target.Target) { p.RecordConnectFailure(h, now) }, 300 * time.Millisecond, true},
		{"busy", func(p *Placer, h *target.Target) { p.RecordBusy(h, 200*time.Millisecond, now) }, 300 * time.Millisecond, true},
		{"failing", func(p *Placer, h *target.Target) {
			for range 5 {
				p.RecordFailure(h, now)
			}
		}, time.Minute, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			all := engines(6)
			p := New(DefaultParams(), "zone-0")
			home := p.Pick(all, sharedPromptRequest(1, 0), nil, now).Target
			c.change(p, home)
			assert.Assert(t, p.Pick(all, sharedPromptRequest(1, 0), nil, now).Target != home)
			assert.Equal(t, p.Pick(all, sharedPromptRequest(1, 0), nil, now.Add(c.after)).Target == home, c.chosenAgain)
		})
	}
}

// If the only target's circuit is open, the request is still sent to it:
// failing it at once would not be better for the caller.
func TestOnlyTargetIsUsedWithOpenCircuit(t *testing.T) {
	all := engines(1)
	p := New(DefaultParams(), "zone-0")
	p.RecordConnectFailure(all[0], time.Now())
	assert.Equal(t, p.Pick(all, sharedPromptRequest(1, 0), nil, time.Now()).Target, all[0])
}

// During a rollout, sending all prompts to the first targets with new weights
// would overload these; keeping all on old weights would leave them idle.
// Three, nine and all of eighteen targets have the new weights, each prompt is
// requested four times, and a target takes 100 ms to prefill a prompt.
func TestPromptsMigrateToNewWeightsOneByOne(t *testing.T) {
	const prompts = 180
	for _, ready := range []int{3, 9, 18} {
		all := engines(18)
		for _, x := range all[:ready] {
			x.WeightVersion = "2"
		}
		p := New(DefaultParams(), "zone-0")
		now := time.Now()
		fresh, versions, moved := 0, make(map[int]string), 0
		used := make(map[string]int)
		for i := range 4 * prompts {
			r := sharedPromptRequest(i%prompts, i)
			r.NewestVersion = "2"
			now = now.Add(4 * time.Millisecond)
			choice := p.Pick(all, r, nil, now)
			p.RecordSent(choice.Target, r, 0, now)
			used[choice.Target.ID]++
			if choice.Target.WeightVersion == "2" {
				fresh++
			}
			if before, ok := versions[i%prompts]; ok && before != choice.Target.WeightVersion {
				moved++
			}
			versions[i%prompts] = choice.Target.WeightVersion
		}
		part := float64(fresh) / (4 * prompts)
		assert.Assert(t, part >= float64(ready)/18, "%d of 18 targets have new weights but got %.2f of the requests", ready, part)
		assert.Equal(t, moved, 0, "requests for the same prompt changed between weights")
		for id, n := range used {
			assert.Assert(t, n <= 4*prompts/18*3, "%s got %d of %d requests", id, n, 4*prompts)
		}
	}
}

// A home that is about to load new weights still has the prompt cached. If
// other targets did not fetch the parts from it, they would prefill them again.
func TestHomeAboutToLoadIsCacheSource(t *testing.T) {
	all := engines(6)
	p := New(DefaultParams(), "zone-0")
	now := time.Now()
	home := p.Pick(all, sharedPromptRequest(1, 0), nil, now).Target
	home.AboutToLoad = true
	r := sharedPromptRequest(1, 1)
	r.NewestVersion = "2"
	choice := p.Pick(all, r, nil, now)
	assert.Assert(t, choice.Target != home)
	assert.Equal(t, choice.CacheSource, home)
}

// Parts computed with other weights, or before a restart, are useless. If they
// counted as cached, requests would go to targets that have to prefill them.
func TestPartsOfOtherWeightsOrIncarnationAreNotCached(t *testing.T) {
	all := engines(1)
	p := New(DefaultParams(), "zone-0")
	r := sharedPromptRequest(1, 1)
	p.RecordSent(all[0], r, 0, time.Now())
	cached := cachedOn(p, all[0], r)
	assert.Equal(t, cached, 6300)
	all[0].WeightVersion = "2"
	cached = cachedOn(p, all[0], r)
	assert.Equal(t, cached, 0)
	all[0].Incarnation, all[0].Live = "2", &target.LiveState{} // restarted
	all[0].WeightVersion = "1"
	cached = cachedOn(p, all[0], r)
	assert.Equal(t, cached, 0)
}

// cachedOn returns the tokens of a request that p expects to be cached on a
// target.
func cachedOn(p *Placer, t *target.Target, r *Request) int {
	p.hashParts(r)
	_, cached := p.cachedTokens(p.stateOf(t), r, time.Now())
	return cached
}

// An instance that runs for weeks sees any number of prompts and targets.
// Tracking all of them would exhaust its memory.
func TestTrackedPartsAndTargetsAreBounded(t *testing.T) {
	all := engines(2)
	p := New(DefaultParams(), "zone-0")
	now := time.Now()
	for i := range 10_000 {
		p.RecordSent(all[0], sharedPromptRequest(i, i), 0, now)
	}
	assert.Assert(t, len(p.stateOf(all[0]).cached) <= maxTrackedParts)
	p.Retain(func(string) bool { return false })
	assert.Equal(t, len(p.states), 0)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 90, 240, 620} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := engines(n)
			p := New(DefaultParams(), "zone-0")
			r := sharedPromptRequest(1, 1)
			for b.Loop() {
				p.Pick(all, r, nil, time.Now())
			}
		})
	}
}

// The delay that admission compares with a caller's objective must hold what waits at
// the target, and no costs that are not time.
func TestDelayIsTheTimeUntilTheFirstEvent(t *testing.T) {
	now := time.Now()
	p := New(DefaultParams(), "zone-0")
	only := engines(1)
	r := sharedPromptRequest(1, 0)
	idle := p.Pick(only, r, nil, now)
	assert.Equal(t, idle.Delay, 2900*p.Params.PrefillPerToken)
	p.RecordFailure(only[0], now)
	only[0].WeightVersion = "0"
	only[0].AboutToLoad = true
	costly := p.Pick(only, r, nil, now)
	assert.Equal(t, costly.Delay, time.Duration(9200)*p.Params.PrefillPerToken, "costs that are not time count as delay")
	only[0].Live.RecordLoad(target.Load{Running: 2, Waiting: 3}, now)
	queued := p.Pick(only, r, nil, now)
	assert.Equal(t, queued.Delay-costly.Delay, 5*p.Params.RemoteRequestCost+3*p.Params.WaitingRequestCost)
}

// The price of a transfer counted as delay, so that admission refused requests which
// another target than the home serves in time.
func TestDelayAwayFromHomeHasNoPrices(t *testing.T) {
	now := time.Now()
	p, two, r := New(DefaultParams(), "zone-0"), engines(2), sharedPromptRequest(1, 0)
	two[1].Zone = two[0].Zone
	home := p.Pick(two, r, nil, now)
	away := p.Pick(two, r, func(t *target.Target) bool { return t == home.Target }, now)
	recomputed := 6300 * p.Params.PrefillPerToken
	assert.Assert(t, away.Delay > home.Delay && away.Delay < home.Delay+recomputed, "%v away, %v at home", away.Delay, home.Delay)
	assert.Assert(t, away.Cost > home.Cost+recomputed)
}

// Callers whose prompts all have other parts made the router remember 2,000 and more at each
// target.
func TestPartsOfManyPromptsTakeLittleMemory(t *testing.T) {
	all := engines(240)
	p, now := New(DefaultParams(), "zone-0"), time.Now()
	for n := range 20_000 {
		r := &Request{PromptTokens: 64}
		for part := range 64 {
			r.Parts = append(r.Parts, Part{fmt.Sprint(n, part), 1})
		}
		p.RecordSent(all[n%len(all)], r, 64, now)
	}
	tracked := 0
	for _, s := range p.states {
		tracked += len(s.cached)
	}
	assert.Assert(t, tracked <= maxTrackedTotal+64, "%d parts", tracked)
	assert.Equal(t, tracked, p.tracked)
	p.Retain(func(string) bool { return false })
	assert.Equal(t, p.tracked, 0)
}
