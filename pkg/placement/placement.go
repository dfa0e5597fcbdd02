// Package placement decides which target of a pool gets a request. It does no
// I/O; the caller passes the time in.
//
// Instances agree on placement without exchanging messages: requests with the
// same shared prompt parts prefer targets in the order of a rendezvous hash,
// which is the same on all instances. A request goes to a target further down
// that order if queueing, memory or model weights make it cheaper there.
package placement

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// Part is a section of a prompt that engines cache as a unit.
type Part struct {
	ID     string // equal for equal content
	Tokens int
}

// Request holds the properties of a request that placement depends on.
type Request struct {
	// Parts of the prompt in order. The last one is not shared with other
	// requests.
	Parts           []Part
	PromptTokens    int
	MaxOutputTokens int // upper bound of the output
	// BodyBytes is the size of the body. Its transfer to another zone has a
	// cost.
	BodyBytes int
	// NewestVersion is the weight version that the model's targets should have;
	// empty if none is configured.
	NewestVersion string
	// CacheSalt keeps requests with different salts from sharing cached parts.
	CacheSalt string
	// SpreadKey replaces the shared parts as hash key of a request without any,
	// so that such requests do not all prefer the same target.
	SpreadKey string
}

// Params are the costs and thresholds that placement compares targets by.
type Params struct {
	// PrefillPerToken is the time that an engine takes per uncached prompt
	// token. Engines are specified at 92 tokens per millisecond.
	PrefillPerToken time.Duration
	// RunningRequestCost is the delay by each running request of this instance.
	// Engines are specified at 0.12 ms per decoding step and request.
	RunningRequestCost time.Duration
	// RemoteRequestCost is the delay by each request of another instance. Its
	// progress is unknown, so it covers part of a prefill besides the decoding.
	RemoteRequestCost time.Duration
	// WaitingRequestCost is added to RemoteRequestCost for each request that is
	// queued at the target, since its whole prefill is outstanding.
	WaitingRequestCost time.Duration
	// FetchCost and FetchPerToken are the costs of fetching cached parts from
	// another target: the transfer time on the engines' links, and the price of
	// the transfer relative to that of a late answer.
	FetchCost, FetchPerToken time.Duration
	// ServiceTime is the mean duration of a request to a plain service. It is
	// also the cost of each request above the slots of any target.
	ServiceTime time.Duration
	// ZoneCost is the cost of a target in another zone, and ZoneCostPerByte
	// that of each byte of the body sent there: the one-way delay between
	// zones, and the price of traffic between them relative to that of a late
	// answer.
	ZoneCost        time.Duration
	ZoneCostPerByte time.Duration
	// OldWeightsCost is the cost of a target whose weights are not the newest.
	// A request on old weights is worth a fifth less.
	OldWeightsCost time.Duration
	// AboutToLoadCost is the cost of a target that is loading weights or will
	// be ordered to next. It may refuse the request, but it is idle and so
	// still worth a try when the other targets are overloaded.
	AboutToLoadCost time.Duration
	// FailureCost is the cost of each recent failure of a target.
	FailureCost time.Duration
	// FailureDecay is the time after which a failure counts for 1/e.
	FailureDecay time.Duration
	// MemoryThreshold is the fraction of an engine's memory up to which
	// requests do not slow each other down by evicting cached parts.
	MemoryThreshold float64
	// MemoryCost is the cost of a target whose memory is full. It grows
	// linearly from zero at MemoryThreshold.
	MemoryCost time.Duration
	// CacheLifetime is the time that an unused part is expected to stay cached.
	CacheLifetime time.Duration
	// MaxLoadAge is the age from which a target's load report is ignored as
	// stale.
	MaxLoadAge time.Duration
	// InitialOpen is the time that a target's circuit breaker stays open after
	// a failed connection. It doubles with each further one, up to MaxOpen.
	InitialOpen, MaxOpen time.Duration
}

