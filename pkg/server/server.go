// Package server assembles a router from its settings.
package server

import (
	"context"
	"errors"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/burn"
	"lacewingwheel.example/lacewingwheel/pkg/callerconn"
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

// memoryLimitShare is the part of the process's memory that is set as the soft memory
// limit of the Go runtime.
const memoryLimitShare = 0.7

// Server is one router.
type Server struct {
	settings *config.Settings
	log      hclog.Logger

	store           objectstore.Store
	configuration   *control.ConfigurationController
	instanceList    *control.InstanceListCache
	targets         *control.TargetController
	peers           *peerNetwork // nil if the settings configure no peers
	orders          *control.OrderController
	quota           *quotaComponents
	claims          *claim.Manager
	poisonDetector  *claim.PoisonDetector
	runningRequests *gateway.RunningRequests
	metrics         *Metrics
	burnRecorder    *burn.Recorder
	incarnation     string // random for each start, so that peers detect a restart
	stopping        atomic.Bool

	callers          *callerconn.Limiter
	probes           *callerconn.Limiter // of the operator's listener
	callerEndpoint   *endpoint
	operatorEndpoint *endpoint
}

// New assembles a router and opens its listeners. Run serves them. Errors name the
// setting to change.
func New(settings *config.Settings, log hclog.Logger) (*Server, error) {
	if settings.Server.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.Server.MemoryLimit)))
	}
	client := httpapi.New(settings.Platform.Address)
	instanceList := control.NewInstanceListCache(client, log.Named("listing"))
	targetClient := engine.NewHTTPClient()
	s := &Server{
		settings:        settings,
		log:             log,
		store:           client,
		configuration:   &control.ConfigurationController{Store: client, Log: log.Named("configuration")},
		instanceList:    instanceList,
		targets:         &control.TargetController{List: instanceList, Client: targetClient, Log: log.Named("targets")},
		runningRequests: gateway.NewRunningRequests(),
		poisonDetector:  claim.NewPoisonDetector(),
		metrics:         NewMetrics(),
		burnRecorder:    burn.NewRecorder(time.Now),
		incarnation:     uuid.NewString(),
	}
	limits := callerconn.Limits{Memory: settings.Server.MemoryLimit, Descriptors: settings.Server.DescriptorLimit}
	s.callers = callerconn.New(limits, log.Named("callers"), s.metrics.Publish)
	s.probes = callerconn.NewForProbes(log.Named("operator"), s.metrics.Publish)
	s.claims = claim.NewManager(claim.Options{
		Store: client, Clock: clock.System{}, Log: log.Named("claims"),
		Instance: settings.Instance.ID, Incarnation: s.incarnation, HasEnded: s.incarnationEnded,
	})
	s.orders = control.NewOrderController(client, clock.System{}, settings.Instance.ID, s.incarnation)
	s.orders.Client, s.orders.Log = targetClient, log.Named("orders")
	s.orders.Configuration, s.orders.Targets = s.configuration, s.targets
	s.configuration.OnChange(func(snapshot *tables.Snapshot, _ *control.AcceptedConfiguration) {
		if n := s.runningRequests.CancelRevoked(snapshot); n > 0 {
			log.Info("requests of revoked keys cancelled", "count", n)
		}
	})
	if err := s.openListeners(); err != nil {
		return nil, errors.Join(err, s.close())
	}
	s.publishStateMetrics()
	s.logListening()
	return s, nil
}

// openListeners opens the socket for peers and the operator and caller listeners,
// and connects the parts that need their addresses.
func (s *Server) openListeners() error {
	withPeers, err := peersConfigured(s.settings)
	if err != nil {
		return err
	}
	if withPeers {
		if s.peers, err = newPeerNetwork(s.settings, s.incarnation, s.configuration, s.instanceList, s.log); err != nil {
			return err
		}
		s.peers.replicatePoison(s.poisonDetector)
		s.orders.EnoughStandbys = s.peers.tracker.PeersReadPlatform
		s.peers.replicateTargetStates(s.targets, s.log)
	}
	instance, files := s.settings.Instance, s.settings.TLS
	s.operatorEndpoint, err = newEndpoint(endpointOptions{
		setting: "operator", address: instance.OperatorListen, certFile: files.OperatorCert, keyFile: files.OperatorKey,
		handler: s.operatorHandler(), callers: s.probes, timeout: operatorTimeout, log: s.log,
	})
	if err != nil {
		return err
	}
	s.quota = s.newQuota()
	s.callerEndpoint, err = newEndpoint(endpointOptions{
		setting: "caller", address: instance.CallerListen, certFile: files.CallerCert, keyFile: files.CallerKey,
		handler: s.closeConnsWhenStopping(s.callerHandler()), callers: s.callers, log: s.log,
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

// CallerAddress returns the host:port of the caller listener.
func (s *Server) CallerAddress() string { return s.callerEndpoint.address() }

// OperatorAddress returns the host:port of the operator listener.
func (s *Server) OperatorAddress() string { return s.operatorEndpoint.address() }

// PeerAddress returns the host:port at which other instances reach this one, or ""
// without peers.
func (s *Server) PeerAddress() string {
	if s.peers == nil {
		return ""
	}
	return s.peers.tracker.Self.Address
}

// Run serves until ctx ends, then stops gracefully. The controllers run until the
// last request has ended, so that a key that is revoked meanwhile takes effect. Run
// returns an error if a listener fails or requests still run at the drain timeout.
// It must be called once.
func (s *Server) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	var group sync.WaitGroup
	for _, run := range s.controllers() {
		group.Go(func() { run(background) })
	}
	failed := make(chan error, 2)
	go func() { failed <- s.callerEndpoint.serve() }()
	go func() { failed <- s.operatorEndpoint.serve() }()
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
		s.configuration.Run, s.instanceList.Run, s.targets.Run, s.orders.Run, s.claims.Run,
		s.quota.leaseController.Run, s.quota.rebalancer.Run,
	}
	if s.peers != nil {
		all = append(all, s.peers.run, s.peers.targetStateReplicator.Run)
	}
	return all
}

// close closes the listeners that are open. The socket for peers is closed last,
// because peers take its closed port as proof that this instance has stopped.
func (s *Server) close() error {
	var errs []error
	for _, e := range []*endpoint{s.callerEndpoint, s.operatorEndpoint} {
		if e != nil {
			errs = append(errs, e.server.Close())
			_ = e.listener.Close() // already closed if it was served
		}
	}
	if s.peers != nil {
		errs = append(errs, s.peers.transport.Close())
	}
	return errors.Join(errs...)
}
