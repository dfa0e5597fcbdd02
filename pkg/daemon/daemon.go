package daemon

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/cachedir"
	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/feed"
	"lacewingwheel.example/lacewingwheel/pkg/follow"
	"lacewingwheel.example/lacewingwheel/pkg/gossip"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
	"lacewingwheel.example/lacewingwheel/pkg/placement"
	"lacewingwheel.example/lacewingwheel/pkg/relay"
	"lacewingwheel.example/lacewingwheel/pkg/rollout"
	"lacewingwheel.example/lacewingwheel/pkg/share"
	"lacewingwheel.example/lacewingwheel/pkg/state"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
)

const (
	// dialTimeout bounds opening a connection to a target. Source: zones are
	// about a millisecond apart; a lost packet is sent again after longer.
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout ends connections to targets that acknowledge nothing.
	// Source: several times the retransmission time on links of a millisecond.
	unackedTimeout = 900 * time.Millisecond
	// changesPause is the time between reads of changes of targets for each
	// instance, up to a part of the bound for leaving targets: the calls of the
	// fleet stay the same. Source: 70 calls a second.
	changesPause      = 15 * time.Millisecond
	changesPauseShare = 0.4
	// settleTime is how long the first start of the whole system waits for that,
	// and settleLook the time between looks. Source: entries of instances are
	// there after two seconds, and callers come after ten.
	settleTime = 3500 * time.Millisecond
	settleLook = 50 * time.Millisecond
	// ordersDuty names the duty of the instance that gives orders first, and
	// othersWait is how long the others leave the lease to it.
	ordersDuty = "orders"
	othersWait = 2 * time.Second
	// membersWait is how long an instance is not ready at most because it does not know
	// the others, which share the limits with it.
	membersWait = 3 * time.Second
	// readerPause is the time between reads of changes by an instance that passes
	// them on. Source: leaving targets are known in a tenth of their bound.
	readerPause = 220 * time.Millisecond
	// readerProofInterval is the time between reads by such an instance that
	// prove the configuration. Source: with the exchange, the proofs of the
	// others are then younger than those that each reads for itself.
	readerProofInterval = time.Second
	// feedAgeShare is the part of the bound for leaving targets from which an
	// instance reads their changes itself although others pass them on.
	feedAgeShare = 0.8
	// sweepInterval is the time between looks at idle connections and lapsed entries.
	sweepInterval = 250 * time.Millisecond
	// readyProofShare is the part of the bound for withdrawn keys up to which an
	// instance is ready. Source: beyond it, requests with keys count as not owed.
	readyProofShare = 0.55
	// proofShare is the part of the bound for withdrawn keys that passes between
	// reads that prove the configuration. Source: two of them fit into the bound,
	// and each call has a price.
	proofShare = 0.48
	// keyProofMargin is kept from that bound, for the way to the target.
	keyProofMargin = 300 * time.Millisecond
	// firstStartTime is the time in which all targets register when the whole
	// system starts for the first time. Source: callers come ten seconds later.
	firstStartTime = 8 * time.Second
	// retryShare is the part of the fleet's retry budget that instances use.
	// The rest covers instances that disagree about their number.
	retryShare = 0.75
	// restartGrace is how long a restarted instance still uses older weights: it
	// cannot know when the newest were named. Source: half of the time from
	// which bounds hold for a restarted instance.
	restartGrace = 1500 * time.Millisecond
	// leaseGuard is added by those who wait for the lease to end. The pause
	// between two holders' orders comes on top.
	leaseGuard = 200 * time.Millisecond
	// memoryLimitShare is the part of the memory at which the runtime collects
	// garbage harder.
	memoryLimitShare = 0.7
)

// Platform is what differs between platforms.
type Platform struct {
	Store            objectstore.Store
	Dialect          relay.Dialect
	OrderClient      rollout.Client
	CacheEventClient cachedir.Client
	ParseTables      func([]byte) (*tables.Snapshot, error)
	ParseTarget      func(id string, value []byte) (*target.Target, error)
	ParseWeights     func([]byte) (model, version string, err error)
	// Kinds of the store's objects, and the name of the configuration.
	ConfigurationKind, ConfigurationName, TargetKind, WeightsKind string
}

