package replay

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewingwheel.example/lacewingwheel/pkg/admission"
	"lacewingwheel.example/lacewingwheel/pkg/choice"
	protocol "lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

const (
	// deadline is the time to first token within which a request counts as served.
	deadline    = 10 * time.Second
	queueLimit  = 256 // requests per router
	maxAttempts = 4   // per request
)

// PolicyResult holds the results of a replay with one policy. Rates and fractions
// are between 0 and 1.
type PolicyResult struct {
	Policy            string
	HitRate           float64       // fraction of the prompt tokens that the selected engines had cached
	P50, P99          time.Duration // time to first token
	RecomputedTokens  int64         // prompt tokens computed although another engine had them cached
	MinServedFraction float64       // lowest fraction of any organisation's tokens within rate that was served in time
	RefusedInRate     int           // refused requests that were within their organisation's rate
	AnyCacheHitRate   float64       // HitRate if every token that any engine had cached had been a hit
	LateRequests      int           // admitted requests without a first token before the deadline

	promptTokens, hitTokens int64
	latencies               *hdrhistogram.Histogram
}

// job is a request during the replay.
type job struct {
	record        *TraceRecord
	digests       []uint64
	promptTokens  int
	inRate        bool // within the rate of its organisation
	router        *router
	target        *target.Target
	ticket        *admission.Ticket
	arrivedAt     int64 // Unix time in microseconds
	attempts      int
	excluded      map[string]bool // IDs of targets that failed
	hasFirstToken bool
}

func (j *job) cost() int64 { return int64(j.promptTokens + j.record.OutputTokens) }

// router is a router instance with its own policy, admission queue and counters.
type router struct {
	number       int
	policy       policy
	queue        *admission.Queue
	targetStates []*target.LiveState
}

// event is an action scheduled at a time in microseconds. Events at the same time run
// in the order in which they were scheduled.
type event struct {
	at     int64 // Unix time in microseconds
	seq    int   // orders events of the same time
	action func()
}

// eventHeap implements heap.Interface with the earliest event first.
type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulation replays a trace with one policy. It runs in one goroutine.
type simulation struct {
	deployment    Deployment
	params        choice.Params
	policyRNG     *rand.Rand // used by policies
	lossRNG       *rand.Rand // selects the cache events that are lost
	now           int64      // Unix time in microseconds
	seq           int
	events        eventHeap
	engines       []*engine
	enginesByID   map[string]*engine
	routers       []*router
	holders       map[uint64]int
	latestReports []engineReport // of the last interval; routers receive them one interval later
	result        PolicyResult
	tokensInRate  map[string]int64 // by organisation: tokens of requests within rate
	tokensServed  map[string]int64 // by organisation: those with a first token before the deadline
}

// engineReport is the state of an engine at the end of an interval.
type engineReport struct {
	load        target.Load
	incarnation int
	up          bool
	events      protocol.EventBatch
}

// ReplayTrace replays a trace with the named policy, or with every policy if the
// name is empty. The zone cost of params is replaced by that of the trace's
// deployment. Equal traces and parameters give equal results.
func ReplayTrace(t *Trace, params choice.Params, policyName string) []PolicyResult {
	deployment := Deployments[t.Shape]
	params.ZoneCost = deployment.ZoneCost
	jobs := newJobs(t)
	var results []PolicyResult
	for _, p := range policies {
		if policyName != "" && p.name != policyName {
			continue
		}
		s := &simulation{
			deployment: deployment, params: params, policyRNG: newRNG(t.Seed), lossRNG: newRNG(t.Seed + 1), holders: make(map[uint64]int), enginesByID: make(map[string]*engine),
			tokensInRate: make(map[string]int64), tokensServed: make(map[string]int64),
			result: PolicyResult{Policy: p.name, latencies: hdrhistogram.New(1, 600*microsPerSecond, 3)},
		}
		for i := range deployment.Engines {
			e := &engine{up: true, cache: newLRUCache(s.holders)}
			s.engines = append(s.engines, e)
			s.enginesByID[engineID(i)] = e
		}
		for i := range RouterCount {
			r := &router{number: i, policy: p.newPolicy(s, i), queue: admission.NewQueue()}
			for range deployment.Engines {
				r.targetStates = append(r.targetStates, &target.LiveState{})
			}
			s.routers = append(s.routers, r)
		}
		s.run(jobs)
		results = append(results, s.computeResult())
	}
	return results
}

