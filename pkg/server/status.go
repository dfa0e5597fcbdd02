package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/control"
)

// Status is the document that /status.json returns.
type Status struct {
	Instance    string             `json:"instance"`
	Zone        string             `json:"zone"`
	Incarnation string             `json:"incarnation"`
	Ready       bool               `json:"ready"`
	NotReady    string             `json:"not_ready,omitempty"` // why the instance is not ready
	Stopping    bool               `json:"stopping"`
	Generation  uint64             `json:"generation"`
	Editor      string             `json:"editor,omitempty"`
	Rejected    *control.Rejection `json:"rejected,omitempty"`
	Remedy      string             `json:"remedy,omitempty"`
	ListAge     string             `json:"list_age,omitempty"` // age of the instance list
	Targets     []TargetStatus     `json:"targets"`
	Peers       []PeerStatus       `json:"peers"`
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
	Observed      bool   `json:"observed"` // this instance reads the target's state itself, each second
}

// PeerStatus is one other instance in the status document.
type PeerStatus struct {
	ID          string     `json:"id"`
	Address     string     `json:"address"`
	Zone        string     `json:"zone"`
	Incarnation string     `json:"incarnation"`
	Generation  uint64     `json:"generation"`
	Leaving     bool       `json:"leaving"`
	LastContact *time.Time `json:"last_contact,omitempty"` // absent before the first contact
	FailedSince *time.Time `json:"failed_since,omitempty"` // absent while the peer answers
}

func (s *Server) serveStatusJSON(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(s.status())
}

func (s *Server) status() Status {
	status := Status{
		Instance: s.settings.Instance.ID, Zone: s.settings.Instance.Zone, Incarnation: s.incarnation,
		Ready: s.ready(), NotReady: s.notReadyReason(), Stopping: s.stopping.Load(),
		Generation: s.configuration.Generation(),
		Targets:    s.targetStatuses(), Peers: s.peerStatuses(),
	}
	if accepted := s.configuration.AcceptedConfiguration(); accepted != nil {
		status.Editor = accepted.Editor
	}
	if rejected := s.configuration.LastRejection(); rejected != nil && rejected.Generation > status.Generation {
		status.Rejected = rejected
		status.Remedy = fmt.Sprintf("generation %d stays in force; correct the tables, check them with `lacewingwheel check` and put them again with `lacewingwheel tables put`", status.Generation)
	}
	if age, known := s.instanceList.Age(); known {
		status.ListAge = age.Round(time.Millisecond).String()
	}
	return status
}

func (s *Server) targetStatuses() []TargetStatus {
	rows := []TargetStatus{}
	for _, t := range s.targets.TargetSet().Targets {
		rows = append(rows, TargetStatus{
			ID: t.ID, Zone: t.Zone, Reachable: t.Reachable, Leaving: t.Leaving,
			Model: t.Model, WeightVersion: t.WeightVersion, InFlight: t.Live.InFlight.Load(),
			Observed: s.targets.Observes(t.ID),
		})
	}
	return rows
}

func (s *Server) peerStatuses() []PeerStatus {
	rows := []PeerStatus{}
	if s.peers == nil {
		return rows
	}
	for _, p := range s.peers.tracker.PeerSet().Peers {
		rows = append(rows, PeerStatus{
			ID: p.ID, Address: p.Address, Zone: p.Zone, Incarnation: p.Incarnation,
			Generation: p.Generation, Leaving: p.Leaving,
			LastContact: optionalTime(p.LastContact), FailedSince: optionalTime(p.FailedSince),
		})
	}
	return rows
}

// optionalTime returns nil for the zero time.
func optionalTime(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}