// DefaultParams returns the parameters for the engines in use.
func DefaultParams() Params {
	return Params{
		PrefillPerToken:    11 * time.Microsecond,
		RunningRequestCost: 1200 * time.Microsecond,
		RemoteRequestCost:  8 * time.Millisecond,
		WaitingRequestCost: 25 * time.Millisecond,
		FetchCost:          5 * time.Millisecond,
		FetchPerToken:      25 * time.Microsecond,
		ServiceTime:        20 * time.Millisecond,
		ZoneCost:           time.Millisecond,
		ZoneCostPerByte:    100 * time.Nanosecond,
		OldWeightsCost:     120 * time.Millisecond,
		AboutToLoadCost:    600 * time.Millisecond,
		FailureCost:        60 * time.Millisecond,
		FailureDecay:       3 * time.Second,
		MemoryThreshold:    0.8,
		MemoryCost:         400 * time.Millisecond,
		CacheLifetime:      20 * time.Second,
		MaxLoadAge:         1200 * time.Millisecond,
		InitialOpen:        250 * time.Millisecond,
		MaxOpen:            3 * time.Second,
	}
}

// Placer chooses targets and tracks which parts it sent to each of them, their
// failures and circuit breakers. It is safe for concurrent use.
type Placer struct {
	Params Params
	Zone   string // of this instance

	mu      sync.Mutex
	pools   map[string]*poolState              // by name
	scratch affinityTargets                    // reused by each Pick
	usable  []candidate                        // reused by each Pick
	states  map[*target.LiveState]*targetState // by target and incarnation
	parts   []uint64                           // hashes of the prompt's parts; reused by each call
	tracked int                                // cached parts of all states
}

// targetState is what a placer tracks about one incarnation of a target.
type targetState struct {
	key              string // Target.Key
	id, pool         string // of the target
	idHash           uint64
	version          string // weight version that versionHash was computed from
	versionHash      uint64
	cached           map[uint64]time.Time // last use by hash of part and weight version
	failures         float64              // decayed count as of failedAt
	failedAt         time.Time
	openUntil        time.Time     // circuit open until then
	openFor          time.Duration // duration of the last open period
	busyUntil        time.Time     // refuses work until about then
	pendingPrefill   float64       // uncached tokens of own requests without a first event
	inFlightAtReport int64         // own requests in flight at the newest load report
	reportedAt       time.Time     // of the newest load report
	slowness         float64       // step time relative to that of the pool's targets; 1 if unknown
	homeWeight       float64       // in the choice of prompts' homes
}

// New returns a placer for an instance in the given zone.
func New(params Params, zone string) *Placer {
	return &Placer{Params: params, Zone: zone, states: make(map[*target.LiveState]*targetState), pools: make(map[string]*poolState)}
}

// stateOf returns the state of a target's incarnation and creates it if needed.
func (p *Placer) stateOf(t *target.Target) *targetState {
	s := p.states[t.Live]
	if s == nil {
		s = &targetState{key: t.Key(), idHash: xxhash.Sum64String(t.ID), cached: make(map[uint64]time.Time), slowness: 1, homeWeight: 1, id: t.ID, pool: t.Pool}
		p.states[t.Live] = s
	}
	if s.version != t.WeightVersion {
		s.version, s.versionHash = t.WeightVersion, xxhash.Sum64String(t.WeightVersion)
	}
	return s
}

// Choice is a target for a request and the estimates that led to it.
type Choice struct {
	Target         *target.Target
	CacheSource    *target.Target // another target that the missing cached parts can be fetched from; nil if none
	SourceIsHome   bool           // CacheSource is expected to have all shared parts, as the home of the prompt
	UncachedTokens int            // prompt tokens that the target is expected to prefill
	Cost           time.Duration  // Delay, plus other costs expressed as time
	// Delay is the expected time until the first event. Admission compares it with the
	// objective of the caller.
	Delay  time.Duration
	IsHome bool // Target is the first of its weight version in the order of the prompt's hash
}

// affinityTargets are the targets that are expected to have a prompt's shared
// parts cached.
type affinityTargets struct {
	// home is the first target in the order of the prompt's hash, regardless of
	// its weights and of whether it is about to load others.
	home     *target.Target
	homeHash uint64
	// keepHome is set while the prompt has not yet migrated to the newest
	// weights.
	keepHome bool
	groups   []versionGroup
}

