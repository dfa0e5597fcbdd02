package daemon_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/daemon"
	"lacewingwheel.example/lacewingwheel/platform"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// benchmarkZones is the number of availability zones of a benchmarked fleet.
const benchmarkZones = 6

// startIdleFleet starts instances of one fleet in this process. Its targets have
// entries only, because no request is sent.
func startIdleFleet(b *testing.B, instances, targets, organisations int) {
	b.Helper()
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	b.Cleanup(server.Close)
	store.Put(platform.KindWeights, "m", map[string]any{"model": "m", "version": 1})
	for i := range targets {
		store.Put(platform.KindTargets, fmt.Sprintf("i-%d", i), map[string]any{
			"service": platformtest.PoolName, "address": fmt.Sprintf("127.0.0.1:%d", 20000+i), "zone": zoneName(i), "version": "v1", "slots": 16,
			"state": "ready", "cold_remaining_ms": 0, "seq": 0, "born": 1700000000000, "models": []map[string]any{{"name": "m", "version": 1}},
		})
	}
	store.PutOrganisations(1, organisations)
	sockets := newHeldSockets(b)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, instances)
	for i := range instances {
		settings := &daemon.Settings{
			Instance: fmt.Sprintf("edge-%d", i), Zone: zoneName(i), CallerListen: sockets.tcpAddress(b), ReadyListen: sockets.tcpAddress(b), MetricsListen: sockets.tcpAddress(b),
			GossipListen: sockets.udpAddress(b), ExchangeListen: sockets.udpAddress(b), StoreAddress: strings.TrimPrefix(server.URL, "http://"), FirstStart: true,
			StopTimeout: 4 * time.Second, MaxTargetLeaveDelay: 4 * time.Second, MaxRevocationDelay: 5 * time.Second, MaxRolloutDelay: 15 * time.Second, OrderHandoverPause: 3 * time.Second,
			RetryRatio: 0.2, ExtraRetries: 630, RetryWindow: 10 * time.Second, QuotaWindow: 8 * time.Second, QuotaOverage: 0.1, QuotaSlack: 110000,
		}
		current := func() *daemon.Settings { return settings }
		d := daemon.New(current, platform.New(current), hclog.NewNullLogger())
		d.UseSockets(sockets.listen, sockets.listenPacket)
		go func() { stopped <- d.Run(ctx) }()
	}
	b.Cleanup(func() {
		cancel()
		for range instances {
			assert.Check(b, <-stopped)
		}
	})
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%benchmarkZones) }

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkIdleInstance reports the processor time that an instance without requests
// takes, per second, in fleets of several sizes. The stand-in for the store runs in
// the same process and is part of it.
func BenchmarkIdleInstance(b *testing.B) {
	for _, size := range []struct{ instances, targets, organisations int }{{7, 6, 5}, {76, 60, 16}, {150, 246, 40}} {
		b.Run(fmt.Sprintf("instances=%d,targets=%d,organisations=%d", size.instances, size.targets, size.organisations), func(b *testing.B) {
			startIdleFleet(b, size.instances, size.targets, size.organisations)
			time.Sleep(8 * time.Second) // until all have registered and connected
			b.ResetTimer()
			before, start := processorTime(b), time.Now()
			for range b.N {
				time.Sleep(time.Second)
			}
			used := processorTime(b) - before
			b.ReportMetric(float64(used.Microseconds())/time.Since(start).Seconds()/float64(size.instances), "µs/instance/s")
		})
	}
}
