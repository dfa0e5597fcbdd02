package server

import (
	"net/http"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/choice"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/gateway"
	"lacewingwheel.example/lacewingwheel/pkg/prefix"
)

// callerMux routes everything but the model list through the whole chain. The
// route table, not the mux, decides which paths exist.
func (s *Server) callerMux() http.Handler {
	log := s.log.Named("gateway")
	key := &gateway.Authentication{Source: s.configuration, RunningRequests: s.sessions}
	mux := http.NewServeMux()
	mux.Handle("/", gateway.NewChain(log, s.filters(key)...))
	mux.Handle("GET /v1/models", gateway.NewChain(log, gateway.RequestID{}, key, gateway.Models{}))
	return mux
}

// filters returns the chain in order.
func (s *Server) filters(key *gateway.Authentication) []gateway.Filter {
	picker := s.picker()
	return []gateway.Filter{
		gateway.RequestID{},
		&gateway.AccessLog{Log: s.log.Named("request"), Recorder: s.recorder()},
		key,
		gateway.Routing{},
		&gateway.Idempotency{Claims: s.claims, Log: s.log.Named("idempotency")},

		&gateway.Quarantine{PoisonDetector: s.poison},
		s.quota.limit,
		gateway.NewAdmission(s.targets, s.instanceCount),
		&gateway.TargetSelection{Picker: picker},
		&gateway.Forwarder{
			Picker: picker, Sender: s.sender(), RetryBudgets: gateway.NewRetryBudgets(),
			PoisonDetector: s.poison, CrashDetector: &gateway.CrashProbe{Client: engine.NewHTTPClient()},
		},
	}
}

func (s *Server) sender() *gateway.Sender {
	sender := gateway.NewSender()
	sender.Targets = s.targets
	return sender
}

// picker returns the target choice with an index of this instance's own routing
// history.
func (s *Server) picker() gateway.TargetPicker {
	instance := s.settings.Instance
	index := prefix.NewIndex(prefix.DefaultIndexParams())
	return &gateway.PrefixPicker{
		Targets: s.targets, InstanceCount: s.instanceCount,
		Chooser: choice.New(choice.DefaultParams(), instance.ID, instance.Zone, index),
	}
}

// instanceCount returns how many instances share the traffic, as far as this
// one has had contact with them.
func (s *Server) instanceCount() int {
	if s.peers == nil {
		return 1
	}
	return 1 + s.peers.serving()
}

// recorders passes finished requests to several recorders.
type recorders []gateway.Recorder

// Record implements gateway.Recorder.
func (r recorders) Record(ex *gateway.Exchange, failure *apierr.Error) {
	for _, recorder := range r {
		recorder.Record(ex, failure)
	}
}

func (s *Server) recorder() gateway.Recorder {
	return recorders{s.metrics, &gateway.BurnRecorder{Recorder: s.burn}}
}
