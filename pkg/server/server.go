// Package server assembles a router from its settings.
package server

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/burn"
	"lacewingwheel.example/lacewingwheel/pkg/claim"
	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/config"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/gateway"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore/httpapi"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// Server is one router process.
type Server struct {
	settings *config.Settings
	log      hclog.Logger

	store         objectstore.Store
	configuration *control.ConfigurationController
	listing       *control.InstanceListCache
	targets       *control.TargetController
	peers         *peers // nil without settings for peers
	orders        *control.OrderController
	quota         *quotaParts
	claims        *claim.Manager
	poison        *claim.PoisonDetector
	sessions      *gateway.RunningRequests
	metrics       *Metrics
	burn          *burn.Recorder
	incarnation   string // made at start, so that others see a restart
	stopping      atomic.Bool

	caller   *endpoint
	operator *endpoint
}

// New assembles a router and opens its listeners.
func New(settings *config.Settings, log hclog.Logger) (*Server, error) {
	client := httpapi.New(settings.Platform.Address)
	listing := control.NewInstanceListCache(client, log.Named("listing"))
	targetClient := engine.NewHTTPClient()
	s := &Server{
		settings:      settings,
		log:           log,
		store:         client,
		configuration: &control.ConfigurationController{Store: client, Log: log.Named("configuration")},
		listing:       listing,
		targets:       &control.TargetController{List: listing, Client: targetClient, Log: log.Named("targets")},
		sessions:      gateway.NewRunningRequests(),
		poison:        claim.NewPoisonDetector(),
		metrics:       NewMetrics(),
		burn:          burn.NewRecorder(time.Now),
		incarnation:   uuid.NewString(),
	}
	s.claims = claim.NewManager(claim.Options{
		Store: client, Clock: clock.System{}, Log: log.Named("claims"),
		Instance: settings.Instance.ID, Incarnation: s.incarnation, HasEnded: s.incarnationEnded,
	})
	s.orders = control.NewOrderController(client, clock.System{}, settings.Instance.ID, s.incarnation)
	s.orders.Client, s.orders.Log = targetClient, log.Named("orders")
	s.orders.Configuration, s.orders.Targets = s.configuration, s.targets
	s.configuration.OnChange(func(snapshot *tables.Snapshot, _ *control.AcceptedConfiguration) {
		if n := s.sessions.CancelRevoked(snapshot); n > 0 {
			log.Info("requests of revoked keys cancelled", "count", n)
		}
	})
	if err := s.open(); err != nil {
		return nil, errors.Join(err, s.close())
	}
	s.publishState()
	s.logListening()
	return s, nil
}

// open opens all sockets.
func (s *Server) open() error {
	wanted, err := peersWanted(s.settings)
	if err != nil {
		return err
	}
	if wanted {
		if s.peers, err = newPeers(s.settings, s.incarnation, s.configuration, s.listing, s.log); err != nil {
			return err
		}
		s.peers.sharePoison(s.poison)
		s.orders.EnoughStandbys = s.peers.instances.PeersReadPlatform
		s.peers.shareTargets(s.targets, s.log)
	}
	instance, files := s.settings.Instance, s.settings.TLS
	s.operator, err = newEndpoint(endpointOptions{
		setting: "operator", address: instance.OperatorListen, certFile: files.OperatorCert, keyFile: files.OperatorKey,
		handler: s.operatorMux(), log: s.log,
	})
	if err != nil {
		return err
	}
	s.quota = s.newQuota()
	s.caller, err = newEndpoint(endpointOptions{
		setting: "caller", address: instance.CallerListen, certFile: files.CallerCert, keyFile: files.CallerKey,
		handler: s.leaveConnections(s.callerMux()), log: s.log,
	})
	return err
}

func (s *Server) logListening() {
	args := []any{"caller", s.CallerAddress(), "operator", s.OperatorAddress()}
	if s.peers != nil {
		args = append(args, "peer", s.PeerAddress())
	}
	s.log.Info("listening", args...)
}

// CallerAddress returns the address that callers use.
func (s *Server) CallerAddress() string { return s.caller.address() }

// OperatorAddress returns the address that operators use.
func (s *Server) OperatorAddress() string { return s.operator.address() }

// PeerAddress returns the address that other instances use, or "" without peers.
func (s *Server) PeerAddress() string {
	if s.peers == nil {
		return ""
	}
	return s.peers.instances.Self.Address
}

// Run serves until ctx ends, then stops gracefully. The controllers run until
// the last request is over, so that a key revoked meanwhile takes effect.
func (s *Server) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	var group sync.WaitGroup
	for _, run := range s.controllers() {
		group.Go(func() { run(background) })
	}
	failed := make(chan error, 2)
	go func() { failed <- s.caller.serve() }()
	go func() { failed <- s.operator.serve() }()
	var err error
	select {
	case <-ctx.Done():
		err = s.stop(failed)
		s.quota.handBack(s.log)
	case err = <-failed:
	}
	stopBackground()
	group.Wait()
	return errors.Join(err, s.close())
}

func (s *Server) controllers() []func(context.Context) {
	all := []func(context.Context){
		s.configuration.Run, s.listing.Run, s.targets.Run, s.orders.Run, s.claims.Run,
		s.quota.lease.Run, s.quota.level.Run,
	}
	if s.peers != nil {
		all = append(all, s.peers.run, s.peers.targets.Run)
	}
	return all
}

// close frees what is still open. The socket for peers is last: its closed port
// proves to them that this instance has stopped.
func (s *Server) close() error {
	var errs []error
	for _, e := range []*endpoint{s.caller, s.operator} {
		if e != nil {
			errs = append(errs, e.http.Close())
			_ = e.listener.Close() // already closed if it was served
		}
	}
	if s.peers != nil {
		errs = append(errs, s.peers.transport.Close())
	}
	return errors.Join(errs...)
}
