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
	"lacewingwheel.example/lacewingwheel/pkg/callerconn"
	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/delivery"
	"lacewingwheel.example/lacewingwheel/pkg/drain"
	"lacewingwheel.example/lacewingwheel/pkg/feed"
	"lacewingwheel.example/lacewingwheel/pkg/follow"
	"lacewingwheel.example/lacewingwheel/pkg/gossip"
	"lacewingwheel.example/lacewingwheel/pkg/memlimit"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
	"lacewingwheel.example/lacewingwheel/pkg/placement"
	"lacewingwheel.example/lacewingwheel/pkg/poison"
	"lacewingwheel.example/lacewingwheel/pkg/relay"
	"lacewingwheel.example/lacewingwheel/pkg/rollout"
	"lacewingwheel.example/lacewingwheel/pkg/share"
	"lacewingwheel.example/lacewingwheel/pkg/state"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
)

const (
	// dialTimeout bounds opening a connection to a target. Zones are about a
	// millisecond apart; the retransmission of a lost packet takes longer than that.
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout closes connections to targets that acknowledge nothing. It is
	// several times the retransmission time on links of a millisecond.
	unackedTimeout = 900 * time.Millisecond
	// watchPausePerInstance is multiplied by the number of instances to get the
	// pause between watches of targets, so that the fleet makes about 70 calls a
	// second at any size. maxWatchPauseShare limits the pause to a part of
	// MaxTargetLeaveDelay.
	watchPausePerInstance = 15 * time.Millisecond
	maxWatchPauseShare    = 0.4
	// readerKnownTimeout bounds how long controllers wait at the first start of
	// the whole system until the readers of the store are known, and
	// readerKnownCheckInterval is the time between checks. The entries of the
	// instances are in the store after two seconds, and requests arrive after ten.
	readerKnownTimeout       = 6 * time.Second
	readerKnownCheckInterval = 50 * time.Millisecond
	// ordersDuty is the duty of the instance that should acquire the orders lease.
	ordersDuty = "orders"
	// membersTimeout is how long an instance stays not ready at most because it
	// has no list of the instances that share the limits with it.
	membersTimeout = 3 * time.Second
	// readerWatchPause is the pause between watches by an instance that passes
	// changes on. Leaving targets are then known within a tenth of their bound.
	readerWatchPause = 220 * time.Millisecond
	// readerProofInterval is the longest time between proofs of the configuration by
	// such an instance, and readerProofShare the longest part of MaxRevocationDelay.
	// The proofs that the other instances get from it, half a second later, are then
	// younger than those that they would read themselves, and than readyProofAgeShare.
	readerProofInterval = time.Second
	readerProofShare    = 0.2
	// maxFeedAgeShare is the part of MaxTargetLeaveDelay after which an instance
	// reads changes of targets itself although a reader sends them.
	maxFeedAgeShare = 0.8
	// checkInterval is the time between removals of idle connections and expired
	// entries, and between checks of readiness.
	checkInterval = 250 * time.Millisecond
	// readyProofAgeShare is the age of the configuration's proof, as a part of
	// MaxRevocationDelay, above which the instance reports not ready. With an older
	// proof, requests with keys are not required to be served.
	readyProofAgeShare = 0.55
	// proofIntervalShare is the part of MaxRevocationDelay between two proofs of
	// the configuration. Two proofs fit into the bound, and each call to the store
	// has a price.
	proofIntervalShare = 0.48
	// keyProofMargin is subtracted from MaxRevocationDelay for the time that a
	// request takes to the target.
	keyProofMargin = 300 * time.Millisecond
	// firstStartPeriod is the time in which all targets register when the whole
	// system starts for the first time. Requests arrive ten seconds after the start
	// at the earliest.
	firstStartPeriod = 8 * time.Second
	// retryBudgetShare is the part of the fleet's retry budget that instances use.
	// The rest covers instances that disagree about their number.
	retryBudgetShare = 0.75
	// restartGrace is how long a restarted instance still uses older weights,
	// because it cannot know when the newest were announced. It is half of the
	// time after which the bounds apply to a restarted instance.
	restartGrace = 1500 * time.Millisecond
	// leaseGuard is added by instances that wait for another's lease to expire.
	// The pause between orders of two holders comes on top.
	leaseGuard = 200 * time.Millisecond
	// memoryLimitShare is the part of the process's memory that is set as the soft
	// memory limit of the Go runtime.
	memoryLimitShare = 0.7
	// responseMemoryDivisor is the part of the process's memory that responses of targets
	// may take until they are sent on, and defaultResponseMemory replaces it if that is
	// not limited.
	responseMemoryDivisor = 10
	defaultResponseMemory = 64 << 20
)

