package choice

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingwheel.example/lacewingwheel/pkg/prefix"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Digests      []uint64 // of the complete pieces of the prompt
	PieceTokens  int      // in each complete piece
	PromptTokens int      // of the prompt
	TargetLimit  int      // requests that a target of the pool runs concurrently
	// QueueWeight overrides Params.QueueWeight unless it is zero.
	QueueWeight float64
}

// Chooser selects targets. It tracks where it sent prefixes, and the circuit
// breaker and slow start of each target. It is safe for concurrent use.
type Chooser struct {
	params Params
	zone   string
	seed   uint64
	index  *prefix.Index

	mu          sync.Mutex
	instances   float64                // that share the traffic
	synced      bool                   // Sync was called with targets
	slots       map[string]prefix.Slot // by target ID
	states      []targetState          // by slot
	loads       []targetLoad           // by slot
	demand      *prefix.RateEstimator
	requests    uint64  // number of calls of Choose
	meanPieces  float64 // of a prompt
	meanPrefill float64 // expected computation of a request, in nanoseconds
	spillDigest uint64  // orders the targets that the current prompt spills to

	// Buffers that are reused by each Choose.
	set            []rankedCandidate
	rates          []float64
	expectedPieces []float64 // cached pieces of the current prompt, by candidate
	matches        []prefix.Match
}

// New returns a chooser for an instance in a zone. The chooser adds its
// requests to the index; the caller may add cache events of the engines.
func New(params Params, instance, zone string, index *prefix.Index) *Chooser {
	return &Chooser{
		params: params, zone: zone, seed: xxhash.Sum64String(instance), index: index, instances: 1,
		slots:  make(map[string]prefix.Slot),
		demand: prefix.NewRateEstimator(params.DemandDecay, params.MaxDigests),
	}
}

// SetInstances sets the number of instances that share the traffic.
func (c *Chooser) SetInstances(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances = float64(max(1, n))
}

// Choose returns the target with the lowest cost, or nil if none can take the
// request. Targets whose ID is in exclude are skipped. The result of the
// request must be passed to RecordResult.
func (c *Chooser) Choose(v *View, r *Request, exclude map[string]bool, now time.Time) *target.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.growBuffers(len(v.candidates))
	set := c.eligible(v, r, exclude, now)
	if len(set) == 0 {
		return nil
	}
	affinityTargets := c.rankAffinityTargets(v, set, r, now)
	c.addIndexMatches(v, r, now)
	best := c.cheapest(v, set, affinityTargets, r, now)
	c.recordChoice(v, best, r, now)
	return v.targets[best]
}

// growBuffers makes room for n candidates.
func (c *Chooser) growBuffers(n int) {
	if len(c.expectedPieces) >= n {
		return
	}
	c.expectedPieces = make([]float64, n)
	c.set = make([]rankedCandidate, n)
}

// lightLoadDivisor divides the limit of a target into the number of requests up
// to which it is never skipped for its load. Otherwise a few requests on one of
// many idle targets would be far above the mean.
const lightLoadDivisor = 4

// eligible returns the candidates that may get the request. If load and slow
// start rule out all of them, these two are ignored. An open circuit is never
// ignored.
func (c *Chooser) eligible(v *View, r *Request, exclude map[string]bool, now time.Time) []rankedCandidate {
	// The mean is taken from the previous choice to save a pass.
	bound := int32(c.params.LoadFactor * float64(v.running+1) / float64(max(1, len(v.candidates))))
	bound = max(bound, int32(r.TargetLimit/lightLoadDivisor))
	set, n, admittedCount, sum := c.set[:len(v.candidates)], 0, 0, 0
	for i := range v.candidates {
		cand := &v.candidates[i]
		load := &c.loads[cand.slot]
		running := int32(cand.live.InFlight.Load()) + load.otherRequests
		sum += int(running)
		if len(exclude) > 0 && exclude[v.targets[i].ID] {
			continue
		}
		admitted := running <= bound
		if load.restricted {
			s := &c.states[cand.slot]
			if !s.breaker.allows(now, &c.params) {
				continue
			}
			admitted = admitted && c.slowStartAllows(cand, s, r, now)
		}
		set[n].index = int32(i)
		if admitted {
			set[n].index, set[admittedCount].index = set[admittedCount].index, int32(i)
			admittedCount++
		}
		n++
	}
	v.running = sum
	if admittedCount > 0 {
		return set[:admittedCount]
	}
	return set[:n]
}

// delay returns the weighted queueing delay of a target plus its zone cost, in
// nanoseconds.
func (c *Chooser) delay(cand *candidate, r *Request, now time.Time) float64 {
	load := &c.loads[cand.slot]
	running := int(cand.live.InFlight.Load()) + int(load.otherRequests)
	wait := float64(max(0, load.busyUntil-now.UnixNano())) + float64(running)*float64(c.params.RunningRequestCost)
	if pending := cand.live.AwaitingFirstToken.Load(); pending > 0 {
		wait += float64(pending) * c.params.PendingWeight * c.meanPrefill
	}
	if over := running + 1 - r.TargetLimit; over > 0 {
		wait += float64(over) * float64(c.params.ServiceTime) / float64(max(1, r.TargetLimit))
	}
	if load.restricted {
		wait /= c.ramp(&c.states[cand.slot], now)
	}
	weight := r.QueueWeight
	if weight == 0 {
		weight = c.params.QueueWeight
	}
	return weight*wait + float64(cand.zoneCost)
}