// Daemon is one router process.
type Daemon struct {
	settings func() *Settings
	log      hclog.Logger
	clock    clock.Clock

	configuration *state.Configuration
	targets       *state.Targets
	weights       *state.WeightsWatcher
	members       *state.Members
	rollout       *rollout.Controller
	cached        *cachedir.Set
	buckets       *share.Buckets
	borrower      *share.Borrower
	exchange      *exchange
	feed          *feed.Feed
	order         *ranks
	platformStore objectstore.Store
	gossip        *gossip.Gossip
	conns         *targetconn.Pool
	placer        *placement.Placer
	metrics       *expvar.Map
	journal       *relay.RequestLog
	storeCalls    relay.LatencyHistograms
	callers       *http.Server
	idle          *idleTimeouts
	stopping      atomic.Bool
	started       time.Duration // boot time
}

// New assembles a daemon.
func New(settings func() *Settings, p Platform, log hclog.Logger) *Daemon {
	s := settings()
	d := &Daemon{settings: settings, log: log, clock: clock.System{}, metrics: new(expvar.Map).Init()}
	d.started = d.clock.Elapsed()
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	}
	incarnation := uuid.NewString()
	p.Store = &timedStore{Store: p.Store, times: &d.storeCalls, calls: d.metrics}
	link := &follow.StoreHealth{Clock: d.clock, Log: log}
	self := state.Member{Name: s.Instance, Incarnation: incarnation, DatagramAddress: s.GossipListen, Zone: s.Zone, Cores: s.Cores}
	d.members = state.NewMembers(p.Store, d.clock, self, s.FirstStart, log)
	d.exchange = &exchange{members: d.members, registry: peer.NewRegistry(), log: log}
	d.order = &ranks{members: d.members}
	d.feed = &feed.Feed{
		Readers: d.order.readers, ReaderOffset: xxhash.Sum64String(s.Instance), PeerClient: d.exchange, StoreHealth: link, Clock: d.clock, Log: log,
	}
	d.targets = &state.Targets{
		Store: p.Store, Kind: p.TargetKind, Parse: p.ParseTarget, Clock: d.clock, StoreHealth: link, Log: log, RolloutDeadline: s.MaxRolloutDelay,
		WatchPause: d.changesPause, FedByPeer: d.feed.FedByPeer, OnChange: d.feed.NotifyChanged, MaxViewAge: time.Duration(feedAgeShare * float64(s.MaxTargetLeaveDelay)),
	}
	d.weights = &state.WeightsWatcher{
		Store: p.Store, Kind: p.WeightsKind, Parse: p.ParseWeights, OnAnnounced: d.targets.RecordAnnouncedVersion, Clock: d.clock, StoreHealth: link, Log: log,
		FedByPeer: d.feed.FedByPeer, OnChange: d.feed.NotifyChanged,
	}
	if !s.FirstStart {
		d.weights.InitialAge = max(0, s.MaxRolloutDelay-restartGrace)
	}
	d.platformStore = p.Store
	d.buckets = &share.Buckets{
		Tolerance: func() share.Tolerance {
			return share.Tolerance{Overage: settings().QuotaOverage, Slack: settings().QuotaSlack}
		},
		Instances: d.members.KnownCount, CanLend: d.exchange.works, Now: d.clock.Elapsed,
	}
	d.borrower = &share.Borrower{Buckets: d.buckets, Brokers: d.order.brokers, Transfer: d.exchange, Clock: d.clock, Log: log}
	d.exchange.answerLoans(d.borrower)
	d.idle = newIdleTimeouts()
	d.configuration = &state.Configuration{
		Store: p.Store, Kind: p.ConfigurationKind, Name: p.ConfigurationName, Parse: p.ParseTables,
		OnApplied: d.configured, ProofInterval: d.proofInterval, Clock: d.clock, StoreHealth: link, Log: log,
		FedByPeer: d.feed.FedByPeer, OnStoreChange: d.feed.NotifyChanged,
	}
	d.feed.Proofs = d.configuration
	d.feed.Followers = map[string]*follow.Follower{
		p.ConfigurationKind: d.configuration.Follower(), p.TargetKind: d.targets.Follower(), p.WeightsKind: d.weights.Follower(),
	}
	d.exchange.answerChanges(d.feed)
	d.rollout = &rollout.Controller{
		Lease: &control.Lease{
			Store: p.Store, Clock: d.clock, Name: "orders", Instance: s.Instance, Incarnation: incarnation,
			Duration: rollout.LeaseDuration, Guard: leaseGuard,
		},
		Clock: d.clock, Source: d.targets, Client: p.OrderClient, Holder: s.Instance, HandoverPause: s.OrderHandoverPause, InstanceCount: d.members.LiveCount, Log: log,
	}
	d.cached = &cachedir.Set{Client: p.CacheEventClient, Addresses: d.cacheStores, InstanceCount: d.members.LiveCount, FedByPeer: d.feed.FedByPeer, Clock: d.clock, Log: log}
	d.feed.CacheDirectories = d.cached
	d.conns = targetconn.NewPool(dialTimeout, unackedTimeout)
	d.placer = placement.New(placement.DefaultParams(), s.Zone)
	d.gossip = &gossip.Gossip{ListenAddress: s.GossipListen, Peers: d.members.DatagramAddresses, OnReport: d.learned, Log: log}
	d.journal = &relay.RequestLog{Log: log, Metrics: d.metrics}
	d.callers = &http.Server{
		Handler:           d.chain(p.Dialect),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeoutMarker,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       relay.ContextWithConn,
		ErrorLog:          log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	d.publish()
	return d
}

