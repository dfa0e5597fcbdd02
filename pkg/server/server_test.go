package server

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lacewingwheel.example/lacewingwheel/pkg/certs/certstest"
	"lacewingwheel.example/lacewingwheel/pkg/config"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

const (
	anyPort = "127.0.0.1:0"
	testKey = "key-of-circle"
)

// startPlatform starts a stand-in platform with one engine in its list.
func startPlatform(t *testing.T) (*standin.Platform, string) {
	t.Helper()
	options := standin.DefaultEngineOptions("demo")
	options.TokenInterval = 10 * time.Millisecond
	engine := httptest.NewServer(standin.NewEngine(options).Handler())
	t.Cleanup(engine.Close)
	p := standin.NewPlatform()
	p.SetInstance(objectstore.Instance{
		ID: "engine-1", Role: objectstore.RoleEngine, Address: engine.Listener.Addr().String(), Labels: map[string]string{"app": "engine"},
	})
	api := httptest.NewServer(p.Handler())
	t.Cleanup(api.CloseClientConnections)
	return p, api.URL
}

// putConfiguration writes an accepted configuration with one route to the named
// pool. Instances reject it unless the pool is "demo".
func putConfiguration(t *testing.T, p *standin.Platform, generation uint64, pool string) {
	t.Helper()
	a := control.AcceptedConfiguration{
		Generation: generation, Editor: "<b>anna</b>", Nonce: "n",
		Routes: "[route chat]\npath = /v1/chat/completions\npool = " + pool + "\n",
		Pools: fmt.Sprintf("[pool demo]\ntargets = app=engine\nmodel = demo\n\n[organisation circle]\nrate = 1000\nburst = 100000\nkey.first = %s\n",
			tables.FormatDigest(tables.HashKey(testKey))),
	}
	value, err := a.Encode()
	assert.NilError(t, err)
	if generation == 1 {
		_, err = p.Store.Create(t.Context(), control.KindConfiguration, control.NameAccepted, value)
	} else {
		_, err = p.Store.Update(t.Context(), control.KindConfiguration, control.NameAccepted, value, generation-1)
	}
	assert.NilError(t, err)
}

// runningServer is a server whose Run has been called.
type runningServer struct {
	*Server
	stop   context.CancelFunc
	result chan error
}

func startServer(t *testing.T, settings *config.Settings) *runningServer {
	t.Helper()
	if settings.Server.DrainTimeout == 0 {
		settings.Server.DrainTimeout = 10 * time.Second
	}
	if settings.Instance.ID == "" {
		settings.Instance.ID = "r1"
	}
	settings.Instance.CallerListen, settings.Instance.OperatorListen = anyPort, anyPort
	s, err := New(settings, hclog.NewNullLogger())
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	r := &runningServer{Server: s, stop: stop, result: make(chan error, 1)}
	done := make(chan struct{})
	go func() {
		r.result <- s.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() { stop(); <-done })
	return r
}

// operatorGet returns the status and body of a path of the operator listener.
func (r *runningServer) operatorGet(t *testing.T, path string) (int, string) {
	t.Helper()
	resp, err := http.Get("http://" + r.OperatorAddress() + path)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(text)
}

