package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/daemon"
	"lacewingwheel.example/lacewingwheel/platform"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

const waitLong = 10 * time.Second

// instance is a daemon in this process before stand-ins.
type instance struct {
	t        *testing.T
	store    *platformtest.Store
	runners  []*platformtest.Target
	settings *daemon.Settings
	stop     func()
	stopped  chan error
	version  int
	keys     []string
}

func freePort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func start(t *testing.T, runners int) *instance {
	t.Helper()
	x := &instance{t: t, store: platformtest.NewStore(), stopped: make(chan error, 1), keys: []string{"key-1"}}
	server := httptest.NewServer(x.store)
	t.Cleanup(server.Close)
	for i := range runners {
		r, err := platformtest.StartTarget(fmt.Sprintf("i-%d", i))
		assert.NilError(t, err)
		r.Model = "m"
		t.Cleanup(r.Stop)
		x.runners = append(x.runners, r)
		x.list(r)
	}
	x.store.Put(platform.KindWeights, "m", map[string]any{"model": "m", "version": 1})
	x.configure("/stream/")
	x.settings = &daemon.Settings{
		Instance: "edge-1", Zone: "a", CallerListen: freePort(t), ReadyListen: freePort(t), MetricsListen: freePort(t),
		StoreAddress: strings.TrimPrefix(server.URL, "http://"), FirstStart: true,
		StopTimeout: 8 * time.Second, MaxRevocationDelay: 2 * time.Second, MaxRolloutDelay: 12 * time.Second, OrderHandoverPause: 100 * time.Millisecond,
		RetryRatio: 0.2, ExtraRetries: 50, RetryWindow: 10 * time.Second, QuotaOverage: 0.1, QuotaSlack: 1000,
	}
	current := func() *daemon.Settings { return x.settings }
	ctx, cancel := context.WithCancel(context.Background())
	x.stop = cancel
	d := daemon.New(current, platform.New(current), hclog.NewNullLogger())
	var once sync.Once
	go func() { x.stopped <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		once.Do(func() { <-x.stopped })
	})
	x.await("ready", func() bool { return x.ready() == http.StatusOK })
	return x
}

func (x *instance) list(r *platformtest.Target) {
	x.store.Put(platform.KindTargets, r.ID, r.Entry("llm", "a"))
}

// configure writes a configuration with one route.
func (x *instance) configure(prefix string) {
	x.version++
	x.store.PutConfiguration(x.version, x.keys, 300, platformtest.Route{Name: "r", PathPrefix: prefix, Kind: "streaming", MaxAttempts: 2, Resumable: true, TimeoutMS: 5000})
}

func (x *instance) await(what string, ok func() bool) {
	x.t.Helper()
	for deadline := time.Now().Add(waitLong); !ok(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(x.t, time.Now().Before(deadline), "not reached: %s", what)
	}
}

