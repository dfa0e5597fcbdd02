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
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/platform"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// Bounds that the processes are given.
const (
	revokeWithin = 5 * time.Second
	leaveWithin  = 2 * time.Second
	stopWithin   = 8 * time.Second
	startWithin  = 10 * time.Second
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 10
)

// router is one router process.
type router struct {
	name     string
	settings string
	caller   string
	ready    string
	store    *proxy
	ports    int // first of its range
	logFile  string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// fleet is what one seed runs.
type fleet struct {
	t       *testing.T
	binary  string
	store   *platformtest.Store
	routers []*router
	engines []*engine
	logs    string

	mu      sync.Mutex
	version int
	keys    map[string]time.Time // withdrawn keys, and when
	inForce []string
	nextKey int
}

// engine is a stand-in target behind a proxy.
type engine struct {
	*platformtest.Target
	proxy *proxy

	mu     sync.Mutex
	leftAt time.Time // zero while it stays
}

// heartbeat is the time between writes of a target's entry.
const heartbeat = 300 * time.Millisecond

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// freeRange returns the first of a few consecutive ports that nobody uses.
func freeRange(t *testing.T) int {
	t.Helper()
	for range 100 {
		base := 20_000 + rand.IntN(10_000)
		if rangeIsFree(base) {
			return base
		}
	}
	t.Fatal("no free range of ports")
	return 0
}

// portsUsed is the number of ports that a router uses of its range.
const portsUsed = 4

func rangeIsFree(base int) bool {
	for port := base; port < base+portsUsed; port++ {
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

func startFleet(t *testing.T, binary string, routers, engines int) *fleet {
	t.Helper()
	f := &fleet{t: t, binary: binary, store: platformtest.NewStore(), keys: make(map[string]time.Time), logs: logDirectory(t)}
	server := httptest.NewServer(f.store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	for i := range engines {
		r, err := platformtest.StartTarget(fmt.Sprintf("i-%d", i))
		assert.NilError(t, err)
		t.Cleanup(r.Stop)
		r.Model = "m"
		r.SetStream(6, 15*time.Millisecond)
		e := &engine{Target: r, proxy: startProxy(t, r.Address)}
		f.engines = append(f.engines, e)
		f.list(e)
	}
	f.beat()
	f.store.Put(platform.KindWeights, "m", map[string]any{"model": "m", "version": 1})
	f.addKey()
	f.addKey()
	for i := range routers {
		x := &router{name: fmt.Sprintf("edge-%d", i), caller: freeAddress(t), ready: freeAddress(t), store: startProxy(t, strings.TrimPrefix(server.URL, "http://"))}
		x.settings = filepath.Join(t.TempDir(), "boot.json")
		x.logFile = filepath.Join(f.logs, x.name+".log")
		x.ports = freeRange(t)
		f.write(x, true)
		f.start(x)
		f.routers = append(f.routers, x)
		t.Cleanup(func() { x.signal(syscall.SIGCONT); x.signal(syscall.SIGKILL); x.await(startWithin) })
	}
	for _, x := range f.routers {
		f.awaitReady(x)
		f.write(x, false)
	}
	return f
}

// logDirectory keeps the logs of a seed that fails, if a place is named.
func logDirectory(t *testing.T) string {
	if dir := os.Getenv("SOAK_LOGS"); dir != "" {
		dir = filepath.Join(dir, strings.ReplaceAll(t.Name(), "/", "-"))
		assert.NilError(t, os.MkdirAll(dir, 0o755))
		return dir
	}
	return t.TempDir()
}

// write writes the settings file of a router, for the first start of the whole
// system or for a later one.
func (f *fleet) write(x *router, first bool) {
	text, err := json.Marshal(map[string]any{
		"node": x.name, "role": "edge", "ip": "127.0.0.1", "zone": "a", "bootstrap": first,
		"port_range": []int{x.ports, x.ports + portsUsed - 1},
		"listen":     map[string]string{"front": x.caller, "ready": x.ready},
		"bounds": map[string]any{
			"drain_ms": leaveWithin.Milliseconds(), "grace_s": stopWithin.Seconds(), "config_apply_ms": 2000, "strict_revoke": true,
			"revoke_ms": revokeWithin.Milliseconds(), "budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 200,
			"quota_window_s": quotaWindow.Seconds(), "quota_overage": quotaOverage, "quota_slack": quotaSlack, "lease_ms": 1000, "version_ms": 12000,
		},
		"platform": map[string]string{"address": x.store.address()},
	})
	assert.NilError(f.t, err)
	assert.NilError(f.t, os.WriteFile(x.settings, text, 0o600))
}

func (f *fleet) start(x *router) {
	log, err := os.OpenFile(x.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(f.t, err)
	cmd := exec.Command(f.binary, "edge", "--node-file", x.settings)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(f.t, cmd.Start())
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait() // its end is judged by the checks
		_ = log.Close()
		close(ended)
	}()
	x.mu.Lock()
	x.process, x.ended = cmd, ended
	x.mu.Unlock()
}

func (x *router) signal(s syscall.Signal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.process != nil {
		_ = x.process.Process.Signal(s) // it may have ended
	}
}

func (x *router) await(limit time.Duration) bool {
	x.mu.Lock()
	ended := x.ended
	x.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

func (f *fleet) awaitReady(x *router) {
	f.t.Helper()
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startWithin); ; time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + x.ready + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			f.t.Errorf("%s is not ready within %v", x.name, startWithin)
			return
		}
	}
}

// list writes the entry of a target.
func (f *fleet) list(e *engine) {
	entry := e.Entry("llm", "a")
	entry["address"] = e.proxy.address()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leftAt.IsZero() {
		entry["state"] = "draining"
	}
	f.store.Put(platform.KindTargets, e.ID, entry)
}

// beat makes the targets write their entries until the test ends.
func (f *fleet) beat() {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(heartbeat):
			}
			for _, e := range f.engines {
				f.list(e)
			}
		}
	})
	f.t.Cleanup(func() { close(done); group.Wait() })
}

