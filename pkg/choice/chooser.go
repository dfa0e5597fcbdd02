package choice

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingwheel.example/lacewingwheel/pkg/prefix"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// Request is what the choice needs to know of a request.
type Request struct {
	Digests      []uint64 // of the prompt's whole pieces
	PieceTokens  int
	PromptTokens int // of the prompt
	TargetLimit  int // requests that a target of the pool runs at once
	// QueueWeight replaces that of the parameters if it is not zero.
	QueueWeight float64
}

// Chooser chooses targets and remembers where it sent what. It is safe for
// concurrent use; the slices are scratch space that is reused under the lock.
type Chooser struct {
	params Params
	zone   string
	seed   uint64
	index  *prefix.Index

	mu         sync.Mutex
	instances  float64
	synced     bool
	slots      map[string]prefix.Slot
	states     []state // by slot
	work       []work  // by slot
	demand     *prefix.RateEstimator
	counter    uint64
	meanPieces float64
	meanWork   float64 // expected computation of a request, nanoseconds
	spill      uint64  // digest that orders the targets a prompt spills to

	set     []ranked
	rates   []float64
	prior   []float64 // expected pieces, by candidate
	matches []prefix.Match
}

// New returns a chooser for an instance in a zone. The index may also be fed
// with cache events.
func New(params Params, instance, zone string, index *prefix.Index) *Chooser {
	return &Chooser{
		params: params, zone: zone, seed: xxhash.Sum64String(instance), index: index, instances: 1,
		slots:  make(map[string]prefix.Slot),
		demand: prefix.NewRateEstimator(params.DemandDecay, params.MaxDigests),
	}
}

// SetInstances tells how many instances share the traffic.
func (c *Chooser) SetInstances(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances = float64(max(1, n))
}

// Choose returns the target for a request, or nil if none can take it. Targets
// in exclude are passed over.
func (c *Chooser) Choose(v *View, r *Request, exclude map[string]bool, now time.Time) *target.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counter++
	c.grow(len(v.candidates))
	set := c.eligible(v, r, exclude, now)
	if len(set) == 0 {
		return nil
	}
	favoured := c.narrow(v, set, r, now)
	c.applyIndex(v, r, now)
	best := c.cheapest(v, set, favoured, r, now)
	c.commit(v, best, r, now)
	return v.targets[best]
}

func (c *Chooser) grow(n int) {
	if len(c.prior) >= n {
		return
	}
	c.prior = make([]float64, n)
	c.set = make([]ranked, n)
}

// lightLoad is the part of its limit, as a divisor, up to which a target is not
// passed over for load. Without it a few requests on one of many idle targets
// would count as far above the mean.
const lightLoad = 4

// eligible returns the candidates that may get the request. If load and slow
// start leave none, they are disregarded; an open circuit never is.
func (c *Chooser) eligible(v *View, r *Request, exclude map[string]bool, now time.Time) []ranked {
	// The mean is that of the previous choice, which saves a pass.
	bound := int32(c.params.LoadFactor * float64(v.running+1) / float64(max(1, len(v.candidates))))
	bound = max(bound, int32(r.TargetLimit/lightLoad))
	set, n, rest, sum := c.set[:len(v.candidates)], 0, 0, 0
	for i := range v.candidates {
		cand := &v.candidates[i]
		w := &c.work[cand.slot]
		running := int32(cand.live.InFlight.Load()) + w.others
		sum += int(running)
		if len(exclude) > 0 && exclude[v.targets[i].ID] {
			continue
		}
		admitted := running <= bound
		if w.special {
			s := &c.states[cand.slot]
			if !s.breaker.allows(now, &c.params) {
				continue
			}
			admitted = admitted && c.admits(cand, s, r, now)
		}
		set[n].at = int32(i)
		if admitted {
			set[n].at, set[rest].at = set[rest].at, int32(i)
			rest++
		}
		n++
	}
	v.running = sum
	if rest > 0 {
		return set[:rest]
	}
	return set[:n]
}

// delay is the expected queueing on a target and the zone distance, in
// nanoseconds.
func (c *Chooser) delay(cand *candidate, r *Request, now time.Time) float64 {
	w := &c.work[cand.slot]
	running := int(cand.live.InFlight.Load()) + int(w.others)
	wait := float64(max(0, w.busyUntil-now.UnixNano())) + float64(running)*float64(c.params.RunningRequestCost)
	if pending := cand.live.AwaitingFirstToken.Load(); pending > 0 {
		wait += float64(pending) * c.params.PendingWeight * c.meanWork
	}
	if over := running + 1 - r.TargetLimit; over > 0 {
		wait += float64(over) * float64(c.params.ServiceTime) / float64(max(1, r.TargetLimit))
	}
	if w.special {
		wait /= c.ramp(&c.states[cand.slot], now)
	}
	weight := r.QueueWeight
	if weight == 0 {
		weight = c.params.QueueWeight
	}
	return weight*wait + float64(cand.zone)
}

