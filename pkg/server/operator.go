package server

import (
	"net/http"
)

func (s *Server) operatorMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("GET /status", s.statusPage)
	mux.HandleFunc("GET /status.json", s.statusJSON)
	mux.Handle("GET /debug/vars", s.metrics)
	return mux
}

func (s *Server) ready() bool { return s.notReadyReason() == "" }

// notReadyReason returns what the instance waits for, or "" when it is ready.
func (s *Server) notReadyReason() string {
	switch {
	case s.stopping.Load():
		return "stopping"
	case s.configuration.Snapshot() == nil:
		return "no configuration yet: check that the platform or a peer answers"
	case !s.targets.Ready():
		return "targets not read yet: check that the platform or a peer gives the instance list"
	case !s.quota.lease.Ready():
		return "quota shares not asked for yet: wait"
	}
	return ""
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := s.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ok\n"))
}
