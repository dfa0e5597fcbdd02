package replay

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/choice"
)

// newShortTrace returns the first 4000 records of a generated trace.
func newShortTrace(seed uint64) *Trace {
	t := GenerateTrace(Deployments["pumpvakt"], seed)
	t.Records = t.Records[:4000]
	return t
}

// Guards against results that differ between runs with the same seed because they
// depend on map order, the clock or the machine.
func TestSameSeedGivesSameResults(t *testing.T) {
	first := ReplayTrace(newShortTrace(7), choice.DefaultParams(), "")
	second := ReplayTrace(newShortTrace(7), choice.DefaultParams(), "")
	assert.Assert(t, slices.Equal(first, second), "%v, %v", first, second)
	other := ReplayTrace(newShortTrace(8), choice.DefaultParams(), "choice")
	assert.Assert(t, other[0].HitRate != first[len(first)-1].HitRate)
}

// Guards against a trace file that replays differently from the generated trace, and
// against results from a file that is damaged or not a trace.
func TestTraceFile(t *testing.T) {
	trace := newShortTrace(7)
	var file bytes.Buffer
	assert.NilError(t, trace.Write(&file))
	text := file.String()
	read, err := ReadTrace(&file)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, trace)
	for name, bad := range map[string]string{
		"other format":         strings.Replace(text, TraceFormat, "other/1", 1),
		"truncated line":       text[:len(text)-20],
		"at_ms decreases":      text + `{"at_ms":1,"engine":1,"down_ms":1}`,
		"unknown organisation": text + `{"at_ms":1900000000000,"organisation":"x"}`,
		"unknown engine":       text + `{"at_ms":1900000000000,"engine":99,"down_ms":1}`,
	} {
		_, err := ReadTrace(strings.NewReader(bad))
		assert.Assert(t, err != nil, name)
	}
}

// Guards against a trace so uniform that it hides the weaknesses of a policy: peak
// and popular documents must come one hour earlier (UTC) once daylight saving time
// starts, and one organisation must send several times its rate.
func TestTraceFollowsLocalTime(t *testing.T) {
	trace := GenerateTrace(Deployments["coop"], 1)
	requests := make(map[string]int)   // by day and UTC hour
	tokens := make(map[string]float64) // by organisation, in the middle of windows
	documentRequests := make(map[string]map[uint64]int)
	for i := range trace.Records {
		r := &trace.Records[i]
		if r.DownMS > 0 {
			continue
		}
		at := time.UnixMilli(r.AtMS).UTC()
		window := at.Format("02/15")
		requests[window]++
		if at.Minute() == 1 {
			tokens[r.Organisation] += float64(r.promptTokens() + r.OutputTokens)
		}
		if documentRequests[window] == nil {
			documentRequests[window] = make(map[uint64]int)
		}
		documentRequests[window][r.PrefixLevels[2].ID]++
	}
	mostRequested := func(window string) (best uint64) {
		for document, n := range documentRequests[window] {
			if n > documentRequests[window][best] || n == documentRequests[window][best] && document < best {
				best = document
			}
		}
		return best
	}
	assert.Assert(t, requests["28/18"] > requests["28/17"] && requests["29/17"] > requests["29/18"], "%v", requests)
	assert.Equal(t, mostRequested("28/18"), mostRequested("29/17"))
	assert.Assert(t, mostRequested("28/18") != mostRequested("28/17"))
	bursting, quiet := trace.Organisations[burstingOrganisation], trace.Organisations[3]
	assert.Assert(t, tokens[bursting.Name]/bursting.Rate > 2.5*tokens[quiet.Name]/quiet.Rate, "%v", tokens)
}

// Guards against a change to target selection that loses its advantage over the
// simple policies in hit rate, latency or fairness, as docs/measurements.md reports
// it.
func TestChoiceBeatsBaselines(t *testing.T) {
	results := make(map[string]PolicyResult)
	for _, r := range ReplayTrace(newShortTrace(7), choice.DefaultParams(), "") {
		results[r.Policy] = r
	}
	got := results["choice"]
	for _, name := range []string{"random", "round-robin", "least-loaded"} {
		assert.Assert(t, got.HitRate > results[name].HitRate, name)
		assert.Assert(t, got.P99 < results[name].P99, name)
		assert.Assert(t, got.MinServedFraction >= results[name].MinServedFraction, name)
	}
}
