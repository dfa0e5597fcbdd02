package daemon_test

import (
	"bufio"
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

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/daemon"
	"lacewingwheel.example/lacewingwheel/platform"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

const testTimeout = 10 * time.Second

// testDaemon is a daemon in this process with stand-ins for the store and targets.
type testDaemon struct {
	t                    *testing.T
	store                *platformtest.Store
	targets              []*platformtest.Target
	settings             *daemon.Settings
	stop                 func()
	stopped              chan error
	configurationVersion int
	apiKeys              []string
}

func startDaemon(t *testing.T, targetCount int) *testDaemon {
	t.Helper()
	return startDaemonWith(t, targetCount, func(*testDaemon) {})
}

// startDaemonWith starts a daemon after configure has changed its settings.
func startDaemonWith(t *testing.T, targetCount int, configure func(*testDaemon)) *testDaemon {
	t.Helper()
	x := &testDaemon{t: t, store: platformtest.NewStore(), stopped: make(chan error, 1), apiKeys: []string{"key-1"}}
	server := httptest.NewServer(x.store)
	t.Cleanup(server.Close)
	for i := range targetCount {
		r, err := platformtest.StartTarget(fmt.Sprintf("i-%d", i))
		assert.NilError(t, err)
		r.Model = "m"
		t.Cleanup(r.Stop)
		x.targets = append(x.targets, r)
		x.putTarget(r)
	}
	x.store.Put(platform.KindWeights, "m", map[string]any{"model": "m", "version": 1})
	x.putConfiguration("/stream/")
	sockets := newHeldSockets(t)
	x.settings = &daemon.Settings{
		Instance: "edge-1", Zone: "a", CallerListen: sockets.tcpAddress(t), ReadyListen: sockets.tcpAddress(t), MetricsListen: sockets.tcpAddress(t),
		StoreAddress: strings.TrimPrefix(server.URL, "http://"), FirstStart: true,
		StopTimeout: 8 * time.Second, MaxRevocationDelay: 2 * time.Second, MaxRolloutDelay: 12 * time.Second, OrderHandoverPause: 100 * time.Millisecond,
		RetryRatio: 0.2, ExtraRetries: 50, RetryWindow: 10 * time.Second, QuotaOverage: 0.1, QuotaSlack: 1000,
	}
	configure(x)
	current := func() *daemon.Settings { return x.settings }
	ctx, cancel := context.WithCancel(context.Background())
	x.stop = cancel
	d := daemon.New(current, platform.New(current), hclog.NewNullLogger())
	d.UseSockets(sockets.listen, sockets.listenPacket)
	var once sync.Once
	go func() { x.stopped <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		once.Do(func() { <-x.stopped })
	})
	x.waitFor("ready", func() bool { return x.readyStatus() == http.StatusOK })
	return x
}

func (x *testDaemon) putTarget(r *platformtest.Target) {
	x.store.Put(platform.KindTargets, r.ID, r.Entry("llm", "a"))
}

// putConfiguration writes the next version of the configuration, with one route
// and the keys of apiKeys.
func (x *testDaemon) putConfiguration(prefix string) {
	x.configurationVersion++
	x.store.PutConfiguration(x.configurationVersion, x.apiKeys, 300, platformtest.Route{Name: "r", PathPrefix: prefix, Kind: "streaming", MaxAttempts: 2, Resumable: true, TimeoutMS: 5000})
}

func (x *testDaemon) waitFor(what string, ok func() bool) {
	x.t.Helper()
	for deadline := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(x.t, time.Now().Before(deadline), "not reached: %s", what)
	}
}

