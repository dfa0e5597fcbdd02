// Package server assembles a router from its settings.
package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/config"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/gateway"
	"lacewingwheel.example/lacewingwheel/pkg/platform/httpapi"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	idleTimeout       = 2 * time.Minute
)

// Server is one router process.
type Server struct {
	settings *config.Settings
	log      hclog.Logger

	configuration *control.Configuration
	targets       *control.Targets
	sessions      *gateway.Sessions
	metrics       *Metrics
	stopping      atomic.Bool

	caller   *http.Server
	operator *http.Server

	callerListener   net.Listener
	operatorListener net.Listener
}

// New assembles a router and opens its listeners.
func New(settings *config.Settings, log hclog.Logger) (*Server, error) {
	client := httpapi.New(settings.Platform.Address)
	s := &Server{
		settings:      settings,
		log:           log,
		configuration: &control.Configuration{Store: client, Log: log.Named("configuration")},
		targets:       &control.Targets{List: client, Client: engine.NewHTTPClient(), Log: log.Named("targets")},
		sessions:      gateway.NewSessions(),
		metrics:       NewMetrics(),
	}
	s.configuration.OnChange(func(snapshot *tables.Snapshot, _ *control.Accepted) {
		if n := s.sessions.Recheck(snapshot); n > 0 {
			log.Info("requests of revoked keys cancelled", "count", n)
		}
	})
	s.caller = s.newHTTPServer(s.callerMux())
	s.operator = s.newHTTPServer(s.operatorMux())
	return s, s.listen()
}

func (s *Server) newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          s.log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{InferLevels: true}),
	}
}

func (s *Server) listen() error {
	var err error
	if s.callerListener, err = net.Listen("tcp", s.settings.Instance.CallerListen); err != nil {
		return fmt.Errorf("caller_listen: %w; choose another address or end the process that uses it", err)
	}
	if s.operatorListener, err = net.Listen("tcp", s.settings.Instance.OperatorListen); err != nil {
		s.callerListener.Close()
		return fmt.Errorf("operator_listen: %w; choose another address or end the process that uses it", err)
	}
	s.log.Info("listening", "caller", s.CallerAddress(), "operator", s.OperatorAddress())
	return nil
}

// CallerAddress returns the address that callers use.
func (s *Server) CallerAddress() string { return s.callerListener.Addr().String() }

// OperatorAddress returns the address that operators use.
func (s *Server) OperatorAddress() string { return s.operatorListener.Addr().String() }

// callerMux routes everything but the model list through the whole chain. The
// route table, not the mux, decides which paths exist.
func (s *Server) callerMux() http.Handler {
	picker := &gateway.LeastLoaded{Targets: s.targets}
	account := &gateway.Account{Log: s.log.Named("request"), Recorder: s.metrics}
	key := &gateway.Key{Source: s.configuration, Sessions: s.sessions}
	mux := http.NewServeMux()
	mux.Handle("/", gateway.NewChain(s.log.Named("gateway"),
		gateway.RequestID{}, account, key, gateway.Route{},
		&gateway.Choose{Picker: picker},
		&gateway.Forward{Picker: picker, Sender: gateway.NewSender(), Budgets: gateway.NewRetryBudgets()},
	))
	mux.Handle("GET /v1/models", gateway.NewChain(s.log.Named("gateway"),
		gateway.RequestID{}, key, gateway.Models{},
	))
	return mux
}

// Run serves until ctx ends, then drains.
func (s *Server) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	var group sync.WaitGroup
	for _, run := range []func(context.Context){s.configuration.Run, s.targets.Run} {
		group.Go(func() { run(background) })
	}
	failed := make(chan error, 2)
	go func() { failed <- s.caller.Serve(s.callerListener) }()
	go func() { failed <- s.operator.Serve(s.operatorListener) }()
	var err error
	select {
	case <-ctx.Done():
		err = s.drain()
	case err = <-failed:
	}
	s.operator.Close()
	stopBackground()
	group.Wait()
	return err
}

// drain leaves readiness and waits for the running requests.
func (s *Server) drain() error {
	s.stopping.Store(true)
	s.log.Info("stopping; waiting for running requests", "limit", s.settings.Server.DrainTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.Server.DrainTimeout)
	defer cancel()
	if err := s.caller.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.caller.Close()
		return fmt.Errorf("requests were still running at the drain timeout: %w; raise drain_timeout", err)
	}
	s.log.Info("stopped")
	return nil
}
