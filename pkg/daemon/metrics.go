package daemon

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
)

// publishMetrics adds the metrics to the daemon's map.
func (d *Daemon) publishMetrics() {
	set := func(name string, f func() any) { d.metrics.Set(name, expvar.Func(f)) }
	set("ready", func() any { return d.notReadyReason() == "" })
	set("configuration_proof_age_seconds", func() any { return d.configuration.ProofAge().Seconds() })
	set("instances", func() any { return d.members.LiveCount() })
	set("store_era", func() any { era, _ := d.storeHealth.Era(); return era })
	set("store_restores", func() any { return d.storeHealth.Restores() })
	set("configuration_newer_than_store", func() any { return d.configuration.IsNewerThanStore() })
	d.metrics.Set("first_event", &d.requestLog.FirstEventLatency)
	d.metrics.Set("whole_answer", &d.requestLog.TotalLatency)
	d.metrics.Set("store_call", &d.storeCalls)
	set("target_speeds", func() any { return d.placer.Speeds() })
	set("response_memory_bytes", func() any { return d.responseMemory.Used() })
	set("admission_waiting", func() any { return d.admission.Waiting() })
	set("admission_usage", func() any { return d.admission.Usage.TokensPerSecond(time.Now()) })
	set("connections_opened", func() any { return d.targetConns.OpenedConns.Load() })
	set("connections_reused", func() any { return d.targetConns.ReusedConns.Load() })
	set("connections_dropped", func() any { return d.targetConns.DroppedConns.Load() })
}

// serveMetrics serves the metrics in the background. If the address cannot be
// opened, the daemon runs without serving them.
func (d *Daemon) serveMetrics(address string) {
	if address == "" {
		return
	}
	server := d.newProbeServer(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		fmt.Fprintln(w, d.metrics.String())
	})
	listener, err := d.listen("tcp", address)
	if err != nil {
		d.log.Warn("metrics are not served", "address", address, "cause", err)
		return
	}
	go func() {
		d.log.Warn("metrics are not served", "address", address, "cause", server.Serve(d.probes.Listen(listener, false)))
	}()
}

// speedLogInterval is the time between two lines about the learned speeds of targets.
const speedLogInterval = 10 * time.Second

// logSpeeds logs the slowest and the fastest target of each pool with uneven targets
// until ctx ends.
func (d *Daemon) logSpeeds(ctx context.Context) {
	for clock.Sleep(ctx, speedLogInterval) {
		for pool, learned := range d.placer.Speeds() {
			slowest, fastest := "", ""
			for id, slowness := range learned.Slowness {
				if slowest == "" || slowness > learned.Slowness[slowest] {
					slowest = id
				}
				if fastest == "" || slowness < learned.Slowness[fastest] {
					fastest = id
				}
			}
			d.log.Info("learned speeds of targets", "pool", pool, "targets", len(learned.Slowness), "prefill_per_token", learned.Prefill, "home_moves", learned.HomeMoves,
				"slowest", slowest, "slowest_takes", learned.Slowness[slowest], "fastest", fastest, "fastest_takes", learned.Slowness[fastest])
		}
	}
}