// Platform holds the clients, parsers and names that depend on the platform.
type Platform struct {
	Store            objectstore.Store
	Dialect          relay.Dialect
	OrderClient      rollout.Client
	CacheEventClient cachedir.Client
	ParseTables      func([]byte) (*tables.Snapshot, error)
	ParseTarget      func(id string, value []byte) (*target.Target, error)
	ParseWeights     func([]byte) (model, version string, err error)
	// WatchWait returns how long the store holds a watch of a kind without changes.
	WatchWait func(kind string) time.Duration
	// ConfigurationKind, TargetKind and WeightsKind are kinds of objects in the
	// store. ConfigurationName is the name of the configuration's object.
	ConfigurationKind, ConfigurationName, TargetKind, WeightsKind string
	Deliveries                                                    DeliveryPlatform
}

// Daemon is one router process.
type Daemon struct {
	settings func() *Settings
	log      hclog.Logger
	clock    clock.Clock

	configuration    *state.Configuration
	targets          *state.Targets
	weights          *state.WeightsWatcher
	members          *state.Members
	rollout          *rollout.Controller
	delivery         *delivery.Controller // nil unless the settings bound the exposure of new versions
	cacheDirectories *cachedir.Set
	buckets          *share.Buckets
	borrower         *share.Borrower
	peerEndpoint     *peerEndpoint
	feed             *feed.Feed
	ranking          *dutyRanking
	platformStore    objectstore.Store
	storeHealth      *follow.StoreHealth
	gossip           *gossip.Gossip
	poisonDetector   *poison.Detector
	quarantineKeeper *quarantineKeeper
	targetConns      *targetconn.Pool
	responseMemory   *memlimit.Budget
	placer           *placement.Placer
	restored         chan struct{} // the store was found restored from a copy
	metrics          *expvar.Map
	requestLog       *relay.RequestLog
	admission        *relay.Admission
	storeCalls       relay.LatencyHistograms
	callerServer     *http.Server
	callerConns      *drain.Tracker
	callers          *callerconn.Limiter
	probes           *callerconn.Limiter // of the listeners for readiness and metrics
	idleTimeout      *idleTimeout
	listen           func(network, address string) (net.Listener, error) // callerconn.Listen except in tests
	stopping         atomic.Bool
	// drainEndsAt is when requests that still run are ended; nil until the instance takes
	// only those that it can complete.
	drainEndsAt atomic.Pointer[time.Time]
	// requests is the context of all callers' requests, and endRequests ends it.
	requests    context.Context
	endRequests context.CancelCauseFunc
	startedAt   time.Duration // time since boot
}

