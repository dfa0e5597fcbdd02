package relay

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/admission"
	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/placement"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// Callers abandon a stream without an event after the longest of minPatience, objectivePatience
// first-event objectives and gapPatience of the route's longest event gaps.
const (
	minPatience       = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
)

// patience returns the time after which callers of a route abandon a stream without an event.
func patience(r *tables.Route) time.Duration {
	return max(minPatience, objectivePatience*r.Objective.FirstToken, gapPatience*r.MaxEventGap)
}

// minCheckInterval is the time between the checks of a request that has waited as long as its
// caller stays, while its pool is half idle.
const minCheckInterval = 20 * time.Millisecond

// maxEarlierWait bounds the time that a caller is taken to have waited before it sent the
// request, which is about that of one return.
const maxEarlierWait = time.Second

// maxReportAge is the age up to which a load report says something about the room at a
// target. Reports between instances are not older.
const maxReportAge = 1200 * time.Millisecond

// Admission holds back or refuses requests for engines that are under contention. Its
// decisions are made by admission.Gate, with one gate for each pool. It is safe for
// concurrent use.
type Admission struct {
	// Expected is set if contention is expected in all pools of engines. Otherwise
	// only those take part whose targets state a pace.
	Expected bool
	// MaxWaiting bounds the requests that wait in a pool's gate.
	MaxWaiting int
	// Usage is the usage of the targets by organisation.
	Usage *admission.Usage

	// InstanceCount returns the number of instances that share the rates.
	InstanceCount func() int

	mu sync.Mutex
	// quotaReturns are the return times of callers that were refused for their rate, by
	// organisation.
	quotaReturns map[string]*admission.ReturnTimes
	gates        map[string]*poolGate
	scales       map[string]poolScale // by pool
}

// QuotaReturnAfter returns when a caller that was refused for its rate should come back: once
// the refill of this instance's part of the rate covers those that were refused before.
// Load pattern: an organisation sends several times its rate, and all that it is refused
// would come back as soon as there may be tokens for one.
func (a *Admission) QuotaReturnAfter(o *tables.Organisation, tokens int64, wait time.Duration) time.Duration {
	now := time.Now()
	rate := o.Rate * a.Usage.Demand(now) / float64(max(1, a.InstanceCount()))
	spacing := time.Duration(float64(tokens) / max(1, rate) * float64(time.Second))
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.quotaReturns == nil {
		a.quotaReturns = make(map[string]*admission.ReturnTimes)
	}
	times := a.quotaReturns[o.Name]
	if times == nil {
		times = &admission.ReturnTimes{}
		a.quotaReturns[o.Name] = times
	}
	return times.Book(wait, spacing, now)
}

// poolGate is the gate of a pool.
type poolGate struct {
	mu   sync.Mutex
	gate *admission.Gate
}

// applies reports whether requests for a pool are admitted by rank. Plain services are
// not: their work is shorter than the time that reports take.
func (a *Admission) applies(pool *tables.Pool, targets []*target.Target) bool {
	if a == nil || pool.Kind != tables.PoolEngine {
		return false
	}
	if a.Expected {
		return true
	}
	for _, t := range targets {
		if t.Live.HasStatedPace() {
			return true
		}
	}
	return false
}

// Configure sets the rates in proportion to which organisations share the targets.
func (a *Admission) Configure(organisations []tables.Organisation) {
	rates := make(map[string]float64, len(organisations))
	for i := range organisations {
		rates[organisations[i].Name] = organisations[i].Rate
	}
	a.mu.Lock()
	maps.DeleteFunc(a.quotaReturns, func(name string, _ *admission.ReturnTimes) bool {
		_, listed := rates[name]
		return !listed
	})
	a.mu.Unlock()
	a.Usage.SetRates(rates)
}

func (a *Admission) gate(pool string) *poolGate {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.gates[pool]
	if g == nil {
		if a.gates == nil {
			a.gates = make(map[string]*poolGate)
		}
		g = &poolGate{gate: admission.NewGate(a.MaxWaiting)}
		a.gates[pool] = g
	}
	return g
}

// Waiting returns the number of waiting requests by kind.
func (a *Admission) Waiting() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := make(map[string]int)
	for _, g := range a.gates {
		g.mu.Lock()
		for kind, n := range g.gate.WaitingByKind() {
			counts[kind] += n
		}
		g.mu.Unlock()
	}
	return counts
}

