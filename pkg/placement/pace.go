package placement

import (
	"math"
	"slices"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// Pools whose targets state a pace have targets of uneven speed. For these, what
// DefaultParams takes as given is learned: the prefill time of the pool, and the speed
// of each target. Other pools are not affected.

const (
	// poolRefreshInterval is the time between two comparisons of the targets of a pool.
	poolRefreshInterval = 500 * time.Millisecond
	// priorStepSamples is the number of samples of the step time for which the prior, that
	// a target is as fast as the others, stands.
	priorStepSamples = 2
	// minStepWeight is the least weight, in samples, of a step time to compare others with.
	minStepWeight = 0.1
	// minSlowness and maxSlowness bound the learned slowness of a target, so that each
	// gets a part of the work and is measured again.
	minSlowness, maxSlowness = 0.5, 2.5
	// minPrefillSample is the number of uncached tokens from which the time to the first
	// event tells the prefill time.
	minPrefillSample = 1000
	// prefillSamples are kept for each pool; prefillQuantile of them is taken, because
	// most causes of error make samples longer: a queue, parts that are not cached.
	prefillSamples  = 32
	prefillQuantile = 0.15
	// priorPrefillSamples is the number of samples for which the prior stands.
	priorPrefillSamples = 2
	// maxPrefillFactor bounds the learned prefill time, relative to the prior.
	maxPrefillFactor = 10
)

// poolState is what a placer learns about a pool.
type poolState struct {
	statesPace  bool // a target of the pool has stated its pace
	refreshedAt time.Time
	prefill     time.Duration // per uncached token
	samples     []time.Duration
	next        int               // of samples, to be replaced
	homes       map[uint64]uint64 // hash of the ID of the home by hash of the prompt
	homeMoves   int64
}

// maxTrackedHomes bounds the prompts of a pool whose home is remembered.
const maxTrackedHomes = 4096

// prefillTime returns the prefill time of a token, as learned if that is used.
func (s *poolState) prefillTime(params *Params) time.Duration {
	if s.statesPace {
		return s.prefill
	}
	return params.PrefillPerToken
}

// scale returns how much longer prefill takes than the parameters say.
func (s *poolState) scale(params *Params) float64 {
	return float64(s.prefill) / float64(params.PrefillPerToken)
}

// recordHome counts prompts whose home has changed since their last request.
func (s *poolState) recordHome(affinity uint64, home *targetState) {
	before, known := s.homes[affinity]
	if known && before == home.idHash {
		return
	}
	if known {
		s.homeMoves++
	}
	if s.homes == nil || len(s.homes) >= maxTrackedHomes {
		s.homes = make(map[uint64]uint64)
	}
	s.homes[affinity] = home.idHash
}

// PoolSpeeds is what a placer has learned about a pool and uses.
type PoolSpeeds struct {
	Prefill   time.Duration      `json:"prefill_ns_per_token"`
	HomeMoves int64              `json:"home_moves"`
	Slowness  map[string]float64 `json:"slowness"` // of each target; 1 is usual
}

// Speeds returns what was learned, by pool.
func (p *Placer) Speeds() map[string]PoolSpeeds {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]PoolSpeeds)
	for name, pool := range p.pools {
		if pool.statesPace {
			all[name] = PoolSpeeds{Prefill: pool.prefill, HomeMoves: pool.homeMoves, Slowness: make(map[string]float64)}
		}
	}
	for _, s := range p.states {
		if speeds, ok := all[s.pool]; ok {
			speeds.Slowness[s.id] = s.slowness
		}
	}
	return all
}

// poolOf returns the state of the pool of the candidates, which are all of one pool.
func (p *Placer) poolOf(candidates []*target.Target, now time.Time) *poolState {
	name := ""
	if len(candidates) > 0 {
		name = candidates[0].Pool
	}
	pool := p.pools[name]
	if pool == nil {
		pool = &poolState{prefill: p.Params.PrefillPerToken}
		p.pools[name] = pool
	}
	if now.Sub(pool.refreshedAt) >= poolRefreshInterval {
		pool.refreshedAt = now
		p.refresh(pool, candidates, now)
	}
	return pool
}

