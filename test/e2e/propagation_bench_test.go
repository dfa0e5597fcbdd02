package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/certs/certstest"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/test/harness"
)

const (
	spreadInstances = 8
	spreadPoll      = time.Millisecond
	spreadLimit     = 15 * time.Second // the design's limit for a change
)

// BenchmarkConfigurationSpread measures the time from the acceptance of a change
// on the platform until all of 8 processes have it in force. Run with
//
//	go test ./test/e2e -run '^$' -bench ConfigurationSpread -benchtime 100x
func BenchmarkConfigurationSpread(b *testing.B) {
	b.Run("platform up", func(b *testing.B) { measureSpread(b, spreadInstances) })
	b.Run("one instance reaches the platform", func(b *testing.B) { measureSpread(b, 1) })
}

// measureSpread starts the processes, of which only some reach the platform.
func measureSpread(b *testing.B, reaching int) {
	f := harness.StartFleet(b)
	authority := certstest.NewAuthority(b)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine")
	var routers []*harness.Process
	var seeds []string
	for n := range spreadInstances {
		o := harness.RouterOptions{ID: fmt.Sprint("r", n), Authority: authority, Seeds: seeds}
		if n >= reaching {
			o.PlatformAddress = harness.UnusedAddress(b)
		}
		r := f.StartRouter(o)
		routers, seeds = append(routers, r), append(seeds, r.Addresses["peer"])
	}
	for _, r := range routers {
		harness.WaitReady(b, r)
	}
	times := hdrhistogram.New(1, spreadLimit.Microseconds(), 3)
	generation := uint64(1)
	for b.Loop() {
		generation++
		f.PutTables(generation, harness.RoutesTable, harness.PoolsWithKey(f.APIKey))
		accepted := time.Now()
		waitAll(b, routers, generation)
		assert.NilError(b, times.RecordValue(time.Since(accepted).Microseconds()))
	}
	for name, percentile := range map[string]float64{"p50-ms": 50, "p95-ms": 95, "max-ms": 100} {
		b.ReportMetric(float64(times.ValueAtPercentile(percentile))/1000, name)
	}
	b.ReportMetric(0, "ns/op")
}

// waitAll waits until all routers have a generation in force.
func waitAll(b *testing.B, routers []*harness.Process, generation uint64) {
	b.Helper()
	limit := time.Now().Add(spreadLimit)
	var group sync.WaitGroup
	for _, r := range routers {
		group.Go(func() {
			for {
				status, err := harness.ReadStatus(r)
				if err == nil && status.Generation >= generation {
					return
				}
				if time.Now().After(limit) {
					b.Errorf("generation %d is not in force within %v", generation, spreadLimit)
					return
				}
				time.Sleep(spreadPoll)
			}
		})
	}
	group.Wait()
}
