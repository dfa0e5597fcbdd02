// Package placement decides which target of a pool gets a request. It does no
// I/O; the caller passes the time in.
//
// Instances do not talk about placement. They agree because requests with the
// same shared prompt parts prefer targets in the order of a rendezvous hash,
// which is the same everywhere. A request leaves that order where queueing,
// memory or weights make another target finish it sooner.
package placement

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Request is what placement needs to know of a request.
type Request struct {
	// Parts of the prompt in order. The last one belongs to the request itself.
	Parts           []Part
	PromptTokens    int // of the prompt
	MaxOutputTokens int // longest answer, in tokens
	// BodyBytes of the body, which count where they cross zones.
	BodyBytes int
	// NewestVersion of the model's weights; empty if there is none.
	NewestVersion string
	// CacheSalt separates cached parts that must not be shared.
	CacheSalt string
	// SpreadKey orders the targets of a request without shared parts, so that such
	// requests do not all prefer the same one.
	SpreadKey string
}

// Params are the weights of a choice.
type Params struct {
	// PrefillPerToken is the time an engine takes per prompt token that it has
	// not cached. Source: the engines' sheet, 92 tokens per millisecond.
	PrefillPerToken time.Duration
	// RunningRequestCost is how much a running request slows each token of another.
	// Source: the engines' sheet, 0.12 ms per step and request.
	RunningRequestCost time.Duration
	// RemoteRequestCost is the delay by a request of another instance, whose
	// progress is not known: part of a prompt to be read, and a running request.
	RemoteRequestCost time.Duration
	// WaitingRequestCost is the further delay by a request that waits at the target:
	// its whole prompt is yet to be read.
	WaitingRequestCost time.Duration
	// FetchCost and FetchPerToken are the cost of fetching cached parts from
	// another target. Source: the engines' links, and the price of moved memory
	// against that of a late answer.
	FetchCost, FetchPerToken time.Duration
	// ServiceTime is the time that a request of a plain service takes.
	ServiceTime time.Duration
	// ZoneCost is the cost of a target in another zone, and ZoneCostPerByte
	// that of the bytes that cross. Source: the one-way delay between zones and
	// the price of traffic between them against that of a late answer.
	ZoneCost        time.Duration
	ZoneCostPerByte time.Duration
	// OldWeightsCost is the cost of a target whose weights are not the newest. A
	// request on old weights is worth a fifth less.
	OldWeightsCost time.Duration
	// AboutToLoadCost is the cost of a target that loads weights or is next to. It
	// may refuse the request, but it is idle while the others are overloaded.
	AboutToLoadCost time.Duration
	// FailureCost is the cost for each recent failure of a target.
	FailureCost time.Duration
	// FailureDecay is the time after which a failure counts for 1/e.
	FailureDecay time.Duration
	// MemoryThreshold is the part of an engine's memory up to which requests do
	// not slow each other by displacing cached parts.
	MemoryThreshold float64
	// MemoryCost is the cost of a target whose memory is full.
	MemoryCost time.Duration
	// CacheLifetime is how long a part is expected to stay cached unused.
	CacheLifetime time.Duration
	// MaxLoadAge is the age up to which a target's report of its load counts.
	MaxLoadAge time.Duration
	// InitialOpen is how long a target is passed over after a failed connection.
	// It doubles up to MaxOpen with each further one.
	InitialOpen, MaxOpen time.Duration
}

// DefaultParams returns the parameters of the engines in use.
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

// Placer chooses targets and remembers what it sent where. It is safe for
// concurrent use.
type Placer struct {
	Params Params
	Zone   string

	mu      sync.Mutex
	scratch homes
	states  map[*target.LiveState]*state // one for each target and incarnation
	parts   []uint64                     // scratch: hashes of the prompt's parts
}

