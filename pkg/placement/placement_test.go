package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/target"
)

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

// long is a request with a long shared prompt, as prompt number n.
func long(n, request int) *Request {
	return &Request{
		Parts:        []Part{{"root", 2500}, {fmt.Sprintf("subject-%d", n), 3800}, {fmt.Sprintf("own-%d", request), 2900}},
		PromptTokens: 9200, MaxOutputTokens: 20, NewestVersion: "1",
	}
}

// Guards against instances that send the same shared prompt to different
// targets: each would read it again.
func TestInstancesAgreeOnTheHome(t *testing.T) {
	all := engines(18)
	now := time.Now()
	for n := range 100 {
		one := New(DefaultParams(), "zone-0").Pick(all, long(n, 0), nil, now)
		two := New(DefaultParams(), "zone-1").Pick(all, long(n, 1), nil, now)
		assert.Equal(t, one.Target.ID, two.Target.ID)
		assert.Assert(t, one.IsHome)
	}
}

// Guards against homes that are all on a few targets.
func TestHomesAreSpread(t *testing.T) {
	all := engines(18)
	p := New(DefaultParams(), "zone-0")
	homes := make(map[string]int)
	for n := range 1800 {
		homes[p.Pick(all, long(n, 0), nil, time.Now()).Target.ID]++
	}
	for id, n := range homes {
		assert.Assert(t, n > 50 && n < 200, "%s is home to %d of 1800", id, n)
	}
}

// Guards against prompts that leave their home for a short queue, and against
// a hot prompt that never leaves it. Load: one subject gets much of the traffic.
func TestHotPromptSpillsWhenItsHomeIsFull(t *testing.T) {
	all := engines(18)
	p := New(DefaultParams(), "zone-0")
	now := time.Now()
	used := make(map[string]int)
	for i := range 40 {
		r := long(7, i)
		choice := p.Pick(all, r, nil, now)
		choice.Target.Live.InFlight.Add(1)
		choice.Target.Live.InFlightTokens.Add(int64(r.PromptTokens))
		p.RecordSent(choice.Target, r, choice.UncachedTokens, now)
		if i < 3 {
			assert.Assert(t, choice.IsHome, "request %d left its home", i)
		} else if !choice.IsHome && used[choice.Target.ID] == 0 {
			assert.Assert(t, choice.CacheSource != nil, "a target away from home has nowhere to fetch from")
		}
		used[choice.Target.ID]++
	}
	assert.Assert(t, len(used) >= 3, "a hot prompt stays on %d targets", len(used))
}

// Guards against requests without shared parts that all go to one target.
func TestServicesShareTheLoad(t *testing.T) {
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

func TestTargetsThatArePassedOver(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name   string
		change func(p *Placer, home *target.Target)
		after  time.Duration
		back   bool // the home is chosen again after that time
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
			home := p.Pick(all, long(1, 0), nil, now).Target
			c.change(p, home)
			assert.Assert(t, p.Pick(all, long(1, 0), nil, now).Target != home)
			assert.Equal(t, p.Pick(all, long(1, 0), nil, now.Add(c.after)).Target == home, c.back)
		})
	}
}

// Guards against a pool without a target that could take the request after all.
func TestLastTargetIsUsed(t *testing.T) {
	all := engines(1)
	p := New(DefaultParams(), "zone-0")
	p.RecordConnectFailure(all[0], time.Now())
	assert.Equal(t, p.Pick(all, long(1, 0), nil, time.Now()).Target, all[0])
}

// Guards against a herd on the first targets with new weights, and against
// prompts that stay with old weights until all targets have loaded. Load: new
// weights are named and three, then nine of eighteen targets have them, each
// prompt is asked for four times, and a target takes 100 ms for a prompt that it
// reads for the first time.
func TestPromptsMoveToNewWeightsOneByOne(t *testing.T) {
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
			r := long(i%prompts, i)
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
		assert.Assert(t, part >= float64(ready)/18, "%d of 18 targets with new weights got %.2f of the requests", ready, part)
		assert.Equal(t, moved, 0, "prompts went back and forth between weights")
		for id, n := range used {
			assert.Assert(t, n <= 4*prompts/18*3, "%s got %d of %d requests", id, n, 4*prompts)
		}
	}
}

// Guards against prompts that are read again although their home keeps them:
// while it is next to load, others fetch the parts from it. Load: new weights
// were named a moment ago.
func TestHomeAboutToLoadStillGivesItsParts(t *testing.T) {
	all := engines(6)
	p := New(DefaultParams(), "zone-0")
	now := time.Now()
	home := p.Pick(all, long(1, 0), nil, now).Target
	home.AboutToLoad = true
	r := long(1, 1)
	r.NewestVersion = "2"
	choice := p.Pick(all, r, nil, now)
	assert.Assert(t, choice.Target != home)
	assert.Equal(t, choice.CacheSource, home)
}

// Guards against cached parts of other weights that count as usable.
func TestPartsOfOtherWeightsAreNotCached(t *testing.T) {
	all := engines(1)
	p := New(DefaultParams(), "zone-0")
	r := long(1, 1)
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

func cachedOn(p *Placer, t *target.Target, r *Request) int {
	p.hashParts(r)
	_, cached := p.cachedTokens(p.state(t), r, time.Now())
	return cached
}

// Guards against memory that grows with the number of prompts and targets.
func TestMemoryIsBounded(t *testing.T) {
	all := engines(2)
	p := New(DefaultParams(), "zone-0")
	now := time.Now()
	for i := range 10_000 {
		p.RecordSent(all[0], long(i, i), 0, now)
	}
	assert.Assert(t, len(p.state(all[0]).cached) <= maxRememberedParts)
	p.Retain(func(string) bool { return false })
	assert.Equal(t, len(p.states), 0)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 90, 620} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := engines(n)
			p := New(DefaultParams(), "zone-0")
			r := long(1, 1)
			for b.Loop() {
				p.Pick(all, r, nil, time.Now())
			}
		})
	}
}
