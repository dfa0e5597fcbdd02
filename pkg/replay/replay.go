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
	// deadline is that of the route: a request is served if its first token
	// comes in this time.
	deadline    = 10 * time.Second
	queueLimit  = 256
	maxAttempts = 4
)

// PolicyResult are the figures of one policy.
type PolicyResult struct {
	Policy            string
	HitRate           float64 // part of the prompt tokens found in the cache
	P50, P99          time.Duration
	RecomputedTokens  int64   // prompt tokens computed although some engine had them cached
	MinServedFraction float64 // of any organisation, the part of the tokens within its rate that was served in time
	RefusedInRate     int     // requests within their organisation's rate
	AnyCacheHitRate   float64 // HitRate if each token that some engine had cached had been found
	LateRequests      int     // first token after the deadline, or never

	promptTokens, hitTokens int64
	latencies               *hdrhistogram.Histogram
}

// job is a request under way.
type job struct {
	record   *TraceRecord
	digests  []uint64
	tokens   int
	inRate   bool
	router   *router
	target   *target.Target
	ticket   *admission.Ticket
	arrived  int64
	attempts int
	exclude  map[string]bool
	answered bool
}

func (j *job) cost() int64 { return int64(j.tokens + j.record.OutputTokens) }

// router is one instance with its own history and counters.
type router struct {
	number int
	policy policy
	queue  *admission.Queue
	live   []*target.LiveState
}

type event struct {
	at  int64
	seq int
	run func()
}

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

// simulation replays one trace with one policy.
type simulation struct {
	shape   Deployment
	params  choice.Params
	rng     *rand.Rand // of policies
	lossRNG *rand.Rand
	now     int64 // Unix time in microseconds
	seq     int
	events  eventHeap
	engines []*engine
	byID    map[string]*engine
	routers []*router
	holders map[uint64]int
	reports []report // the last one is not known to the routers yet
	result  PolicyResult
	inRate  map[string]int64 // tokens of requests within rate
	served  map[string]int64 // those of them with a first token in time
}

// report is the state of an engine as read.
type report struct {
	load        target.Load
	incarnation int
	up          bool
	events      protocol.EventBatch
}

// ReplayTrace replays a trace with each policy, or with the named one.
func ReplayTrace(t *Trace, params choice.Params, only string) []PolicyResult {
	shape := Deployments[t.Shape]
	params.ZoneCost = shape.ZoneCost
	jobs := prepare(t)
	var results []PolicyResult
	for _, p := range policies {
		if only != "" && p.name != only {
			continue
		}
		s := &simulation{
			shape: shape, params: params, rng: newRNG(t.Seed), lossRNG: newRNG(t.Seed + 1), holders: make(map[uint64]int), byID: make(map[string]*engine),
			inRate: make(map[string]int64), served: make(map[string]int64),
			result: PolicyResult{Policy: p.name, latencies: hdrhistogram.New(1, 600*second, 3)},
		}
		for i := range shape.Engines {
			e := &engine{up: true, cache: newLRU(s.holders)}
			s.engines = append(s.engines, e)
			s.byID[engineName(i)] = e
		}
		for i := range RouterCount {
			r := &router{number: i, policy: p.make(s, i), queue: admission.NewQueue()}
			for range shape.Engines {
				r.live = append(r.live, &target.LiveState{})
			}
			s.routers = append(s.routers, r)
		}
		s.run(jobs)
		results = append(results, s.summary())
	}
	return results
}

// prepare cuts the prompts and finds out which requests are within the rate of
// their organisation, by a token bucket over all instances.
func prepare(t *Trace) []job {
	type bucket struct {
		tokens float64
		at     int64
	}
	buckets, orgs := make(map[string]*bucket), make(map[string]Organisation)
	for _, org := range t.Organisations {
		buckets[org.Name], orgs[org.Name] = &bucket{tokens: org.Burst}, org
	}
	jobs := make([]job, len(t.Records))
	for i := range t.Records {
		record := &t.Records[i]
		j := job{record: record, digests: record.digests(), tokens: record.promptTokens(), arrived: record.AtMS * 1000}
		if b := buckets[record.Organisation]; b != nil {
			org := orgs[record.Organisation]
			b.tokens = min(org.Burst, b.tokens+float64(record.AtMS-b.at)/1000*org.Rate)
			b.at = record.AtMS
			if j.inRate = b.tokens >= float64(j.cost()); j.inRate {
				b.tokens -= float64(j.cost())
			}
		}
		jobs[i] = j
	}
	return jobs
}

func (s *simulation) at(at int64, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: at, seq: s.seq, run: run})
}

func (s *simulation) clock() time.Time { return time.UnixMicro(s.now) }

// idleGap is the pause of the trace over which loads are not read.
const idleGap = 60 * second

func (s *simulation) run(jobs []job) {
	nextReport := int64(0)
	for i := 0; i < len(jobs) || len(s.events) > 0; {
		arrival := i < len(jobs) && (len(s.events) == 0 || jobs[i].arrived <= s.events[0].at)
		next := int64(0)
		if arrival {
			next = jobs[i].arrived
		} else {
			next = s.events[0].at
		}
		if next-nextReport > idleGap {
			nextReport = next - 2*reportInterval
		}
		if nextReport <= next {
			s.now = nextReport
			s.readLoads()
			nextReport += reportInterval
			continue
		}
		s.now = next
		if !arrival {
			heap.Pop(&s.events).(event).run()
			continue
		}
		j := jobs[i]
		i++
		if j.record.DownMS > 0 {
			s.crash(s.engines[j.record.Engine], j.record.DownMS*1000)
			continue
		}
		s.arrive(&j)
	}
}