// caller describes the exchange for its gate.
func (a *Admission) caller(ex *Exchange, now time.Time) admission.Caller {
	c := admission.Caller{
		Kind: ex.Route.Name, Organisation: ex.OrganisationName(), Arrived: firstArrival(ex), LeavesAt: ex.Deadline.Add(-minAttemptTime), Rank: a.rank(ex, now),
	}
	if objective := ex.Route.Objective.FirstToken; objective > 0 {
		c.DueAt = ex.Start.Add(objective)
		if leaves := ex.Start.Add(patience(ex.Route)); ex.Route.StreamsEvents && leaves.Before(c.LeavesAt) {
			c.LeavesAt = leaves
		}
	}
	return c
}

// firstArrival returns when the caller sent its request for the first time, as far as the
// time that it still waits tells: a caller that was refused and comes back waits for what
// is left of the route's time. Others set a short timeout on their first request, so that
// the time before it is bounded.
func firstArrival(ex *Exchange) time.Time {
	if ex.Route.Deadline <= 0 {
		return ex.Start
	}
	first, earliest := ex.Deadline.Add(-ex.Route.Deadline), ex.Start.Add(-maxEarlierWait)
	if first.Before(earliest) {
		return earliest
	}
	return first
}

// rank returns the rank of the exchange.
func (a *Admission) rank(ex *Exchange, now time.Time) admission.Rank {
	r := admission.Rank{Urgency: a.scale(ex).Urgency(organisationPriority(ex.Organisation), ex.Route.Priority)}
	r.IsFirstKind = a.gate(ex.Pool.Name).isMostUrgent(ex.Route.Priority, now)
	r.IsOverShare = ex.Organisation != nil && a.Usage.IsOverShare(ex.Organisation.Name, now)
	r.IsLate = ex.Route.Objective.FirstToken > 0 && now.After(ex.Start.Add(ex.Route.Objective.FirstToken))
	return r
}

// poolScale is the scale of a pool's priorities in a configuration.
type poolScale struct {
	snapshot *tables.Snapshot
	scale    admission.Scale
}

// scale returns the scale of the priorities in the exchange's pool.
func (a *Admission) scale(ex *Exchange) admission.Scale {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known, ok := a.scales[ex.Pool.Name]; ok && known.snapshot == ex.Snapshot {
		return known.scale
	}
	if a.scales == nil {
		a.scales = make(map[string]poolScale)
	}
	known := poolScale{snapshot: ex.Snapshot, scale: newScale(ex.Snapshot.Tables, ex.Pool.Name)}
	a.scales[ex.Pool.Name] = known
	return known.scale
}

func newScale(t *tables.Tables, pool string) admission.Scale {
	organisations := []int{}
	for i := range t.Organisations {
		organisations = append(organisations, organisationPriority(&t.Organisations[i]))
	}
	if len(organisations) == 0 {
		organisations = append(organisations, 0)
	}
	var routes []int
	for i := range t.Routes {
		if t.Routes[i].SendsTo(pool) {
			routes = append(routes, t.Routes[i].Priority)
		}
	}
	return admission.NewScale(organisations, routes)
}

// organisationPriority returns the priority of an organisation. None counts as the most
// urgent, so that only the priorities of routes matter.
func organisationPriority(o *tables.Organisation) int {
	if o == nil || o.Priority == nil {
		return 0
	}
	return *o.Priority
}

// freeRoom returns how many requests of a rank a target has room for. Without a recent
// report its load is unknown, so this instance sends one request at a time.
func freeRoom(r admission.Rank, t *target.Target, now time.Time) int {
	busy, waiting, at := t.EstimateLoad()
	if now.Sub(at) > maxReportAge {
		return 1 - int(t.Live.InFlight.Load())
	}
	return r.Free(t.Slots, busy, waiting)
}

// poolLoad returns the load of the targets of a pool, with the room for a rank.
func (f *ForwardFilter) poolLoad(r admission.Rank, targets []*target.Target, now time.Time) admission.PoolLoad {
	load := admission.PoolLoad{Part: f.Admission.Usage.Demand(now) / float64(max(1, f.InstanceCount()))}
	var ages time.Duration
	reported := 0
	f.Placer.ForEachUsable(targets, now, func(t *target.Target) {
		busy, waiting, at := t.EstimateLoad()
		load.Slots += t.Slots
		load.Busy += busy
		load.FreeRoom += max(0, freeRoom(r, t, now))
		if age := now.Sub(at); age <= maxReportAge {
			load.Waiting += waiting
			if waiting == 0 {
				load.NoQueue++
			}
			ages += age
			reported++
		}
	})
	load.ReportAge = maxReportAge
	if reported > 0 {
		load.ReportAge = ages / time.Duration(reported)
	}
	return load
}

