package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
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
	"lacewingwheel.example/lacewingwheel/pkg/burn"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

const secretKey = "lw-0123456789abcdef-secret"

const keyRoutes = `[route chat]
path = /v1/chat/completions
pool = demo
organisations = circle

[route other]
path = /v1/completions
pool = large

[route open]
path = /open/
pool = plain
access = open

[route plain]
path = /plain/
pool = plain
`

const keyPools = `[pool demo]
targets = app=engine
model = demo

[pool large]
targets = app=engine
model = large

[pool plain]
kind = service
targets = app=plain

[organisation circle]
rate = 1000
burst = 10000
key.first = %s

[organisation other]
rate = 1000
burst = 10000
key.first = %s
`

type keyFixture struct {
	snapshot atomic.Pointer[tables.Snapshot]
	sessions *RunningRequests
	engine   *standin.Engine
	server   *httptest.Server
	recorder *burn.Recorder
	mu       sync.Mutex // guards set
	set      *target.Set
	sender   *Sender
	address  string
	log      bytes.Buffer
}

func (f *keyFixture) Snapshot() *tables.Snapshot { return f.snapshot.Load() }

func (f *keyFixture) Set() *target.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set
}

// setIncarnation publishes a set in which a target has restarted.
func (f *keyFixture) setIncarnation(id, incarnation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var targets []*target.Target
	for _, t := range f.set.Targets {
		next := *t
		if next.ID == id {
			next.Incarnation = incarnation
		}
		targets = append(targets, &next)
	}
	f.set = target.NewSet(targets)
}

// addTarget adds a target that the one stand-in engine answers for. Call it
// before the first request.
func (f *keyFixture) addTarget(id, app string, role objectstore.Role) {
	f.set = target.NewSet(append(f.set.Targets, &target.Target{
		ID: id, Role: role, Address: f.address, Model: "demo", CanResume: true,
		Labels: map[string]string{"app": app}, Reachable: true, Live: &target.LiveState{},
	}))
}

func (f *keyFixture) addEngine(id string) { f.addTarget(id, "engine", objectstore.RoleEngine) }

func parseSnapshot(t *testing.T, generation uint64, pools string) *tables.Snapshot {
	t.Helper()
	parsed, err := tables.Parse(tables.Source{Routes: []byte(keyRoutes), Pools: []byte(pools)})
	assert.NilError(t, err)
	return tables.NewSnapshot(generation, parsed)
}

func digestOf(key string) string { return tables.FormatDigest(tables.DigestKey(key)) }

// newKeyFixture serves a chain in front of a stand-in engine that also answers
// plain paths.
func newKeyFixture(t *testing.T) *keyFixture {
	t.Helper()
	options := standin.DefaultEngineOptions("demo")
	options.TokenInterval = time.Millisecond
	f := &keyFixture{sessions: NewRunningRequests(), engine: standin.NewEngine(options), recorder: burn.NewRecorder(time.Now)}
	f.snapshot.Store(parseSnapshot(t, 1, fmt.Sprintf(keyPools, digestOf(secretKey), digestOf("key-of-other"))))
	targetServer := httptest.NewServer(f.engine.Handler())
	t.Cleanup(targetServer.Close)
	f.sender = NewSender()
	f.address = targetServer.Listener.Addr().String()
	f.set = target.NewSet(nil)
	f.addTarget("engine-1", "engine", objectstore.RoleEngine)
	f.addTarget("plain-1", "plain", objectstore.RoleService)
	picker := &leastLoaded{Targets: f}
	log := hclog.New(&hclog.LoggerOptions{Output: &f.log, Level: hclog.Trace})
	f.server = httptest.NewServer(NewChain(log, RequestID{},
		&AccessLog{Log: log, Recorder: &BurnRecorder{Recorder: f.recorder}},
		&Authentication{Source: f, RunningRequests: f.sessions}, Routing{}, &TargetSelection{Picker: picker},
		&Forwarder{Picker: picker, Sender: f.sender, Budgets: NewRetryBudgets()}))
	t.Cleanup(f.server.Close)
	return f
}

func (f *keyFixture) do(t *testing.T, path, body string, change func(*http.Request)) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, f.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	change(req)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func bearer(key string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+key) }
}

const wholeCall = `{"model":"demo","max_tokens":2,"messages":[{"role":"user","content":"hi"}]}`

// Guards G5: a key must not reach a target, a log or a metric, wherever the
// caller puts it.
func TestKeyStaysInRouter(t *testing.T) {
	places := map[string]func(*http.Request){
		"bearer":          bearer(secretKey),
		"bearer in lower": func(r *http.Request) { r.Header.Set("Authorization", "bearer "+secretKey) },
		"plain header":    func(r *http.Request) { r.Header.Set("Authorization", secretKey) },
		"x-api-key":       func(r *http.Request) { r.Header.Set("X-Api-Key", secretKey) },
		"query":           func(r *http.Request) { r.URL.RawQuery = "a=1&api_key=" + secretKey },
		"cookie":          func(r *http.Request) { r.Header.Set("Cookie", "theme=dark; api_key="+secretKey) },
		"with a copy": func(r *http.Request) {
			bearer(secretKey)(r)
			r.Header.Set("Referer", "http://example/?api_key="+secretKey)
			r.Header.Set("Proxy-Authorization", "Bearer "+secretKey)
		},
	}
	for name, place := range places {
		t.Run(name, func(t *testing.T) {
			f := newKeyFixture(t)
			resp := f.do(t, "/v1/chat/completions", wholeCall, place)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			received, err := json.Marshal(f.engine.ReceivedRequests())
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(received), "chat/completions"))
			f.server.Close()
			published := burn.Var{Recorder: f.recorder}.String()
			for _, text := range []string{string(received), f.log.String(), published} {
				assert.Assert(t, !strings.Contains(text, secretKey), text)
			}
		})
	}
}