func (x *instance) ready() int {
	response, err := http.Get("http://" + x.settings.ReadyListen + "/ready")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

var nextID atomic.Int64

// transport opens a connection for each request: the configured idle timeout is short.
var transport = &http.Transport{DisableKeepAlives: true}

func (x *instance) call(path, key string) (int, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+x.settings.CallerListen+path, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	request.Host = "h.example"
	request.Header.Set(platformtest.HeaderRequestID, fmt.Sprintf("id-%d", nextID.Add(1)))
	request.Header.Set(platformtest.HeaderDeadline, "4900")
	request.Header.Set(platformtest.HeaderModel, "m")
	request.Header.Set("Authorization", "Token "+key)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

func (x *instance) status(path, key string) int {
	status, _, err := x.call(path, key)
	if err != nil {
		return 0
	}
	return status
}

// Guards against a path that works in parts only.
func TestServesAndFollowsTheStore(t *testing.T) {
	x := start(t, 3)
	status, body, err := x.call("/stream/a", "key-1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, strings.Count(body, "data:"), 4)
	assert.Equal(t, x.status("/stream/a", "key-2"), http.StatusUnauthorized)

	x.configure("/stream/new/")
	x.await("the new route", func() bool { return x.status("/stream/new/", "key-1") == http.StatusOK })
	assert.Equal(t, x.status("/stream/a", "key-1"), http.StatusNotFound)

	x.keys = []string{"key-2"}
	x.configure("/stream/new/")
	x.await("the withdrawn key refused", func() bool { return x.status("/stream/new/", "key-1") == http.StatusUnauthorized })
	assert.Equal(t, x.status("/stream/new/", "key-2"), http.StatusOK)

	x.store.Delete(platform.KindTargets, "i-0")
	leaving := x.runners[1].Entry("llm", "a")
	leaving["state"] = "draining"
	x.store.Put(platform.KindTargets, "i-1", leaving)
	time.Sleep(300 * time.Millisecond)
	before := len(x.runners[0].Requests()) + len(x.runners[1].Requests())
	for range 10 {
		assert.Equal(t, x.status("/stream/new/", "key-2"), http.StatusOK)
	}
	assert.Equal(t, len(x.runners[0].Requests())+len(x.runners[1].Requests()), before, "a target that left got new work")
}

// Guards against keys that are served although the store is out of reach for
// longer than a withdrawn key may work, and against an instance that does not
// come back by itself.
func TestStoreOutOfReach(t *testing.T) {
	for _, how := range []string{"refused", "silent"} {
		t.Run(how, func(t *testing.T) {
			x := start(t, 1)
			assert.Equal(t, x.status("/stream/", "key-1"), http.StatusOK)
			x.store.SetFailure(func(r *http.Request) int {
				if how == "silent" {
					<-r.Context().Done()
				}
				return http.StatusServiceUnavailable
			})
			lost := time.Now()
			x.await("not ready", func() bool { return x.ready() == http.StatusServiceUnavailable })
			x.await("requests refused", func() bool { return x.status("/stream/", "key-1") == http.StatusServiceUnavailable })
			assert.Assert(t, time.Since(lost) < x.settings.MaxRevocationDelay+200*time.Millisecond, "refused after %v", time.Since(lost))
			x.store.SetFailure(nil)
			x.await("ready again", func() bool { return x.ready() == http.StatusOK })
			assert.Equal(t, x.status("/stream/", "key-1"), http.StatusOK)
		})
	}
}

// Guards against weights that are named and never loaded.
func TestNamedWeightsAreLoaded(t *testing.T) {
	x := start(t, 3)
	x.store.Put(platform.KindWeights, "m", map[string]any{"model": "m", "version": 2})
	for _, r := range x.runners {
		x.await(r.ID+" has the weights", func() bool { return r.WeightVersion() == 2 })
		x.list(r)
	}
	assert.Equal(t, x.status("/stream/", "key-1"), http.StatusOK)
}

// Guards against a planned stop that cuts requests or refuses them before
// callers have moved, and against one that takes longer than it may.
func TestPlannedStopCutsNothing(t *testing.T) {
	x := start(t, 2)
	for _, r := range x.runners {
		r.SetStream(40, 100*time.Millisecond)
	}
	long := make(chan error, 1)
	go func() {
		status, body, err := x.call("/stream/", "key-1")
		if err == nil && (status != http.StatusOK || strings.Count(body, "data:") != 40) {
			err = fmt.Errorf("status %d, body %q", status, body)
		}
		long <- err
	}()
	x.await("the long stream", func() bool { return x.runners[0].RunningRequests()+x.runners[1].RunningRequests() == 1 })
	for _, r := range x.runners {
		r.SetStream(40, 0)
	}
	began := time.Now()
	x.stop()
	x.await("not ready", func() bool { return x.ready() != http.StatusOK })
	for time.Since(began) < 2*time.Second {
		status, _, err := x.call("/stream/", "key-1")
		assert.NilError(t, err, "a request was cut %v after the stop", time.Since(began))
		assert.Equal(t, status, http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
	assert.NilError(t, <-long)
	err := <-x.stopped
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) < x.settings.StopTimeout)
	x.stopped <- err
}

// Guards against idle connections that are closed before callers expect it, or
// never.
func TestIdleTimeoutOfTheConfiguration(t *testing.T) {
	x := start(t, 1)
	conn, err := net.Dial("tcp4", x.settings.CallerListen)
	assert.NilError(t, err)
	defer conn.Close()
	for _, pause := range []time.Duration{0, 200 * time.Millisecond} {
		time.Sleep(pause)
		_, err = fmt.Fprintf(conn, "GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n")
		assert.NilError(t, err)
		buffer := make([]byte, 4096)
		n, err := conn.Read(buffer)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 404"))
	}
	began := time.Now()
	assert.NilError(t, conn.SetReadDeadline(began.Add(waitLong)))
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Assert(t, time.Since(began) > 200*time.Millisecond)
}
