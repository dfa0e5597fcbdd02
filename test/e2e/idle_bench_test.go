package e2e

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/certs/certstest"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/test/harness"
)

const (
	// idlePeriod is the time that the routers run without traffic.
	idlePeriod = 30 * time.Second
	// idleTargets is the number of targets of the larger deployment.
	idleTargets = 22
)

// BenchmarkIdleInstances measures the CPU time and peak memory of 8 routers without
// traffic or changes: they read the platform and the targets and exchange messages
// with peers. The CPU time includes the start of the processes. Run with
//
//	go test ./test/e2e -run '^$' -bench IdleInstances -benchtime 1x
func BenchmarkIdleInstances(b *testing.B) {
	for b.Loop() {
		f := harness.StartFleet(b)
		authority := certstest.NewAuthority(b)
		e := f.StartTarget("engine-1", objectstore.RoleEngine, "engine")
		for n := 2; n <= idleTargets; n++ {
			// One process serves as all targets; only the routers are measured.
			f.SendAdminRequest(http.MethodPut, f.Platform.Addresses["address"], "/admin/instances", objectstore.Instance{
				ID: fmt.Sprint("engine-", n), Role: objectstore.RoleEngine, Address: e.Addresses["address"], Zone: "a",
				Labels: map[string]string{"app": "engine"},
			})
		}
		var routers []*harness.Process
		var seeds []string
		for n := range propagationInstances {
			r := f.StartRouter(harness.RouterOptions{ID: fmt.Sprint("r", n), Authority: authority, Seeds: seeds})
			routers, seeds = append(routers, r), append(seeds, r.Addresses["peer"])
		}
		started := time.Now()
		<-time.After(idlePeriod)
		var cpu time.Duration
		var peak int64
		for _, r := range routers {
			r.Signal(b, syscall.SIGTERM)
			<-r.Exited
			cpu += r.Cmd.ProcessState.UserTime() + r.Cmd.ProcessState.SystemTime()
			peak = max(peak, r.Cmd.ProcessState.SysUsage().(*syscall.Rusage).Maxrss)
		}
		wall := time.Since(started) * propagationInstances
		b.ReportMetric(100*cpu.Seconds()/wall.Seconds(), "cpu-%")
		b.ReportMetric(float64(peak)/1024, "peak-MB")
	}
	b.ReportMetric(0, "ns/op")
}
