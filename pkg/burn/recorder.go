package burn

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Time to first token is recorded in microseconds with two significant digits.
	minLatency     = int64(1)
	maxLatency     = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 2
	latencyPeriods = 6 // histograms that are kept, one for each latencyPeriod
	latencyPeriod  = 10 * time.Minute
	maxSeries      = 20000      // further pairs of route and organisation share the overflow series
	overflowSeries = "(others)" // route and organisation of the overflow series
)

// RequestClass determines how a finished request counts towards the objective.
type RequestClass int

const (
	// ClassServed is a complete response. It is good if Sample.FirstToken is within
	// the objective and late otherwise.
	ClassServed RequestClass = iota
	// ClassFailed is a request that the router or a target failed.
	ClassFailed
	// ClassRefused is a refused request of an organisation that was within its rate.
	ClassRefused
	// ClassOverRate is a request that was refused because its organisation exceeded
	// its rate. It does not count towards the objective.
	ClassOverRate
	// ClassCallerError is a request that failed because of the caller. It does not
	// count towards the objective.
	ClassCallerError
)

// Sample is one finished request.
type Sample struct {
	Route        string
	Organisation string
	Class        RequestClass
	FirstToken   time.Duration // time from arrival to first token; zero if unknown
	Objective    Objective
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Objective is the service-level objective of a route.
type Objective struct {
	Good       float64       `json:"good"`        // required fraction of good requests, between 0 and 1
	FirstToken time.Duration `json:"first_token"` // a response whose first token is later is bad
	Window     time.Duration `json:"window"`      // time over which the objective must be met
}

// SeriesKey identifies the series of an organisation on a route.
type SeriesKey struct {
	Route        string `json:"route"`
	Organisation string `json:"organisation"`
}

// Totals are counts since the process started. Late responses are also counted
// as served.
type Totals struct {
	Served       uint64 `json:"served"`
	Late         uint64 `json:"late"`
	Failed       uint64 `json:"failed"`
	Refused      uint64 `json:"refused"`
	OverRate     uint64 `json:"over_rate"`
	CallerError  uint64 `json:"caller_error"`
	PromptTokens uint64 `json:"prompt_tokens"`
	CachedTokens uint64 `json:"cached_tokens"`
	OutputTokens uint64 `json:"output_tokens"`
}

func (t *Totals) add(o Totals) {
	t.Served += o.Served
	t.Late += o.Late
	t.Failed += o.Failed
	t.Refused += o.Refused
	t.OverRate += o.OverRate
	t.CallerError += o.CallerError
	t.PromptTokens += o.PromptTokens
	t.CachedTokens += o.CachedTokens
	t.OutputTokens += o.OutputTokens
}

// series holds the counts of one SeriesKey.
type series struct {
	objective Objective // of the latest request
	totals    Totals
	windows   []window // in the order of BurnWindows
}

// Recorder counts the finished requests of one instance. Its methods are safe for
// concurrent use.
type Recorder struct {
	now func() time.Time

	mu      sync.Mutex
	series  map[SeriesKey]*series
	latency map[string]*latencyHistogram // by route
}

// latencyHistogram holds the times to first token of the last hour, in
// microseconds.
type latencyHistogram struct {
	histogram   *hdrhistogram.WindowedHistogram
	periodStart time.Time
}

// NewRecorder returns an empty recorder that takes the current time from now.
func NewRecorder(now func() time.Time) *Recorder {
	return &Recorder{now: now, series: make(map[SeriesKey]*series), latency: make(map[string]*latencyHistogram)}
}

// Record counts a finished request.
func (r *Recorder) Record(s Sample) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.findOrCreate(SeriesKey{Route: s.Route, Organisation: s.Organisation}, s.Objective)
	entry.record(s, now)
	if s.FirstToken > 0 {
		r.recordLatency(s, now)
	}
}