// New assembles a daemon that is started with Run. settings returns the current
// settings and must allow concurrent calls.
func New(settings func() *Settings, p Platform, log hclog.Logger) *Daemon {
	s := settings()
	d := &Daemon{settings: settings, log: log, clock: clock.System{}, metrics: new(expvar.Map).Init(), listen: callerconn.Listen, restored: make(chan struct{}, 1)}
	d.startedAt = d.clock.Elapsed()
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	}
	incarnation := uuid.NewString()
	p.Store = &timedStore{Store: p.Store, latencies: &d.storeCalls, calls: d.metrics}
	storeHealth := &follow.StoreHealth{Clock: d.clock, Log: log}
	self := state.Member{Name: s.Instance, Incarnation: incarnation, DatagramAddress: s.GossipListen, Zone: s.Zone, Cores: s.Cores}
	d.members = state.NewMembers(p.Store, d.clock, self, s.FirstStart, log)
	d.peerEndpoint = &peerEndpoint{members: d.members, registry: peer.NewRegistry(), log: log, listenPacket: net.ListenPacket}
	d.ranking = &dutyRanking{members: d.members}
	d.feed = &feed.Feed{
		Sources: d.ranking.changeSources, InstanceCount: d.members.LiveCount, ReaderOffset: xxhash.Sum64String(s.Instance), PeerClient: d.peerEndpoint, StoreHealth: storeHealth, Clock: d.clock, Log: log,
	}
	d.targets = &state.Targets{
		Store: p.Store, Kind: p.TargetKind, WatchWait: p.WatchWait(p.TargetKind), Parse: p.ParseTarget, Clock: d.clock, StoreHealth: storeHealth, Log: log, RolloutDeadline: s.MaxRolloutDelay,
		WatchPause: d.targetWatchPause, FedByPeer: d.feed.FedByPeer, OnChange: d.feed.NotifyChanged, MaxViewAge: time.Duration(maxFeedAgeShare * float64(s.MaxTargetLeaveDelay)),
	}
	d.weights = &state.WeightsWatcher{
		Store: p.Store, Kind: p.WeightsKind, Parse: p.ParseWeights, OnNewest: d.targets.RecordNewestVersion, WatchWait: p.WatchWait(p.WeightsKind), Clock: d.clock, StoreHealth: storeHealth, Log: log,
		FedByPeer: d.feed.FedByPeer, OnChange: d.feed.NotifyChanged,
	}
	if !s.FirstStart {
		d.weights.InitialAge = max(0, s.MaxRolloutDelay-restartGrace)
	}
	d.platformStore, d.storeHealth = p.Store, storeHealth
	d.buckets = &share.Buckets{
		Tolerance: func() share.Tolerance {
			return share.Tolerance{Overage: settings().QuotaOverage, Slack: settings().QuotaSlack}
		},
		Instances: d.members.KnownCount, CanLend: d.peerEndpoint.canExchange, Now: d.clock.Elapsed,
	}
	if !s.FirstStart {
		d.buckets.RestartedAt = d.startedAt
	}
	d.borrower = &share.Borrower{Buckets: d.buckets, Brokers: d.ranking.brokers, Transfer: d.peerEndpoint, FirstStart: s.FirstStart, Clock: d.clock, Log: log}
	d.peerEndpoint.handleQuota(d.borrower)
	d.idleTimeout = newIdleTimeout()
	d.configuration = &state.Configuration{
		Store: p.Store, Kind: p.ConfigurationKind, Name: p.ConfigurationName, Parse: p.ParseTables,
		OnApplied: d.applyConfiguration, ProofInterval: d.proofInterval, Clock: d.clock, StoreHealth: storeHealth, Log: log,
		FedByPeer: d.feed.FedByPeer, OnStoreChange: d.feed.NotifyChanged, WatchWait: p.WatchWait(p.ConfigurationKind),
	}
	d.feed.Proofs = d.configuration
	d.feed.Configurations = &feed.ConfigurationExchange{Keeper: d.configuration, Client: d.peerEndpoint, NewestVersions: d.targets.NewestVersions, OnNewestVersions: d.recordNewestVersions, Sources: d.ranking.changeSources, Log: log}
	d.configuration.AwaitsOthers = !s.FirstStart && s.ExchangeListen != ""
	storeHealth.OnNewEra = d.notifyRestored
	d.feed.Followers = map[string]*follow.Follower{
		p.ConfigurationKind: d.configuration.Follower(), p.TargetKind: d.targets.Follower(), p.WeightsKind: d.weights.Follower(),
	}
	d.delivery = d.newDelivery(p, incarnation)
	if d.delivery != nil {
		d.feed.Followers[p.Deliveries.Kind] = d.delivery.Follower()
	}
	d.peerEndpoint.handleChanges(d.feed)
	d.rollout = &rollout.Controller{
		Lease: &control.Lease{
			Store: p.Store, Clock: d.clock, Name: "orders", Instance: s.Instance, Incarnation: incarnation,
			Duration: rollout.LeaseDuration, Guard: leaseGuard, StoreHealth: storeHealth, FirstStart: s.FirstStart,
		},
		Clock: d.clock, Source: d.targets, Client: p.OrderClient, Holder: s.Instance, HandoverPause: s.OrderHandoverPause, InstanceCount: d.members.LiveCount, FirstStart: s.FirstStart, Rank: func() int { return d.ranking.rank(ordersDuty) }, Log: log,
	}
	d.cacheDirectories = &cachedir.Set{Client: p.CacheEventClient, Addresses: d.cacheStoreAddresses, InstanceCount: d.members.LiveCount, FedByPeer: d.feed.FedByPeer, Clock: d.clock, Log: log}
	d.feed.CacheDirectories = d.cacheDirectories
	d.responseMemory = memlimit.NewBudget(defaultResponseMemory)
	if s.MemoryBytes > 0 {
		d.responseMemory = memlimit.NewBudget(s.MemoryBytes / responseMemoryDivisor)
	}
	d.targetConns = targetconn.NewPool(dialTimeout, unackedTimeout)
	d.targetConns.Memory = d.responseMemory
	d.placer = placement.New(placement.DefaultParams(), s.Zone)
	d.poisonDetector = poison.NewDetector(d.clock)
	d.quarantineKeeper = &quarantineKeeper{
		detector: d.poisonDetector, store: p.Store, storeHealth: storeHealth, isFirst: d.ranking.isFirst, firstStart: s.FirstStart, clock: d.clock, metrics: d.metrics, log: log,
		pending: make(map[poison.Fingerprint]pendingQuarantine), stored: make(map[poison.Fingerprint]uint64),
	}
	d.poisonDetector.OnChange = d.quarantineKeeper.recordChange
	d.gossip = &gossip.Gossip{
		ListenAddress: s.GossipListen, Peers: d.members.DatagramAddresses, OnReport: d.recordPeerReport, OnLeaving: d.targets.RecordLeavingHint,
		Supersessions: d.targets.Supersessions, AsksSupersessions: d.targets.HasSuperseded, OnSupersession: d.targets.RecordSupersession, Clock: d.clock,
		StepTimes: d.targets.StepTimes, OnStepTime: d.targets.RecordStepTime,
		Notices: d.poisonDetector.Notices, OnNotice: d.poisonDetector.HandleNotice, Log: log,
	}
	if d.delivery != nil {
		d.gossip.DeliveryNotices, d.gossip.OnDeliveryNotice = d.delivery.Notices, d.delivery.HandleNotice
	}
	d.admission = newAdmission(s, d.members.LiveCount)
	d.gossip.GiveUsage = func(receivers int) []byte { return d.admission.Usage.Give(receivers, time.Now()) }
	d.gossip.OnUsage = func(usage []byte) { d.admission.Usage.Accept(usage, time.Now()) }
	d.requestLog = &relay.RequestLog{Log: log, Metrics: d.metrics}
	d.requests, d.endRequests = context.WithCancelCause(context.Background())
	d.callerConns = drain.NewTracker()
	d.callers = callerconn.New(callerconn.Limits{Memory: s.MemoryBytes, Descriptors: s.MaxDescriptors}, log, d.metrics.Set)
	d.probes = callerconn.NewForProbes(log, d.metrics.Set)
	d.callerServer = &http.Server{
		ConnState: func(conn net.Conn, state http.ConnState) {
			d.callerConns.Record(conn, state)
			d.callers.Record(conn, state)
		},
		BaseContext:       func(net.Listener) context.Context { return d.requests },
		Handler:           d.callerHandler(p.Dialect),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeoutMarker,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return callerconn.ContextWithConn(relay.ContextWithConn(ctx, conn), conn)
		},
		ErrorLog: log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	d.publishMetrics()
	return d
}