// newJobs returns a job for each record. A token bucket for each organisation, shared
// by all routers, determines which requests are within rate.
func newJobs(t *Trace) []job {
	type bucket struct {
		tokens    float64
		updatedMS int64
	}
	buckets, orgs := make(map[string]*bucket), make(map[string]Organisation)
	for _, org := range t.Organisations {
		buckets[org.Name], orgs[org.Name] = &bucket{tokens: org.Burst}, org
	}
	jobs := make([]job, len(t.Records))
	for i := range t.Records {
		record := &t.Records[i]
		j := job{record: record, digests: record.pieceDigests(), promptTokens: record.promptTokens(), arrivedAt: record.AtMS * 1000}
		if b := buckets[record.Organisation]; b != nil {
			org := orgs[record.Organisation]
			b.tokens = min(org.Burst, b.tokens+float64(record.AtMS-b.updatedMS)/1000*org.Rate)
			b.updatedMS = record.AtMS
			if j.inRate = b.tokens >= float64(j.cost()); j.inRate {
				b.tokens -= float64(j.cost())
			}
		}
		jobs[i] = j
	}
	return jobs
}

// schedule schedules an action at a time in microseconds.
func (s *simulation) schedule(at int64, action func()) {
	s.seq++
	heap.Push(&s.events, event{at: at, seq: s.seq, action: action})
}

func (s *simulation) currentTime() time.Time { return time.UnixMicro(s.now) }

// idleGap is the length of a pause in the trace, in microseconds, during which loads
// are not reported.
const idleGap = 60 * microsPerSecond

// run processes arrivals, scheduled events and load reports in order of time.
func (s *simulation) run(jobs []job) {
	nextReport := int64(0)
	for i := 0; i < len(jobs) || len(s.events) > 0; {
		arrival := i < len(jobs) && (len(s.events) == 0 || jobs[i].arrivedAt <= s.events[0].at)
		next := int64(0)
		if arrival {
			next = jobs[i].arrivedAt
		} else {
			next = s.events[0].at
		}
		if next-nextReport > idleGap {
			nextReport = next - 2*reportInterval
		}
		if nextReport <= next {
			s.now = nextReport
			s.updateRouters()
			nextReport += reportInterval
			continue
		}
		s.now = next
		if !arrival {
			heap.Pop(&s.events).(event).action()
			continue
		}
		j := jobs[i]
		i++
		if j.record.DownMS > 0 {
			s.crashEngine(s.engines[j.record.Engine], j.record.DownMS*1000)
			continue
		}
		s.handleArrival(&j)
	}
}

// updateRouters reads the state of the engines and passes the state of one interval ago
// to the routers.
func (s *simulation) updateRouters() {
	previous := s.latestReports
	s.latestReports = make([]engineReport, len(s.engines))
	for i, e := range s.engines {
		s.latestReports[i] = engineReport{load: e.load(s.now), incarnation: e.incarnation, up: e.up, events: s.takeCacheEvents(e)}
	}
	if previous == nil {
		previous = s.latestReports
	}
	for _, r := range s.routers {
		upEngines := 0
		var targets []*target.Target
		for i, report := range previous {
			targets = append(targets, &target.Target{
				ID: engineID(i), Zone: s.zoneOf(i), Incarnation: fmt.Sprint(report.incarnation),
				Reachable: report.up, Load: report.load, Live: r.targetStates[i],
			})
			if report.up {
				upEngines++
			}
		}
		r.policy.updateTargets(target.NewSet(targets), s.currentTime())
		for i, report := range previous {
			r.policy.applyEvents(engineID(i), report.events, s.currentTime())
		}
		r.queue.Configure(upEngines*maxBatchSize, queueLimit, s.currentTime())
	}
}

// lossRate is the fraction of event batches from which one event is lost.
const lossRate = 0.02

// takeCacheEvents returns the cache events of an engine since the last call. With
// probability lossRate, one of them is lost.
func (s *simulation) takeCacheEvents(e *engine) protocol.EventBatch {
	batch := protocol.EventBatch{Incarnation: fmt.Sprint(e.incarnation), Events: e.cache.events}
	e.cache.events = nil
	if n := len(batch.Events); n > 0 && s.lossRNG.Float64() < lossRate {
		lost := s.lossRNG.IntN(n)
		batch.Events = append(batch.Events[:lost], batch.Events[lost+1:]...)
	}
	return batch
}

func (s *simulation) zoneOf(number int) string { return fmt.Sprint("zone-", number%s.deployment.Zones) }

func engineID(number int) string { return fmt.Sprint("engine-", number) }

func routerID(number int) string { return fmt.Sprint("router-", number) }

func (s *simulation) engineOf(t *target.Target) *engine { return s.enginesByID[t.ID] }

