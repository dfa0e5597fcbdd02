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

func newSample(class RequestClass, firstToken time.Duration) Sample {
	return Sample{Route: "chat", Organisation: "circle", Class: class, FirstToken: firstToken, Objective: objective, PromptTokens: 100, CachedTokens: 75}
}

// Guards against false and missed alarms: refusals over the rate and caller
// errors must not use up the error budget, and late responses must.
func TestRequestClassesInErrorBudget(t *testing.T) {
	tests := []struct {
		name      string
		sample    Sample
		good, bad uint64 // expected counts
	}{
		{"served in time", newSample(ClassServed, 460*time.Millisecond), 1, 0},
		{"served late", newSample(ClassServed, 461*time.Millisecond), 0, 1},
		{"failed", newSample(ClassFailed, 0), 0, 1},
		{"refused within rate", newSample(ClassRefused, 0), 0, 1},
		{"refused over rate", newSample(ClassOverRate, 0), 0, 0},
		{"caller error", newSample(ClassCallerError, 0), 0, 0},
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

// Guards against alarms that are missing or stay on after a fault: a sliding window
// must not drop failures too early and must not count them longer than its length.
func TestSlidingWindows(t *testing.T) {
	fake := clock.NewFake(start)
	r := NewRecorder(fake.Now)
	r.Record(newSample(ClassFailed, 0))
	counts := func(i int) uint64 { return r.Document("i", "z").Series[0].Windows[i].Bad }
	fake.Advance(4 * time.Minute)
	assert.Equal(t, counts(0), uint64(1))
	fake.Advance(2 * time.Minute)
	assert.Equal(t, counts(0), uint64(0))
	assert.Equal(t, counts(ticketShortWindow), uint64(1))
	fake.Advance(7 * time.Hour)
	assert.Equal(t, counts(ticketLongWindow), uint64(0))
}

// Guards against a fault without an alarm, and against an alarm that goes on after
// the fault: when the short window has no failures any more, the alarm must clear
// although the long window still has them.
func TestAlarmsNeedBothWindows(t *testing.T) {
	fake := clock.NewFake(start)
	r := NewRecorder(fake.Now)
	alarm := func() Alarm {
		return NewReport(fake.Now(), []Document{r.Document("i", "z")}, nil).Rows[0].Alarm
	}
	for range 100 {
		r.Record(newSample(ClassFailed, 0))
	}
	assert.Equal(t, alarm(), AlarmPage)
	fake.Advance(6 * time.Minute)
	assert.Equal(t, alarm(), AlarmTicket)
	fake.Advance(31 * time.Minute)
	assert.Equal(t, alarm(), AlarmNone)
}

// Guards against a report that looks complete to the operator but lacks requests:
// it must add up the documents that all instances publish through expvar, and name
// each instance that did not answer.
func TestReportOverInstances(t *testing.T) {
	r := NewRecorder(time.Now)
	for range 10 {
		r.Record(newSample(ClassServed, 100*time.Millisecond))
	}
	vars := new(expvar.Map).Init()
	vars.Set(ExpvarName, RecorderVar{Recorder: r, Instance: "r1", Zone: "a"})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "{%q: %s}", ExpvarMapName, vars)
	}))
	defer server.Close()
	stopped := httptest.NewServer(http.NotFoundHandler())
	stopped.Close()

	documents, missing := FetchDocuments(t.Context(), server.Client(), []string{server.URL, server.URL, stopped.URL})
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
		assert.Assert(t, strings.Contains(out, strings.TrimPrefix(stopped.URL, "http://")), out)
		assert.Assert(t, strings.Contains(out, "circle"), out)
	}
}

// Guards against a false alarm or a wrong worst-served organisation: requests that
// were refused before routing have no objective and must not count for either.
func TestRequestsWithoutRoute(t *testing.T) {
	r := NewRecorder(time.Now)
	for range 100 {
		r.Record(Sample{Class: ClassRefused})
	}
	report := NewReport(time.Now(), []Document{r.Document("i", "z")}, nil)
	assert.DeepEqual(t, report.Rows[0].BurnRates, make([]float64, len(BurnWindows)))
	assert.Assert(t, report.WorstServedSeries == nil)
}
