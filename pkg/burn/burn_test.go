package burn

import (
	"bytes"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

var objective = Objective{Good: 0.99, FirstToken: 460 * time.Millisecond, Window: 30 * 24 * time.Hour}

func sample(class RequestClass, firstToken time.Duration) Sample {
	return Sample{Route: "chat", Organisation: "circle", Class: class, FirstToken: firstToken, Objective: objective, PromptTokens: 100, CachedTokens: 75}
}

// Guards against refusals that are the caller's own doing spending the budget,
// and against late responses that do not.
func TestClassesThatCount(t *testing.T) {
	tests := []struct {
		name      string
		sample    Sample
		good, bad uint64
	}{
		{"in time", sample(ClassServed, 460*time.Millisecond), 1, 0},
		{"late", sample(ClassServed, 461*time.Millisecond), 0, 1},
		{"failed", sample(ClassFailed, 0), 0, 1},
		{"refused inside the rate", sample(ClassRefused, 0), 0, 1},
		{"over the rate", sample(ClassOverRate, 0), 0, 0},
		{"caller error", sample(ClassCallerError, 0), 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fake := clock.NewFake(start)
			r := NewRecorder(fake.Now)
			r.Record(test.sample)
			got := r.Document("i", "z").Series[0].Windows[0]
			assert.Equal(t, got, RequestCounts{Good: test.good, Bad: test.bad})
		})
	}
}

// Guards against windows that keep requests after their span, or lose them before it.
func TestWindowsSlide(t *testing.T) {
	fake := clock.NewFake(start)
	r := NewRecorder(fake.Now)
	r.Record(sample(ClassFailed, 0))
	counts := func(i int) uint64 { return r.Document("i", "z").Series[0].Windows[i].Bad }
	fake.Advance(4 * time.Minute)
	assert.Equal(t, counts(0), uint64(1))
	fake.Advance(2 * time.Minute)
	assert.Equal(t, counts(0), uint64(0))
	assert.Equal(t, counts(windowTicketShort), uint64(1))
	fake.Advance(7 * time.Hour)
	assert.Equal(t, counts(windowTicketLong), uint64(0))
}

// Guards against an alarm on a fault that is over, and against none on a long one.
func TestAlarmsNeedBothWindows(t *testing.T) {
	fake := clock.NewFake(start)
	r := NewRecorder(fake.Now)
	alarm := func() Alarm {
		return NewReport(fake.Now(), []Document{r.Document("i", "z")}, nil).Rows[0].Alarm
	}
	for range 100 {
		r.Record(sample(ClassFailed, 0))
	}
	assert.Equal(t, alarm(), AlarmPage)
	fake.Advance(6 * time.Minute)
	assert.Equal(t, alarm(), AlarmTicket)
	fake.Advance(31 * time.Minute)
	assert.Equal(t, alarm(), AlarmNone)
}

// Guards against a report that hides an instance which did not answer, or that
// cannot read what instances publish.
func TestReportOverInstances(t *testing.T) {
	r := NewRecorder(time.Now)
	for range 10 {
		r.Record(sample(ClassServed, 100*time.Millisecond))
	}
	vars := new(expvar.Map).Init()
	vars.Set(ExpvarName, RecorderVar{Recorder: r, Instance: "r1", Zone: "a"})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "{%q: %s}", ExpvarMapName, vars)
	}))
	defer server.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()

	documents, missing := FetchDocuments(t.Context(), server.Client(), []string{server.URL, server.URL, closed.URL})
	report := NewReport(time.Now(), documents, missing)
	assert.Equal(t, report.Rows[0].Totals.Served, uint64(20))
	assert.Equal(t, report.RouteLatencies[0].Count, int64(20))
	assert.Equal(t, report.PrefixHitRate, 0.75)
	assert.Equal(t, len(report.MissingInstances), 1)

	var text, html bytes.Buffer
	assert.NilError(t, WriteText(&text, report))
	assert.NilError(t, WriteHTML(&html, report))
	_, err := json.Marshal(report)
	assert.NilError(t, err)
	for _, out := range []string{text.String(), html.String()} {
		assert.Assert(t, strings.Contains(out, strings.TrimPrefix(closed.URL, "http://")), out)
		assert.Assert(t, strings.Contains(out, "circle"), out)
	}
}

// Guards against an alarm, or a worst-served organisation, that comes from
// requests without a route, which have no objective.
func TestRequestsWithoutRoute(t *testing.T) {
	r := NewRecorder(time.Now)
	for range 100 {
		r.Record(Sample{Class: ClassRefused})
	}
	report := NewReport(time.Now(), []Document{r.Document("i", "z")}, nil)
	assert.DeepEqual(t, report.Rows[0].BurnRates, make([]float64, len(BurnWindows)))
	assert.Assert(t, report.WorstServedSeries == nil)
}
