package burn

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Time to first token is recorded in microseconds, to two digits.
	minLatency     = int64(1)
	maxLatency     = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 2
	latencyPeriods = 6
	latencyPeriod  = 10 * time.Minute
	maxSeries      = 20000 // pairs of route and organisation; more are counted together
	overflowSeries = "(others)"
)

// RequestClass says how a finished request counts.
type RequestClass int

const (
	// ClassServed is a whole response in time or late; Sample.FirstToken decides.
	ClassServed RequestClass = iota
	// ClassFailed is a request that the router or a target failed.
	ClassFailed
	// ClassRefused is a refusal although the organisation was inside its rate.
	ClassRefused
	// ClassOverRate is a refusal for exceeding the rate. It does not count towards
	// the objective.
	ClassOverRate
	// ClassCallerError is a request that could not be served as it was. It does not
	// count towards the objective.
	ClassCallerError
)

// Sample is one finished request.
type Sample struct {
	Route        string
	Organisation string
	Class        RequestClass
	FirstToken   time.Duration // since the request arrived; zero if none
	Objective    Objective
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Objective is what a route promises.
type Objective struct {
	Good       float64       `json:"good"`
	FirstToken time.Duration `json:"first_token"`
	Window     time.Duration `json:"window"`
}

// SeriesKey names a series.
type SeriesKey struct {
	Route        string `json:"route"`
	Organisation string `json:"organisation"`
}

// Totals are counts since the start of the process.
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

type series struct {
	objective Objective
	totals    Totals
	windows   []window
}

// Recorder counts the requests of one instance.
type Recorder struct {
	now func() time.Time

	mu      sync.Mutex
	series  map[SeriesKey]*series
	latency map[string]*latency // by route
}

type latency struct {
	histogram *hdrhistogram.WindowedHistogram
	rotated   time.Time
}

// NewRecorder returns an empty recorder that reads the time of day from now.
func NewRecorder(now func() time.Time) *Recorder {
	return &Recorder{now: now, series: make(map[SeriesKey]*series), latency: make(map[string]*latency)}
}

// Record counts a finished request.
func (r *Recorder) Record(s Sample) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.find(SeriesKey{Route: s.Route, Organisation: s.Organisation}, s.Objective)
	entry.record(s, now)
	if s.FirstToken > 0 {
		r.recordLatency(s, now)
	}
}

func (r *Recorder) find(key SeriesKey, objective Objective) *series {
	entry := r.series[key]
	if entry == nil && len(r.series) >= maxSeries {
		key = SeriesKey{Route: overflowSeries, Organisation: overflowSeries}
		entry = r.series[key]
	}
	if entry == nil {
		entry = &series{windows: make([]window, len(BurnWindows))}
		for i, span := range BurnWindows {
			entry.windows[i].span = span
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
		entry = &latency{
			histogram: hdrhistogram.NewWindowed(latencyPeriods, minLatency, maxLatency, latencyDigits),
			rotated:   now,
		}
		r.latency[s.Route] = entry
	}
	entry.rotate(now)
	_ = entry.histogram.Current.RecordValue(min(s.FirstToken.Microseconds(), maxLatency))
}

// rotate starts a new period when the current one is over.
func (l *latency) rotate(now time.Time) {
	for periods := 0; now.Sub(l.rotated) >= latencyPeriod; periods++ {
		if periods == latencyPeriods {
			l.rotated = now
			return
		}
		l.histogram.Rotate()
		l.rotated = l.rotated.Add(latencyPeriod)
	}
}

// Document is what an instance publishes through expvar.
type Document struct {
	Instance string            `json:"instance"`
	Zone     string            `json:"zone"`
	Series   []Series          `json:"series"`
	Latency  map[string][]byte `json:"latency"` // encoded histograms by route
}

// Series are the counts of a route and an organisation.
type Series struct {
	SeriesKey
	Objective Objective       `json:"objective"`
	Totals    Totals          `json:"totals"`
	Windows   []RequestCounts `json:"windows"` // in the order of Windows
}

// Document returns the present counts.
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

// RecorderVar publishes a recorder through expvar.
type RecorderVar struct {
	Recorder *Recorder
	Instance string
	Zone     string
}

// String implements expvar.Var.
func (v RecorderVar) String() string {
	data, err := json.Marshal(v.Recorder.Document(v.Instance, v.Zone))
	if err != nil {
		return "null"
	}
	return string(data)
}