// state is what a placer remembers of one target and incarnation.
type state struct {
	key         string // of the target
	idHash      uint64
	version     string // of the weights that versionHash is of
	versionHash uint64
	cached      map[uint64]time.Time // part to its last use
	failures    float64
	failedAt    time.Time
	openUntil   time.Time
	openFor     time.Duration
	busyUntil   time.Time // it loads weights until about then
	prefill     float64   // own prompt tokens sent whose first event has not come
	ownAtReport int64
	reportedAt  time.Time
}

// New returns a placer for an instance in a zone.
func New(params Params, zone string) *Placer {
	return &Placer{Params: params, Zone: zone, states: make(map[*target.LiveState]*state)}
}

func (p *Placer) state(t *target.Target) *state {
	s := p.states[t.Live]
	if s == nil {
		s = &state{key: t.Key(), idHash: xxhash.Sum64String(t.ID), cached: make(map[uint64]time.Time)}
		p.states[t.Live] = s
	}
	if s.version != t.WeightVersion {
		s.version, s.versionHash = t.WeightVersion, xxhash.Sum64String(t.WeightVersion)
	}
	return s
}

// Choice is a chosen target and what decided it.
type Choice struct {
	Target         *target.Target
	CacheSource    *target.Target // keeps cached parts that the target can fetch; may be nil
	UncachedTokens int            // prompt tokens that the target is expected to read
	Cost           time.Duration  // expected delay, with costs of other kinds in it
	IsHome         bool           // the target is the first in the order of the prompt's hash
}

// homes says where the cached parts of a prompt are expected.
type homes struct {
	// home is the first target in the order of the prompt's hash, whatever its
	// weights and also while it is about to load others.
	home     *target.Target
	homeHash uint64
	// stay says that the prompt keeps to its home although newer weights are
	// named: its turn to move has not come.
	stay   bool
	groups []group
}

// group is the part of the candidates that have the same weights and so can
// share cached parts.
type group struct {
	version               string
	first, second         *target.Target
	firstHash, secondHash uint64
}

// Pick returns the cheapest target, or a Choice without a target if none can
// take the request. Targets for which excluded returns true are passed over.
func (p *Placer) Pick(candidates []*target.Target, r *Request, excluded func(*target.Target) bool, now time.Time) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	affinity := xxhash.Sum64String(affinityKey(r))
	p.hashParts(r)
	homes := p.homes(candidates, affinity, r.NewestVersion, now)
	best := Choice{Cost: math.MaxInt64}
	// Targets with an open circuit count only while no other is left.
	for pass := 0; pass < 2 && best.Target == nil; pass++ {
		for _, t := range candidates {
			if t.Leaving || excluded != nil && excluded(t) {
				continue
			}
			s := p.state(t)
			if pass == 0 && (now.Before(s.openUntil) || now.Before(s.busyUntil)) {
				continue
			}
			choice := p.consider(t, s, homes, r, now)
			choice.Cost += time.Duration(float64(tieBreak) * (1 - unit(mix(affinity, s.idHash))))
			if choice.Cost < best.Cost {
				best = choice
			}
		}
	}
	return best
}

// moveAhead is how much faster prompts move to new weights than targets load
// them. Source: targets are less than half busy, so those that are ready can take
// on twice their part while they read each prompt for the first time.
const moveAhead = 2