// candidate is a target that a request may be sent to.
type candidate struct {
	target *target.Target
	state  *targetState
	hash   uint64 // of the prompt and the target; the highest one is first in order
}

// versionGroup is the first and second choice among the candidates with the
// same weights. Only these can share cached parts.
type versionGroup struct {
	version               string
	first, second         *target.Target
	firstHash, secondHash uint64
}

// Pick returns the candidate with the lowest cost. Leaving targets and those
// for which excluded returns true are skipped; excluded may be nil. Target of
// the result is nil if no candidate is left.
func (p *Placer) Pick(candidates []*target.Target, r *Request, excluded func(*target.Target) bool, now time.Time) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	affinity := xxhash.Sum64String(affinityKey(r))
	p.hashParts(r)
	pool := p.poolOf(candidates, now)
	p.listUsable(candidates, affinity, pool)
	homes := p.findHomes(affinity, r.NewestVersion, now)
	if pool.statesPace && homes.home != nil && len(r.Parts) > 1 {
		pool.recordHome(affinity, p.stateOf(homes.home))
	}
	best := Choice{Cost: math.MaxInt64}
	// The second pass admits targets with an open circuit or a recent refusal, and
	// those that another instance says are leaving.
	for pass := 0; pass < 2 && best.Target == nil; pass++ {
		for i := range p.usable {
			c := &p.usable[i]
			t, s := c.target, c.state
			if excluded != nil && excluded(t) {
				continue
			}
			if pass == 0 && (now.Before(s.openUntil) || now.Before(s.busyUntil) || t.Live.HasLeavingHint()) {
				continue
			}
			choice := p.evaluate(t, s, homes, r, pool, now)
			choice.Cost += time.Duration(float64(maxTieBreak) * (1 - toUnit(c.hash)))
			if choice.Cost < best.Cost {
				best = choice
			}
		}
	}
	return best
}

// listUsable sets p.usable to the candidates that do not leave.
func (p *Placer) listUsable(candidates []*target.Target, affinity uint64, pool *poolState) {
	p.usable = p.usable[:0]
	for _, t := range candidates {
		if t.Leaving {
			continue
		}
		s := p.stateOf(t)
		hash := mix(affinity, s.idHash)
		if pool.statesPace {
			hash = weightedHash(hash, s.homeWeight)
		}
		p.usable = append(p.usable, candidate{target: t, state: s, hash: hash})
	}
}

// migrationLead is how much faster prompts migrate to new weights than targets
// load them. Targets are less than half utilised, so those with new weights can
// take twice their share while they prefill each prompt for the first time.
const migrationLead = 2

// findHomes returns the home of the prompt and, for each weight version, the
// target that should cache its shared parts and the one that takes over from
// it.
//
// During a rollout of new weights prompts migrate one by one, in the order of a
// hash that is the same on all instances. If all migrated at once, the first
// targets with new weights would have to prefill all of them and be overloaded.
func (p *Placer) findHomes(affinity uint64, newest string, now time.Time) *affinityTargets {
	found := &p.scratch
	*found = affinityTargets{groups: found.groups[:0]}
	engines, ready := 0, 0
	for i := range p.usable {
		t, s, h := p.usable[i].target, p.usable[i].state, p.usable[i].hash
		engines++
		if t.WeightVersion == newest {
			ready++
		}
		if now.Before(s.openUntil) || t.Live.HasLeavingHint() {
			continue
		}
		if found.home == nil || h > found.homeHash {
			found.home, found.homeHash = t, h
		}
		if t.AboutToLoad {
			continue
		}
		g := groupOf(found.groups, t)
		if g == nil {
			found.groups = append(found.groups, versionGroup{version: t.WeightVersion})
			g = &found.groups[len(found.groups)-1]
		}
		switch {
		case g.first == nil || h > g.firstHash:
			g.second, g.secondHash = g.first, g.firstHash
			g.first, g.firstHash = t, h
		case g.second == nil || h > g.secondHash:
			g.second, g.secondHash = t, h
		}
	}
	if h := found.home; h != nil && newest != "" && h.WeightVersion != newest && !h.AboutToLoad {
		found.keepHome = toUnit(mix(affinity, migrationSeed)) >= migrationLead*float64(ready)/float64(engines)
	}
	return found
}

