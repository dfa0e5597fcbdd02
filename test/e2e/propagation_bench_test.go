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
	propagationInstances    = 8
	propagationPollInterval = time.Millisecond
	propagationLimit        = 15 * time.Second // for a change to be in force on all instances
)

// BenchmarkConfigurationPropagation measures the time from the acceptance of a
// configuration on the platform until all of 8 routers have it in force. Run with
//
//	go test ./test/e2e -run '^$' -bench ConfigurationPropagation -benchtime 100x
func BenchmarkConfigurationPropagation(b *testing.B) {
	b.Run("platform up", func(b *testing.B) { measurePropagation(b, propagationInstances) })
	b.Run("one instance reaches the platform", func(b *testing.B) { measurePropagation(b, 1) })
}

// measurePropagation starts the routers, of which the first platformInstances reach
// the platform, and measures one configuration change per iteration.
func measurePropagation(b *testing.B, platformInstances int) {
	f := harness.StartFleet(b)
	authority := certstest.NewAuthority(b)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine")
	var routers []*harness.Process
	var seeds []string
	for n := range propagationInstances {
		o := harness.RouterOptions{ID: fmt.Sprint("r", n), Authority: authority, Seeds: seeds}
		if n >= platformInstances {
			o.PlatformAddress = harness.UnusedAddress(b)
		}
		r := f.StartRouter(o)
		routers, seeds = append(routers, r), append(seeds, r.Addresses["peer"])
	}
	for _, r := range routers {
		harness.WaitReady(b, r)
	}
	times := hdrhistogram.New(1, propagationLimit.Microseconds(), 3)
	generation := uint64(1)
	for b.Loop() {
		generation++
		f.PutTables(generation, harness.RoutesTable, harness.PoolsWithKey(f.APIKey))
		accepted := time.Now()
		waitForGenerationOnAll(b, routers, generation)
		assert.NilError(b, times.RecordValue(time.Since(accepted).Microseconds()))
	}
	for name, percentile := range map[string]float64{"p50-ms": 50, "p95-ms": 95, "max-ms": 100} {
		b.ReportMetric(float64(times.ValueAtPercentile(percentile))/1000, name)
	}
	b.ReportMetric(0, "ns/op")
}

// waitForGenerationOnAll waits until all routers have at least this generation in
// force. After propagationLimit the benchmark fails.
func waitForGenerationOnAll(b *testing.B, routers []*harness.Process, generation uint64) {
	b.Helper()
	limit := time.Now().Add(propagationLimit)
	var group sync.WaitGroup
	for _, r := range routers {
		group.Go(func() {
			for {
				status, err := harness.ReadStatus(r)
				if err == nil && status.Generation >= generation {
					return
				}
				if time.Now().After(limit) {
					b.Errorf("generation %d was not in force within %v on a router", generation, propagationLimit)
					return
				}
				time.Sleep(propagationPollInterval)
			}
		})
	}
	group.Wait()
}