// AdmissionFilter refuses requests that could not be served in ForwardFilter before their
// callers leave. It comes before QuotaFilter, so that they are not charged.
type AdmissionFilter struct {
	Forward *ForwardFilter
}

// Handle implements Filter.
func (a *AdmissionFilter) Handle(ex *Exchange, next Handler) error {
	f, now := a.Forward, time.Now()
	targets := f.Targets.InPool(ex.Pool.Name)
	if !f.Admission.applies(ex.Pool, targets) {
		return next(ex)
	}
	f.Admission.Usage.RecordArrival(now)
	caller := f.Admission.caller(ex, now)
	load := f.poolLoad(caller.Rank, targets, now)
	decision := f.Admission.gate(ex.Pool.Name).preview(caller, load, now)
	if decision.Verdict == admission.Refuse {
		return f.refuse(ex, caller, decision, load)
	}
	return next(ex)
}

// admit chooses a target that has room for the request. It waits as long as none has, and
// returns an error if the caller would leave before. A request that may have run already
// is not held back: its caller cannot be told to come back.
func (f *ForwardFilter) admit(ex *Exchange, r *placement.Request, tried map[string]bool) (placement.Choice, error) {
	a, now := f.Admission, time.Now()
	targets := f.Targets.InPool(ex.Pool.Name)
	ex.isRanked = a.applies(ex.Pool, targets)
	if !ex.isRanked || ex.MayHaveRun {
		return f.pickTarget(ex, r, tried, nil), nil
	}
	caller := a.caller(ex, now)
	g := a.gate(ex.Pool.Name)
	load := f.poolLoad(caller.Rank, targets, now)
	if g.mayPass(&caller, load, now) {
		if choice := f.pickWithRoom(ex, r, tried, caller.Rank, now); choice.Target != nil {
			g.passed(caller.Rank, now)
			return choice, nil
		}
	}
	if !f.canBePlaced(ex, r, tried) {
		return placement.Choice{}, nil
	}
	entry, decision := g.offer(caller, load, now)
	if entry == nil {
		return placement.Choice{}, f.refuse(ex, caller, decision, load)
	}
	defer g.leave(entry)
	f.RequestLog.Metrics.Add("admission_waited", 1)
	placedAt := now // when a target was last known that may take it
	for {
		if !clock.Sleep(ex.Context(), min(clock.Jitter(decision.CheckAfter), untilAfter(caller.LeavesAt))) {
			return placement.Choice{}, f.checkCanStart(ex)
		}
		if err := f.Drain.check(ex); err != nil {
			return placement.Choice{}, err
		}
		now = time.Now()
		caller.Rank = a.rank(ex, now)
		load = f.poolLoad(caller.Rank, f.Targets.InPool(ex.Pool.Name), now)
		switch decision = g.check(entry, caller.Rank, load, now); decision.Verdict {
		case admission.Refuse:
			return placement.Choice{}, f.refuse(ex, caller, decision, load)
		case admission.Try:
			if err := f.recheck(ex, r); err != nil {
				return placement.Choice{}, err
			}
			if choice := f.pickWithRoom(ex, r, tried, caller.Rank, now); choice.Target != nil {
				g.pass(entry, now)
				return choice, nil
			}
			g.skipTargets(entry)
		}
		if now.Sub(placedAt) >= refusalBackoff {
			if !f.canBePlaced(ex, r, tried) {
				return placement.Choice{}, nil
			}
			placedAt = now
		}
	}
}

// untilAfter returns the time until a moment has passed, or the shortest check interval if it has.
func untilAfter(at time.Time) time.Duration {
	if left := time.Until(at) + time.Millisecond; left > time.Millisecond {
		return left
	}
	return minCheckInterval
}

// canBePlaced reports whether a target may take the request once it has room. A request
// that has been refused by all of them would wait in vain.
func (f *ForwardFilter) canBePlaced(ex *Exchange, r *placement.Request, tried map[string]bool) bool {
	candidates, others := ex.versions.Candidates(f.Targets.InPool(ex.Pool.Name))
	return f.pickAmong(ex, r, tried, nil, candidates).Target != nil ||
		len(others) > 0 && f.pickAmong(ex, r, tried, nil, others).Target != nil
}

