package gateway

import (
	"context"
	"encoding/json"
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

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/claim"
	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore/httpapi"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

const (
	testKey      = "lw-test"
	pathBook     = "/book"   // not repeatable, service
	pathLookup   = "/lookup" // repeatable, service
	pathGenerate = "/v1/completions"
	generateBody = `{"model":"m","prompt":"p"}`
)

// testRouter is one instance with its filter chain. Fields may be changed before
// serve is called.
type testRouter struct {
	t               *testing.T
	tables          *tables.Tables
	set             *target.Set
	runningRequests *RunningRequests
	platform        *standin.Platform
	claims          *claim.Manager
	poison          *claim.PoisonDetector
	crashes         CrashDetector
	before          []Filter // between Routing and Idempotency
	after           []Filter // between Quarantine and TargetSelection
	recorded        chan *apierr.Error
	url             string
	handled         sync.Map // test ID of a request to a channel that is closed when its handler returns
}

func (r *testRouter) TargetSet() *target.Set { return r.set }

func (r *testRouter) Snapshot() *tables.Snapshot { return tables.NewSnapshot(1, r.tables) }

func (r *testRouter) Record(_ *Exchange, failure *apierr.Error) {
	select {
	case r.recorded <- failure:
	default:
	}
}

// filterFunc is a Filter made from a function.
type filterFunc func(ex *Exchange, next Handler) error

func (filterFunc) Name() string                              { return "test" }
func (f filterFunc) Handle(ex *Exchange, next Handler) error { return f(ex, next) }

func testTables() *tables.Tables {
	route := func(name, path, pool string, repeatable bool) tables.Route {
		return tables.Route{
			Name: name, Path: path, Pool: pool, Repeatable: repeatable, Access: tables.AccessKeys,
			Deadline: 20 * time.Second, Weight: 1,
		}
	}
	pool := func(name string, kind tables.PoolKind) tables.Pool {
		return tables.Pool{Name: name, Kind: kind, RetryBudget: 0.2, StallTimeout: 10 * time.Second, CheckRequestID: true}
	}
	return &tables.Tables{
		Routes: []tables.Route{
			route("book", pathBook, "services", false), route("lookup", pathLookup, "services", true),
			route("generate", pathGenerate, "engines", true),
		},
		Pools:         []tables.Pool{pool("services", tables.PoolService), pool("engines", tables.PoolEngine)},
		Organisations: []tables.Organisation{{Name: "coop", Keys: []tables.APIKey{{Name: "k", Digest: tables.HashKey(testKey)}}}},
	}
}

func newRouter(t *testing.T, p *standin.Platform, targets ...*target.Target) *testRouter {
	store := httptest.NewServer(p.Handler())
	t.Cleanup(store.Close)
	return &testRouter{
		t: t, tables: testTables(), set: target.NewSet(targets), runningRequests: NewRunningRequests(), platform: p,
		claims: claim.NewManager(claim.Options{
			Store: httpapi.New(store.URL), Clock: clock.System{}, Log: hclog.NewNullLogger(), Instance: t.Name(), Incarnation: "1",
		}),
		poison: claim.NewPoisonDetector(), crashes: &CrashProbe{Client: engine.NewHTTPClient()}, recorded: make(chan *apierr.Error, 1),
	}
}

// serve starts the HTTP server and sets r.url.
func (r *testRouter) serve() {
	log := hclog.NewNullLogger()
	picker := &leastLoaded{Targets: r}
	filters := []Filter{RequestID{}, &AccessLog{Log: log, Recorder: r}, &Authentication{Source: r, RunningRequests: r.runningRequests}, Routing{}}
	filters = append(filters, r.before...)
	filters = append(filters, &Idempotency{Claims: r.claims, Log: log}, &Quarantine{PoisonDetector: r.poison})
	filters = append(filters, r.after...)
	filters = append(filters, &TargetSelection{Picker: picker}, &Forwarder{
		Picker: picker, Sender: NewSender(), RetryBudgets: NewRetryBudgets(),
		PoisonDetector: r.poison, CrashDetector: r.crashes,
	})
	chain := NewChain(log, filters...)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if handled, ok := r.handled.Load(req.Header.Get(headerTestID)); ok {
			defer close(handled.(chan struct{}))
		}
		chain.ServeHTTP(w, req)
	}))
	r.t.Cleanup(server.Close)
	r.url = server.URL
}

// headerTestID carries the test ID under which postContext waits for the handler
// of its request.
const headerTestID = "X-Test-Id"

// answer is a response as received by the caller.
type answer struct {
	status int
	header http.Header
	body   string
	err    error              // of reading the body
	detail apierr.ErrorDetail // zero if the body is no error document
}

func (r *testRouter) post(path, key, body string) answer {
	r.t.Helper()
	return r.postContext(context.Background(), path, key, body)
}

// postContext sends a request with an optional idempotency key and waits until
// its handler has returned, because the caller can have the whole response before
// the outcome is stored.
func (r *testRouter) postContext(ctx context.Context, path, key, body string) answer {
	r.t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+path, strings.NewReader(body))
	assert.NilError(r.t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	if key != "" {
		req.Header.Set(headerIdempotencyKey, key)
	}
	id, handled := uuid.NewString(), make(chan struct{})
	r.handled.Store(id, handled)
	req.Header.Set(headerTestID, id)
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	<-handled
	a := answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
	var document apierr.ErrorDocument
	if json.Unmarshal(data, &document) == nil {
		a.detail = document.Error
	}
	return a
}

// assertError checks that the answer is an error document of the router.
func (a answer) assertError(t *testing.T, status int, code apierr.Code, outcome apierr.Outcome) {
	t.Helper()
	assert.Equal(t, a.status, status, a.body)
	assert.Equal(t, a.detail.Code, code)
	assert.Equal(t, a.detail.Outcome, outcome)
	assert.Equal(t, a.header.Get(apierr.HeaderOutcome), string(outcome))
	assert.Assert(t, a.detail.Remedy != "")
}

// testTarget is a target that counts connections and the requests that it has
// read completely.
type testTarget struct {
	*target.Target
	reads       atomic.Int64
	connections atomic.Int64
	handle      atomic.Pointer[http.HandlerFunc]
}

func newTarget(t *testing.T, id string, handle http.HandlerFunc) *testTarget {
	s := &testTarget{}
	s.setHandler(handle)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.reads.Add(1)
		if r.Header.Get(headerIdempotencyKey) != "" {
			t.Error("the target received the idempotency key")
		}
		(*s.handle.Load())(w, r)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	s.Target = &target.Target{
		ID: id, Role: objectstore.RoleService, Address: server.Listener.Addr().String(), Reachable: true, Live: &target.LiveState{},
	}
	return s
}

func (s *testTarget) setHandler(handle http.HandlerFunc) { s.handle.Store(&handle) }

// Handlers of test targets, which run after the request body has been read.

func handleOK(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	w.Header().Set("X-Booking", "7")
	fmt.Fprint(w, "booked")
}

func handleCutBeforeResponse(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func handleCutMidResponse(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprint(w, "boo")
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

func handleWrongRequestID(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(engine.HeaderRequestID, "another")
	fmt.Fprint(w, "secret of another caller")
}

// handleRefuse responds with a status and with the header X-Not-Run unless notRun
// is empty.
func handleRefuse(status int, notRun string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if notRun != "" {
			w.Header().Set(engine.HeaderNotRun, notRun)
		}
		w.Header().Set(apierr.HeaderOutcome, "not_run")
		w.WriteHeader(status)
	}
}
