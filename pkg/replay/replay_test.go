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

// smallTrace is the first part of a trace, which keeps the tests short.
func smallTrace(seed uint64) *Trace {
	t := GenerateTrace(Deployments["pumpvakt"], seed)
	t.Records = t.Records[:4000]
	return t
}

// Guards against figures that cannot be compared between runs because they
// depend on map order, the clock or the machine.
func TestSameSeedSameFigures(t *testing.T) {
	first := ReplayTrace(smallTrace(7), choice.DefaultParams(), "")
	second := ReplayTrace(smallTrace(7), choice.DefaultParams(), "")
	assert.Assert(t, slices.Equal(first, second), "%v, %v", first, second)
	other := ReplayTrace(smallTrace(8), choice.DefaultParams(), "choice")
	assert.Assert(t, other[0].HitRate != first[len(first)-1].HitRate)
}

// Guards against a trace file that replays differently from the trace that it
// was written from, and against reading a file that is not a trace.
func TestTraceFile(t *testing.T) {
	trace := smallTrace(7)
	var file bytes.Buffer
	assert.NilError(t, trace.Write(&file))
	text := file.String()
	read, err := ReadTrace(&file)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, trace)
	for name, bad := range map[string]string{
		"other format": strings.Replace(text, TraceFormat, "other/1", 1),
		"cut line":     text[:len(text)-20],
		"backwards":    text + `{"at_ms":1,"engine":1,"down_ms":1}`,
		"organisation": text + `{"at_ms":1900000000000,"organisation":"x"}`,
		"engine":       text + `{"at_ms":1900000000000,"engine":99,"down_ms":1}`,
	} {
		_, err := ReadTrace(strings.NewReader(bad))
		assert.Assert(t, err != nil, name)
	}
}

// Guards against a trace without the properties that the policies are compared
// on: a peak that moves by an hour with the clocks, a hot set that moves with
// it, and one organisation at several times its rate.
func TestTraceFollowsTheClocks(t *testing.T) {
	trace := GenerateTrace(Deployments["coop"], 1)
	requests := make(map[string]int)   // by day and UTC hour
	tokens := make(map[string]float64) // by organisation in the middle of windows
	hottest := make(map[string]map[uint64]int)
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
		if hottest[window] == nil {
			hottest[window] = make(map[uint64]int)
		}
		hottest[window][r.PrefixLevels[2].ID]++
	}
	top := func(window string) (best uint64) {
		for document, n := range hottest[window] {
			if n > hottest[window][best] || n == hottest[window][best] && document < best {
				best = document
			}
		}
		return best
	}
	assert.Assert(t, requests["28/18"] > requests["28/17"] && requests["29/17"] > requests["29/18"], "%v", requests)
	assert.Equal(t, top("28/18"), top("29/17"))
	assert.Assert(t, top("28/18") != top("28/17"))
	bursting, quiet := trace.Organisations[burstingOrganisation], trace.Organisations[3]
	assert.Assert(t, tokens[bursting.Name]/bursting.Rate > 2.5*tokens[quiet.Name]/quiet.Rate, "%v", tokens)
}

// Guards the improvement over the baselines that docs/measurements.md reports.
func TestChoiceBeatsBaselines(t *testing.T) {
	results := make(map[string]PolicyResult)
	for _, r := range ReplayTrace(smallTrace(7), choice.DefaultParams(), "") {
		results[r.Policy] = r
	}
	got := results["choice"]
	for _, name := range []string{"random", "round-robin", "least-loaded"} {
		assert.Assert(t, got.HitRate > results[name].HitRate, name)
		assert.Assert(t, got.P99 < results[name].P99, name)
		assert.Assert(t, got.MinServedFraction >= results[name].MinServedFraction, name)
	}
}
