package relay_test

import (
	"bufio"
	"context"
	"expvar"
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

	"lacewingwheel.example/lacewingwheel/pkg/admission"
	"lacewingwheel.example/lacewingwheel/pkg/cachedir"
	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/memlimit"
	"lacewingwheel.example/lacewingwheel/pkg/placement"
	"lacewingwheel.example/lacewingwheel/pkg/poison"
	"lacewingwheel.example/lacewingwheel/pkg/relay"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
	"lacewingwheel.example/lacewingwheel/platform"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

const (
	testKey     = "key-of-one"
	testTimeout = 5 * time.Second
	// rolloutDeadline is shorter than the deadlines of the routes.
	rolloutDeadline = 1500 * time.Millisecond
)

// fixture is a chain in front of stand-in targets. It implements the interfaces
// that the filters use.
type fixture struct {
	t       *testing.T
	server  *httptest.Server
	log     *lockedBuffer
	metrics *expvar.Map

	mu            sync.Mutex
	snapshot      *tables.Snapshot
	proofAge      time.Duration
	targets       []*target.Target
	onList        func() // called before each read of the targets; it may change them
	newestVersion string
	tokens        int64 // tokens left in the quota; negative: no limit
	limits        relay.RetryLimits
	conns         *targetconn.Pool
	placer        *placement.Placer
	detector      *poison.Detector
	admission     *relay.Admission
	drainEndsAt   time.Time // zero: the instance does not stop
	// endRequests ends the requests that run, as a stop of the instance does.
	endRequests func()
}

type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func newFixture(t *testing.T, testTargets ...*platformtest.Target) *fixture {
	t.Helper()
	f := &fixture{
		t: t, log: &lockedBuffer{}, metrics: new(expvar.Map).Init(), tokens: -1, newestVersion: "",
		limits: relay.RetryLimits{Ratio: 1, ExtraRetries: 100, Window: 10 * time.Second},
		conns:  targetconn.NewPool(time.Second, time.Second), placer: placement.New(placement.DefaultParams(), "zone-a"),
		detector:  poison.NewDetector(clock.System{}),
		admission: &relay.Admission{MaxWaiting: 10, Usage: admission.NewUsage()},
	}
	organisation := tables.Organisation{Name: "one", Rate: 1, Burst: 1, DefaultCost: 10, Keys: []tables.APIKey{{Digest: tables.HashKey(testKey)}}}
	f.snapshot = tables.NewSnapshot(1, &tables.Tables{
		Organisations: []tables.Organisation{organisation},
		Limits:        tables.CallerLimits{HeaderBytes: 8 << 10, BodyBytes: 64 << 10},
		Pools:         []tables.Pool{{Name: "pool", Kind: tables.PoolService}},
		Routes: []tables.Route{
			{Name: "idempotent", Path: "/idempotent/", Pool: "pool", Repeatable: true, MaxAttempts: 2, Deadline: 2 * time.Second, Objective: tables.Objective{FirstToken: 200 * time.Millisecond}},
			{Name: "once", Path: "/once/", Pool: "pool", MaxAttempts: 1, Deadline: 2 * time.Second},
			{Name: "resumable", Path: "/stream/resumable/", Pool: "pool", Repeatable: true, StreamsEvents: true, MaxAttempts: 2, Deadline: 2 * time.Second, MaxEventGap: 50 * time.Millisecond, Objective: tables.Objective{FirstToken: 200 * time.Millisecond}},
			{Name: "stream-once", Path: "/stream/once/", Pool: "pool", StreamsEvents: true, MaxAttempts: 1, Deadline: 2 * time.Second},
			{Name: "open", Path: "/open/", Pool: "pool", Access: tables.AccessOpen, Deadline: 2 * time.Second},
		},
	})
	for _, testTarget := range testTargets {
		f.targets = append(f.targets, &target.Target{ID: testTarget.ID, Address: testTarget.Address, Zone: "zone-a", Pool: "pool", Incarnation: "1", Slots: 8, Reachable: true, Live: &target.LiveState{}})
	}
	requestLog := &relay.RequestLog{Log: hclog.New(&hclog.LoggerOptions{Output: f.log}), Metrics: f.metrics}
	key := &relay.KeyFilter{Configuration: f, MaxProofAge: func() time.Duration { return 4 * time.Second }}
	quarantine := &relay.QuarantineFilter{Detector: f.detector, Clock: clock.System{}, RequestLog: requestLog}
	directory := &cachedir.Set{}
	f.conns.Memory = memlimit.NewBudget(13 << 20) // as for an instance of 134 MB
	forward := &relay.ForwardFilter{
		Dialect: platform.Dialect{}, Targets: f, Placer: f.placer, Conns: f.conns, CacheDirectories: directory, LoadReporter: f, Memory: f.conns.Memory, KeyFilter: key, QuarantineFilter: quarantine, RequestLog: requestLog, Clock: clock.System{}, RolloutDeadline: rolloutDeadline, Admission: f.admission,
		RetryBudget: relay.NewRetryBudget(func() relay.RetryLimits { return f.limits }), InstanceCount: func() int { return 1 },
	}
	drain := relay.DrainFilter{EndsAt: f.drainEnd}
	forward.Drain = drain
	chain := relay.NewChain(platform.Dialect{}, requestLog, &relay.RouteFilter{Configuration: f}, drain, key, relay.BodyFilter{}, drain, quarantine, &relay.AdmissionFilter{Forward: forward}, &relay.QuotaFilter{Quota: f}, forward)
	requests, endRequests := context.WithCancelCause(context.Background())
	f.endRequests = func() { endRequests(relay.ErrStopping) }
	f.server = httptest.NewUnstartedServer(chain)
	f.server.Config.ConnContext = relay.ContextWithConn
	f.server.Config.BaseContext = func(net.Listener) context.Context { return requests }
	f.server.Start()
	t.Cleanup(f.server.Close)
	return f
}

func (f *fixture) drainEnd() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drainEndsAt
}

