package burn

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Alarm says how urgent a burn rate is.
type Alarm string

// Alarms. A page-level burn spends 2% of a 30-day budget in an hour, a
// ticket-level burn 5% in six hours.
const (
	AlarmNone   Alarm = "ok"
	AlarmTicket Alarm = "ticket"
	AlarmPage   Alarm = "page"
)

const (
	pageRate   = 14.4
	ticketRate = 6.0
)

// Positions in Windows of the two pairs that alarms look at.
const (
	windowPageShort   = 0
	windowTicketShort = 1
	windowPageLong    = 2
	windowTicketLong  = 3
)

// Report is the state of all objectives over the instances that answered.
type Report struct {
	Time                 time.Time         `json:"time"`
	AnsweredInstances    []string          `json:"answered"`
	MissingInstances     []MissingInstance `json:"missing"`
	Rows                 []ReportRow       `json:"rows"`
	RouteLatencies       []RouteLatency    `json:"routes"`
	PrefixHitRate        float64           `json:"prefix_hit_rate"`
	PromptTokensComputed uint64            `json:"prompt_tokens_computed"`
	WorstServedSeries    *SeriesKey        `json:"worst_served,omitempty"`
}

// MissingInstance is an instance that did not answer.
type MissingInstance struct {
	Address string `json:"address"`
	Reason  string `json:"reason"`
}

// ReportRow is the state of a route for an organisation.
type ReportRow struct {
	SeriesKey
	Objective Objective       `json:"objective"`
	Totals    Totals          `json:"totals"`
	Windows   []RequestCounts `json:"windows"`
	BurnRates []float64       `json:"burn_rates"` // in the order of Windows
	Alarm     Alarm           `json:"alarm"`
}

// GoodFraction returns the fraction of good requests in the longest window.
func (r ReportRow) GoodFraction() float64 {
	longest := r.Windows[len(r.Windows)-1]
	if longest.Total() == 0 {
		return 1
	}
	return float64(longest.Good) / float64(longest.Total())
}

// RouteLatency is the time to first token of a route, in the last hour.
type RouteLatency struct {
	Route string        `json:"route"`
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50"`
	P95   time.Duration `json:"p95"`
	P99   time.Duration `json:"p99"`
}

// BurnRate returns how many times faster than allowed a budget is spent. It is
// zero without an objective, as for requests that were refused before their
// route was known.
func BurnRate(c RequestCounts, good float64) float64 {
	if c.Total() == 0 || good <= 0 || good >= 1 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total()) / (1 - good)
}

// NewReport makes a report of the documents of several instances.
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
		row.finish()
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

func (r *ReportRow) finish() {
	r.BurnRates = make([]float64, len(r.Windows))
	for i, counts := range r.Windows {
		r.BurnRates[i] = BurnRate(counts, r.Objective.Good)
	}
	switch {
	case r.BurnRates[windowPageShort] >= pageRate && r.BurnRates[windowPageLong] >= pageRate:
		r.Alarm = AlarmPage
	case r.BurnRates[windowTicketShort] >= ticketRate && r.BurnRates[windowTicketLong] >= ticketRate:
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
			P50: quantile(h, 50), P95: quantile(h, 95), P99: quantile(h, 99),
		})
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i].Route < latencies[j].Route })
	return latencies
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// summarise computes the measures over all rows.
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
