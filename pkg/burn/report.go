package burn

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Alarm is the urgency of a burn rate.
type Alarm string

// Alarms. A burn rate at the page level spends 2% of a 30-day error budget in one
// hour, at the ticket level 5% in six hours.
const (
	AlarmNone   Alarm = "ok"
	AlarmTicket Alarm = "ticket"
	AlarmPage   Alarm = "page"
)

const (
	pageBurnRate   = 14.4
	ticketBurnRate = 6.0
)

// Indexes in BurnWindows of the short and long window of each alarm.
const (
	pageShortWindow   = 0
	ticketShortWindow = 1
	pageLongWindow    = 2
	ticketLongWindow  = 3
)

// Report adds up the documents of the instances that answered.
type Report struct {
	Time                 time.Time         `json:"time"`
	AnsweredInstances    []string          `json:"answered"`
	MissingInstances     []MissingInstance `json:"missing"`
	Rows                 []ReportRow       `json:"rows"`
	RouteLatencies       []RouteLatency    `json:"routes"`
	PrefixHitRate        float64           `json:"prefix_hit_rate"`        // cached fraction of the prompt tokens
	PromptTokensComputed uint64            `json:"prompt_tokens_computed"` // prompt tokens not found in a cache
	WorstServedSeries    *SeriesKey        `json:"worst_served,omitempty"` // lowest GoodFraction
}

// MissingInstance is an instance whose document could not be read.
type MissingInstance struct {
	Address string `json:"address"`
	Reason  string `json:"reason"`
}

// ReportRow holds the counts and burn rates of an organisation on a route.
type ReportRow struct {
	SeriesKey
	Objective Objective       `json:"objective"`
	Totals    Totals          `json:"totals"`
	Windows   []RequestCounts `json:"windows"`
	BurnRates []float64       `json:"burn_rates"` // in the order of BurnWindows
	Alarm     Alarm           `json:"alarm"`
}

// GoodFraction returns the fraction of good requests in the longest window, or 1
// if there were none.
func (r ReportRow) GoodFraction() float64 {
	longest := r.Windows[len(r.Windows)-1]
	if longest.Total() == 0 {
		return 1
	}
	return float64(longest.Good) / float64(longest.Total())
}

// RouteLatency holds percentiles of the time to first token of a route over the last
// hour.
type RouteLatency struct {
	Route string        `json:"route"`
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50"`
	P95   time.Duration `json:"p95"`
	P99   time.Duration `json:"p99"`
}

// BurnRate returns how fast the error budget is spent, as a multiple of the rate
// that uses it up exactly at the end of the objective's window. The rate is zero
// without requests and without an objective: requests refused before routing
// have none.
func BurnRate(c RequestCounts, objective float64) float64 {
	if c.Total() == 0 || objective <= 0 || objective >= 1 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total()) / (1 - objective)
}

// NewReport adds up the documents of several instances. Histograms that cannot be
// decoded are skipped.
func NewReport(now time.Time, documents []Document, missing []MissingInstance) Report {
	report := Report{Time: now, MissingInstances: missing, AnsweredInstances: []string{}}
	rows := make(map[SeriesKey]*ReportRow)
	histograms := make(map[string]*hdrhistogram.Histogram)
	for _, doc := range documents {
		report.AnsweredInstances = append(report.AnsweredInstances, doc.Instance)
		for _, s := range doc.Series {
			mergeSeries(rows, s)
		}
		mergeLatency(histograms, doc.Latency)
	}
	for _, row := range rows {
		row.computeAlarm()
		report.Rows = append(report.Rows, *row)
	}
	sort.Slice(report.Rows, func(i, j int) bool {
		a, b := report.Rows[i].SeriesKey, report.Rows[j].SeriesKey
		return a.Route < b.Route || a.Route == b.Route && a.Organisation < b.Organisation
	})
	report.RouteLatencies = routeLatencies(histograms)
	report.summarise()
	return report
}

func mergeSeries(rows map[SeriesKey]*ReportRow, s Series) {
	row := rows[s.SeriesKey]
	if row == nil {
		row = &ReportRow{SeriesKey: s.SeriesKey, Windows: make([]RequestCounts, len(BurnWindows))}
		rows[s.SeriesKey] = row
	}
	row.Objective = s.Objective
	row.Totals.add(s.Totals)
	for i := range min(len(s.Windows), len(row.Windows)) {
		row.Windows[i].add(s.Windows[i])
	}
}

func mergeLatency(histograms map[string]*hdrhistogram.Histogram, encoded map[string][]byte) {
	for route, data := range encoded {
		h, err := hdrhistogram.Decode(data)
		if err != nil {
			continue
		}
		if histograms[route] == nil {
			histograms[route] = h
			continue
		}
		histograms[route].Merge(h)
	}
}

// computeAlarm computes the burn rates and the alarm from the window counts.
func (r *ReportRow) computeAlarm() {
	r.BurnRates = make([]float64, len(r.Windows))
	for i, counts := range r.Windows {
		r.BurnRates[i] = BurnRate(counts, r.Objective.Good)
	}
	switch {
	case r.BurnRates[pageShortWindow] >= pageBurnRate && r.BurnRates[pageLongWindow] >= pageBurnRate:
		r.Alarm = AlarmPage
	case r.BurnRates[ticketShortWindow] >= ticketBurnRate && r.BurnRates[ticketLongWindow] >= ticketBurnRate:
		r.Alarm = AlarmTicket
	default:
		r.Alarm = AlarmNone
	}
}

func routeLatencies(histograms map[string]*hdrhistogram.Histogram) []RouteLatency {
	latencies := []RouteLatency{}
	for route, h := range histograms {
		latencies = append(latencies, RouteLatency{
			Route: route, Count: h.TotalCount(),
			P50: percentile(h, 50), P95: percentile(h, 95), P99: percentile(h, 99),
		})
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i].Route < latencies[j].Route })
	return latencies
}

func percentile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// summarise computes the fields that depend on all rows.
func (r *Report) summarise() {
	var prompt, cached uint64
	worst := 2.0
	for i := range r.Rows {
		row := &r.Rows[i]
		prompt += row.Totals.PromptTokens
		cached += row.Totals.CachedTokens
		total := row.Windows[len(row.Windows)-1].Total()
		if fraction := row.GoodFraction(); total > 0 && row.Objective.Good > 0 && fraction < worst {
			worst = fraction
			r.WorstServedSeries = &row.SeriesKey
		}
	}
	if prompt > 0 {
		r.PrefixHitRate = float64(cached) / float64(prompt)
	}
	if prompt > cached {
		r.PromptTokensComputed = prompt - cached
	}
}
