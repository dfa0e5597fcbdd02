package server

import (
	"encoding/json"
	"expvar"
	"net/http"

	"lacewingwheel.example/lacewingwheel/pkg/control"
)

// Status is the document of /status.json.
type Status struct {
	Instance   string             `json:"instance"`
	Zone       string             `json:"zone"`
	Ready      bool               `json:"ready"`
	Stopping   bool               `json:"stopping"`
	Generation uint64             `json:"generation"`
	Rejected   *control.Rejection `json:"rejected,omitempty"`
	Targets    []TargetStatus     `json:"targets"`
}

// TargetStatus is one target in the status document.
type TargetStatus struct {
	ID            string `json:"id"`
	Zone          string `json:"zone"`
	Reachable     bool   `json:"reachable"`
	Leaving       bool   `json:"leaving"`
	Model         string `json:"model"`
	WeightVersion string `json:"weight_version"`
	InFlight      int64  `json:"in_flight"`
}

func (s *Server) operatorMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("GET /status.json", s.statusJSON)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

func (s *Server) ready() bool {
	return !s.stopping.Load() && s.configuration.Snapshot() != nil
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if s.ready() {
		w.Write([]byte("ok\n"))
		return
	}
	reason := "no configuration yet: check that the platform or a peer answers"
	if s.stopping.Load() {
		reason = "stopping"
	}
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (s *Server) statusJSON(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(s.status())
}

func (s *Server) status() Status {
	status := Status{
		Instance: s.settings.Instance.ID, Zone: s.settings.Instance.Zone,
		Ready: s.ready(), Stopping: s.stopping.Load(),
		Generation: s.configuration.Generation(), Rejected: s.configuration.Rejected(),
	}
	for _, t := range s.targets.Set().Targets {
		status.Targets = append(status.Targets, TargetStatus{
			ID: t.ID, Zone: t.Zone, Reachable: t.Reachable, Leaving: t.Leaving,
			Model: t.Model, WeightVersion: t.WeightVersion, InFlight: t.Live.InFlight.Load(),
		})
	}
	return status
}