// recheck repeats for a request that has waited what may have changed meanwhile: its key
// may have been revoked, a part of it quarantined, and newer weights announced.
func (f *ForwardFilter) recheck(ex *Exchange, r *placement.Request) error {
	if err := f.QuarantineFilter.check(ex); err != nil {
		return err
	}
	if r.NewestVersion != "" {
		r.NewestVersion = f.Targets.NewestVersion(ex.Metadata.Model)
	}
	if f.KeyFilter == nil {
		return nil
	}
	return f.KeyFilter.Revalidate(ex)
}

// pickWithRoom chooses among the targets that have room for a rank and that placement does
// not avoid.
func (f *ForwardFilter) pickWithRoom(ex *Exchange, r *placement.Request, tried map[string]bool, rank admission.Rank, now time.Time) placement.Choice {
	choice := f.pickTarget(ex, r, tried, func(t *target.Target) bool { return freeRoom(rank, t, now) > 0 })
	if choice.Target != nil && f.Placer.Avoids(choice.Target, now) {
		return placement.Choice{}
	}
	return choice
}

// refusalFigures are the figures that a refusal was based on.
type refusalFigures struct {
	caller   admission.Caller
	decision admission.Decision
	load     admission.PoolLoad
}

// Error implements error.
func (r *refusalFigures) Error() string {
	return fmt.Sprintf("%s: urgency %d, over share %t, late %t, %d ahead, expected wait %v, service time %v, slots %d, busy %d, waiting at targets %d, targets without a queue %d, free room %d, report age %v, part of the demand %.3f",
		r.decision.Reason, r.caller.Rank.Urgency, r.caller.Rank.IsOverShare, r.caller.Rank.IsLate, r.decision.Ahead,
		r.decision.ExpectedWait.Round(time.Millisecond), r.decision.ServiceTime.Round(time.Millisecond),
		r.load.Slots, r.load.Busy, r.load.Waiting, r.load.NoQueue, r.load.FreeRoom, r.load.ReportAge.Round(time.Millisecond), r.load.Part)
}

// refuse returns the error of a request that is not sent.
func (f *ForwardFilter) refuse(ex *Exchange, c admission.Caller, d admission.Decision, load admission.PoolLoad) error {
	f.RequestLog.Metrics.Add("admission_refused_"+d.Reason, 1)
	err := errNotRun(ex, apierr.CodeQueueFull, http.StatusServiceUnavailable,
		"the targets of the pool are busy for longer than the caller waits", remedyRetry, d.ReturnAfter)
	err.Cause = &refusalFigures{caller: c, decision: d, load: load}
	return err
}

// recordStart records a request that is sent to a target, with the tokens that its quota is
// charged.
func (a *Admission) recordStart(ex *Exchange) {
	if ex.isRanked && ex.Organisation != nil {
		a.Usage.Record(ex.Organisation.Name, requestTokens(ex), time.Now())
	}
}

// recordNotRun takes back what recordStart recorded of a request that has not run.
func (a *Admission) recordNotRun(ex *Exchange) {
	if ex.isRanked && ex.Organisation != nil {
		a.Usage.TakeBack(ex.Organisation.Name, requestTokens(ex), time.Now())
	}
}

// recordFirstEvent records how long a target took to the first event of a request.
func (a *Admission) recordFirstEvent(ex *Exchange, took time.Duration) {
	if !ex.isRanked {
		return
	}
	g := a.gate(ex.Pool.Name)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.RecordService(ex.Route.Name, took)
}

func (g *poolGate) isMostUrgent(urgency int, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.IsMostUrgent(urgency, now)
}

func (g *poolGate) mayPass(c *admission.Caller, load admission.PoolLoad, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.MayPass(c, load, now)
}

func (g *poolGate) passed(r admission.Rank, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Passed(r, now)
}

func (g *poolGate) preview(c admission.Caller, load admission.PoolLoad, now time.Time) admission.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Preview(c, load, now)
}

func (g *poolGate) offer(c admission.Caller, load admission.PoolLoad, now time.Time) (*admission.Entry, admission.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Offer(c, load, now)
}

// check decides again about a waiting request, whose rank may have changed.
func (g *poolGate) check(e *admission.Entry, r admission.Rank, load admission.PoolLoad, now time.Time) admission.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.SetRank(e, r, now)
	return g.gate.Check(e, load, now)
}

func (g *poolGate) pass(e *admission.Entry, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Pass(e, now)
}

func (g *poolGate) skipTargets(e *admission.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.SkipTargets(e)
}

func (g *poolGate) leave(e *admission.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Leave(e)
}
