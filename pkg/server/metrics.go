package server

import (
	"expvar"
	"fmt"
	"net/http"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/burn"
	"lacewingwheel.example/lacewingwheel/pkg/gateway"
)

// metricsName is the name of the router's metrics in /debug/vars.
const metricsName = burn.ExpvarMapName

// Metrics holds the metrics of one router. They are not in expvar's global
// registry, which panics when a second router of the process publishes the same
// names. Its methods may be called concurrently.
type Metrics struct {
	vars     *expvar.Map
	requests expvar.Int
	failures expvar.Int
}

// NewMetrics returns metrics with all counters at zero.
func NewMetrics() *Metrics {
	m := &Metrics{vars: new(expvar.Map).Init()}
	m.Publish("requests", &m.requests)
	m.Publish("failures", &m.failures)
	return m
}

// Publish adds a metric or replaces the one with the same name.
func (m *Metrics) Publish(name string, v expvar.Var) { m.vars.Set(name, v) }

// Record implements gateway.Recorder. It counts requests and failures.
func (m *Metrics) Record(_ *gateway.Exchange, failure *apierr.Error) {
	m.requests.Add(1)
	if failure != nil {
		m.failures.Add(1)
	}
}

// ServeHTTP writes the metrics of the process and of the router, in the format
// of expvar's own handler.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprint(w, "{\n")
	expvar.Do(func(v expvar.KeyValue) { fmt.Fprintf(w, "%q: %s,\n", v.Key, v.Value) })
	fmt.Fprintf(w, "%q: %s\n}\n", metricsName, m.vars)
}

// publishStateMetrics adds the metrics whose values the controllers hold.
func (s *Server) publishStateMetrics() {
	s.metrics.Publish("generation", expvar.Func(func() any { return s.configuration.Generation() }))
	s.metrics.Publish("ready", expvar.Func(func() any { return s.ready() }))
	s.metrics.Publish(burn.ExpvarName, burn.RecorderVar{Recorder: s.burnRecorder, Instance: s.settings.Instance.ID, Zone: s.settings.Instance.Zone})
	s.metrics.Publish("targets", expvar.Func(func() any { return len(s.targets.TargetSet().Targets) }))
	if s.peers == nil {
		return
	}
	s.metrics.Publish("peers", expvar.Func(func() any { return len(s.peers.tracker.PeerSet().Peers) }))
	s.metrics.Publish("peers_failing", expvar.Func(func() any { return s.peers.failingCount() }))
}