// homes finds the home of the prompt, and the first two targets of each weight
// version: where its shared parts are read, and what takes over.
//
// When weights are named, prompts move one by one, in the order of a hash that
// is the same on all instances. If all moved to the first targets that are
// ready, each of these would read them all at once, and all would be late.
func (p *Placer) homes(candidates []*target.Target, affinity uint64, newest string, now time.Time) *homes {
	found := &p.scratch
	*found = homes{groups: found.groups[:0]}
	engines, ready := 0, 0
	for _, t := range candidates {
		s := p.state(t)
		if t.Leaving {
			continue
		}
		engines++
		if t.WeightVersion == newest {
			ready++
		}
		if now.Before(s.openUntil) {
			continue
		}
		h := mix(affinity, s.idHash)
		if found.home == nil || h > found.homeHash {
			found.home, found.homeHash = t, h
		}
		if t.AboutToLoad {
			continue
		}
		g := groupOf(found.groups, t)
		if g == nil {
			found.groups = append(found.groups, group{version: t.WeightVersion})
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
		found.stay = unit(mix(affinity, turnSeed)) >= moveAhead*float64(ready)/float64(engines)
	}
	return found
}

// turnSeed separates the order in which prompts move from that of their homes.
const turnSeed = 0x7475726e

func groupOf(groups []group, t *target.Target) *group {
	for i := range groups {
		if groups[i].version == t.WeightVersion {
			return &groups[i]
		}
	}
	return nil
}

// consider works out what a request costs on a target.
func (p *Placer) consider(t *target.Target, s *state, homes *homes, r *Request, now time.Time) Choice {
	choice := Choice{Target: t, UncachedTokens: r.PromptTokens}
	fetched := 0
	if g := groupOf(homes.groups, t); t.IsEngine && g != nil && len(r.Parts) > 1 {
		shared, cached := p.cachedTokens(s, r, now)
		home, source := g.first, g.second
		if h := homes.home; h.WeightVersion == t.WeightVersion && h != home {
			source = h // it has the parts until it loads
		}
		choice.IsHome = t == home
		switch {
		case cached == shared:
			choice.UncachedTokens -= cached
		case homes.stay && t.WeightVersion != homes.home.WeightVersion:
			// Nothing has been read there yet.
		case choice.IsHome:
			choice.CacheSource = source
			choice.UncachedTokens -= shared
		default:
			choice.CacheSource = home
			choice.UncachedTokens -= shared
			fetched = shared - cached
		}
	}
	choice.Cost = p.cost(t, s, r, choice.UncachedTokens, now)
	if fetched > 0 {
		choice.Cost += p.Params.FetchCost + time.Duration(fetched)*p.Params.FetchPerToken
	}
	if r.NewestVersion != "" && t.WeightVersion != r.NewestVersion && !homes.stay {
		choice.Cost += p.Params.OldWeightsCost
	}
	return choice
}

// tieBreak is the largest cost that the order of the hash itself adds, so that
// a prompt that leaves its first target goes to the same second one everywhere.
const tieBreak = 8 * time.Millisecond

// cachedTokens returns the tokens of the shared parts, and how many of them
// this instance knows to be cached on the target.
func (p *Placer) cachedTokens(s *state, r *Request, now time.Time) (shared, cached int) {
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

func (p *Placer) cost(t *target.Target, s *state, r *Request, missing int, now time.Time) time.Duration {
	params := &p.Params
	running := t.Live.InFlight.Load()
	others, waiting := int64(0), int64(0)
	if load, at := t.NewestLoad(); now.Sub(at) < params.MaxLoadAge {
		if at != s.reportedAt {
			s.reportedAt, s.ownAtReport = at, running
		}
		others = max(0, int64(load.Running+load.Waiting)-s.ownAtReport)
		waiting = min(others, int64(load.Waiting))
	}
	busy := running + others
	var cost time.Duration
	if t.IsEngine {
		cost += time.Duration(float64(missing)+s.prefill) * params.PrefillPerToken
		cost += time.Duration(running)*params.RunningRequestCost + time.Duration(others)*params.RemoteRequestCost + time.Duration(waiting)*params.WaitingRequestCost
		cost += p.memoryCost(t, r, others)
	} else {
		cost += time.Duration(busy) * params.ServiceTime / time.Duration(max(1, t.Slots))
	}
	if over := busy + 1 - int64(t.Slots); t.Slots > 0 && over > 0 {
		cost += time.Duration(over) * params.ServiceTime
	}
	if t.AboutToLoad {
		cost += params.AboutToLoadCost
	}
	if t.Zone != p.Zone {
		cost += params.ZoneCost + time.Duration(r.BodyBytes)*params.ZoneCostPerByte
	}
	return cost + time.Duration(s.recentFailures(params, now)*float64(params.FailureCost))
}

// meanRequestTokens stands for requests of other instances, whose size is not known.
const meanRequestTokens = 5000

func (p *Placer) memoryCost(t *target.Target, r *Request, others int64) time.Duration {
	if t.CacheTokens == 0 {
		return 0
	}
	used := float64(t.Live.InFlightTokens.Load()+others*meanRequestTokens) + float64(r.PromptTokens+r.MaxOutputTokens)
	over := used/float64(t.CacheTokens) - p.Params.MemoryThreshold
	if over <= 0 {
		return 0
	}
	return time.Duration(over / (1 - p.Params.MemoryThreshold) * float64(p.Params.MemoryCost))
}

func (s *state) recentFailures(params *Params, now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp(-float64(now.Sub(s.failedAt))/float64(params.FailureDecay))
}

// RecordSent notes that a request goes to a target.
func (p *Placer) RecordSent(t *target.Target, r *Request, missing int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(t)
	s.prefill += float64(missing)
	p.hashParts(r)
	for _, part := range p.parts {
		s.cached[mix(part, s.versionHash)] = now
	}
	if len(s.cached) > maxRememberedParts {
		s.forget(now, p.Params.CacheLifetime)
	}
}

// maxRememberedParts bounds the memory for each target.
const maxRememberedParts = 2000

func (s *state) forget(now time.Time, lifetime time.Duration) {
	for key, at := range s.cached {
		if now.Sub(at) > lifetime/2 {
			delete(s.cached, key)
		}
	}
	if len(s.cached) > maxRememberedParts {
		clear(s.cached)
	}
}

// RecordFirstEvent notes that a request that was sent has its first event, or has ended.
func (p *Placer) RecordFirstEvent(t *target.Target, missing int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(t)
	s.prefill = max(0, s.prefill-float64(missing))
}

// RecordSuccess notes a complete answer.
func (p *Placer) RecordSuccess(t *target.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(t)
	s.openFor, s.openUntil = 0, time.Time{}
}

// RecordFailure notes an answer that did not come or did not end.
func (p *Placer) RecordFailure(t *target.Target, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(t)
	s.failures = s.recentFailures(&p.Params, now) + 1
	s.failedAt = now
}

// RecordConnectFailure notes a connection that could not be opened, and returns how long
// the target is passed over.
func (p *Placer) RecordConnectFailure(t *target.Target, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(t)
	if now.Before(s.openUntil) {
		return s.openUntil.Sub(now)
	}
	s.openFor = min(max(2*s.openFor, p.Params.InitialOpen), p.Params.MaxOpen)
	s.openUntil = now.Add(s.openFor)
	return s.openFor
}

// RecordBusy notes that a target refuses work for about d.
func (p *Placer) RecordBusy(t *target.Target, d time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(t).busyUntil = now.Add(d)
}

// Retain forgets targets that keep does not contain.
func (p *Placer) Retain(keep func(key string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for live, s := range p.states {
		if !keep(s.key) {
			delete(p.states, live)
		}
	}
}

// affinityKey names the deepest shared part of the prompt.
func affinityKey(r *Request) string {
	if len(r.Parts) < 2 {
		return r.SpreadKey
	}
	return r.Parts[len(r.Parts)-2].ID
}

// hashParts puts the hashes of the prompt's parts into the scratch space.
func (p *Placer) hashParts(r *Request) {
	salt := xxhash.Sum64String(r.CacheSalt)
	p.parts = p.parts[:0]
	for _, part := range r.Parts {
		p.parts = append(p.parts, mix(salt, xxhash.Sum64String(part.ID))+uint64(part.Tokens))
	}
}

// mix joins two hashes into one whose bits all depend on both.
func mix(a, b uint64) uint64 {
	h := a ^ b*0x9e3779b97f4a7c15
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func unit(h uint64) float64 { return float64(h>>11) / (1 << 53) }