// minRamp is the fraction of its full share that a target gets at the start of
// slow start.
const minRamp = 0.05

// ramp returns the fraction of its full share that a target gets; 1 outside
// slow start.
func (c *Chooser) ramp(s *targetState, now time.Time) float64 {
	if s.freshSince.IsZero() {
		return 1
	}
	ramp := float64(now.Sub(s.freshSince)) / float64(c.params.SlowStart)
	return min(1, max(ramp, minRamp))
}

// slowStartAllows reports whether a target in slow start may get another
// request. It limits the requests in flight to this instance's part of the
// ramp. If that is less than one request, a hash of the current second selects
// the instances that may send one.
func (c *Chooser) slowStartAllows(cand *candidate, s *targetState, r *Request, now time.Time) bool {
	ramp := c.ramp(s, now)
	if ramp == 1 {
		return true
	}
	allowed := ramp * float64(r.TargetLimit) / c.instances
	draw := float64(mix(c.seed^cand.hash, uint64(now.Unix()))>>11) / (1 << 53)
	return float64(cand.live.InFlight.Load())+draw < allowed
}

// addIndexMatches raises the expected pieces of targets that the prefix index
// has matches for.
func (c *Chooser) addIndexMatches(v *View, r *Request, now time.Time) {
	c.matches = c.index.Lookup(c.matches[:0], r.Digests, now)
	for _, m := range c.matches {
		if int(m.Slot) >= len(v.bySlot) {
			continue
		}
		if at := v.bySlot[m.Slot]; at >= 0 {
			c.expectedPieces[at] = max(c.expectedPieces[at], m.ExpectedPieces)
		}
	}
}

// cheapest returns the index of the candidate with the lowest cost. The
// affinity targets are the first ones of the set.
func (c *Chooser) cheapest(v *View, set []rankedCandidate, affinityTargets int, r *Request, now time.Time) int32 {
	best, bestCost, bestTie := int32(-1), 0.0, uint64(0)
	tieSeed := c.seed + c.requests
	perToken := float64(c.params.PrefillPerToken)
	wholePrompt, piece := float64(r.PromptTokens)*perToken, float64(r.PieceTokens)*perToken
	for i := range set {
		at := set[i].index
		prefill := max(0, wholePrompt-c.expectedPieces[at]*piece)
		if i < affinityTargets {
			prefill *= 1 - c.params.AffinityDiscount
		}
		// This skips the delay of most targets, which have fewer pieces cached
		// than the best one.
		if best >= 0 && prefill > bestCost {
			continue
		}
		cost := prefill + c.delay(&v.candidates[at], r, now)
		if i >= affinityTargets {
			u := float64(mix(c.spillDigest, v.candidates[at].hash)>>11) / (1 << 53)
			cost += c.params.SpillPenalty * prefill * (1 - u)
		}
		if best >= 0 && cost > bestCost {
			continue
		}
		// Ties are broken differently on each instance; otherwise all would
		// choose the same target.
		tie := mix(tieSeed, v.candidates[at].hash)
		if best < 0 || cost < bestCost || tie > bestTie {
			best, bestCost, bestTie = at, cost, tie
		}
	}
	return best
}

// expectedPrefill returns the time to compute the uncached part of a prompt on
// a candidate, in nanoseconds.
func (c *Chooser) expectedPrefill(at int32, r *Request) float64 {
	tokens := float64(r.PromptTokens) - c.expectedPieces[at]*float64(r.PieceTokens)
	return max(0, tokens) * float64(c.params.PrefillPerToken)
}

// meanSmoothing is the weight of the latest request in the moving averages.
const meanSmoothing = 0.02

// recordChoice updates the state for a request that is sent to a candidate.
func (c *Chooser) recordChoice(v *View, at int32, r *Request, now time.Time) {
	cand := &v.candidates[at]
	s, load := &c.states[cand.slot], &c.loads[cand.slot]
	if load.restricted {
		s.breaker.recordSent(now)
		load.restricted = s.breaker.openFor > 0 || c.ramp(s, now) < 1
	}
	if r.PromptTokens > 0 {
		c.updateMeans(float64(len(r.Digests)), c.expectedPrefill(at, r))
	}
	c.index.RecordRouted(cand.slot, r.Digests, now)
}

// updateMeans adds a prompt to the moving averages. prefill is in nanoseconds.
func (c *Chooser) updateMeans(pieces, prefill float64) {
	if c.meanPieces == 0 {
		c.meanPieces, c.meanPrefill = pieces, prefill
		return
	}
	c.meanPieces += meanSmoothing * (pieces - c.meanPieces)
	c.meanPrefill += meanSmoothing * (prefill - c.meanPrefill)
}

// Result is the result of a request, as far as it concerns the health of its
// target.
type Result int

// Results.
const (
	Succeeded Result = iota
	Failed
	Inconclusive // does not depend on the health of the target, such as a cancelled request
)

// RecordResult updates the circuit breaker of a target with the result of a
// request. It has no effect if the target has restarted or is gone.
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
		if s.breaker.recordSuccess(now) {
			s.freshSince = now
		}
	case Failed:
		jitter := float64(mix(c.seed, xxhash.Sum64String(t.ID))>>11) / (1 << 53)
		if s.breaker.recordFailure(now, &c.params, jitter) {
			c.index.Invalidate(slot)
			c.loads[slot].restricted = true
		}
	default:
		s.breaker.releaseProbe()
	}
}
