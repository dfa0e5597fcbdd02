package replay

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingwheel.example/lacewingwheel/pkg/choice"
	protocol "lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/prefix"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// policy selects targets for one router instance.
type policy interface {
	// updateTargets replaces the known state of all targets.
	updateTargets(set *target.Set, now time.Time)
	// selectTarget returns the target for a request, or nil if no target can be used.
	selectTarget(j *job, exclude map[string]bool, now time.Time) *target.Target
	// applyEvents applies the cache events of an engine.
	applyEvents(id string, batch protocol.EventBatch, now time.Time)
	// recordResult records whether an attempt on a target succeeded.
	recordResult(t *target.Target, succeeded bool, now time.Time)
}

// policies holds a name and a constructor for each policy.
var policies = []struct {
	name      string
	newPolicy func(s *simulation, router int) policy
}{
	{"random", func(s *simulation, _ int) policy {
		return &baselinePolicy{choose: func(candidates []*target.Target, _ *job) *target.Target {
			return candidates[s.policyRNG.IntN(len(candidates))]
		}}
	}},
	{"round-robin", func(_ *simulation, router int) policy {
		next := router
		return &baselinePolicy{choose: func(candidates []*target.Target, _ *job) *target.Target {
			next++
			return candidates[next%len(candidates)]
		}}
	}},
	{"least-loaded", func(s *simulation, _ int) policy {
		return &baselinePolicy{choose: func(candidates []*target.Target, _ *job) *target.Target { return s.leastLoaded(candidates) }}
	}},
	{"hash", func(*simulation, int) policy {
		return &baselinePolicy{choose: func(candidates []*target.Target, j *job) *target.Target { return highestHashTarget(candidates, j) }}
	}},
	{"oracle", func(s *simulation, _ int) policy {
		return &baselinePolicy{choose: func(candidates []*target.Target, j *job) *target.Target { return s.earliestFirstToken(candidates, j) }}
	}},
	{"choice", func(s *simulation, router int) policy { return newChoicePolicy(s, router, false) }},
	{"choice+events", func(s *simulation, router int) policy { return newChoicePolicy(s, router, true) }},
}

// baselinePolicy selects among the reachable targets with choose. It ignores cache
// events and results.
type baselinePolicy struct {
	set        *target.Set
	candidates []*target.Target
	choose     func(candidates []*target.Target, j *job) *target.Target
}

func (p *baselinePolicy) updateTargets(set *target.Set, _ time.Time) { p.set = set }

func (p *baselinePolicy) selectTarget(j *job, exclude map[string]bool, _ time.Time) *target.Target {
	p.candidates = p.candidates[:0]
	for _, t := range p.set.Targets {
		if t.Reachable && !exclude[t.ID] {
			p.candidates = append(p.candidates, t)
		}
	}
	if len(p.candidates) == 0 {
		return nil
	}
	return p.choose(p.candidates, j)
}

func (p *baselinePolicy) applyEvents(string, protocol.EventBatch, time.Time) {}

func (p *baselinePolicy) recordResult(*target.Target, bool, time.Time) {}

// leastLoaded returns the target with the fewest requests in flight from this
// router. Ties are broken at random. Counting the requests that engines report as
// well makes the policy worse: all routers then send to the target that was idle in
// the last report.
func (s *simulation) leastLoaded(candidates []*target.Target) *target.Target {
	var best *target.Target
	var bestLoad int64
	ties := 0
	for _, t := range candidates {
		load := t.Live.InFlight.Load()
		if best == nil || load < bestLoad {
			best, bestLoad, ties = t, load, 1
			continue
		}
		if load == bestLoad {
			if ties++; s.policyRNG.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best
}

// hashedPieces is the number of leading pieces that the hash policy hashes. They
// cover the system prompt, the task and the start of the document.
const hashedPieces = 7

// highestHashTarget selects a target by rendezvous hashing of the prompt prefix.
func highestHashTarget(candidates []*target.Target, j *job) *target.Target {
	var best *target.Target
	var bestRank uint64
	var key [8]byte
	for _, t := range candidates {
		digest := j.digests[min(hashedPieces, len(j.digests))-1]
		for i := range key {
			key[i] = byte(digest >> (8 * i))
		}
		d := xxhash.NewWithSeed(0)
		_, _ = d.Write(key[:])
		_, _ = d.WriteString(t.ID)
		if rank := d.Sum64(); best == nil || rank > bestRank {
			best, bestRank = t, rank
		}
	}
	return best
}

// earliestFirstToken returns the target with the earliest first token. It reads
// caches and prefill queues directly from the simulated engines, which no router
// could do.
func (s *simulation) earliestFirstToken(candidates []*target.Target, j *job) *target.Target {
	var best *target.Target
	bestDelay := int64(0)
	for _, t := range candidates {
		e := s.engineOf(t)
		uncachedTokens := j.promptTokens - e.cache.cachedPrefixLength(j.digests)*pieceTokens
		delay := e.prefillBacklog(s.now) + int64(uncachedTokens)*prefillTimePerToken
		if best == nil || delay < bestDelay {
			best, bestDelay = t, delay
		}
	}
	return best
}

// choicePolicy selects targets with the packages that the daemon uses.
type choicePolicy struct {
	chooser   *choice.Chooser
	index     *prefix.Index
	useEvents bool // whether cache events are applied to the index
	view      *choice.View
}

// newChoicePolicy returns a choicePolicy for the router with the given number.
func newChoicePolicy(s *simulation, router int, useEvents bool) policy {
	index := prefix.NewIndex(prefix.DefaultIndexParams())
	c := choice.New(s.params, routerID(router), s.zoneOf(router), index)
	c.SetInstances(RouterCount)
	return &choicePolicy{chooser: c, index: index, useEvents: useEvents}
}

func (c *choicePolicy) applyEvents(id string, batch protocol.EventBatch, now time.Time) {
	if c.useEvents {
		c.index.ApplyEvents(id, batch, now)
	}
}

func (c *choicePolicy) updateTargets(set *target.Set, now time.Time) {
	c.chooser.Sync(set, now)
	c.view = c.chooser.NewView(set, func(t *target.Target) bool { return t.Reachable })
}

func (c *choicePolicy) selectTarget(j *job, exclude map[string]bool, now time.Time) *target.Target {
	request := choice.Request{Digests: j.digests, PieceTokens: pieceTokens, PromptTokens: j.promptTokens, TargetLimit: maxBatchSize}
	return c.chooser.Choose(c.view, &request, exclude, now)
}

func (c *choicePolicy) recordResult(t *target.Target, succeeded bool, now time.Time) {
	result := choice.Failed
	if succeeded {
		result = choice.Succeeded
	}
	c.chooser.RecordResult(t, result, now)
}

// newRNG returns the random source of a replay. Generated traces use other streams.
func newRNG(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 3)) }

// PolicyNames returns the names of the policies.
func PolicyNames() []string {
	var names []string
	for _, p := range policies {
		names = append(names, p.name)
	}
	return names
}
