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

const fixtureRoutes = `[route chat]
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

const fixturePools = `[pool demo]
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

// gatewayFixture is a filter chain without Idempotency in front of one stand-in
// engine.
type gatewayFixture struct {
	snapshot        atomic.Pointer[tables.Snapshot]
	runningRequests *RunningRequests
	engine          *standin.Engine
	server          *httptest.Server
	recorder        *burn.Recorder
	mu              sync.Mutex // guards set
	set             *target.Set
	sender          *Sender
	address         string
	log             bytes.Buffer
}

func (f *gatewayFixture) Snapshot() *tables.Snapshot { return f.snapshot.Load() }

func (f *gatewayFixture) TargetSet() *target.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set
}

// setIncarnation replaces the set by one in which a target has another
// incarnation, as after a restart.
func (f *gatewayFixture) setIncarnation(id, incarnation string) {
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

// addTarget adds a target with the address of the stand-in engine. It must be
// called before the first request.
func (f *gatewayFixture) addTarget(id, app string, role objectstore.Role) {
	f.set = target.NewSet(append(f.set.Targets, &target.Target{
		ID: id, Role: role, Address: f.address, Model: "demo", CanResume: true,
		Labels: map[string]string{"app": app}, Reachable: true, Live: &target.LiveState{},
	}))
}

func (f *gatewayFixture) addEngine(id string) { f.addTarget(id, "engine", objectstore.RoleEngine) }

func parseSnapshot(t *testing.T, generation uint64, pools string) *tables.Snapshot {
	t.Helper()
	parsed, err := tables.Parse(tables.Source{Routes: []byte(fixtureRoutes), Pools: []byte(pools)})
	assert.NilError(t, err)
	return tables.NewSnapshot(generation, parsed)
}

func digestOf(key string) string { return tables.FormatDigest(tables.HashKey(key)) }

// newGatewayFixture starts a chain in front of a stand-in engine that also
// responds as a plain service. Its targets are engine-1 and plain-1.
func newGatewayFixture(t *testing.T) *gatewayFixture {
	t.Helper()
	options := standin.DefaultEngineOptions("demo")
	options.TokenInterval = time.Millisecond
	f := &gatewayFixture{runningRequests: NewRunningRequests(), engine: standin.NewEngine(options), recorder: burn.NewRecorder(time.Now)}
	f.snapshot.Store(parseSnapshot(t, 1, fmt.Sprintf(fixturePools, digestOf(secretKey), digestOf("key-of-other"))))
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
		&Authentication{Source: f, RunningRequests: f.runningRequests}, Routing{}, &TargetSelection{Picker: picker},
		&Forwarder{Picker: picker, Sender: f.sender, RetryBudgets: NewRetryBudgets()}))
	t.Cleanup(f.server.Close)
	return f
}

// do sends a request after change has set its key.
func (f *gatewayFixture) do(t *testing.T, path, body string, change func(*http.Request)) *http.Response {
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

const chatBody = `{"model":"demo","max_tokens":2,"messages":[{"role":"user","content":"hi"}]}`

// A key that reaches a target, the log or a metric is leaked. It must be removed
// from every place in which a caller may send it, and from headers that copy it.
func TestKeyStaysInRouter(t *testing.T) {
	places := map[string]func(*http.Request){
		"bearer":               bearer(secretKey),
		"bearer in lower case": func(r *http.Request) { r.Header.Set("Authorization", "bearer "+secretKey) },
		"plain header":         func(r *http.Request) { r.Header.Set("Authorization", secretKey) },
		"x-api-key":            func(r *http.Request) { r.Header.Set("X-Api-Key", secretKey) },
		"query":                func(r *http.Request) { r.URL.RawQuery = "a=1&api_key=" + secretKey },
		"cookie":               func(r *http.Request) { r.Header.Set("Cookie", "theme=dark; api_key="+secretKey) },
		"copied to other headers": func(r *http.Request) {
			bearer(secretKey)(r)
			r.Header.Set("Referer", "http://example/?api_key="+secretKey)
			r.Header.Set("Proxy-Authorization", "Bearer "+secretKey)
		},
	}
	for name, place := range places {
		t.Run(name, func(t *testing.T) {
			f := newGatewayFixture(t)
			resp := f.do(t, "/v1/chat/completions", chatBody, place)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			received, err := json.Marshal(f.engine.ReceivedRequests())
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(received), "chat/completions"))
			f.server.Close()
			published := burn.RecorderVar{Recorder: f.recorder}.String()
			for _, text := range []string{string(received), f.log.String(), published} {
				assert.Assert(t, !strings.Contains(text, secretKey), text)
			}
		})
	}
}

// A request must reach an engine only with a key of an allowed organisation. All
// refusals must have the outcome not_run, so that the caller may send again.
func TestRouteRunsOnlyForItsOrganisations(t *testing.T) {
	tests := []struct {
		name, path string
		change     func(*http.Request)
		status     int
		code       apierr.Code
	}{
		{"no key", "/v1/chat/completions", func(*http.Request) {}, http.StatusUnauthorized, apierr.CodeMissingKey},
		{"unknown key", "/v1/chat/completions", bearer("lw-unknown"), http.StatusUnauthorized, apierr.CodeInvalidKey},
		{"other organisation", "/v1/chat/completions", bearer("key-of-other"), http.StatusForbidden, apierr.CodeOrganisationNotAllowed},
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
			f := newGatewayFixture(t)
			resp := f.do(t, test.path, chatBody, test.change)
			var doc apierr.ErrorDocument
			assert.NilError(t, json.NewDecoder(resp.Body).Decode(&doc))
			assert.Equal(t, resp.StatusCode, test.status)
			assert.Equal(t, doc.Error.Code, test.code)
			assert.Equal(t, doc.Error.Outcome, apierr.OutcomeNotRun)
			assert.Assert(t, doc.Error.Remedy != "")
			assert.Equal(t, len(f.engine.ReceivedRequests()), 0)
		})
	}
}

