package crowd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
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
	address string // for callers
	pid     int
	exited  <-chan struct{}
	// requestLines are the request line and the headers of an ordinary request.
	requestLines string
}

// head returns the head of a request with additional header lines.
func (r *router) head(lines string) string { return r.requestLines + lines + "\r\n" }

// startServe starts the program serve with one plain service.
func startServe(t *testing.T, l limits) *router {
	f := harness.StartFleet(t)
	f.StartTarget("booking-1", objectstore.RoleService, "booking")
	f.ServerSettings = fmt.Sprintf("memory_limit = %dMiB\ndescriptor_limit = %d", l.memory>>20, l.descriptors)
	p := f.StartReadyRouter("r1", 1)
	return &router{
		address: p.Addresses["caller"], pid: p.Cmd.Process.Pid, exited: p.Exited,
		requestLines: "POST /booking/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + f.APIKey + "\r\n",
	}
}

const edgeKey = "key-1"

// startEdge starts the program edge with one target.
func startEdge(t *testing.T, l limits) *router {
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	target, err := platformtest.StartTarget("i-0")
	assert.NilError(t, err)
	t.Cleanup(target.Stop)
	target.Model = "m"
	store.Put(platform.KindTargets, target.ID, target.Entry(platformtest.PoolName, "a"))
	store.Put(platform.KindWeights, "m", map[string]any{"model": "m", "version": 1})
	putConfiguration(store)
	r := &router{address: freeAddress(t), requestLines: "POST /any/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token " + edgeKey + "\r\n" +
		platformtest.HeaderRequestID + ": q-1\r\n" + platformtest.HeaderModel + ": m\r\n" + platformtest.HeaderDeadline + ": 10000\r\n"}
	settingsFile := filepath.Join(t.TempDir(), "boot.json")
	text, err := json.Marshal(map[string]any{
		"node": "edge-0", "role": "edge", "ip": "127.0.0.1", "zone": "a", "bootstrap": false,
		"listen": map[string]string{"front": r.address, "ready": freeAddress(t)},
		"limits": map[string]any{"cpu_share": 1, "cores": 1, "memory_mb": l.memory >> 20, "max_fds": l.descriptors},
		"bounds": map[string]any{
			"drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 200,
			"quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 1000, "lease_ms": 1000, "version_ms": 12000,
		},
		"platform": map[string]string{"address": strings.TrimPrefix(server.URL, "http://")},
	})
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(settingsFile, text, 0o600))
	startProcess(t, r, "edge", "--node-file", settingsFile)
	return r
}

// putConfiguration writes a configuration with one route and the limits of the crowds.
func putConfiguration(store *platformtest.Store) {
	store.Put(platform.KindConfiguration, platform.NameConfiguration, map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "any", "host": "h.example", "path_prefix": "/any/", "kind": "idempotent", "timeout_ms": 10000,
			"target_latency_ms": 300, "service": platformtest.PoolName, "max_attempts": 2,
		}},
		"services": []map[string]any{{"name": platformtest.PoolName, "max_conns": 400, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 100000, "models": []map[string]any{{"name": "m"}}}}},
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

// peakMemory returns the largest resident memory of the process so far.
func (r *router) peakMemory(t *testing.T) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.pid))
	assert.NilError(t, err)
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			assert.NilError(t, err)
			return kilobytes << 10
		}
	}
	t.Fatal("no VmHWM in the status of the process")
	return 0
}

// sampleDescriptors counts the open descriptors of the process until the returned function
// is called, which returns the largest count.
func (r *router) sampleDescriptors() (stop func() int) {
	var most atomic.Int64
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.pid))
			if err == nil {
				most.Store(max(most.Load(), int64(len(entries))))
			}
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return func() int {
		close(done)
		<-ended
		return int(most.Load())
	}
}