// refresh compares the step times of a pool's targets and sets their slowness.
func (p *Placer) refresh(pool *poolState, candidates []*target.Target, now time.Time) {
	var steps []float64
	for _, t := range candidates {
		if load, _ := t.NewestLoad(); load.PacePercent > 0 {
			pool.statesPace = true
		}
		if step, samples := t.Live.StepTime(now); samples >= minStepWeight {
			steps = append(steps, float64(step))
		}
	}
	if !pool.statesPace || len(steps) == 0 {
		return
	}
	slices.Sort(steps)
	typical := steps[len(steps)/2]
	for _, t := range candidates {
		step, samples := t.Live.StepTime(now)
		if step == 0 {
			continue
		}
		known := samples / (samples + priorStepSamples)
		ratio := math.Pow(float64(step)/typical, known)
		s := p.stateOf(t)
		s.slowness = min(max(ratio, minSlowness), maxSlowness)
		s.homeWeight = 1 / s.slowness
	}
}

// weightedHash changes a hash so that, of several targets, each has the highest one with
// a probability in proportion to its weight (weighted rendezvous hashing). It is called
// for each candidate of each request: a logarithm costs less than a power.
func weightedHash(hash uint64, weight float64) uint64 {
	const unit = 1 << 53
	score := -math.Log(toUnit(hash)+1.0/unit) / weight // the lowest one wins
	return uint64(min(unit-1, unit/(1+max(0, score)))) << 11
}

// learnedDelay is delay by what was learned: what a target does takes as much longer as it
// is slower, and the work of others is valued by the pool's prefill time.
//
// Load: engines of different speeds that share their machines with other work.
func (p *Placer) learnedDelay(t *target.Target, s *targetState, pool *poolState, uncached int, others, waiting int64, now time.Time) time.Duration {
	params := &p.Params
	own := t.Live.InFlight.Load()
	busy := own + others
	slow := s.slowness * t.Live.Pace(now)
	if !t.IsEngine {
		queued := max(0, busy+1-int64(t.Slots))
		work := params.ServiceTime * time.Duration(busy) / time.Duration(max(1, t.Slots))
		work += params.ServiceTime * time.Duration(queued)
		return time.Duration(slow*float64(work)) + p.zoneDelay(t)
	}
	// The costs of requests of others contain a part of their prefill.
	scale := pool.scale(params)
	work := (float64(uncached) + s.pendingPrefill) * float64(pool.prefill)
	work += float64(own) * float64(params.RunningRequestCost)
	work += scale * float64(others) * float64(params.RemoteRequestCost)
	work += scale * float64(waiting) * float64(params.WaitingRequestCost)
	if over := busy + 1 - int64(t.Slots); t.Slots > 0 && over > 0 {
		work += scale * float64(over) * float64(params.ServiceTime)
	}
	return time.Duration(slow*work) + p.zoneDelay(t)
}

// recomputeFactor is the cost of computing parts again, in their prefill time: the other
// requests at the target wait for it too.
const recomputeFactor = 1.5

// fetchPerToken returns the cost of fetching a cached token from another target. It is
// no less than that of computing it: the home of a prompt has the parts only if earlier
// requests went there, and a prompt that leaves its home makes that less likely.
func (p *Placer) fetchPerToken(pool *poolState) time.Duration {
	if !pool.statesPace {
		return p.Params.FetchPerToken
	}
	return max(p.Params.FetchPerToken, time.Duration(recomputeFactor*float64(pool.prefill)))
}

// RecordPrefill records the time from the send of a request to its first event, after
// RecordSent. uncached is the number passed there.
func (p *Placer) RecordPrefill(t *target.Target, uncached int, took time.Duration, now time.Time) {
	if !t.IsEngine || uncached < minPrefillSample || took <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.pools[t.Pool]
	if pool == nil || !pool.statesPace {
		return
	}
	perToken := float64(took) / float64(uncached) / (p.stateOf(t).slowness * t.Live.Pace(now))
	pool.addPrefill(time.Duration(perToken), p.Params.PrefillPerToken)
}

// addPrefill adds a sample and computes the prefill time again.
func (s *poolState) addPrefill(sample, prior time.Duration) {
	sample = min(max(sample, prior/maxPrefillFactor), prior*maxPrefillFactor)
	if len(s.samples) < prefillSamples {
		s.samples = append(s.samples, sample)
	} else {
		s.samples[s.next] = sample
		s.next = (s.next + 1) % prefillSamples
	}
	sorted := slices.Sorted(slices.Values(s.samples))
	learned := sorted[int(prefillQuantile*float64(len(sorted)))]
	n := float64(len(sorted))
	s.prefill = time.Duration((float64(learned)*n + float64(prior)*priorPrefillSamples) / (n + priorPrefillSamples))
}