// cacheStoreAddresses returns the addresses of the stores of cached prompt parts.
func (d *Daemon) cacheStoreAddresses() []string {
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

// applyConfiguration passes a new configuration to the limits of organisations
// and the idle timeout.
func (d *Daemon) applyConfiguration(snapshot *tables.Snapshot) {
	d.buckets.Configure(snapshot.Tables.Organisations)
	d.admission.Configure(snapshot.Tables.Organisations)
	d.idleTimeout.set(snapshot.Tables.Limits.IdleTimeout)
}

// callerHandler returns the handler of callers' requests. Once the daemon stops,
// it asks callers to open a new connection for their next request.
func (d *Daemon) callerHandler(dialect relay.Dialect) http.Handler {
	requestLog := d.requestLog
	keyFilter := &relay.KeyFilter{Configuration: d.configuration, MaxProofAge: d.maxProofAge}
	quarantineFilter := &relay.QuarantineFilter{Detector: d.poisonDetector, Clock: d.clock, RequestLog: requestLog}
	drainFilter := relay.DrainFilter{EndsAt: d.drainEnd}
	forwardFilter := &relay.ForwardFilter{
		Dialect: dialect, Targets: d.targets, Placer: d.placer, Conns: d.targetConns, CacheDirectories: d.cacheDirectories, LoadReporter: d.gossip, Memory: d.responseMemory, KeyFilter: keyFilter, QuarantineFilter: quarantineFilter, RequestLog: requestLog, Clock: d.clock, RolloutDeadline: d.settings().MaxRolloutDelay,
		Admission: d.admission, Drain: drainFilter, RetryBudget: relay.NewRetryBudget(d.retryLimits), Delivery: d.delivery, InstanceCount: d.members.LiveCount,
	}
	quotaFilter := &relay.QuotaFilter{Quota: d.borrower}
	if d.admission.Expected {
		quotaFilter.ReturnAfter = d.admission.QuotaReturnAfter
	}
	chain := relay.NewChain(dialect, requestLog,
		&relay.RouteFilter{Configuration: d.configuration}, drainFilter, keyFilter, relay.BodyFilter{Callers: d.callers}, drainFilter, quarantineFilter, &relay.AdmissionFilter{Forward: forwardFilter}, quotaFilter, forwardFilter)
	handler := d.callers.Handler(chain, http.HandlerFunc(chain.RefuseOutOfMemory))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// probeStore reads the configuration while the store is lost and nothing else calls it.
func (d *Daemon) probeStore(ctx context.Context) {
	d.storeHealth.Probe(ctx, func(ctx context.Context) { d.configuration.ReadWithProof(ctx) })
}

// proofInterval returns the time between reads that prove that the configuration
// is the newest.
func (d *Daemon) proofInterval() time.Duration {
	maxDelay := d.settings().MaxRevocationDelay
	switch {
	case maxDelay <= 0 && d.feed.ReadsStore():
		return readerProofInterval
	case maxDelay <= 0:
		return state.DefaultProofInterval
	case d.feed.ReadsStore():
		return min(readerProofInterval, time.Duration(readerProofShare*float64(maxDelay)))
	}
	return min(state.DefaultProofInterval, time.Duration(proofIntervalShare*float64(maxDelay)))
}

// recordPeerReport records what another instance reported about a target: its
// load, or with down that it could not be reached. at is the report's time.
func (d *Daemon) recordPeerReport(hash uint64, load target.Load, at time.Time, down bool) {
	t := d.targets.ByHash(hash)
	switch {
	case t == nil:
	case down:
		d.placer.RecordConnectFailure(t, at)
	default:
		t.Live.RecordLoad(load, at)
	}
}

// whenReaderKnown delays a controller at the first start of the whole system
// until it is known whether another instance reads the store for this one, or
// until readerKnownTimeout. Otherwise all instances would read the store at once. An
// instance that starts again does not wait, because callers wait for it.
func (d *Daemon) whenReaderKnown(run func(context.Context)) func(context.Context) {
	if s := d.settings(); !s.FirstStart || s.ExchangeListen == "" {
		return run
	}
	return func(ctx context.Context) {
		for !d.feed.ReaderKnown() && d.clock.Elapsed()-d.startedAt < readerKnownTimeout && clock.Sleep(ctx, readerKnownCheckInterval) {
		}
		run(ctx)
	}
}

// targetWatchPause returns the pause between watches of targets in the store.
func (d *Daemon) targetWatchPause() time.Duration {
	s := d.settings()
	maxPause := time.Duration(maxWatchPauseShare * float64(s.MaxTargetLeaveDelay))
	switch {
	case s.FirstStart && d.clock.Elapsed()-d.startedAt < firstStartPeriod:
		return maxPause
	case d.feed.ReadsStore():
		return readerWatchPause
	}
	return min(maxPause, watchPausePerInstance*time.Duration(d.members.LiveCount()))
}

// maxProofAge returns the age of the configuration's proof above which requests
// with keys are refused, or zero if there is no bound.
func (d *Daemon) maxProofAge() time.Duration {
	maxDelay := d.settings().MaxRevocationDelay
	if maxDelay <= 0 {
		return 0
	}
	return maxDelay - keyProofMargin
}

// retryLimits returns this instance's part of the fleet's retry budget.
func (d *Daemon) retryLimits() relay.RetryLimits {
	s := d.settings()
	return relay.RetryLimits{
		Ratio: retryBudgetShare * s.RetryRatio, Window: s.RetryWindow,
		ExtraRetries: retryBudgetShare * s.ExtraRetries / float64(d.members.LiveCount()),
	}
}

// notReadyReason returns why the instance is not ready, or "" if it is.
func (d *Daemon) notReadyReason() string {
	switch {
	case d.stopping.Load():
		return "stopping"
	case d.configuration.Snapshot() == nil:
		return "no configuration"
	case !d.targets.HasSynced():
		return "no list of targets"
	case !d.delivery.HasSynced():
		return "no list of delivery orders"
	case d.members.KnownCount() == 0 && d.clock.Elapsed()-d.startedAt < membersTimeout:
		return "no list of instances"
	}
	if maxDelay := d.settings().MaxRevocationDelay; maxDelay > 0 && float64(d.configuration.ProofAge()) > readyProofAgeShare*float64(maxDelay) {
		return "configuration not confirmed"
	}
	return ""
}

// Run serves until ctx ends, then stops gracefully. It returns an error if a
// listener cannot be opened or fails. It must be called once.
func (d *Daemon) Run(ctx context.Context) error {
	s := d.settings()
	callerListener, err := d.listen("tcp4", s.CallerListen)
	if err != nil {
		return err
	}
	callerListener = drain.NewListener(callerListener)
	readyListener, err := d.listen("tcp4", s.ReadyListen)
	if err != nil {
		return errors.Join(err, callerListener.Close())
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	var group sync.WaitGroup
	for _, run := range []func(context.Context){
		d.whenReaderKnown(d.configuration.Run), d.whenReaderKnown(d.configuration.Watch), d.whenReaderKnown(d.targets.Run), d.whenReaderKnown(d.weights.Run),
		d.members.Run, d.whenReaderKnown(d.rollout.Run), d.cacheDirectories.Run, d.gossip.Run, d.borrower.Run, d.feed.Run, d.probeStore, d.handleRestores, d.requestLog.Run, d.quarantineKeeper.update, d.quarantineKeeper.synchronize, d.removeExpired, d.logReadiness, d.logSpeeds,
	} {
		group.Go(func() { run(background) })
	}
	if d.delivery != nil {
		group.Go(func() { d.whenReaderKnown(d.delivery.Run)(background) })
	}
	group.Go(func() { d.peerEndpoint.run(background, d.platformStore, s) })
	probeServer := d.newProbeServer(d.serveReady)
	failed := make(chan error, 3)
	go func() { failed <- d.callerServer.Serve(d.callers.Listen(d.idleTimeout.wrap(callerListener), false)) }()
	go func() { failed <- probeServer.Serve(d.probes.Listen(readyListener, false)) }()
	d.serveMetrics(s.MetricsListen)
	d.log.Info("started", "instance", s.Instance, "zone", s.Zone, "callers", s.CallerListen, "ready", s.ReadyListen,
		"metrics", s.MetricsListen, "first_start", s.FirstStart)
	select {
	case <-ctx.Done():
		d.stop(s, callerListener)
	case err = <-failed:
	}
	stopBackground()
	group.Wait()
	d.log.Info("stopped", "cause", err)
	return errors.Join(err, probeServer.Close())
}

// removeExpired removes expired targets, idle connections, and the placement data
// of targets that are no longer listed, until ctx ends.
func (d *Daemon) removeExpired(ctx context.Context) {
	for clock.Sleep(ctx, checkInterval) {
		d.targets.ReconcileExpired()
		d.targetConns.CloseIdle(d.targets.IsListed)
		d.placer.Retain(d.targets.IsListed)
	}
}

// logReadiness logs each change of readiness with its reason until ctx ends.
func (d *Daemon) logReadiness(ctx context.Context) {
	lastReason := "starting"
	for clock.Sleep(ctx, checkInterval) {
		if reason := d.notReadyReason(); reason != lastReason {
			d.log.Info("readiness changed", "ready", reason == "", "reason", reason, "before", lastReason, "proof_age", d.configuration.ProofAge())
			lastReason = reason
		}
	}
}