// migrationSeed makes the order in which prompts migrate independent of the
// order that assigns their homes.
const migrationSeed = 0x7475726e

// groupOf returns the group with the weights of a target, or nil.
func groupOf(groups []versionGroup, t *target.Target) *versionGroup {
	for i := range groups {
		if groups[i].version == t.WeightVersion {
			return &groups[i]
		}
	}
	return nil
}

// evaluate estimates the cost of a request on a target.
func (p *Placer) evaluate(t *target.Target, s *targetState, homes *affinityTargets, r *Request, pool *poolState, now time.Time) Choice {
	choice := Choice{Target: t, UncachedTokens: r.PromptTokens}
	fetched := 0
	if g := groupOf(homes.groups, t); t.IsEngine && g != nil && len(r.Parts) > 1 {
		shared, cached := p.cachedTokens(s, r, now)
		home, source := g.first, g.second
		if h := homes.home; h.WeightVersion == t.WeightVersion && h != home {
			source = h // has the parts cached until it loads other weights
			choice.SourceIsHome = true
		}
		choice.IsHome = t == home
		switch {
		case cached == shared:
			choice.UncachedTokens -= cached
		case homes.keepHome && t.WeightVersion != homes.home.WeightVersion:
			// The prompt has not migrated to these weights: nothing is cached.
		case choice.IsHome:
			choice.CacheSource = source
			choice.UncachedTokens -= shared
		default:
			choice.CacheSource, choice.SourceIsHome = home, true
			choice.UncachedTokens -= shared
			fetched = shared - cached
		}
	}
	others, waiting := p.othersAt(t, s, now)
	if pool.statesPace {
		choice.Delay = p.learnedDelay(t, s, pool, choice.UncachedTokens, others, waiting, now)
	} else {
		choice.Delay = p.delay(t, s, choice.UncachedTokens, others, waiting)
	}
	choice.Cost = choice.Delay + p.otherCosts(t, s, r, others, now)
	if fetched > 0 {
		choice.Delay += p.Params.FetchCost + time.Duration(missedFetchShare*float64(fetched)*float64(pool.prefillTime(&p.Params)))
		choice.Cost += p.Params.FetchCost + time.Duration(fetched)*p.fetchPerToken(pool)
	}
	if r.NewestVersion != "" && t.WeightVersion != r.NewestVersion && !homes.keepHome {
		choice.Cost += p.Params.OldWeightsCost
	}
	return choice
}

// missedFetchShare is the share of the parts fetched from a home that it is expected to
// lack, so that they are computed after all.
const missedFetchShare = 0.5

// maxTieBreak is the largest cost that is added by hash order, so that a prompt
// that spills from its home goes to the same next target on all instances.
const maxTieBreak = 8 * time.Millisecond

// cachedTokens returns the number of tokens in the shared parts, and how many
// of them are in leading parts that this instance recently sent to the target.
func (p *Placer) cachedTokens(s *targetState, r *Request, now time.Time) (shared, cached int) {
	known := len(s.cached) > 0
	for i, part := range r.Parts[:len(r.Parts)-1] {
		shared += part.Tokens
		if !known {
			continue
		}
		at, ok := s.cached[mix(p.parts[i], s.versionHash)]
		known = ok && now.Sub(at) < p.Params.CacheLifetime
		if known {
			cached += part.Tokens
		}
	}
	return shared, cached
}

// othersAt returns the requests of other instances at a target by its newest load
// report, and how many of them wait in its queue.
func (p *Placer) othersAt(t *target.Target, s *targetState, now time.Time) (others, waiting int64) {
	load, at := t.NewestLoad()
	if now.Sub(at) >= p.Params.MaxLoadAge {
		return 0, 0
	}
	if at != s.reportedAt {
		s.reportedAt, s.inFlightAtReport = at, t.Live.InFlight.Load()
	}
	others = max(0, int64(load.Running+load.Waiting)-s.inFlightAtReport)
	return others, min(others, int64(load.Waiting))
}