// When a key is revoked, its running streams must end with an error event. If
// they just stopped, the caller could take them as complete.
func TestRevokedKeyEndsStream(t *testing.T) {
	f := newGatewayFixture(t)
	resp := f.do(t, "/v1/chat/completions",
		`{"model":"demo","stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"hi"}]}`, bearer(secretKey))
	reader := engine.NewEventReader(resp.Body)
	_, err := reader.Next()
	assert.NilError(t, err)
	revoked := parseSnapshot(t, 2, fmt.Sprintf(fixturePools, digestOf("another"), digestOf("key-of-other")))
	f.snapshot.Store(revoked)
	assert.Equal(t, f.runningRequests.CancelRevoked(revoked), 1)
	var last engine.StreamEvent
	for {
		event, err := reader.Next()
		if err != nil {
			break
		}
		last = event
	}
	assert.Assert(t, strings.Contains(string(last.Data), string(apierr.CodeKeyRevoked)), string(last.Data))
	resp = f.do(t, "/v1/chat/completions", chatBody, bearer(secretKey))
	assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
}

// An engine may load other weights after the router has read its state. Its
// response must then be refused, or the caller gets output of the wrong weights.
func TestWrongWeightVersionIsRefused(t *testing.T) {
	f := newGatewayFixture(t)
	pools := strings.Replace(fmt.Sprintf(fixturePools, digestOf(secretKey), digestOf("key-of-other")),
		"model = demo\n", "model = demo\nweight_version = 2\n", 1)
	f.snapshot.Store(parseSnapshot(t, 2, pools))
	f.set.ByID["engine-1"].WeightVersion = "2" // outdated: the engine runs version 1
	resp := f.do(t, "/v1/chat/completions", chatBody, bearer(secretKey))
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
}

// The same prompt of two organisations must have different cache salts, or they
// share cached prefixes on an engine and can probe each other's prompts.
func TestCacheSaltSeparatesOrganisations(t *testing.T) {
	f := newGatewayFixture(t)
	routes := strings.Replace(fixtureRoutes, "organisations = circle\n", "", 1)
	pools := fmt.Sprintf(fixturePools, digestOf(secretKey), digestOf("key-of-other"))
	parsed, err := tables.Parse(tables.Source{Routes: []byte(routes), Pools: []byte(pools)})
	assert.NilError(t, err)
	f.snapshot.Store(tables.NewSnapshot(2, parsed))
	salts := make(map[string]bool)
	for _, key := range []string{secretKey, "key-of-other", secretKey} {
		f.do(t, "/v1/chat/completions", chatBody, bearer(key))
	}
	for _, received := range f.engine.ReceivedRequests() {
		salts[received.Header.Get(engine.HeaderCacheSalt)] = true
	}
	assert.Equal(t, len(f.engine.ReceivedRequests()), 3)
	assert.Equal(t, len(salts), 2)
}

// Thousands of cookies or parameters made the router build as many objects, or lost the cookies. All but the
// keys must arrive as they were sent.
func TestFieldsBesideKeysStay(t *testing.T) {
	many := strings.Repeat("a=1; ", 5000) + "b=2"
	for _, c := range []struct{ query, restQuery, cookie, restCookie, key string }{
		{"z=1&a=%zz&a;b&&a=2", "z=1&a=%zz&a;b&&a=2", many, many, ""},
		{"z=1&api_key=k+1&a=2", "z=1&a=2", "a=1; api_key=\"k 1\"; b=2", "a=1; b=2", "k 1"},
		{"api%5Fkey=k&z=1", "z=1", many + "; api_key=k", many, "k"},
		{"z=1&api_key=k", "z=1", "api_key=k", "", "k"},
		{"api_key=k", "", "api_key=k;a=1", "a=1", "k"},
	} {
		r := httptest.NewRequest(http.MethodPost, "/?"+c.query, nil)
		r.Header.Set("Cookie", c.cookie)
		keys := takeKeys(r)
		assert.Equal(t, strings.Join(keys, "|"), c.key)
		assert.Equal(t, r.URL.RawQuery, c.restQuery)
		assert.Equal(t, r.Header.Get("Cookie"), c.restCookie)
		assert.Equal(t, r.Header["Cookie"] == nil, c.restCookie == "")
	}
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	r.Header["X-Api-Key"] = strings.Split(many, "; ")
	r.Header["Connection"] = []string{strings.Repeat("a,", 5000) + "x-listed"}
	r.Header.Set("X-Listed", "1")
	assert.DeepEqual(t, connectionHeaders(r.Header), map[string]bool{"X-Listed": true})
	assert.Equal(t, len(takeKeys(r)), maxKeys)
}
