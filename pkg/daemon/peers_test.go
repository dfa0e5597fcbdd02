package daemon_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/daemon"
	"lacewingwheel.example/lacewingwheel/platform"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// storeProxy forwards one instance's calls to the store and counts them. It can
// refuse them all.
type storeProxy struct {
	store       *platformtest.Store
	unavailable atomic.Bool
	calls       atomic.Int64
}

func (w *storeProxy) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.calls.Add(1)
	if w.unavailable.Load() {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.store.ServeHTTP(rw, r)
}

// startTwoDaemons starts two instances that call the same store, each through its
// own proxy.
func startTwoDaemons(t *testing.T) (instances [2]*testDaemon, proxies [2]*storeProxy) {
	t.Helper()
	store := platformtest.NewStore()
	testTarget, err := platformtest.StartTarget("i-0")
	assert.NilError(t, err)
	sockets := newHeldSockets(t)
	testTarget.Model = "m"
	t.Cleanup(testTarget.Stop)
	for i := range instances {
		proxies[i] = &storeProxy{store: store}
		server := httptest.NewServer(proxies[i])
		t.Cleanup(server.Close)
		x := &testDaemon{t: t, store: store, targets: []*platformtest.Target{testTarget}, apiKeys: []string{"key-1"}, stopped: make(chan error, 1)}
		instances[i] = x
		if i == 0 {
			x.putTarget(testTarget)
			store.Put(platform.KindWeights, "m", map[string]any{"model": "m", "version": 1})
			x.putConfiguration("/stream/")
		}
		x.settings = &daemon.Settings{
			Instance: []string{"edge-1", "edge-2"}[i], Zone: "a", CallerListen: sockets.tcpAddress(t), ReadyListen: sockets.tcpAddress(t), MetricsListen: sockets.tcpAddress(t),
			GossipListen: sockets.udpAddress(t), ExchangeListen: sockets.udpAddress(t), StoreAddress: strings.TrimPrefix(server.URL, "http://"), FirstStart: true,
			StopTimeout: 4 * time.Second, MaxTargetLeaveDelay: 2 * time.Second, MaxRevocationDelay: 3 * time.Second, MaxRolloutDelay: 12 * time.Second, OrderHandoverPause: 100 * time.Millisecond,
			RetryRatio: 0.2, ExtraRetries: 50, RetryWindow: 10 * time.Second, QuotaWindow: 8 * time.Second, QuotaOverage: 0.1, QuotaSlack: 10,
		}
		current := func() *daemon.Settings { return x.settings }
		ctx, cancel := context.WithCancel(context.Background())
		d := daemon.New(current, platform.New(current), hclog.NewNullLogger())
		d.UseSockets(sockets.listen, sockets.listenPacket)
		go func() { x.stopped <- d.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-x.stopped })
	}
	for _, x := range instances {
		x.waitFor("ready", func() bool { return x.readyStatus() == http.StatusOK })
	}
	return instances, proxies
}

// An instance that cannot reach the store, while the other one can, must stay ready
// and must get new and revoked keys from the other instance in time. Otherwise it
// drops out although it could serve, or serves revoked keys.
func TestChangesComeFromPeerWithoutStore(t *testing.T) {
	instances, proxies := startTwoDaemons(t)
	x := instances[0]
	for lost := range proxies {
		proxies[lost].unavailable.Store(true)
		time.Sleep(2 * x.settings.MaxRevocationDelay)
		x.apiKeys = []string{x.apiKeys[0], "key-" + []string{"2", "3"}[lost]}
		x.putConfiguration("/stream/")
		for _, y := range instances {
			y.waitFor("the new key is accepted", func() bool { return y.sendStatus("/stream/", x.apiKeys[1]) == http.StatusOK })
			assert.Equal(t, y.readyStatus(), http.StatusOK)
		}
		old := x.apiKeys[0]
		x.apiKeys = x.apiKeys[1:]
		x.putConfiguration("/stream/")
		revokedAt := time.Now()
		for _, y := range instances {
			y.waitFor("the revoked key is refused", func() bool { return y.sendStatus("/stream/", old) != http.StatusOK })
		}
		assert.Assert(t, time.Since(revokedAt) < x.settings.MaxRevocationDelay)
		proxies[lost].unavailable.Store(false)
	}
}

// An instance that gets its proofs of the configuration from another must stay ready without
// a break, whatever the bound for revoked keys: it left readiness for moments, as its
// proofs came at an interval that did not follow from the bound.
func TestInstanceWithoutStoreStaysReady(t *testing.T) {
	instances, proxies := startTwoDaemons(t)
	for lost, x := range instances {
		proxies[lost].unavailable.Store(true)
		time.Sleep(x.settings.MaxRevocationDelay)
		polls, refused := 0, 0
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			polls++
			if x.readyStatus() != http.StatusOK {
				refused++
			}
		}
		assert.Equal(t, refused, 0, "instance %d was not ready at %d of %d polls", lost, refused, polls)
		proxies[lost].unavailable.Store(false)
		time.Sleep(x.settings.MaxRevocationDelay)
	}
}

// Only one of two instances may read changes from the store; the other one gets
// them from it. Otherwise the calls to the store, which have a price, grow with the
// fleet.
func TestOneInstanceReadsTheStore(t *testing.T) {
	_, proxies := startTwoDaemons(t)
	time.Sleep(2 * time.Second)
	before := [2]int64{proxies[0].calls.Load(), proxies[1].calls.Load()}
	time.Sleep(4 * time.Second)
	fewest := min(proxies[0].calls.Load()-before[0], proxies[1].calls.Load()-before[1])
	// Calls for the own entry, the list of instances and the orders lease.
	const otherCalls = 2 + 2 + 12
	assert.Assert(t, fewest <= otherCalls, "the instance that calls least made %d calls in four seconds", fewest)
}

// Both instances together must serve an organisation at its rate. Otherwise it gets
// its rate from each instance, or less than its rate in total.
func TestInstancesShareALimit(t *testing.T) {
	instances, _ := startTwoDaemons(t)
	time.Sleep(time.Second)
	served, startedAt := 0, time.Now()
	for time.Since(startedAt) < 4*time.Second {
		for _, y := range instances {
			if y.sendStatus("/stream/", platformtest.LimitedKey) == http.StatusOK {
				served++
			}
		}
	}
	window := time.Since(startedAt).Seconds()
	bound := (platformtest.LimitedRate*window+platformtest.LimitedRate)*1.1 + 10
	assert.Assert(t, float64(served) <= bound, "%d requests served, the bound is %.0f", served, bound)
	assert.Assert(t, served >= platformtest.LimitedRate*3, "%d requests served of %d within the rate", served, platformtest.LimitedRate*4)
}
