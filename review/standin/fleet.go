//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

const (
	binary      = "target/lacewingwheel"
	metricsPort = "9464" // as in the deploy file

	leaseTime      = 3000 * time.Millisecond
	graceTime      = 8 * time.Second
	heartbeat      = 1200 * time.Millisecond
	leadTime       = 10 * time.Second // traffic starts so long after the machines
	startTimeout   = 15 * time.Second
	host           = "jepu9.example"
	apiKey         = "wu3fexd9dnn2ctnfzs98"
	otherKey       = "9anu6wsjnbanfqasnmgk" // of another organisation
	model          = "daka510000"
	engineService  = "huvo11a"
	plainService   = "kafi81c"
	portsPerRouter = 16
)

// fleet is the store, the runners and the routers of one case.
type fleet struct {
	store        *platformtest.Store
	storeAddress string
	routers      []*router
	runners      []*runner
	folder       string // temporary
	startedAt    time.Time

	mu     sync.Mutex
	record io.Writer
	done   chan struct{}
}

// newFleet starts the store. The result is never nil.
func newFleet(record io.Writer) (*fleet, error) {
	f := &fleet{store: platformtest.NewStore(), record: record, startedAt: time.Now(), done: make(chan struct{})}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return f, err
	}
	f.folder = folder
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return f, err
	}
	f.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, f.store) }() // ends with the process
	return f, nil
}

// note writes a line with the time since the start to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// turnAway makes the store answer 503 to all calls of one router, or ends that.
func (x *router) turnAway(away bool) {
	x.turnedAway.Store(away)
	x.f.note("store turns %s away: %t", x.name, away)
}

// serveStore starts the address at which the store serves this router.
func (x *router) serveStore() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	x.storeAddress = listener.Addr().String()
	go func() { // ends with the process
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if x.cutOff.Load() {
				x.awaitHealing()
				panic(http.ErrAbortHandler) // the call was lost in the cut
			}
			if x.turnedAway.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			if q.URL.Path == "/objects/servers" && q.URL.Query().Has("watch") {
				x.targetWatches.Add(1)
			}
			x.f.store.ServeHTTP(&cutWriter{w, x}, q)
		}))
	}()
	return nil
}

// awaitHealing waits until the router is no longer cut off from the store.
func (x *router) awaitHealing() {
	for x.cutOff.Load() {
		time.Sleep(20 * time.Millisecond)
	}
}

// cutWriter loses the responses to a router that is cut off from the store.
type cutWriter struct {
	http.ResponseWriter
	router *router
}

// Write implements http.ResponseWriter.
func (w *cutWriter) Write(p []byte) (int, error) {
	if w.router.cutOff.Load() {
		w.router.awaitHealing()
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(p)
}

// cutFromStore partitions the router from the store silently, or heals the cut.
func (x *router) cutFromStore(cut bool) {
	x.cutOff.Store(cut)
	x.f.note("%s: cut off from the store: %t", x.name, cut)
}

// putVersion names new weights.
func (f *fleet) putVersion(version int) {
	f.store.Put("versions", model, map[string]any{"model": model, "version": version})
	f.note("operator: version %d of %s named and acknowledged", version, model)
}

// putConfiguration writes the operator's configuration.
func (f *fleet) putConfiguration() {
	f.store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-resumable", "host": host, "path_prefix": "/lepu270/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 500, "priority": 1, "service": engineService, "max_attempts": 2, "sticky": true, "resumable": true, "target_gap_ms": 250},
			{"name": "r-stream", "host": host, "path_prefix": "/xapu221/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 300, "priority": 0, "service": engineService, "max_attempts": 1, "sticky": true, "target_gap_ms": 250},
			{"name": "r-unsafe", "host": host, "path_prefix": "/fiti832/", "kind": "non_idempotent", "timeout_ms": 4000, "target_latency_ms": 100, "priority": 2, "service": plainService, "max_attempts": 1},
			{"name": "r-safe", "host": host, "path_prefix": "/filo73/", "kind": "idempotent", "timeout_ms": 600, "target_latency_ms": 100, "priority": 2, "service": plainService, "max_attempts": 2},
		},
		"services": []map[string]any{
			{"name": engineService, "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 106556, "kv_token_bytes": 35136, "models": []map[string]any{{"name": model}}}},
			{"name": plainService, "health_path": "/healthz", "max_conns": 100, "protocol": "h1"},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{
			{"name": "sese880", "api_keys": []string{apiKey}, "priority": 1, "unit": "tokens", "uncached_tokens": 200, "isolated": false, "rate_per_s": 386419, "burst": 386419},
			{"name": "puda43", "api_keys": []string{otherKey}, "priority": 1, "unit": "tokens", "uncached_tokens": 200, "isolated": false, "rate_per_s": 386419, "burst": 386419},
		},
	})
	f.store.Put("versions", model, map[string]any{"model": model, "version": 1})
}

