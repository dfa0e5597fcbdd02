package burn

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteText writes a report as aligned plain text for a terminal.
func WriteText(w io.Writer, r Report) error {
	fmt.Fprintf(w, "Service-level burn at %s over %d instances\n", r.Time.Format(time.RFC3339), len(r.AnsweredInstances))
	for _, missing := range r.MissingInstances {
		fmt.Fprintf(w, "NOT COUNTED: %s did not answer: %s\n", missing.Address, missing.Reason)
	}
	fmt.Fprintf(w, "Prefix hit rate %.1f%%, prompt tokens computed %d\n", 100*r.PrefixHitRate, r.PromptTokensComputed)
	if r.WorstServedSeries != nil {
		fmt.Fprintf(w, "Worst served: organisation %q on route %q\n", r.WorstServedSeries.Organisation, r.WorstServedSeries.Route)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "\nroute\torganisation\tobjective\tgood")
	for _, length := range BurnWindows {
		fmt.Fprintf(table, "\tburn %s", formatWindow(length))
	}
	fmt.Fprintln(table, "\tserved\tlate\tfailed\trefused in rate\tover rate\talarm")
	for _, row := range r.Rows {
		writeRow(table, row)
	}
	fmt.Fprintln(table, "\nroute\trequests\tfirst token p50\tp95\tp99")
	for _, l := range r.RouteLatencies {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\n", l.Route, l.Count, l.P50, l.P95, l.P99)
	}
	return table.Flush()
}

func writeRow(w io.Writer, row ReportRow) {
	fmt.Fprintf(w, "%s\t%s\t%.2f%% in %s\t%.2f%%", orDash(row.Route), orDash(row.Organisation),
		100*row.Objective.Good, row.Objective.FirstToken, 100*row.GoodFraction())
	for _, rate := range row.BurnRates {
		fmt.Fprintf(w, "\t%.1f", rate)
	}
	t := row.Totals
	fmt.Fprintf(w, "\t%d\t%d\t%d\t%d\t%d\t%s\n", t.Served, t.Late, t.Failed, t.Refused, t.OverRate, row.Alarm)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// formatWindow formats a window of whole hours or minutes, such as 6h or 30m.
func formatWindow(d time.Duration) string {
	if d%time.Hour == 0 {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}
