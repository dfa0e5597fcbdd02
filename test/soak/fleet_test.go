package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/platform"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// Limits that the checks apply. Those in the settings of the routers have the
// same values there.
const (
	revocationLimit = 5 * time.Second
	leaveLimit      = 2 * time.Second
	stopLimit       = 8 * time.Second
	startLimit      = 10 * time.Second
	quotaWindow     = 8 * time.Second
	quotaOverage    = 0.1
	quotaSlack      = 10
)

// router is one router process.
type router struct {
	name          string
	settingsFile  string
	callerAddress string
	readyAddress  string
	storeProxy    *proxy
	firstPort     int // of its port range
	logFile       string

	starts atomic.Int64 // of the process

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has exited
}

// fleet is the store, the targets and the routers of one seed.
type fleet struct {
	t       *testing.T
	binary  string
	store   *platformtest.Store
	routers []*router
	targets []*proxiedTarget
	// routerStarts counts the router processes.
	routerStarts atomic.Int64
	logDir       string
	restoring    sync.Mutex // held during a restore of the store

	mu          sync.Mutex
	lastVersion int                  // of configurations and weights
	revokedKeys map[string]time.Time // by key: when it was revoked
	activeKeys  []string
	keyCount    int // keys issued so far
}

// proxiedTarget is a stand-in target behind a proxy.
type proxiedTarget struct {
	*platformtest.Target
	proxy *proxy

	mu           sync.Mutex
	leavingSince time.Time // zero until it announces that it is leaving
	// saysLeavingSince is when it began to say so in its responses; zero if it does not.
	saysLeavingSince time.Time
}

// heartbeatInterval is the time between two writes of a target's entry in the
// store.
const heartbeatInterval = 300 * time.Millisecond

// freeAddress returns a loopback address on which no process listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// freePortRange returns the first of portsPerRouter consecutive ports that are
// free for TCP and UDP.
func freePortRange(t *testing.T) int {
	t.Helper()
	for range 100 {
		base := 20_000 + rand.IntN(10_000)
		if portRangeIsFree(base) {
			return base
		}
	}
	t.Fatal("no free port range found in 100 attempts")
	return 0
}

// portsPerRouter is the size of the port range of a router.
const portsPerRouter = 4

func portRangeIsFree(base int) bool {
	for port := base; port < base+portsPerRouter; port++ {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		tcp, err := net.Listen("tcp4", address)
		if err != nil {
			return false
		}
		udp, err := net.ListenPacket("udp4", address)
		if err = errors.Join(err, tcp.Close()); err != nil {
			return false
		}
		if udp.Close() != nil {
			return false
		}
	}
	return true
}

// startFleet starts the store, the targets and the routers, and waits until each
// router is ready. All end with the test.
func startFleet(t *testing.T, binary string, routers, targets int) *fleet {
	t.Helper()
	f := &fleet{t: t, binary: binary, store: platformtest.NewStore(), revokedKeys: make(map[string]time.Time), logDir: logDirectory(t)}
	f.store.SetEra(1)
	server := httptest.NewServer(f.store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	for i := range targets {
		target, err := platformtest.StartTarget(fmt.Sprintf("i-%d", i))
		assert.NilError(t, err)
		t.Cleanup(target.Stop)
		target.Model = "m"
		target.SetStream(6, 15*time.Millisecond)
		e := &proxiedTarget{Target: target, proxy: startProxy(t, target.Address)}
		f.targets = append(f.targets, e)
		f.writeEntry(e)
	}
	f.startHeartbeats()
	f.store.Put(platform.KindWeights, "m", map[string]any{"model": "m", "version": 1})
	f.addKey()
	f.addKey()
	for i := range routers {
		x := &router{name: fmt.Sprintf("edge-%d", i), callerAddress: freeAddress(t), readyAddress: freeAddress(t), storeProxy: startProxy(t, strings.TrimPrefix(server.URL, "http://"))}
		x.settingsFile = filepath.Join(t.TempDir(), "boot.json")
		x.logFile = filepath.Join(f.logDir, x.name+".log")
		x.firstPort = freePortRange(t)
		f.writeSettings(x, true)
		f.startRouter(x)
		f.routers = append(f.routers, x)
		t.Cleanup(func() { x.signal(syscall.SIGCONT); x.signal(syscall.SIGKILL); x.awaitExit(startLimit) })
	}
	for _, x := range f.routers {
		f.awaitReady(x)
		f.writeSettings(x, false)
	}
	return f
}

// logDirectory returns a directory for the logs of the routers: one below
// SOAK_LOGS, which is kept after the test, or else a temporary one.
func logDirectory(t *testing.T) string {
	if dir := os.Getenv("SOAK_LOGS"); dir != "" {
		dir = filepath.Join(dir, strings.ReplaceAll(t.Name(), "/", "-"))
		assert.NilError(t, os.MkdirAll(dir, 0o755))
		return dir
	}
	return t.TempDir()
}

// writeSettings writes the settings file of a router. bootstrap is true only for
// the first start of the whole system.
func (f *fleet) writeSettings(x *router, bootstrap bool) {
	text, err := json.Marshal(map[string]any{
		"node": x.name, "role": "edge", "ip": "127.0.0.1", "zone": "a", "bootstrap": bootstrap,
		"port_range": []int{x.firstPort, x.firstPort + portsPerRouter - 1},
		"listen":     map[string]string{"front": x.callerAddress, "ready": x.readyAddress},
		"bounds": map[string]any{
			"drain_ms": leaveLimit.Milliseconds(), "grace_s": stopLimit.Seconds(), "config_apply_ms": 2000, "strict_revoke": true,
			"revoke_ms": revocationLimit.Milliseconds(), "budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 200,
			"quota_window_s": quotaWindow.Seconds(), "quota_overage": quotaOverage, "quota_slack": quotaSlack, "lease_ms": 1000, "version_ms": 12000,
		},
		"platform": map[string]string{"address": x.storeProxy.address()},
	})
	assert.NilError(f.t, err)
	assert.NilError(f.t, os.WriteFile(x.settingsFile, text, 0o600))
}

// startRouter starts the process of a router and does not wait until it is ready.
func (f *fleet) startRouter(x *router) {
	f.routerStarts.Add(1)
	x.starts.Add(1)
	log, err := os.OpenFile(x.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(f.t, err)
	cmd := exec.Command(f.binary, "edge", "--node-file", x.settingsFile)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(f.t, cmd.Start())
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the checks find unexpected exits
		_ = log.Close()
		close(exited)
	}()
	x.mu.Lock()
	x.cmd, x.exited = cmd, exited
	x.mu.Unlock()
}

func (x *router) signal(s syscall.Signal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd != nil {
		_ = x.cmd.Process.Signal(s) // the process may have exited
	}
}

// awaitExit waits for the process to exit and reports whether it did in time.
func (x *router) awaitExit(limit time.Duration) bool {
	x.mu.Lock()
	exited := x.exited
	x.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// awaitReady waits until a router is ready. After startLimit the test fails.
func (f *fleet) awaitReady(x *router) {
	f.t.Helper()
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startLimit); ; time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + x.readyAddress + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			f.t.Errorf("router %s was not ready within %v", x.name, startLimit)
			return
		}
	}
}