// readLoads gives the routers the state of the engines one interval ago.
func (s *simulation) readLoads() {
	known := s.reports
	s.reports = make([]report, len(s.engines))
	for i, e := range s.engines {
		s.reports[i] = report{load: e.load(s.now), incarnation: e.incarnation, up: e.up, events: s.takeEvents(e)}
	}
	if known == nil {
		known = s.reports
	}
	for _, r := range s.routers {
		usable := 0
		var targets []*target.Target
		for i, read := range known {
			targets = append(targets, &target.Target{
				ID: engineName(i), Zone: s.zoneOf(i), Incarnation: fmt.Sprint(read.incarnation),
				Reachable: read.up, Load: read.load, Live: r.live[i],
			})
			if read.up {
				usable++
			}
		}
		r.policy.sync(target.NewSet(targets), s.clock())
		for i, read := range known {
			r.policy.apply(engineName(i), read.events, s.clock())
		}
		r.queue.Configure(usable*batchLimit, queueLimit, s.clock())
	}
}

// lossRate is the part of the event batches that lose an event.
const lossRate = 0.02

func (s *simulation) takeEvents(e *engine) protocol.EventBatch {
	batch := protocol.EventBatch{Incarnation: fmt.Sprint(e.incarnation), Events: e.cache.events}
	e.cache.events = nil
	if n := len(batch.Events); n > 0 && s.lossRNG.Float64() < lossRate {
		lost := s.lossRNG.IntN(n)
		batch.Events = append(batch.Events[:lost], batch.Events[lost+1:]...)
	}
	return batch
}

func (s *simulation) zoneOf(number int) string { return fmt.Sprint("zone-", number%s.shape.Zones) }

func engineName(number int) string { return fmt.Sprint("engine-", number) }

func routerName(number int) string { return fmt.Sprint("router-", number) }

func (s *simulation) engineOf(t *target.Target) *engine { return s.byID[t.ID] }

func (s *simulation) arrive(j *job) {
	if j.inRate {
		s.inRate[j.record.Organisation] += j.cost()
	}
	j.router = s.routers[j.record.Router]
	request := admission.Request{
		Organisation: j.record.Organisation, Weight: 1, Tokens: j.cost(), Deadline: s.clock().Add(deadline),
		Notify: func(outcome admission.Outcome) { s.at(s.now, func() { s.decided(j, outcome) }) },
	}
	ticket, outcome, _ := j.router.queue.Offer(request, s.clock())
	j.ticket = ticket
	if outcome != admission.Waiting {
		s.decided(j, outcome)
	}
}

func (s *simulation) decided(j *job, outcome admission.Outcome) {
	if outcome == admission.Admitted {
		s.dispatch(j)
		return
	}
	if j.inRate {
		s.result.RefusedInRate++
	}
}

func (s *simulation) dispatch(j *job) {
	j.attempts++
	j.target = j.router.policy.pick(j, j.exclude, s.clock())
	if j.target == nil {
		s.result.LateRequests++
		j.router.queue.Release(j.ticket, 0, s.clock())
		return
	}
	j.target.Live.InFlight.Add(1)
	j.target.Live.AwaitingFirstToken.Add(1)
	e := s.engineOf(j.target)
	if !e.up {
		s.at(s.now+connectFailure, func() { s.retry(j) })
		return
	}
	s.submit(e, j)
}

func (s *simulation) retry(j *job) {
	j.target.Live.AwaitingFirstToken.Add(-1)
	j.target.Live.InFlight.Add(-1)
	j.router.policy.report(j.target, false, s.clock())
	if j.attempts >= maxAttempts {
		s.result.LateRequests++
		j.router.queue.Release(j.ticket, 0, s.clock())
		return
	}
	if j.exclude == nil {
		j.exclude = make(map[string]bool)
	}
	j.exclude[j.target.ID] = true
	s.dispatch(j)
}

func (s *simulation) firstToken(j *job) {
	j.answered = true
	j.target.Live.AwaitingFirstToken.Add(-1)
	latency := s.now - j.arrived
	if j.target.Zone != s.zoneOf(j.router.number) {
		latency += 2 * s.shape.ZoneCost.Microseconds()
	}
	_ = s.result.latencies.RecordValue(latency)
	if latency > deadline.Microseconds() {
		s.result.LateRequests++
		return
	}
	if j.inRate {
		s.served[j.record.Organisation] += j.cost()
	}
}

func (s *simulation) finish(j *job, ok bool) {
	j.target.Live.InFlight.Add(-1)
	j.router.policy.report(j.target, ok, s.clock())
	j.router.queue.Release(j.ticket, -1, s.clock())
}

func (s *simulation) summary() PolicyResult {
	r := s.result
	r.HitRate = float64(r.hitTokens) / float64(max(1, r.promptTokens))
	r.AnyCacheHitRate = float64(r.hitTokens+r.RecomputedTokens) / float64(max(1, r.promptTokens))
	r.P50 = time.Duration(r.latencies.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(r.latencies.ValueAtQuantile(99)) * time.Microsecond
	r.MinServedFraction = 1
	for org, tokens := range s.inRate {
		r.MinServedFraction = min(r.MinServedFraction, float64(s.served[org])/float64(tokens))
	}
	r.latencies = nil
	return r
}

// WriteResults writes results as a Markdown table.
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