// handleArrival offers a new request to the admission queue of its router.
func (s *simulation) handleArrival(j *job) {
	if j.inRate {
		s.tokensInRate[j.record.Organisation] += j.cost()
	}
	j.router = s.routers[j.record.Router]
	request := admission.Request{
		Organisation: j.record.Organisation, Weight: 1, Tokens: j.cost(), Deadline: s.currentTime().Add(deadline),
		Notify: func(outcome admission.Outcome) { s.schedule(s.now, func() { s.handleAdmission(j, outcome) }) },
	}
	ticket, outcome, _ := j.router.queue.Offer(request, s.currentTime())
	j.ticket = ticket
	if outcome != admission.Waiting {
		s.handleAdmission(j, outcome)
	}
}

// handleAdmission sends an admitted request to a target and counts a refused one.
func (s *simulation) handleAdmission(j *job, outcome admission.Outcome) {
	if outcome == admission.Admitted {
		s.dispatch(j)
		return
	}
	if j.inRate {
		s.result.RefusedInRate++
	}
}

// dispatch sends a request to the target that the policy selects.
func (s *simulation) dispatch(j *job) {
	j.attempts++
	j.target = j.router.policy.selectTarget(j, j.excluded, s.currentTime())
	if j.target == nil {
		s.result.LateRequests++
		j.router.queue.Release(j.ticket, 0, s.currentTime())
		return
	}
	j.target.Live.InFlight.Add(1)
	j.target.Live.AwaitingFirstToken.Add(1)
	e := s.engineOf(j.target)
	if !e.up {
		s.schedule(s.now+connectFailureDelay, func() { s.retryElsewhere(j) })
		return
	}
	s.submit(e, j)
}

// retryElsewhere records a failed attempt and sends the request to another target, up to
// maxAttempts.
func (s *simulation) retryElsewhere(j *job) {
	j.target.Live.AwaitingFirstToken.Add(-1)
	j.target.Live.InFlight.Add(-1)
	j.router.policy.recordResult(j.target, false, s.currentTime())
	if j.attempts >= maxAttempts {
		s.result.LateRequests++
		j.router.queue.Release(j.ticket, 0, s.currentTime())
		return
	}
	if j.excluded == nil {
		j.excluded = make(map[string]bool)
	}
	j.excluded[j.target.ID] = true
	s.dispatch(j)
}

// handleFirstToken records the latency of a request whose first token is sent.
func (s *simulation) handleFirstToken(j *job) {
	j.hasFirstToken = true
	j.target.Live.AwaitingFirstToken.Add(-1)
	latency := s.now - j.arrivedAt
	if j.target.Zone != s.zoneOf(j.router.number) {
		latency += 2 * s.deployment.ZoneCost.Microseconds()
	}
	_ = s.result.latencies.RecordValue(latency)
	if latency > deadline.Microseconds() {
		s.result.LateRequests++
		return
	}
	if j.inRate {
		s.tokensServed[j.record.Organisation] += j.cost()
	}
}

// finishJob ends a request and releases its place in the admission queue.
func (s *simulation) finishJob(j *job, succeeded bool) {
	j.target.Live.InFlight.Add(-1)
	j.router.policy.recordResult(j.target, succeeded, s.currentTime())
	j.router.queue.Release(j.ticket, -1, s.currentTime())
}

// computeResult computes the rates and percentiles of the result.
func (s *simulation) computeResult() PolicyResult {
	r := s.result
	r.HitRate = float64(r.hitTokens) / float64(max(1, r.promptTokens))
	r.AnyCacheHitRate = float64(r.hitTokens+r.RecomputedTokens) / float64(max(1, r.promptTokens))
	r.P50 = time.Duration(r.latencies.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(r.latencies.ValueAtQuantile(99)) * time.Microsecond
	r.MinServedFraction = 1
	for org, tokens := range s.tokensInRate {
		r.MinServedFraction = min(r.MinServedFraction, float64(s.tokensServed[org])/float64(tokens))
	}
	r.latencies = nil
	return r
}

// WriteResults writes results as a Markdown table with aligned columns.
func WriteResults(w io.Writer, results []PolicyResult) error {
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(table, "| policy\t| hit rate\t| in any cache\t| p50 TTFT ms\t| p99 TTFT ms\t| recomputed Mtokens\t| worst-served\t| refused in rate\t| late\t|")
	fmt.Fprintln(table, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, r := range results {
		fmt.Fprintf(table, "| %s\t| %.4f\t| %.4f\t| %.1f\t| %.1f\t| %.2f\t| %.3f\t| %d\t| %d\t|\n", r.Policy, r.HitRate, r.AnyCacheHitRate,
			r.P50.Seconds()*1e3, r.P99.Seconds()*1e3, float64(r.RecomputedTokens)/1e6, r.MinServedFraction, r.RefusedInRate, r.LateRequests)
	}
	return table.Flush()
}
