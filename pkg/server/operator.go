package server

import (
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/callerconn"
)

// operatorTimeout bounds reading a request of the operator and writing its answer.
const operatorTimeout = 10 * time.Second

// operatorHandler returns the handler of the operator listener.
func (s *Server) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.serveReadyz)
	mux.HandleFunc("GET /status", s.serveStatusPage)
	mux.HandleFunc("GET /status.json", s.serveStatusJSON)
	mux.Handle("GET /debug/vars", s.metrics)
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, callerconn.ErrOutOfMemory.Error(), http.StatusServiceUnavailable)
	}
	return s.probes.Handler(mux, http.HandlerFunc(refuse))
}

func (s *Server) ready() bool { return s.notReadyReason() == "" }

// notReadyReason returns why the instance is not ready, or "" if it is.
func (s *Server) notReadyReason() string {
	switch {
	case s.stopping.Load():
		return "stopping"
	case s.configuration.Snapshot() == nil:
		return "no configuration yet: check that the platform or a peer answers"
	case !s.targets.Ready():
		return "targets not read yet: check that the platform or a peer gives the instance list"
	case !s.quota.leaseController.Ready():
		return "quota shares not asked for yet: wait"
	}
	return ""
}

func (s *Server) serveReadyz(w http.ResponseWriter, _ *http.Request) {
	if reason := s.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ok\n"))
}
