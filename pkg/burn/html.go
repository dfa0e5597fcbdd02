package burn

import (
	_ "embed"
	"html/template"
	"io"
	"math"
)

//go:embed report.html.tmpl
var reportTemplateText string

var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent":  func(f float64) float64 { return 100 * f },
	"windows":  func() []string { return burnWindowNames() },
	"barWidth": barWidth,
	"orDash":   orDash,
}).Parse(reportTemplateText))

// Bars show burn rates on a logarithmic scale up to maxBarRate, so that a rate
// of 1 remains visible next to a rate of 100.
const (
	maxBarRate  = 100.0
	maxBarWidth = 160.0 // pixels
)

// barWidth returns the width in pixels of the bar for a burn rate.
func barWidth(rate float64) float64 {
	scaled := math.Log1p(min(rate, maxBarRate)) / math.Log1p(maxBarRate)
	return math.Round(scaled * maxBarWidth)
}

func burnWindowNames() []string {
	names := make([]string, len(BurnWindows))
	for i, length := range BurnWindows {
		names[i] = formatWindow(length)
	}
	return names
}

// WriteHTML writes a report as one HTML page without external resources.
func WriteHTML(w io.Writer, r Report) error { return reportTemplate.Execute(w, r) }