// leave makes a target tell that it leaves, and returns when it has.
func (f *fleet) leave(e *engine) {
	e.mu.Lock()
	if e.leftAt.IsZero() {
		e.leftAt = time.Now()
	}
	e.mu.Unlock()
	f.list(e)
}

// configure writes the configuration with the keys in force. f.mu is held.
func (f *fleet) configure() {
	f.version++
	const idleMS, timeoutMS = 15_000, 3000
	f.store.PutConfiguration(f.version, f.inForce, idleMS,
		platformtest.Route{Name: "once", PathPrefix: "/once/", Kind: "non_idempotent", MaxAttempts: 1, TimeoutMS: timeoutMS},
		platformtest.Route{Name: "any", PathPrefix: "/any/", Kind: "idempotent", MaxAttempts: 2, TimeoutMS: timeoutMS},
		platformtest.Route{Name: "stream", PathPrefix: "/stream/once/", Kind: "streaming", MaxAttempts: 1, TimeoutMS: timeoutMS},
		platformtest.Route{Name: "resumable", PathPrefix: "/stream/any/", Kind: "streaming", MaxAttempts: 2, Resumable: true, TimeoutMS: timeoutMS},
	)
}

func (f *fleet) addKey() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextKey++
	f.inForce = append(f.inForce, fmt.Sprintf("key-%d", f.nextKey))
	f.configure()
}

// withdrawKey takes the oldest key away and adds a new one.
func (f *fleet) withdrawKey() {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.inForce[0]
	f.nextKey++
	f.inForce = append(f.inForce[1:], fmt.Sprintf("key-%d", f.nextKey))
	f.configure()
	f.keys[old] = time.Now()
}

func (f *fleet) withdrawnAt(key string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.keys[key]
	return at, ok
}

// anyKey returns a key that is or was in force, or that of the limited organisation.
func (f *fleet) anyKey(n int) string {
	if n%3 == 0 {
		return platformtest.LimitedKey
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprintf("key-%d", 1+n%f.nextKey)
}
