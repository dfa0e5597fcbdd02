package crowd

import (
	"bufio"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/platform"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
	"lacewingwheel.example/lacewingwheel/test/harness"
)

func TestMain(m *testing.M) { harness.BuildAndRunTests(m) }

// limits are the limits of a process.
type limits struct {
	memory      int64 // bytes
	descriptors int
}

// The limits of machines of operators lie between 88 and 536 MB; that of edge here is not the
// lowest. fewDescriptors leaves room for what a process opens without callers.
var (
	edgeLimits  = limits{memory: 112 << 20, descriptors: 4100}
	serveLimits = limits{memory: 192 << 20, descriptors: 4100}
)

const fewDescriptors = 500

// router is a router process of either program.
type router struct {
	address        string // for callers
	probeAddress   string // for probes: ready in edge, operator in serve
	probePath      string
	metricsAddress string // empty: the metrics are at probeAddress
	pid            int
	exited         <-chan struct{}
	// requestLines are the request line and the headers of an ordinary request, and
	// heldLines those of a request that its target does not answer before its deadline.
	requestLines, heldLines string
	longLines               string      // of a request with a long answer; empty: none
	tlsConfig               *tls.Config // of callers; nil: their connections are not encrypted
}

// head returns the head of a request with additional header lines.
func (r *router) head(lines string) string { return r.requestLines + lines + "\r\n" }

// startServe starts the program serve with one plain service.
func startServe(t *testing.T, l limits) *router {
	return startServeOf(t, l, harness.StartFleet(t), 1)
}

// startServeWithEngine starts the program serve with a plain service and an engine that never
// answers.
func startServeWithEngine(t *testing.T, l limits) *router {
	f := harness.StartFleet(t)
	engine := f.StartTarget("engine-1", objectstore.RoleEngine, "demo")
	f.SendAdminRequest(http.MethodPut, engine.Addresses["address"], "/admin/faults", map[string]any{"freeze": true})
	return startServeOf(t, l, f, 2)
}

func startServeOf(t *testing.T, l limits, f *harness.Fleet, targets int) *router {
	f.StartTarget("booking-1", objectstore.RoleService, "booking")
	f.ServerSettings = l.serverSettings()
	return newServe(f, f.StartReadyRouter("r1", targets))
}

// serverSettings returns the settings of serve for the limits.
func (l limits) serverSettings() string {
	return fmt.Sprintf("memory_limit = %dMiB\ndescriptor_limit = %d", l.memory>>20, l.descriptors)
}

func newServe(f *harness.Fleet, p *harness.Process) *router {
	return &router{
		address: p.Addresses["caller"], probeAddress: p.Addresses["operator"], probePath: "/readyz", pid: p.Cmd.Process.Pid, exited: p.Exited,
		requestLines: "POST /booking/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + f.APIKey + "\r\n",
		heldLines:    "POST /v1/chat/completions HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + f.APIKey + "\r\n",
	}
}

const (
	edgeKey = "key-1"
	// heldID is the request ID that makes the target of edge answer after holdTime, which is
	// longer than the deadline of a request.
	heldID   = "held"
	holdTime = 15 * time.Second
	// longID is the request ID that makes the target of edge answer with longBytes.
	longID    = "long"
	longBytes = 2 << 20
	// targetConns is the number of connections that the target accepts.
	targetConns = 400
)

// startEdge starts the program edge with one target.
func startEdge(t *testing.T, l limits) *router { return startEdgeFor(t, l, targetConns) }

// startBusyEdge starts the program edge with one target that works on any number of requests
// at once.
func startBusyEdge(t *testing.T, l limits) *router { return startEdgeFor(t, l, l.descriptors) }