// Guards G4: only an allowed organisation gets through, and refusals say that
// the request has not run.
func TestRouteRunsOnlyForItsOrganisations(t *testing.T) {
	tests := []struct {
		name, path string
		change     func(*http.Request)
		status     int
		code       apierr.Code
	}{
		{"no key", "/v1/chat/completions", func(*http.Request) {}, http.StatusUnauthorized, apierr.CodeMissingKey},
		{"unknown key", "/v1/chat/completions", bearer("lw-unknown"), http.StatusUnauthorized, apierr.CodeInvalidKey},
		{"other organisation", "/v1/chat/completions", bearer("key-of-other"), http.StatusForbidden, apierr.CodeForbidden},
		{"two keys", "/v1/chat/completions", func(r *http.Request) {
			bearer(secretKey)(r)
			r.Header.Set("X-Api-Key", "key-of-other")
		}, http.StatusUnauthorized, apierr.CodeInvalidKey},
		{"unknown key on an open route", "/open/x", bearer("lw-unknown"), http.StatusUnauthorized, apierr.CodeInvalidKey},
		{"other model", "/v1/completions", bearer(secretKey), http.StatusNotFound, apierr.CodeNoRoute},
		{"no route", "/nowhere", bearer(secretKey), http.StatusNotFound, apierr.CodeNoRoute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newKeyFixture(t)
			resp := f.do(t, test.path, wholeCall, test.change)
			var doc apierr.Body
			assert.NilError(t, json.NewDecoder(resp.Body).Decode(&doc))
			assert.Equal(t, resp.StatusCode, test.status)
			assert.Equal(t, doc.Error.Code, test.code)
			assert.Equal(t, doc.Error.Outcome, apierr.NotRun)
			assert.Assert(t, doc.Error.Remedy != "")
			assert.Equal(t, len(f.engine.ReceivedRequests()), 0)
		})
	}
}

// Guards G6: a running stream must end when its key is revoked, and must not
// end as if it were complete.
func TestRevokedKeyEndsStream(t *testing.T) {
	f := newKeyFixture(t)
	resp := f.do(t, "/v1/chat/completions",
		`{"model":"demo","stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"hi"}]}`, bearer(secretKey))
	reader := engine.NewEventReader(resp.Body)
	_, err := reader.Next()
	assert.NilError(t, err)
	revoked := parseSnapshot(t, 2, fmt.Sprintf(keyPools, digestOf("another"), digestOf("key-of-other")))
	f.snapshot.Store(revoked)
	assert.Equal(t, f.sessions.CancelRevoked(revoked), 1)
	var last engine.StreamEvent
	for {
		event, err := reader.Next()
		if err != nil {
			break
		}
		last = event
	}
	assert.Assert(t, strings.Contains(string(last.Data), string(apierr.CodeKeyRevoked)), string(last.Data))
	resp = f.do(t, "/v1/chat/completions", wholeCall, bearer(secretKey))
	assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
}

// Guards G1: a target that loaded other weights after its state was read must
// not answer for the pool's weights.
func TestOtherWeightsAreRefused(t *testing.T) {
	f := newKeyFixture(t)
	pools := strings.Replace(fmt.Sprintf(keyPools, digestOf(secretKey), digestOf("key-of-other")),
		"model = demo\n", "model = demo\nweight_version = 2\n", 1)
	f.snapshot.Store(parseSnapshot(t, 2, pools))
	f.set.ByID["engine-1"].WeightVersion = "2" // as read before; the engine runs version 1
	resp := f.do(t, "/v1/chat/completions", wholeCall, bearer(secretKey))
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
}

// Guards G1: the same prompt of two organisations must not share cached pieces
// on an engine.
func TestCacheSaltSeparatesOrganisations(t *testing.T) {
	f := newKeyFixture(t)
	routes := strings.Replace(keyRoutes, "organisations = circle\n", "", 1)
	pools := fmt.Sprintf(keyPools, digestOf(secretKey), digestOf("key-of-other"))
	parsed, err := tables.Parse(tables.Source{Routes: []byte(routes), Pools: []byte(pools)})
	assert.NilError(t, err)
	f.snapshot.Store(tables.NewSnapshot(2, parsed))
	salts := make(map[string]bool)
	for _, key := range []string{secretKey, "key-of-other", secretKey} {
		f.do(t, "/v1/chat/completions", wholeCall, bearer(key))
	}
	for _, received := range f.engine.ReceivedRequests() {
		salts[received.Header.Get(engine.HeaderCacheSalt)] = true
	}
	assert.Equal(t, len(f.engine.ReceivedRequests()), 3)
	assert.Equal(t, len(salts), 2)
}
