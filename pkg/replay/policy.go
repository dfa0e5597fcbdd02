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

// policy is the target choice of one router instance.
type policy interface {
	sync(set *target.Set, now time.Time)
	pick(j *job, exclude map[string]bool, now time.Time) *target.Target
	apply(id string, batch protocol.EventBatch, now time.Time)
	report(t *target.Target, ok bool, now time.Time)
}

// policies makes each policy for a router.
var policies = []struct {
	name string
	make func(s *simulation, router int) policy
}{
	{"random", func(s *simulation, _ int) policy {
		return &baseline{choose: func(usable []*target.Target, _ *job) *target.Target { return usable[s.rng.IntN(len(usable))] }}
	}},
	{"round-robin", func(_ *simulation, router int) policy {
		next := router
		return &baseline{choose: func(usable []*target.Target, _ *job) *target.Target {
			next++
			return usable[next%len(usable)]
		}}
	}},
	{"least-loaded", func(s *simulation, _ int) policy {
		return &baseline{choose: func(usable []*target.Target, _ *job) *target.Target { return s.leastLoaded(usable) }}
	}},
	{"hash", func(*simulation, int) policy {
		return &baseline{choose: func(usable []*target.Target, j *job) *target.Target { return highestHash(usable, j) }}
	}},
	{"oracle", func(s *simulation, _ int) policy {
		return &baseline{choose: func(usable []*target.Target, j *job) *target.Target { return s.bestCached(usable, j) }}
	}},
	{"choice", func(s *simulation, router int) policy { return newChooserPolicy(s, router, false) }},
	{"choice+events", func(s *simulation, router int) policy { return newChooserPolicy(s, router, true) }},
}

// baseline is a policy without memory.
type baseline struct {
	set    *target.Set
	usable []*target.Target
	choose func(usable []*target.Target, j *job) *target.Target
}

func (b *baseline) sync(set *target.Set, _ time.Time) { b.set = set }

func (b *baseline) pick(j *job, exclude map[string]bool, _ time.Time) *target.Target {
	b.usable = b.usable[:0]
	for _, t := range b.set.Targets {
		if t.Reachable && !exclude[t.ID] {
			b.usable = append(b.usable, t)
		}
	}
	if len(b.usable) == 0 {
		return nil
	}
	return b.choose(b.usable, j)
}

func (b *baseline) apply(string, protocol.EventBatch, time.Time) {}

func (b *baseline) report(*target.Target, bool, time.Time) {}

// leastLoaded counts own requests; ties are drawn.
// Counting reported requests as well makes it worse, because all instances then
// send to the target that was idle in the last report.
func (s *simulation) leastLoaded(usable []*target.Target) *target.Target {
	var best *target.Target
	var bestLoad int64
	ties := 0
	for _, t := range usable {
		load := t.Live.InFlight.Load()
		if best == nil || load < bestLoad {
			best, bestLoad, ties = t, load, 1
			continue
		}
		if load == bestLoad {
			if ties++; s.rng.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best
}

// hashPieces are the leading pieces that hash affinity looks at. They cover
// system prompt, task and the start of the document.
const hashPieces = 7

func highestHash(usable []*target.Target, j *job) *target.Target {
	var best *target.Target
	var bestRank uint64
	var key [8]byte
	for _, t := range usable {
		digest := j.digests[min(hashPieces, len(j.digests))-1]
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

// bestCached knows each cache and each prefill queue exactly, without lag, and
// takes the target with the earliest first token.
func (s *simulation) bestCached(usable []*target.Target, j *job) *target.Target {
	var best *target.Target
	bestCost := int64(0)
	for _, t := range usable {
		e := s.engineOf(t)
		missed := j.tokens - e.cache.match(j.digests)*pieceTokens
		cost := e.work(s.now) + int64(missed)*prefillPerToken
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// chooserPolicy drives the packages that the daemon uses.
type chooserPolicy struct {
	chooser *choice.Chooser
	index   *prefix.Index
	events  bool // feeds cache events to the index
	view    *choice.View
}

func newChooserPolicy(s *simulation, router int, events bool) policy {
	index := prefix.NewIndex(prefix.DefaultIndexParams())
	c := choice.New(s.params, routerName(router), s.zoneOf(router), index)
	c.SetInstances(RouterCount)
	return &chooserPolicy{chooser: c, index: index, events: events}
}

// apply feeds the cache events of an engine.
func (c *chooserPolicy) apply(id string, batch protocol.EventBatch, now time.Time) {
	if c.events {
		c.index.ApplyEvents(id, batch, now)
	}
}

func (c *chooserPolicy) sync(set *target.Set, now time.Time) {
	c.chooser.Sync(set, now)
	c.view = c.chooser.NewView(set, func(t *target.Target) bool { return t.Reachable })
}

func (c *chooserPolicy) pick(j *job, exclude map[string]bool, now time.Time) *target.Target {
	request := choice.Request{Digests: j.digests, PieceTokens: pieceTokens, PromptTokens: j.tokens, TargetLimit: batchLimit}
	return c.chooser.Choose(c.view, &request, exclude, now)
}

func (c *chooserPolicy) report(t *target.Target, ok bool, now time.Time) {
	result := choice.Failed
	if ok {
		result = choice.Succeeded
	}
	c.chooser.RecordResult(t, result, now)
}

func newRNG(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 3)) }

// PolicyNames returns the names of the policies.
func PolicyNames() []string {
	var names []string
	for _, p := range policies {
		names = append(names, p.name)
	}
	return names
}