// delay returns the expected time until the first event of a request with the given
// number of uncached tokens, without a transfer of cached parts. others and waiting are from
// othersAt.
func (p *Placer) delay(t *target.Target, s *targetState, uncached int, others, waiting int64) time.Duration {
	params := &p.Params
	running := t.Live.InFlight.Load()
	busy := running + others
	var delay time.Duration
	if t.IsEngine {
		delay += time.Duration(float64(uncached)+s.pendingPrefill) * params.PrefillPerToken
		delay += time.Duration(running)*params.RunningRequestCost + time.Duration(others)*params.RemoteRequestCost + time.Duration(waiting)*params.WaitingRequestCost
	} else {
		delay += time.Duration(busy) * params.ServiceTime / time.Duration(max(1, t.Slots))
	}
	if over := busy + 1 - int64(t.Slots); t.Slots > 0 && over > 0 {
		delay += time.Duration(over) * params.ServiceTime
	}
	return delay + p.zoneDelay(t)
}

func (p *Placer) zoneDelay(t *target.Target) time.Duration {
	if t.Zone == p.Zone {
		return 0
	}
	return p.Params.ZoneCost
}

// otherCosts returns the costs of memory, traffic between zones, loads and recent
// failures, expressed as time.
func (p *Placer) otherCosts(t *target.Target, s *targetState, r *Request, others int64, now time.Time) time.Duration {
	params := &p.Params
	var cost time.Duration
	if t.IsEngine {
		cost += p.memoryCost(t, r, others)
	}
	if t.AboutToLoad {
		cost += params.AboutToLoadCost
	}
	if t.Zone != p.Zone {
		cost += time.Duration(r.BodyBytes) * params.ZoneCostPerByte
	}
	return cost + time.Duration(s.recentFailures(params, now)*float64(params.FailureCost))
}

// assumedRequestTokens is the memory, in tokens, that a request of another
// instance is assumed to use; its size is unknown.
const assumedRequestTokens = 5000

// memoryCost returns the cost of running a request on an engine whose memory
// would be filled beyond MemoryThreshold. others is the number of requests of
// other instances there.
func (p *Placer) memoryCost(t *target.Target, r *Request, others int64) time.Duration {
	if t.CacheTokens == 0 {
		return 0
	}
	used := float64(t.Live.InFlightTokens.Load()+others*assumedRequestTokens) + float64(r.PromptTokens+r.MaxOutputTokens)
	over := used/float64(t.CacheTokens) - p.Params.MemoryThreshold
	if over <= 0 {
		return 0
	}
	return time.Duration(over / (1 - p.Params.MemoryThreshold) * float64(p.Params.MemoryCost))
}

// recentFailures returns the number of failures, each decayed by its age.
func (s *targetState) recentFailures(params *Params, now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp(-float64(now.Sub(s.failedAt))/float64(params.FailureDecay))
}

// RecordSent records that a request was sent to a target, which has to prefill
// the given number of uncached tokens. RecordFirstEvent must follow.
func (p *Placer) RecordSent(t *target.Target, r *Request, uncached int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateOf(t)
	s.pendingPrefill += float64(uncached)
	p.hashParts(r)
	before := len(s.cached)
	for _, part := range p.parts {
		s.cached[mix(part, s.versionHash)] = now
	}
	p.tracked += len(s.cached) - before
	if len(s.cached) > maxTrackedParts {
		p.evictParts(s, maxTrackedParts, now)
	}
	if p.tracked > maxTrackedTotal {
		for _, other := range p.states {
			p.evictParts(other, maxTrackedTotal/len(p.states), now)
		}
	}
}

const (
	// maxTrackedParts bounds the number of cached parts tracked for each target, and
	// maxTrackedTotal that for all targets, which take about 1.5 MB.
	maxTrackedParts = 2000
	maxTrackedTotal = 30_000
)