// findOrCreate returns the series for key and sets its objective. At maxSeries,
// new keys get the overflow series.
func (r *Recorder) findOrCreate(key SeriesKey, objective Objective) *series {
	entry := r.series[key]
	if entry == nil && len(r.series) >= maxSeries {
		key = SeriesKey{Route: overflowSeries, Organisation: overflowSeries}
		entry = r.series[key]
	}
	if entry == nil {
		entry = &series{windows: make([]window, len(BurnWindows))}
		for i, length := range BurnWindows {
			entry.windows[i].length = length
		}
		r.series[key] = entry
	}
	entry.objective = objective
	return entry
}

func (s *series) record(sample Sample, now time.Time) {
	t := &s.totals
	t.PromptTokens += uint64(sample.PromptTokens)
	t.CachedTokens += uint64(sample.CachedTokens)
	t.OutputTokens += uint64(sample.OutputTokens)
	good := false
	switch sample.Class {
	case ClassServed:
		t.Served++
		good = sample.FirstToken <= sample.Objective.FirstToken
		if !good {
			t.Late++
		}
	case ClassFailed:
		t.Failed++
	case ClassRefused:
		t.Refused++
	case ClassOverRate:
		t.OverRate++
		return
	case ClassCallerError:
		t.CallerError++
		return
	}
	for i := range s.windows {
		s.windows[i].record(now, good)
	}
}

func (r *Recorder) recordLatency(s Sample, now time.Time) {
	entry := r.latency[s.Route]
	if entry == nil {
		entry = &latencyHistogram{
			histogram:   hdrhistogram.NewWindowed(latencyPeriods, minLatency, maxLatency, latencyDigits),
			periodStart: now,
		}
		r.latency[s.Route] = entry
	}
	entry.rotate(now)
	_ = entry.histogram.Current.RecordValue(min(s.FirstToken.Microseconds(), maxLatency))
}

// rotate starts a new period when the current one has ended. After a longer
// pause it also drops the periods that are older than the histogram covers.
func (l *latencyHistogram) rotate(now time.Time) {
	for periods := 0; now.Sub(l.periodStart) >= latencyPeriod; periods++ {
		if periods == latencyPeriods {
			l.periodStart = now
			return
		}
		l.histogram.Rotate()
		l.periodStart = l.periodStart.Add(latencyPeriod)
	}
}

// Document holds the service-level counts of one instance, which publishes them
// through expvar.
type Document struct {
	Instance string            `json:"instance"`
	Zone     string            `json:"zone"`
	Series   []Series          `json:"series"`
	Latency  map[string][]byte `json:"latency"` // encoded HDR histograms of microseconds, by route
}

// Series holds the counts of an organisation on a route.
type Series struct {
	SeriesKey
	Objective Objective       `json:"objective"`
	Totals    Totals          `json:"totals"`
	Windows   []RequestCounts `json:"windows"` // in the order of BurnWindows
}

// Document returns the current counts, labelled with the instance and its zone.
func (r *Recorder) Document(instance, zone string) Document {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	doc := Document{Instance: instance, Zone: zone, Series: []Series{}, Latency: make(map[string][]byte)}
	for key, entry := range r.series {
		counts := make([]RequestCounts, len(entry.windows))
		for i := range entry.windows {
			counts[i] = entry.windows[i].counts(now)
		}
		doc.Series = append(doc.Series, Series{SeriesKey: key, Objective: entry.objective, Totals: entry.totals, Windows: counts})
	}
	for route, entry := range r.latency {
		entry.rotate(now)
		if data, err := entry.histogram.Merge().Encode(hdrhistogram.V2CompressedEncodingCookieBase); err == nil {
			doc.Latency[route] = data
		}
	}
	return doc
}

// RecorderVar is an expvar.Var that publishes the counts of a recorder.
type RecorderVar struct {
	Recorder *Recorder
	Instance string
	Zone     string
}

// String implements expvar.Var. It returns the recorder's Document as JSON.
func (v RecorderVar) String() string {
	data, err := json.Marshal(v.Recorder.Document(v.Instance, v.Zone))
	if err != nil {
		return "null"
	}
	return string(data)
}