func (x *testDaemon) readyStatus() int {
	response, err := http.Get("http://" + x.settings.ReadyListen + "/ready")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

var nextRequestID atomic.Int64

// transport opens a connection for each request: the configured idle timeout is short.
var transport = &http.Transport{DisableKeepAlives: true}

func (x *testDaemon) send(path, key string) (int, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+x.settings.CallerListen+path, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	request.Host = "h.example"
	request.Header.Set(platformtest.HeaderRequestID, fmt.Sprintf("id-%d", nextRequestID.Add(1)))
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

func (x *testDaemon) sendStatus(path, key string) int {
	status, _, err := x.send(path, key)
	if err != nil {
		return 0
	}
	return status
}

// The daemon must apply changes in the store while it serves. Otherwise callers
// get 404 on new routes, revoked keys still work, or requests go to targets that
// are deleted or draining.
func TestServesAndAppliesStoreChanges(t *testing.T) {
	x := startDaemon(t, 3)
	status, body, err := x.send("/stream/a", "key-1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, strings.Count(body, "data:"), 4)
	assert.Equal(t, x.sendStatus("/stream/a", "key-2"), http.StatusUnauthorized)

	x.putConfiguration("/stream/new/")
	// The first configuration serves the new path, too.
	x.waitFor("the old route is not served", func() bool { return x.sendStatus("/stream/a", "key-1") == http.StatusNotFound })
	for range 20 {
		assert.Equal(t, x.sendStatus("/stream/new/", "key-1"), http.StatusOK)
		assert.Equal(t, x.sendStatus("/stream/a", "key-1"), http.StatusNotFound, "the old route is served again")
	}

	x.apiKeys = []string{"key-2"}
	x.putConfiguration("/stream/new/")
	x.waitFor("the revoked key is refused", func() bool { return x.sendStatus("/stream/new/", "key-1") == http.StatusUnauthorized })
	assert.Equal(t, x.sendStatus("/stream/new/", "key-2"), http.StatusOK)

	x.store.Delete(platform.KindTargets, "i-0")
	leaving := x.targets[1].Entry("llm", "a")
	leaving["state"] = "draining"
	x.store.Put(platform.KindTargets, "i-1", leaving)
	time.Sleep(300 * time.Millisecond)
	before := len(x.targets[0].Requests()) + len(x.targets[1].Requests())
	for range 10 {
		assert.Equal(t, x.sendStatus("/stream/new/", "key-2"), http.StatusOK)
	}
	assert.Equal(t, len(x.targets[0].Requests())+len(x.targets[1].Requests()), before, "a deleted or draining target got a request")
}

// While the store does not answer, a key may have been revoked. Requests with keys
// must be refused once the revocation bound has passed, and must be served again
// without a restart when the store is back.
func TestStoreUnavailable(t *testing.T) {
	for _, failure := range []string{"status 503", "no response"} {
		t.Run(failure, func(t *testing.T) {
			x := startDaemon(t, 1)
			assert.Equal(t, x.sendStatus("/stream/", "key-1"), http.StatusOK)
			x.store.SetFailure(func(r *http.Request) int {
				if failure == "no response" {
					<-r.Context().Done()
				}
				return http.StatusServiceUnavailable
			})
			failedAt := time.Now()
			x.waitFor("not ready", func() bool { return x.readyStatus() == http.StatusServiceUnavailable })
			x.waitFor("requests are refused", func() bool { return x.sendStatus("/stream/", "key-1") == http.StatusServiceUnavailable })
			assert.Assert(t, time.Since(failedAt) < x.settings.MaxRevocationDelay+200*time.Millisecond, "requests refused only after %v", time.Since(failedAt))
			x.store.SetFailure(nil)
			x.waitFor("ready again", func() bool { return x.readyStatus() == http.StatusOK })
			assert.Equal(t, x.sendStatus("/stream/", "key-1"), http.StatusOK)
		})
	}
}

// A weight version that is announced in the store must be loaded by all targets.
// Otherwise a rollout never ends and callers keep getting the old weights.
func TestAnnouncedWeightsAreLoaded(t *testing.T) {
	x := startDaemon(t, 3)
	x.store.Put(platform.KindWeights, "m", map[string]any{"model": "m", "version": 2})
	for _, r := range x.targets {
		x.waitFor(r.ID+" has loaded the weights", func() bool { return r.WeightVersion() == 2 })
		x.putTarget(r)
	}
	assert.Equal(t, x.sendStatus("/stream/", "key-1"), http.StatusOK)
}

// A planned stop must not cut running requests, must serve new ones until callers
// have seen that the instance is not ready, and must end within the stop timeout.
// Otherwise callers see errors at each deployment.
func TestPlannedStopServesAllRequests(t *testing.T) {
	x := startDaemon(t, 2)
	for _, r := range x.targets {
		r.SetStream(40, 100*time.Millisecond)
	}
	longStream := make(chan error, 1)
	go func() {
		status, body, err := x.send("/stream/", "key-1")
		if err == nil && (status != http.StatusOK || strings.Count(body, "data:") != 40) {
			err = fmt.Errorf("status %d, body %q", status, body)
		}
		longStream <- err
	}()
	x.waitFor("the long stream is running", func() bool { return x.targets[0].RunningRequests()+x.targets[1].RunningRequests() == 1 })
	for _, r := range x.targets {
		r.SetStream(40, 0)
	}
	startedAt := time.Now()
	x.stop()
	x.waitFor("not ready", func() bool { return x.readyStatus() != http.StatusOK })
	for time.Since(startedAt) < 2*time.Second {
		status, _, err := x.send("/stream/", "key-1")
		assert.NilError(t, err, "a request failed %v after the stop began", time.Since(startedAt))
		assert.Equal(t, status, http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
	assert.NilError(t, <-longStream)
	err := <-x.stopped
	assert.NilError(t, err)
	assert.Assert(t, time.Since(startedAt) < x.settings.StopTimeout)
	x.stopped <- err
}

// Idle connections of callers must be closed after the configured timeout. Closed
// earlier, they fail the next request of a caller; never closed, they use up file
// descriptors.
func TestConfiguredIdleTimeout(t *testing.T) {
	x := startDaemon(t, 1)
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
	startedAt := time.Now()
	assert.NilError(t, conn.SetReadDeadline(startedAt.Add(testTimeout)))
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Assert(t, time.Since(startedAt) > 200*time.Millisecond)
}

// Requests that came late in a planned stop, on connections that were opened before, were
// passed on and cut off at its end, among them such that must not be repeated. They must be
// refused at once, as not run, unless they end in time.
func TestLateRequestsOfPlannedStopAreNotCut(t *testing.T) {
	x := startDaemon(t, 1)
	x.settings.StopTimeout = 5 * time.Second
	x.targets[0].SetStream(400, 20*time.Millisecond) // longer than the stop
	var late [2]net.Conn
	for n := range late {
		conn, err := net.Dial("tcp4", x.settings.CallerListen)
		assert.NilError(t, err)
		defer conn.Close()
		late[n] = conn
	}
	x.stop()
	x.waitFor("not ready", func() bool { return x.readyStatus() != http.StatusOK })
	stoppedAt := time.Now()
	running := make(chan error, 1)
	go func() {
		_, _, err := x.send("/stream/", "key-1")
		running <- err
	}()
	x.waitFor("a request runs", func() bool { return x.targets[0].RunningRequests() == 1 })
	time.Sleep(3*time.Second - time.Since(stoppedAt)) // the instance takes no more requests that may be cut
	x.targets[0].SetStream(4, 0)

	for n, c := range []struct {
		timeout string
		status  int
	}{{"4900", http.StatusServiceUnavailable}, {"500", http.StatusOK}} {
		_, err := fmt.Fprintf(late[n], "POST /stream/ HTTP/1.1\r\nHost: h.example\r\n"+platformtest.HeaderRequestID+": late-%d\r\n"+platformtest.HeaderModel+": m\r\n"+platformtest.HeaderDeadline+": %s\r\nAuthorization: Token key-1\r\nContent-Length: 2\r\n\r\nhi", n, c.timeout)
		assert.NilError(t, err)
		assert.NilError(t, late[n].SetDeadline(time.Now().Add(testTimeout)))
		response, err := http.ReadResponse(bufio.NewReader(late[n]), nil)
		assert.NilError(t, err, "a request with %s ms, %v after the stop began", c.timeout, time.Since(stoppedAt))
		assert.Equal(t, response.StatusCode, c.status, "a request with %s ms", c.timeout)
		assert.Assert(t, response.Close)
		if c.status == http.StatusServiceUnavailable {
			assert.Equal(t, response.Header.Get(apierr.HeaderOutcome), string(apierr.OutcomeNotRun))
			assert.Assert(t, response.Header.Get("Retry-After") != "")
		}
	}
	assert.Assert(t, <-running != nil, "a stream that was cut at the end looks complete")
	err := <-x.stopped
	assert.NilError(t, err)
	assert.Assert(t, time.Since(stoppedAt) < x.settings.StopTimeout)
	x.stopped <- err
}

// A stopping instance must ask callers to open a new connection for their next request, also
// in responses of targets. Otherwise they go on to use connections that are about to be
// closed.
func TestTargetResponsesOfStoppingInstanceCloseTheConnection(t *testing.T) {
	x := startDaemon(t, 1)
	x.stop()
	x.waitFor("not ready", func() bool { return x.readyStatus() != http.StatusOK })
	conn, err := net.Dial("tcp4", x.settings.CallerListen)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /stream/ HTTP/1.1\r\nHost: h.example\r\n"+platformtest.HeaderRequestID+": id-close\r\n"+platformtest.HeaderModel+": m\r\nAuthorization: Token key-1\r\nContent-Length: 2\r\n\r\nhi")
	assert.NilError(t, err)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, response.Close)
}