// cacheStores returns the addresses of the stores of cached parts.
func (d *Daemon) cacheStores() []string {
	snapshot := d.configuration.Snapshot()
	if snapshot == nil {
		return nil
	}
	var addresses []string
	for i := range snapshot.Tables.Pools {
		if store := snapshot.Tables.Pools[i].CacheStore; store != nil {
			addresses = append(addresses, store.Address)
		}
	}
	return addresses
}

func (d *Daemon) configured(snapshot *tables.Snapshot) {
	d.buckets.Configure(snapshot.Tables.Organisations)
	d.idle.set(snapshot.Tables.Limits.IdleTimeout)
}

func (d *Daemon) chain(dialect relay.Dialect) http.Handler {
	journal := d.journal
	key := &relay.KeyFilter{Configuration: d.configuration, MaxProofAge: d.maxProofAge}
	forward := &relay.ForwardFilter{
		Dialect: dialect, Targets: d.targets, Placer: d.placer, Conns: d.conns, CacheDirectories: d.cached, LoadReporter: d.gossip, KeyFilter: key, RequestLog: journal,
		RetryBudget: relay.NewRetryBudget(d.retryLimits), InstanceCount: d.members.LiveCount,
	}
	chain := relay.NewChain(dialect, journal,
		&relay.RouteFilter{Configuration: d.configuration}, key, relay.BodyFilter{}, &relay.QuotaFilter{Quota: d.borrower}, forward)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		chain.ServeHTTP(w, r)
	})
}

// proofInterval is the time between reads that prove the configuration.
func (d *Daemon) proofInterval() time.Duration {
	if d.feed.ReadsStore() {
		return readerProofInterval
	}
	revokeWithin := d.settings().MaxRevocationDelay
	if revokeWithin <= 0 {
		return state.DefaultProofInterval
	}
	return min(state.DefaultProofInterval, time.Duration(proofShare*float64(revokeWithin)))
}

// learned takes in what another instance reported of a target.
func (d *Daemon) learned(hash uint64, load target.Load, at time.Time, down bool) {
	t := d.targets.ByHash(hash)
	switch {
	case t == nil:
	case down:
		d.placer.RecordConnectFailure(t, at)
	default:
		t.Live.RecordLoad(load, at)
	}
}

// whenSettled delays a controller that reads the store until it is known whether
// another instance reads it for this one, at the first start of the whole system.
func (d *Daemon) whenSettled(run func(context.Context)) func(context.Context) {
	if s := d.settings(); !s.FirstStart || s.ExchangeListen == "" {
		return run
	}
	return func(ctx context.Context) {
		for !d.feed.ReaderKnown() && d.clock.Elapsed()-d.started < settleTime && clock.Sleep(ctx, settleLook) {
		}
		run(ctx)
	}
}