func (f *fixture) setDrainEnd(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drainEndsAt = at
}

// avoid makes a target cost more than the others, so that requests go to these first.
func (f *fixture) avoid(n int) { f.targets[n].Live.InFlight.Add(100) }

func (f *fixture) Snapshot() *tables.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

func (f *fixture) ProofAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proofAge
}

func (f *fixture) InPool(string) []*target.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.onList != nil {
		f.onList()
	}
	return f.targets
}

func (f *fixture) ReportLoad(string, target.Load) {}
func (f *fixture) ReportDown(string)              {}
func (f *fixture) ReportLeaving(string)           {}
func (f *fixture) ListState() target.ListState    { return target.ListState{} }

func (f *fixture) RecordNotice(t *target.Target, n target.Notice) {
	f.update(func() {
		if n.Pause > 0 {
			t.Live.RecordPause(clock.System{}.Elapsed(), n.Pause)
		}
		for i, known := range f.targets {
			if n.Leaving && known.Live == t.Live {
				leaving := *known
				leaving.Leaving = true
				f.targets = append([]*target.Target{}, f.targets...)
				f.targets[i] = &leaving
			}
		}
	})
}
func (f *fixture) NewestVersion(string) string                  { return f.newestVersion }
func (f *fixture) MarkReplaced(*target.Target)                  {}
func (f *fixture) RecordReportedVersion(*target.Target, string) {}
func (f *fixture) update(change func())                         { f.mu.Lock(); defer f.mu.Unlock(); change() }
func (f *fixture) Return(_ string, tokens int64)                { f.update(func() { f.tokens += tokens }) }
func (f *fixture) Take(_ context.Context, _ string, tokens int64) (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tokens < 0 {
		return true, 0
	}
	if f.tokens < tokens {
		return false, time.Hour
	}
	f.tokens -= tokens
	return true, 0
}

// callerRequest is a request as a caller sends it.
type callerRequest struct {
	path, id, key, body string
	timeout             time.Duration
	header              map[string]string
}

// callerResponse is what the caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error // of the request or of reading the body
}

func (f *fixture) send(c callerRequest) callerResponse {
	f.t.Helper()
	return f.sendFrom(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, c)
}

func (f *fixture) sendFrom(client *http.Client, c callerRequest) callerResponse {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPost, f.server.URL+c.path, strings.NewReader(c.body))
	assert.NilError(f.t, err)
	if c.id == "" {
		c.id = "id-1"
	}
	if c.key == "" {
		c.key = testKey
	}
	if c.timeout == 0 {
		c.timeout = 1500 * time.Millisecond
	}
	request.Header.Set(platformtest.HeaderRequestID, c.id)
	request.Header.Set("Authorization", "Token "+c.key)
	request.Header.Set(platformtest.HeaderDeadline, fmt.Sprint(c.timeout.Milliseconds()))
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// startTarget starts a stand-in target and stops it at the end of the test.
func startTarget(t *testing.T, id string) *platformtest.Target {
	t.Helper()
	testTarget, err := platformtest.StartTarget(id)
	assert.NilError(t, err)
	t.Cleanup(testTarget.Stop)
	return testTarget
}

// countRuns returns the number of requests that the stand-in targets ran.
func countRuns(testTargets ...*platformtest.Target) int {
	n := 0
	for _, testTarget := range testTargets {
		for _, seen := range testTarget.Requests() {
			if seen.Executed {
				n++
			}
		}
	}
	return n
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), what)
	}
}

// sendRaw sends a request on a new connection and returns the connection with a
// reader of the response.
func (f *fixture) sendRaw(path, id string) (net.Conn, *bufio.Reader) {
	f.t.Helper()
	conn, err := net.Dial("tcp4", f.server.Listener.Addr().String())
	assert.NilError(f.t, err)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\n"+platformtest.HeaderRequestID+": %s\r\nAuthorization: Token %s\r\nContent-Length: 0\r\n\r\n", path, id, testKey)
	assert.NilError(f.t, err)
	return conn, bufio.NewReader(conn)
}

// firstTarget is the ID of the stand-in target that received the first request.
type firstTarget struct{ id atomic.Pointer[string] }

// isFirst reports whether the target with this ID received the first request. The
// first call sets that target.
func (f *firstTarget) isFirst(id string) bool {
	f.id.CompareAndSwap(nil, &id)
	return *f.id.Load() == id
}