// evictParts removes the parts of a target that were not used for half the lifetime, or all
// if more than limit are left.
func (p *Placer) evictParts(s *targetState, limit int, now time.Time) {
	p.tracked -= len(s.cached)
	kept := make(map[uint64]time.Time) // a map that is emptied keeps its size
	for key, at := range s.cached {
		if now.Sub(at) <= p.Params.CacheLifetime/2 {
			kept[key] = at
		}
	}
	if len(kept) > limit {
		kept = make(map[uint64]time.Time)
	}
	s.cached = kept
	p.tracked += len(kept)
}

// RecordFirstEvent records that a request got its first event, or ended without
// one: its prefill is done. uncached is the number passed to RecordSent.
func (p *Placer) RecordFirstEvent(t *target.Target, uncached int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateOf(t)
	s.pendingPrefill = max(0, s.pendingPrefill-float64(uncached))
}

// RecordSuccess records a complete response and closes the circuit.
func (p *Placer) RecordSuccess(t *target.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateOf(t)
	s.openFor, s.openUntil = 0, time.Time{}
}

// RecordFailure records a response that was missing or incomplete. It raises
// the cost of the target for a while (FailureCost, FailureDecay).
func (p *Placer) RecordFailure(t *target.Target, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateOf(t)
	s.failures = s.recentFailures(&p.Params, now) + 1
	s.failedAt = now
}

// RecordConnectFailure records a failed connection and opens the circuit. It
// returns the time for which the circuit stays open.
func (p *Placer) RecordConnectFailure(t *target.Target, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateOf(t)
	if now.Before(s.openUntil) {
		return s.openUntil.Sub(now)
	}
	s.openFor = min(max(2*s.openFor, p.Params.InitialOpen), p.Params.MaxOpen)
	s.openUntil = now.Add(s.openFor)
	return s.openFor
}

// RecordBusy records that a target refused a request and is expected to refuse
// others for d.
func (p *Placer) RecordBusy(t *target.Target, d time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stateOf(t).busyUntil = now.Add(d)
}

// Avoids reports whether a target gets requests only if there is no other: its circuit is
// open, it refused a request lately, or it is said to leave.
func (p *Placer) Avoids(t *target.Target, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.avoids(t, now)
}

func (p *Placer) avoids(t *target.Target, now time.Time) bool {
	s := p.stateOf(t)
	return now.Before(s.openUntil) || now.Before(s.busyUntil) || t.Live.HasLeavingHint()
}

// ForEachUsable calls f for the targets that may get requests and are not avoided. f must
// not call methods of the placer.
func (p *Placer) ForEachUsable(targets []*target.Target, now time.Time, f func(*target.Target)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range targets {
		if !t.Leaving && !p.avoids(t, now) {
			f(t)
		}
	}
}

// Retain removes the state of all targets for whose key (Target.Key) keep
// returns false.
func (p *Placer) Retain(keep func(key string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for live, s := range p.states {
		if !keep(s.key) {
			p.tracked -= len(s.cached)
			delete(p.states, live)
		}
	}
	used := make(map[string]bool)
	for _, s := range p.states {
		used[s.pool] = true
	}
	maps.DeleteFunc(p.pools, func(pool string, _ *poolState) bool { return !used[pool] })
}

// affinityKey returns the ID of the last shared part of the prompt, or
// SpreadKey if there is none.
func affinityKey(r *Request) string {
	if len(r.Parts) < 2 {
		return r.SpreadKey
	}
	return r.Parts[len(r.Parts)-2].ID
}

// hashParts sets p.parts to the hashes of the prompt's parts.
func (p *Placer) hashParts(r *Request) {
	salt := xxhash.Sum64String(r.CacheSalt)
	p.parts = p.parts[:0]
	for _, part := range r.Parts {
		p.parts = append(p.parts, mix(salt, xxhash.Sum64String(part.ID))+uint64(part.Tokens))
	}
}

// mix combines two hashes into one (the finaliser of MurmurHash3).
func mix(a, b uint64) uint64 {
	h := a ^ b*0x9e3779b97f4a7c15
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// toUnit maps a hash to [0, 1).
func toUnit(h uint64) float64 { return float64(h>>11) / (1 << 53) }