// startEdgeFor starts the program edge with one target that accepts so many connections.
func startEdgeFor(t *testing.T, l limits, targetConns int) *router {
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	target, err := platformtest.StartTarget("i-0")
	assert.NilError(t, err)
	t.Cleanup(target.Stop)
	target.Model = "m"
	store.Put(platform.KindTargets, target.ID, target.Entry(platformtest.PoolName, "a"))
	store.Put(platform.KindWeights, "m", map[string]any{"model": "m", "version": 1})
	putConfiguration(store, targetConns)
	lines := "POST /any/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token " + edgeKey + "\r\n" +
		platformtest.HeaderModel + ": m\r\n" + platformtest.HeaderDeadline + ": 10000\r\n" + platformtest.HeaderRequestID + ": "
	r := &router{address: freeAddress(t), probeAddress: freeAddress(t), probePath: "/ready", metricsAddress: freeAddress(t), requestLines: lines + "q-1\r\n", heldLines: lines + heldID + "\r\n", longLines: lines + longID + "\r\n"}
	target.SetFaults(func(_ int, id string) platformtest.Fault {
		switch id {
		case heldID:
			return platformtest.Fault{Delay: holdTime}
		case longID:
			return platformtest.Fault{Respond: respondLong}
		}
		return platformtest.Fault{}
	})
	settingsFile := filepath.Join(t.TempDir(), "boot.json")
	text, err := json.Marshal(map[string]any{
		"node": "edge-0", "role": "edge", "ip": "127.0.0.1", "zone": "a", "bootstrap": false,
		"listen": map[string]string{"front": r.address, "ready": r.probeAddress},
		"limits": map[string]any{"cpu_share": 1, "cores": 1, "memory_mb": l.memory >> 20, "max_fds": l.descriptors},
		"bounds": map[string]any{
			"drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 200,
			"quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 1000, "lease_ms": 1000, "version_ms": 12000,
		},
		"platform": map[string]string{"address": strings.TrimPrefix(server.URL, "http://")},
	})
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(settingsFile, text, 0o600))
	_, metricsPort, err := net.SplitHostPort(r.metricsAddress)
	assert.NilError(t, err)
	startProcess(t, r, "edge", "--node-file", settingsFile, "--metrics-port", metricsPort)
	return r
}

func respondLong(conn *net.TCPConn, head string) {
	_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head, longBytes)
	_, _ = conn.Write(make([]byte, longBytes))
}

// putConfiguration writes a configuration with one route and the limits of the crowds.
func putConfiguration(store *platformtest.Store, targetConns int) {
	store.Put(platform.KindConfiguration, platform.NameConfiguration, map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "any", "host": "h.example", "path_prefix": "/any/", "kind": "idempotent", "timeout_ms": 10000,
			"target_latency_ms": 300, "service": platformtest.PoolName, "max_attempts": 2,
		}},
		"services": []map[string]any{{"name": platformtest.PoolName, "max_conns": targetConns, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 100000, "models": []map[string]any{{"name": "m"}}}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": bodyBytes, "idle_timeout_ms": 15000, "header_timeout_ms": 5000},
		"tenants":  []map[string]any{{"name": "o", "api_keys": []string{edgeKey}, "unit": "tokens", "uncached_tokens": 1, "rate_per_s": 1e9, "burst": 1e9}},
	})
}

// startProcess starts a router and sets its process. With E2E_LOG set its log is printed.
func startProcess(t *testing.T, r *router, args ...string) {
	cmd := exec.Command(filepath.Join(harness.BinaryDir(), "lacewingwheel"), args...)
	if os.Getenv("E2E_LOG") != "" {
		cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	}
	assert.NilError(t, cmd.Start())
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // lives finds an unexpected end
		close(exited)
	}()
	r.pid, r.exited = cmd.Process.Pid, exited
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended
		<-exited
	})
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// request sends one request on a new connection and returns its status.
func (r *router) request(lines, body string) (int, error) {
	conn, err := net.DialTimeout("tcp4", r.address, answerLimit)
	if err != nil {
		return 0, err
	}
	if r.tlsConfig != nil {
		conn = tls.Client(conn, r.tlsConfig)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(answerLimit))
	if _, err := io.WriteString(conn, r.head(fmt.Sprintf("Content-Length: %d\r\n", len(body))+lines)+body); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// awaitAnswer sends an ordinary request until it is answered.
func (r *router) awaitAnswer(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(answerLimit); ; time.Sleep(50 * time.Millisecond) {
		status, err := r.request("", `{"seat":1}`)
		if err == nil && status == http.StatusOK {
			return
		}
		assert.Assert(t, r.lives(), "the process ended")
		assert.Assert(t, time.Now().Before(deadline), "no answer to an ordinary request: status %d, %v", status, err)
	}
}

func (r *router) lives() bool {
	select {
	case <-r.exited:
		return false
	default:
		return true
	}
}
