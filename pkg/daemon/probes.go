package daemon

import (
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/callerconn"
)

// probeTimeout bounds reading a probe and writing its answer.
const probeTimeout = 5 * time.Second

// newProbeServer returns a server for probes or readers of metrics, whose connections are
// bounded.
func (d *Daemon) newProbeServer(handler http.HandlerFunc) *http.Server {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, callerconn.ErrOutOfMemory.Error(), http.StatusServiceUnavailable)
	}
	return &http.Server{
		Handler: d.probes.Handler(handler, http.HandlerFunc(refuse)), ConnState: d.probes.Record, ConnContext: callerconn.ContextWithConn,
		ReadTimeout: probeTimeout, WriteTimeout: probeTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: d.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// serveReady answers the readiness probe of the platform.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := d.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
	}
}
