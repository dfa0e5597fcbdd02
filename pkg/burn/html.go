package burn

import (
	_ "embed"
	"html/template"
	"io"
	"math"
)

//go:embed report.html.tmpl
var pageText string

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent":  func(f float64) float64 { return 100 * f },
	"windows":  func() []string { return windowNames() },
	"barWidth": barWidth,
	"orDash":   orDash,
}).Parse(pageText))

// Bars show burn rates on a logarithmic scale up to maxBarRate, so that a rate
// of 1 stays visible beside a rate of 100.
const (
	maxBarRate  = 100.0
	maxBarWidth = 160.0 // pixels
)

func barWidth(rate float64) float64 {
	scaled := math.Log1p(min(rate, maxBarRate)) / math.Log1p(maxBarRate)
	return math.Round(scaled * maxBarWidth)
}

func windowNames() []string {
	names := make([]string, len(BurnWindows))
	for i, span := range BurnWindows {
		names[i] = shortDuration(span)
	}
	return names
}

// WriteHTML writes a report as one self-contained page.
func WriteHTML(w io.Writer, r Report) error { return page.Execute(w, r) }