// router is one router process.
type router struct {
	f                 *fleet
	name, ip          string
	front, ready      string
	settings, logFile string
	firstPort         int
	storeAddress      string
	turnedAway        atomic.Bool
	cutOff            atomic.Bool
	targetWatches     atomic.Int64 // of the list of runners

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// startRouters starts routers with these names and waits until all are ready.
func (f *fleet) startRouters(names ...string) error {
	net3 := 10 + rand.IntN(200)
	for i, name := range names {
		x := &router{f: f, name: name, ip: fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, net3, 2+i)}
		x.settings, x.logFile = filepath.Join(f.folder, name+".json"), filepath.Join(f.folder, name+".log")
		x.firstPort = 20000 + rand.IntN(500)*20
		x.front = net.JoinHostPort(x.ip, strconv.Itoa(x.firstPort+17))
		x.ready = net.JoinHostPort(x.ip, strconv.Itoa(x.firstPort+18))
		f.routers = append(f.routers, x)
		if err := x.serveStore(); err != nil {
			return err
		}
		if err := x.writeSettings(true); err != nil {
			return err
		}
		if err := x.start(); err != nil {
			return err
		}
	}
	for _, x := range f.routers {
		if err := x.awaitReady(); err != nil {
			return err
		}
		if err := x.writeSettings(false); err != nil { // the whole system has started
			return err
		}
	}
	return nil
}

// writeSettings writes the settings file, with the bounds of the small sites.
func (x *router) writeSettings(bootstrap bool) error {
	var seeds []string
	for _, other := range x.f.routers {
		seeds = append(seeds, net.JoinHostPort(other.ip, strconv.Itoa(other.firstPort+19)))
	}
	text, err := json.MarshalIndent(map[string]any{
		"node": x.name, "role": "edge", "machine_class": "edge", "serves": []string{"edge"}, "ip": x.ip,
		"zone": "th-north-a", "region": "th-north", "zones": map[string]string{"th-north-a": "th-north"},
		"listen":     map[string]string{"front": x.front, "ready": x.ready, "control": net.JoinHostPort(x.ip, strconv.Itoa(x.firstPort+19))},
		"port_range": []int{x.firstPort, x.firstPort + portsPerRouter - 1}, "seeds": seeds, "bootstrap": bootstrap,
		"limits":    map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 134, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"tolerate": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": graceTime.Seconds(),
			"loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": true, "revoke_ms": 5000,
			"budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 54, "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 110000,
			"recovery_s": 12, "transit_ms": 120, "retry_after_s": 10, "require_fence": false, "lease_ms": leaseTime.Milliseconds(), "thaw_slack_ms": 300,
			"version_ms": 12000, "version_all_ms": 17000,
		},
		"platform": map[string]any{"address": x.storeAddress, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(x.settings, text, 0o600)
}

// start starts the process and does not wait until it is ready.
func (x *router) start() error {
	log, err := os.OpenFile(x.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(binary, "edge", "--metrics-port", metricsPort)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "LACEWINGWHEEL_NODE_FILE=" + x.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	x.mu.Lock()
	x.cmd, x.exited = cmd, exited
	x.mu.Unlock()
	x.f.note("%s: process started", x.name)
	go func() {
		_ = cmd.Wait() // the state is noted
		x.f.note("%s: process ended: %v", x.name, cmd.ProcessState)
		close(exited)
	}()
	return nil
}

func (x *router) signal(s syscall.Signal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd != nil && x.cmd.ProcessState == nil {
		x.f.note("%s: gets signal %v", x.name, s)
		_ = x.cmd.Process.Signal(s) // fails if the process has ended
	}
}

func (x *router) awaitExit(timeout time.Duration) error {
	x.mu.Lock()
	exited := x.exited
	x.mu.Unlock()
	select {
	case <-exited:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s still runs after %v", x.name, timeout)
	}
}

// awaitReady waits until the readiness probe is answered with 200.
func (x *router) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + x.ready + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			x.f.note("%s: ready", x.name)
			return nil
		}
	}
	return errors.New(x.name + " is not ready")
}

// stopAll ends all processes and removes the temporary folder, unless KEEP is set.
func (f *fleet) stopAll() {
	close(f.done)
	for _, x := range f.routers {
		x.signal(syscall.SIGKILL)
		_ = x.awaitExit(startTimeout)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}
