package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An organisation that sent several times its usual, through few instances, took the
// shares of the others, because no instance saw its whole usage. A message in twenty is
// lost, and one instance gets none.
func TestUsageOfTheFleetTellsWhoIsOverItsShare(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const instances, receivers, round = 60, 4, 200 * time.Millisecond
	fleet := make([]*Usage, instances)
	rates := map[string]float64{"small": 1000, "usual": 4000, "large": 10000, "hot": 4000}
	for n := range fleet {
		fleet[n] = NewUsage()
		fleet[n].SetRates(rates)
	}
	cutOff := instances - 1
	now := start
	for range 50 { // ten seconds
		now = now.Add(round)
		for organisation, perSecond := range map[string]float64{"small": 500, "usual": 2000, "large": 5000, "hot": 4000} {
			for range 10 {
				at := random.IntN(instances)
				if organisation == "hot" {
					at %= 6
				}
				fleet[at].RecordArrival(now)
				fleet[at].Record(organisation, int64(perSecond*round.Seconds()/10), now)
			}
		}
		for from, u := range fleet {
			payload := u.Give(receivers, now)
			assert.Assert(t, len(payload) < 1200, len(payload))
			for range receivers {
				if to := random.IntN(instances); to != cutOff && from != cutOff && random.IntN(20) > 0 {
					fleet[to].Accept(payload, now)
				}
			}
		}
	}
	wrong := 0
	for _, u := range fleet[:cutOff] {
		for organisation := range rates {
			if u.IsOverShare(organisation, now) != (organisation == "hot") {
				wrong++
			}
		}
	}
	assert.Assert(t, wrong <= instances*len(rates)/20, "%d of %d shares are wrong", wrong, (instances-1)*len(rates))
	// A quarter of the requests reaches the first six instances besides their part.
	first, demand := 0.0, 0.0
	for n, u := range fleet[:cutOff] {
		demand += u.Demand(now)
		if n < 6 {
			first += u.Demand(now)
		}
	}
	assert.Assert(t, first > 2*6 && first < maxDemand*6, first)
	assert.Assert(t, demand > 0.7*instances && demand < 1.3*instances, demand)
}

// An organisation alone in the fleet may use it all, and one that no longer sends must not
// keep the others from idle room.
func TestIdleRoomGoesToWhoeverWantsIt(t *testing.T) {
	u := NewUsage()
	u.SetRates(map[string]float64{"one": 1000, "other": 1000, "no rate": 0})
	u.Record("one", 100_000, start)
	assert.Assert(t, !u.IsOverShare("one", start))
	u.Record("other", 20_000, start)
	assert.Assert(t, u.IsOverShare("one", start.Add(shareInterval)))
	assert.Assert(t, !u.IsOverShare("other", start.Add(shareInterval)))
	for at := time.Second; at < 20*time.Second; at += time.Second {
		u.Record("one", 10_000, start.Add(at))
	}
	assert.Assert(t, !u.IsOverShare("one", start.Add(20*time.Second)), "the other organisation has not asked for seconds")
}

// An instance that was cut off from the others took the organisations of its few callers to
// be over their shares.
func TestInstanceThatHearsNothingTakesNobodyToBeOverItsShare(t *testing.T) {
	u, other := NewUsage(), NewUsage()
	u.InstanceCount = func() int { return 2 }
	u.SetRates(map[string]float64{"one": 1000, "other": 1000})
	u.Record("one", 100_000, start)
	u.Record("other", 20_000, start)
	assert.Assert(t, !u.IsOverShare("one", start))
	other.Record("other", 20_000, start)
	u.Accept(other.Give(1, start), start)
	assert.Assert(t, u.IsOverShare("one", start.Add(shareInterval)))
	assert.Assert(t, !u.IsOverShare("one", start.Add(usagePeriod+time.Millisecond)))
}

// A datagram that no instance can have sent must not change the shares.
func TestInvalidUsageIsIgnored(t *testing.T) {
	u, sender := NewUsage(), NewUsage()
	assert.Assert(t, sender.Give(1, start) == nil, "an instance without usage sends messages")
	sender.RecordArrival(start)
	sender.weight = 1e9
	u.Accept(sender.Give(1, start), start)
	u.Accept([]byte("no message"), start)
	assert.Equal(t, u.weight, 1.0)
	assert.Equal(t, fmt.Sprint(u.TokensPerSecond(start)), "map[]")
}
