package daemon

import (
	"expvar"
	"fmt"
	"net/http"
)

func (d *Daemon) publish() {
	set := func(name string, f func() any) { d.metrics.Set(name, expvar.Func(f)) }
	set("ready", func() any { return d.ready() == "" })
	set("configuration_proof_age_seconds", func() any { return d.configuration.ProofAge().Seconds() })
	set("instances", func() any { return d.members.LiveCount() })
	d.metrics.Set("first_event", &d.journal.FirstEventLatency)
	d.metrics.Set("whole_answer", &d.journal.TotalLatency)
	d.metrics.Set("store_call", &d.storeCalls)
	set("connections_opened", func() any { return d.conns.OpenedConns.Load() })
	set("connections_reused", func() any { return d.conns.ReusedConns.Load() })
	set("connections_dropped", func() any { return d.conns.DroppedConns.Load() })
}

// serveMetrics serves the metrics of the process. A port that cannot be opened
// costs the metrics only.
func (d *Daemon) serveMetrics(address string) {
	if address == "" {
		return
	}
	server := &http.Server{Addr: address, ReadHeaderTimeout: readHeaderTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		fmt.Fprintln(w, d.metrics.String())
	})}
	go func() {
		d.log.Warn("metrics are not served", "address", address, "cause", server.ListenAndServe())
	}()
}