// runRollout lets one instance take the lease for orders when all of them start,
// instead of all trying.
func (d *Daemon) runRollout(ctx context.Context) {
	if d.settings().FirstStart && !d.order.first(ordersDuty) {
		clock.Sleep(ctx, othersWait)
	}
	d.rollout.Run(ctx)
}

// changesPause returns the time between reads of changes of targets.
func (d *Daemon) changesPause() time.Duration {
	s := d.settings()
	longest := time.Duration(changesPauseShare * float64(s.MaxTargetLeaveDelay))
	switch {
	case s.FirstStart && d.clock.Elapsed()-d.started < firstStartTime:
		return longest
	case d.feed.ReadsStore():
		return readerPause
	}
	return min(longest, changesPause*time.Duration(d.members.LiveCount()))
}

func (d *Daemon) maxProofAge() time.Duration {
	within := d.settings().MaxRevocationDelay
	if within <= 0 {
		return 0
	}
	return within - keyProofMargin
}

func (d *Daemon) retryLimits() relay.RetryLimits {
	s := d.settings()
	return relay.RetryLimits{
		Ratio: retryShare * s.RetryRatio, Window: s.RetryWindow,
		ExtraRetries: retryShare * s.ExtraRetries / float64(d.members.LiveCount()),
	}
}

// ready reports why the instance takes no new callers, or "".
func (d *Daemon) ready() string {
	switch {
	case d.stopping.Load():
		return "stopping"
	case d.configuration.Snapshot() == nil:
		return "no configuration"
	case !d.targets.HasSynced():
		return "no list of targets"
	case d.members.KnownCount() == 0 && d.clock.Elapsed()-d.started < membersWait:
		return "no list of instances"
	}
	if within := d.settings().MaxRevocationDelay; within > 0 && float64(d.configuration.ProofAge()) > readyProofShare*float64(within) {
		return "configuration not confirmed"
	}
	return ""
}

// Run serves until ctx ends, then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	s := d.settings()
	callers, err := net.Listen("tcp4", s.CallerListen)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp4", s.ReadyListen)
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	var group sync.WaitGroup
	for _, run := range []func(context.Context){
		d.whenSettled(d.configuration.Run), d.whenSettled(d.configuration.Watch), d.whenSettled(d.targets.Run), d.whenSettled(d.weights.Run),
		d.members.Run, d.whenSettled(d.runRollout), d.cached.Run, d.gossip.Run, d.borrower.Run, d.feed.Run, d.journal.Run, d.sweep, d.logReadiness,
	} {
		group.Go(func() { run(background) })
	}
	group.Go(func() { d.exchange.run(background, d.platformStore, s) })
	probes := &http.Server{Handler: http.HandlerFunc(d.serveReady), ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 3)
	go func() { failed <- d.callers.Serve(d.idle.listener(callers)) }()
	go func() { failed <- probes.Serve(ready) }()
	d.serveMetrics(s.MetricsListen)
	d.log.Info("started", "instance", s.Instance, "zone", s.Zone, "callers", s.CallerListen, "ready", s.ReadyListen,
		"metrics", s.MetricsListen, "first_start", s.FirstStart)
	select {
	case <-ctx.Done():
		err = d.stop(s)
	case err = <-failed:
	}
	stopBackground()
	group.Wait()
	d.log.Info("stopped", "cause", err)
	return errors.Join(err, probes.Close())
}

func (d *Daemon) sweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) {
		d.targets.ReconcileExpired()
		d.conns.CloseIdle(d.targets.IsListed)
		d.placer.Retain(d.targets.IsListed)
	}
}

// logReadiness notes each change of readiness with its reason.
func (d *Daemon) logReadiness(ctx context.Context) {
	last := "starting"
	for clock.Sleep(ctx, sweepInterval) {
		if reason := d.ready(); reason != last {
			d.log.Info("readiness changed", "ready", reason == "", "reason", reason, "before", last, "proof_age", d.configuration.ProofAge())
			last = reason
		}
	}
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := d.ready(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
	}
}