// minRamp is the share that a target gets at the start of slow start.
const minRamp = 0.05

// ramp is the part of its full share that a target gets.
func (c *Chooser) ramp(s *state, now time.Time) float64 {
	if s.freshSince.IsZero() {
		return 1
	}
	ramp := float64(now.Sub(s.freshSince)) / float64(c.params.SlowStart)
	return min(1, max(ramp, minRamp))
}

// admits limits the requests in flight on a target in slow start to this
// instance's part of its ramp. Where that is less than one request, a hash of
// the second decides which instances may send one.
func (c *Chooser) admits(cand *candidate, s *state, r *Request, now time.Time) bool {
	ramp := c.ramp(s, now)
	if ramp == 1 {
		return true
	}
	allowed := ramp * float64(r.TargetLimit) / c.instances
	draw := float64(mix(c.seed^cand.hash, uint64(now.Unix()))>>11) / (1 << 53)
	return float64(cand.live.InFlight.Load())+draw < allowed
}

// applyIndex raises the expected pieces of targets that the index knows.
func (c *Chooser) applyIndex(v *View, r *Request, now time.Time) {
	c.matches = c.index.Lookup(c.matches[:0], r.Digests, now)
	for _, m := range c.matches {
		if int(m.Slot) >= len(v.bySlot) {
			continue
		}
		if at := v.bySlot[m.Slot]; at >= 0 {
			c.prior[at] = max(c.prior[at], m.ExpectedPieces)
		}
	}
}

// cheapest returns the candidate with the lowest cost. The first favoured ones
// of the set are the affinity targets.
func (c *Chooser) cheapest(v *View, set []ranked, favoured int, r *Request, now time.Time) int32 {
	best, bestCost, bestTie := int32(-1), 0.0, uint64(0)
	tieSeed := c.seed + c.counter
	perToken := float64(c.params.PrefillPerToken)
	whole, piece := float64(r.PromptTokens)*perToken, float64(r.PieceTokens)*perToken
	for i := range set {
		at := set[i].at
		missed := max(0, whole-c.prior[at]*piece)
		if i < favoured {
			missed *= 1 - c.params.AffinityDiscount
		}
		// Most targets hold less than the best one and are passed over here.
		if best >= 0 && missed > bestCost {
			continue
		}
		cost := missed + c.delay(&v.candidates[at], r, now)
		if i >= favoured {
			u := float64(mix(c.spill, v.candidates[at].hash)>>11) / (1 << 53)
			cost += c.params.SpillPenalty * missed * (1 - u)
		}
		if best >= 0 && cost > bestCost {
			continue
		}
		// Instances break ties differently, or all would send to one target.
		tie := mix(tieSeed, v.candidates[at].hash)
		if best < 0 || cost < bestCost || tie > bestTie {
			best, bestCost, bestTie = at, cost, tie
		}
	}
	return best
}

// missed is the expected time to compute what is not cached, in nanoseconds.
func (c *Chooser) missed(at int32, r *Request) float64 {
	tokens := float64(r.PromptTokens) - c.prior[at]*float64(r.PieceTokens)
	return max(0, tokens) * float64(c.params.PrefillPerToken)
}

// meanSmoothing is the weight of the latest request in the means.
const meanSmoothing = 0.02

// commit notes the request on its target.
func (c *Chooser) commit(v *View, at int32, r *Request, now time.Time) {
	cand := &v.candidates[at]
	s, w := &c.states[cand.slot], &c.work[cand.slot]
	if w.special {
		s.breaker.sent(now)
		w.special = s.breaker.openFor > 0 || c.ramp(s, now) < 1
	}
	if r.PromptTokens > 0 {
		c.learn(float64(len(r.Digests)), c.missed(at, r))
	}
	c.index.RecordRouted(cand.slot, r.Digests, now)
}

func (c *Chooser) learn(pieces, work float64) {
	if c.meanPieces == 0 {
		c.meanPieces, c.meanWork = pieces, work
		return
	}
	c.meanPieces += meanSmoothing * (pieces - c.meanPieces)
	c.meanWork += meanSmoothing * (work - c.meanWork)
}

// Result says how a request ended on its target.
type Result int

// Results.
const (
	Succeeded Result = iota
	Failed
	Inconclusive // ended for a reason that says nothing about the target
)

// RecordResult tells how a request ended on its target.
func (c *Chooser) RecordResult(t *target.Target, result Result, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	slot, ok := c.slots[t.ID]
	if !ok || c.states[slot].incarnation != t.Incarnation {
		return
	}
	s := &c.states[slot]
	switch result {
	case Succeeded:
		if s.breaker.succeeded(now) {
			s.freshSince = now
		}
	case Failed:
		jitter := float64(mix(c.seed, xxhash.Sum64String(t.ID))>>11) / (1 << 53)
		if s.breaker.failed(now, &c.params, jitter) {
			c.index.Invalidate(slot)
			c.work[slot].special = true
		}
	default:
		s.breaker.release()
	}
}
