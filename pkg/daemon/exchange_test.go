package daemon_test

import (
	"context"
	"net"
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

// wayToStore is one instance's way to the store. It counts calls and can be cut.
type wayToStore struct {
	store *platformtest.Store
	cut   atomic.Bool
	calls atomic.Int64
}

func (w *wayToStore) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.calls.Add(1)
	if w.cut.Load() {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.store.ServeHTTP(rw, r)
}

func freePacketPort(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer c.Close()
	return c.LocalAddr().String()
}

// startPair starts two instances, each with a way to the same store of its own.
func startPair(t *testing.T) (instances [2]*instance, ways [2]*wayToStore) {
	t.Helper()
	store := platformtest.NewStore()
	runner, err := platformtest.StartTarget("i-0")
	assert.NilError(t, err)
	runner.Model = "m"
	t.Cleanup(runner.Stop)
	for i := range instances {
		ways[i] = &wayToStore{store: store}
		server := httptest.NewServer(ways[i])
		t.Cleanup(server.Close)
		x := &instance{t: t, store: store, runners: []*platformtest.Target{runner}, keys: []string{"key-1"}, stopped: make(chan error, 1)}
		instances[i] = x
		if i == 0 {
			x.list(runner)
			store.Put(platform.KindWeights, "m", map[string]any{"model": "m", "version": 1})
			x.configure("/stream/")
		}
		x.settings = &daemon.Settings{
			Instance: []string{"edge-1", "edge-2"}[i], Zone: "a", CallerListen: freePort(t), ReadyListen: freePort(t), MetricsListen: freePort(t),
			GossipListen: freePacketPort(t), ExchangeListen: freePacketPort(t), StoreAddress: strings.TrimPrefix(server.URL, "http://"), FirstStart: true,
			StopTimeout: 4 * time.Second, MaxTargetLeaveDelay: 2 * time.Second, MaxRevocationDelay: 3 * time.Second, MaxRolloutDelay: 12 * time.Second, OrderHandoverPause: 100 * time.Millisecond,
			RetryRatio: 0.2, ExtraRetries: 50, RetryWindow: 10 * time.Second, QuotaWindow: 8 * time.Second, QuotaOverage: 0.1, QuotaSlack: 10,
		}
		current := func() *daemon.Settings { return x.settings }
		ctx, cancel := context.WithCancel(context.Background())
		d := daemon.New(current, platform.New(current), hclog.NewNullLogger())
		go func() { x.stopped <- d.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-x.stopped })
	}
	for _, x := range instances {
		x.await("ready", func() bool { return x.ready() == http.StatusOK })
	}
	return instances, ways
}

// Guards against an instance that stops serving because only its own way to the
// store is cut, and against one that then serves withdrawn keys or an old
// configuration: the other instance passes both on with their age.
func TestOneWayToTheStoreSuffices(t *testing.T) {
	instances, ways := startPair(t)
	x := instances[0]
	for cut := range ways {
		ways[cut].cut.Store(true)
		time.Sleep(2 * x.settings.MaxRevocationDelay)
		x.keys = []string{x.keys[0], "key-" + []string{"2", "3"}[cut]}
		x.configure("/stream/")
		for _, y := range instances {
			y.await("the new key", func() bool { return y.status("/stream/", x.keys[1]) == http.StatusOK })
			assert.Equal(t, y.ready(), http.StatusOK)
		}
		old := x.keys[0]
		x.keys = x.keys[1:]
		x.configure("/stream/")
		withdrawn := time.Now()
		for _, y := range instances {
			y.await("the withdrawn key refused", func() bool { return y.status("/stream/", old) != http.StatusOK })
		}
		assert.Assert(t, time.Since(withdrawn) < x.settings.MaxRevocationDelay)
		ways[cut].cut.Store(false)
	}
}

// Guards against calls to the store by instances that another one reads for.
func TestOneInstanceReadsTheStore(t *testing.T) {
	_, ways := startPair(t)
	time.Sleep(2 * time.Second)
	before := [2]int64{ways[0].calls.Load(), ways[1].calls.Load()}
	time.Sleep(4 * time.Second)
	fewest := min(ways[0].calls.Load()-before[0], ways[1].calls.Load()-before[1])
	// The own entry, the list of instances, and looks at the lease for orders.
	const others = 2 + 2 + 12
	assert.Assert(t, fewest <= others, "the instance that calls least made %d calls in four seconds", fewest)
}

// Guards against an organisation that gets its rate from each instance.
func TestInstancesShareALimit(t *testing.T) {
	instances, _ := startPair(t)
	time.Sleep(time.Second)
	served, began := 0, time.Now()
	for time.Since(began) < 4*time.Second {
		for _, y := range instances {
			if y.status("/stream/", platformtest.LimitedKey) == http.StatusOK {
				served++
			}
		}
	}
	window := time.Since(began).Seconds()
	bound := (platformtest.LimitedRate*window+platformtest.LimitedRate)*1.1 + 10
	assert.Assert(t, float64(served) <= bound, "%d requests served, the bound is %.0f", served, bound)
	assert.Assert(t, served >= platformtest.LimitedRate*3, "%d requests served of %d within the rate", served, platformtest.LimitedRate*4)
}