// writeEntry writes the entry of a target to the store.
func (f *fleet) writeEntry(e *proxiedTarget) {
	entry := e.Entry("llm", "a")
	entry["address"] = e.proxy.address()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leavingSince.IsZero() {
		entry["state"] = "draining"
	}
	f.store.Put(platform.KindTargets, e.ID, entry)
}

// startHeartbeats writes the entries of all targets every heartbeatInterval until
// the test ends.
func (f *fleet) startHeartbeats() {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(heartbeatInterval):
			}
			for _, e := range f.targets {
				f.writeEntry(e)
			}
		}
	})
	f.t.Cleanup(func() { close(done); group.Wait() })
}

// announceLeaving marks a target as leaving and writes its entry to the store.
func (f *fleet) announceLeaving(e *proxiedTarget) {
	e.mu.Lock()
	if e.leavingSince.IsZero() {
		e.leavingSince = time.Now()
	}
	e.mu.Unlock()
	f.writeEntry(e)
}

// writeConfiguration writes a configuration with the active keys. The caller
// holds f.mu.
func (f *fleet) writeConfiguration() {
	f.lastVersion++
	const idleMS, timeoutMS = 15_000, 3000
	f.store.PutConfiguration(f.lastVersion, f.activeKeys, idleMS,
		platformtest.Route{Name: "once", PathPrefix: "/once/", Kind: "non_idempotent", MaxAttempts: 1, TimeoutMS: timeoutMS},
		platformtest.Route{Name: "any", PathPrefix: "/any/", Kind: "idempotent", MaxAttempts: 2, TimeoutMS: timeoutMS},
		platformtest.Route{Name: "stream", PathPrefix: "/stream/once/", Kind: "streaming", MaxAttempts: 1, TimeoutMS: timeoutMS},
		platformtest.Route{Name: "resumable", PathPrefix: "/stream/any/", Kind: "streaming", MaxAttempts: 2, Resumable: true, TimeoutMS: timeoutMS},
	)
}

// addKey issues a new key and writes a configuration with it.
func (f *fleet) addKey() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keyCount++
	f.activeKeys = append(f.activeKeys, fmt.Sprintf("key-%d", f.keyCount))
	f.writeConfiguration()
}

// revokeKey revokes the oldest active key and issues a new one.
func (f *fleet) revokeKey() {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.activeKeys[0]
	f.keyCount++
	f.activeKeys = append(f.activeKeys[1:], fmt.Sprintf("key-%d", f.keyCount))
	f.writeConfiguration()
	f.revokedKeys[old] = time.Now()
}

// nameWeights names new weights.
func (f *fleet) nameWeights() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastVersion++
	f.store.Put(platform.KindWeights, "m", map[string]any{"model": "m", "version": f.lastVersion})
}

// revokedAt returns when a key was revoked, and whether it was.
func (f *fleet) revokedAt(key string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.revokedKeys[key]
	return at, ok
}

// pickKey returns the key of the rate-limited organisation for every third n, or
// else an active or revoked key.
func (f *fleet) pickKey(n int) string {
	if n%3 == 0 {
		return platformtest.LimitedKey
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprintf("key-%d", 1+n%f.keyCount)
}
