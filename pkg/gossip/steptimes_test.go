package gossip

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// The pace and the step time of a target were not passed on, so that each instance knew
// only the few targets that had answered it lately. Reports without a pace must keep the
// format that earlier versions read.
func TestPaceAndStepTimesArePassedOn(t *testing.T) {
	now := time.Now()
	steps := []StepTime{{Target: 7, Step: 31 * time.Millisecond, At: now.Add(-time.Second)}, {Target: 8, Step: time.Second, At: now.Add(-time.Minute)}}
	from := &Gossip{Log: hclog.NewNullLogger(), StepTimes: func() []StepTime { return steps }}
	from.ReportLoad("t/1", target.Load{Running: 3, Waiting: 1, PacePercent: 250})
	from.ReportLoad("t/2", target.Load{Running: 2})
	loads := make(map[uint64]target.Load)
	var heard []StepTime
	to := &Gossip{
		OnReport:   func(id uint64, load target.Load, _ time.Time, _ bool) { loads[id] = load },
		OnStepTime: func(s StepTime) { heard = append(heard, s) },
	}
	var versions []int
	for _, payload := range from.datagrams(time.Now()) {
		versions = append(versions, datagramVersion(payload))
		to.handleDatagram(payload, nil, now)
	}
	assert.DeepEqual(t, versions, []int{version, pacedVersion, stepVersion})
	assert.DeepEqual(t, loads, map[uint64]target.Load{
		HashTarget("t/1"): {Running: 3, Waiting: 1, PacePercent: 250}, HashTarget("t/2"): {Running: 2},
	})
	assert.Equal(t, len(heard), 1, "%v", heard)
	assert.Equal(t, heard[0].Step, 31*time.Millisecond)
	assert.Equal(t, len(from.dueStepTimes(time.Now())), 0, "step times are sent in each round")
}
