package server

import (
	"net/http"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/choice"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/gateway"
	"lacewingwheel.example/lacewingwheel/pkg/prefix"
)

// callerHandler returns the handler of callers' requests. The model list has a
// short filter chain; all other paths go through the whole chain, in which the
// route table, not the mux, decides which paths exist.
func (s *Server) callerHandler() http.Handler {
	log := s.log.Named("gateway")
	authentication := &gateway.Authentication{Source: s.configuration, RunningRequests: s.runningRequests}
	mux := http.NewServeMux()
	mux.Handle("/", gateway.NewChain(log, s.filters(authentication)...))
	mux.Handle("GET /v1/models", gateway.NewChain(log, gateway.RequestID{}, authentication, gateway.ModelList{}))
	return s.callers.Handler(mux, gateway.NewChain(log, gateway.RequestID{}, gateway.OutOfMemory{}))
}

// filters returns the filters of the whole chain, in the order in which they run.
func (s *Server) filters(authentication *gateway.Authentication) []gateway.Filter {
	picker := s.newPicker()
	return []gateway.Filter{
		gateway.RequestID{},
		&gateway.AccessLog{Log: s.log.Named("request"), Recorder: s.newRecorder()},
		authentication,
		gateway.Routing{Callers: s.callers},
		&gateway.Idempotency{Claims: s.claims, Log: s.log.Named("idempotency")},

		&gateway.Quarantine{PoisonDetector: s.poisonDetector},
		s.quota.rateLimit,
		gateway.NewAdmission(s.targets, s.instanceCount),
		&gateway.TargetSelection{Picker: picker},
		&gateway.Forwarder{
			Picker: picker, Sender: s.newSender(), RetryBudgets: gateway.NewRetryBudgets(),
			PoisonDetector: s.poisonDetector, CrashDetector: &gateway.CrashProbe{Client: engine.NewHTTPClient()},
		},
	}
}

func (s *Server) newSender() *gateway.Sender {
	sender := gateway.NewSender()
	if limit := s.settings.Server.MemoryLimit; limit > 0 {
		sender.LimitMemory(limit)
	}
	sender.Targets = s.targets
	return sender
}

// newPicker returns a picker that chooses targets by the prompt prefixes that this
// instance has routed to them.
func (s *Server) newPicker() gateway.TargetPicker {
	instance := s.settings.Instance
	index := prefix.NewIndex(prefix.DefaultIndexParams())
	return &gateway.PrefixPicker{
		Targets: s.targets, InstanceCount: s.instanceCount,
		Chooser: choice.New(choice.DefaultParams(), instance.ID, instance.Zone, index),
	}
}

// instanceCount returns the number of instances that share the traffic: this one
// and the peers that answer and are not leaving.
func (s *Server) instanceCount() int {
	if s.peers == nil {
		return 1
	}
	return 1 + s.peers.servingCount()
}

// recorders passes each finished request to all its recorders.
type recorders []gateway.Recorder

// Record implements gateway.Recorder.
func (r recorders) Record(ex *gateway.Exchange, failure *apierr.Error) {
	for _, recorder := range r {
		recorder.Record(ex, failure)
	}
}

func (s *Server) newRecorder() gateway.Recorder {
	return recorders{s.metrics, &gateway.BurnRecorder{Recorder: s.burnRecorder}}
}