// waitReady waits until /readyz returns the status.
func (r *runningServer) waitReady(t *testing.T, status int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got, text := r.operatorGet(t, "/readyz"); got != status {
			return poll.Continue("%d: %s", got, text)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

// sendChat sends a streaming chat request for a number of tokens.
func sendChat(t *testing.T, client *http.Client, base string, tokens int) *http.Response {
	t.Helper()
	body := fmt.Sprintf(`{"model":"demo","stream":true,"max_tokens":%d,"messages":[]}`, tokens)
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := client.Do(req)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	return resp
}

func readAll(t *testing.T, resp *http.Response) string {
	t.Helper()
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(text)
}

// Two servers in one process must have separate metrics. With expvar's global
// registry the second server panics, or the counts of both are added up.
// /debug/vars must be valid JSON.
func TestMetricsOfTwoServers(t *testing.T) {
	var counts []float64
	for n := range 2 {
		// Each server has its own platform. On a shared one, the first server
		// would hold all quota shares, and the second has no peers to borrow from.
		p, address := startPlatform(t)
		putConfiguration(t, p, 1, "demo")
		r := startServer(t, &config.Settings{Platform: config.Platform{Address: address}})
		r.waitReady(t, http.StatusOK)
		for range n + 1 {
			readAll(t, sendChat(t, http.DefaultClient, "http://"+r.CallerAddress(), 1))
		}
		_, text := r.operatorGet(t, "/debug/vars")
		var vars map[string]json.RawMessage
		assert.NilError(t, json.Unmarshal([]byte(text), &vars))
		assert.Assert(t, vars["memstats"] != nil)
		var own map[string]any
		assert.NilError(t, json.Unmarshal(vars[metricsName], &own))
		assert.Equal(t, own["generation"], 1.0)
		counts = append(counts, own["requests"].(float64))
	}
	assert.DeepEqual(t, counts, []float64{1, 2})
}

// The status page must show why a configuration was rejected and what to do.
// Otherwise on-call operators cannot see why a change has no effect. It must escape
// markup from the tables and load nothing from elsewhere.
func TestStatusPage(t *testing.T) {
	p, address := startPlatform(t)
	putConfiguration(t, p, 1, "demo")
	r := startServer(t, &config.Settings{Instance: config.Instance{ID: "r1"}, Platform: config.Platform{Address: address}})
	r.waitReady(t, http.StatusOK)
	putConfiguration(t, p, 2, "missing")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.configuration.LastRejection() == nil {
			return poll.Continue("generation 2 is not rejected yet")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	status, text := r.operatorGet(t, "/status")
	assert.Equal(t, status, http.StatusOK)
	for _, want := range []string{"r1", "engine-1", "&lt;b&gt;anna", "Rejected generation", "missing", "generation 1 stays in force", "tables put"} {
		assert.Assert(t, strings.Contains(text, want), "%q is not on the page:\n%s", want, text)
	}
	for _, forbidden := range []string{"http://", "https://", "src=", "<b>anna"} {
		assert.Assert(t, !strings.Contains(text, forbidden), "%q is on the page", forbidden)
	}
}

// An instance must not be ready before it has read the instance list. Otherwise the
// load balancer sends it requests that it has to refuse for lack of targets.
func TestReadyNeedsTargets(t *testing.T) {
	p, _ := startPlatform(t)
	listReleased := make(chan struct{})
	slowPlatform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/v1/instances" {
			select {
			case <-listReleased:
			case <-req.Context().Done():
			}
		}
		p.Handler().ServeHTTP(w, req)
	}))
	t.Cleanup(slowPlatform.CloseClientConnections)
	putConfiguration(t, p, 1, "demo")
	r := startServer(t, &config.Settings{Platform: config.Platform{Address: slowPlatform.URL}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.configuration.Generation() == 0 {
			return poll.Continue("no configuration yet")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	status, text := r.operatorGet(t, "/readyz")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(text, "instance list"))
	close(listReleased)
	r.waitReady(t, http.StatusOK)
	assert.Equal(t, len(r.targets.TargetSet().Targets), 1)
}

// G12: a stopping instance must serve new requests until ready_grace ends, and must
// not cut these or older ones. Otherwise callers see errors at each restart.
func TestReadyGrace(t *testing.T) {
	p, address := startPlatform(t)
	putConfiguration(t, p, 1, "demo")
	r := startServer(t, &config.Settings{
		Platform: config.Platform{Address: address},
		Server:   config.Server{ReadyGrace: time.Second},
	})
	r.waitReady(t, http.StatusOK)
	base := "http://" + r.CallerAddress()
	before := sendChat(t, http.DefaultClient, base, 80)
	r.stop()
	r.waitReady(t, http.StatusServiceUnavailable)
	during := sendChat(t, http.DefaultClient, base, 80)
	assert.Assert(t, during.Close, "the response of a stopping instance did not close the connection")
	for _, resp := range []*http.Response{before, during} {
		assert.Assert(t, strings.HasSuffix(readAll(t, resp), "[DONE]\n\n"))
	}
	assert.NilError(t, <-r.result)
	_, err := http.Get(base)
	assert.ErrorContains(t, err, "refused")
}

// A renewed certificate must be used without a restart; otherwise clients fail once
// the old one expires. While the new certificate and key are written they do not
// match, and the listener must keep serving the old pair. A stop must also let
// streams over HTTP/2 end.
func TestListenersReloadCertificates(t *testing.T) {
	p, address := startPlatform(t)
	putConfiguration(t, p, 1, "demo")
	authority := certstest.NewAuthority(t)
	caller, operator := authority.Issue("caller-1"), authority.Issue("operator-1")
	r := startServer(t, &config.Settings{
		Platform: config.Platform{Address: address},
		TLS:      config.TLS{CallerCert: caller.Cert, CallerKey: caller.Key, OperatorCert: operator.Cert, OperatorKey: operator.Key},
	})
	clientTLS := &tls.Config{RootCAs: authority.Pool()}
	certificateName := func(address string) string {
		conn, err := tls.Dial("tcp", address, clientTLS)
		assert.NilError(t, err)
		defer conn.Close()
		return conn.ConnectionState().PeerCertificates[0].Subject.CommonName
	}
	assert.Equal(t, certificateName(r.CallerAddress()), "caller-1")
	assert.Equal(t, certificateName(r.OperatorAddress()), "operator-1")
	authority.Renew(caller, "caller-2")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if name := certificateName(r.CallerAddress()); name != "caller-2" {
			return poll.Continue("%s", name)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))

	client := &http.Client{Transport: &http.Transport{TLSClientConfig: clientTLS, ForceAttemptHTTP2: true}}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !r.ready() {
			return poll.Continue("not ready")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	resp := sendChat(t, client, "https://"+r.CallerAddress(), 50)
	assert.Equal(t, resp.ProtoMajor, 2)
	r.stop()
	assert.Assert(t, strings.HasSuffix(readAll(t, resp), "[DONE]\n\n"))
	assert.NilError(t, <-r.result)
}

// New must refuse settings that cannot work, with an error that names the setting.
// Otherwise the router starts without TLS or peers, or operators cannot tell what to
// correct.
func TestBadSettings(t *testing.T) {
	authority := certstest.NewAuthority(t)
	files := authority.Issue("r1")
	peerFiles := config.TLS{PeerCert: files.Cert, PeerKey: files.Key, PeerCA: authority.CertFile}
	cases := []struct {
		name     string
		instance config.Instance
		tls      config.TLS
		want     string
	}{
		{"key without certificate", config.Instance{}, config.TLS{CallerKey: files.Key}, "caller_cert"},
		{"missing certificate file", config.Instance{}, config.TLS{OperatorCert: "/missing", OperatorKey: files.Key}, "operator_cert"},
		{"peers without certificate files", config.Instance{PeerListen: anyPort}, config.TLS{}, "peer_listen"},
		{"authority file is not a certificate", config.Instance{PeerListen: anyPort}, config.TLS{PeerCert: files.Cert, PeerKey: files.Key, PeerCA: files.Key}, "peer_ca"},
		{"unspecified address for peers", config.Instance{PeerListen: "0.0.0.0:0"}, peerFiles, "peer_address"},
		{"invalid address", config.Instance{CallerListen: "127.0.0.1:1:1"}, config.TLS{}, "caller_listen"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.instance.CallerListen == "" {
				c.instance.CallerListen = anyPort
			}
			c.instance.OperatorListen = anyPort
			_, err := New(&config.Settings{Instance: c.instance, TLS: c.tls}, hclog.NewNullLogger())
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// A caller that has just connected when the listener closes must get an answer to its
// request. It was read, and the connection was closed without one.
func TestRequestOnNewConnectionIsAnsweredDuringStop(t *testing.T) {
	_, address := startPlatform(t)
	const readyGrace = 300 * time.Millisecond
	s := startServer(t, &config.Settings{
		Instance: config.Instance{CallerListen: anyPort, OperatorListen: anyPort}, Platform: config.Platform{Address: address},
		Server: config.Server{ReadyGrace: readyGrace},
	})
	s.stop()
	time.Sleep(readyGrace - 50*time.Millisecond)
	conn, err := net.Dial("tcp4", s.CallerAddress())
	assert.NilError(t, err)
	defer conn.Close()
	time.Sleep(150 * time.Millisecond)
	_, err = io.WriteString(conn, "GET /none HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Assert(t, response.StatusCode >= http.StatusBadRequest && response.Close, "%v", response.Status)
	assert.NilError(t, <-s.result)
	s.result <- nil
}
