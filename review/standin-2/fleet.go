//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// Bounds of the settings: those of khusom-lacewing.
const (
	contactTime  = 3 * time.Second
	versionTime  = 12 * time.Second
	beatInterval = 1200 * time.Millisecond
	startLimit   = 15 * time.Second
	graceTime    = 8 * time.Second
)

// Ports that each machine has on its own loopback address.
const (
	portStore   = 8601
	portReady   = 8605
	portFront   = 8606
	portControl = 8608
	portRunner  = 8747
	portMetrics = 9464
	portFirst   = 7600
	portLast    = 7615
)

// host is the host of all routes.
const host = "h.example"

// record writes record.txt. Its methods may be called concurrently.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, started: time.Now()}, err
}

// printf writes a line with the time since the start of the case.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// edge is one process of the deploy file's role.
type edge struct {
	name, ip, file string
	cmd            *exec.Cmd
	exited         chan struct{}
	err            error
}

func (e *edge) front() string { return fmt.Sprintf("%s:%d", e.ip, portFront) }

// fleet is the platform's store, the machines and the runners of a case.
type fleet struct {
	*record
	store    *platformtest.Store
	address  string // of the store
	net      string // first three parts of the loopback addresses
	dir      string // temporary folder
	server   *http.Server
	edges    []*edge
	runners  []*runner
	nextID   int
	memoryMB int // of each machine
	mu       sync.Mutex
	closing  sync.Mutex // held while the case is ended
}

// newFleet starts the store on free loopback addresses.
func newFleet(r *record) (*fleet, error) {
	f := &fleet{record: r, store: platformtest.NewStore(), memoryMB: 134}
	f.store.SetEra(1)
	dir, err := os.MkdirTemp("", "lacewingwheel-review")
	if err != nil {
		return nil, err
	}
	f.dir = dir
	for range 50 {
		f.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		f.address = fmt.Sprintf("%s.2:%d", f.net, portStore)
		listener, err := net.Listen("tcp4", f.address)
		if err != nil {
			continue
		}
		f.server = &http.Server{Handler: f.store}
		go func() { _ = f.server.Serve(listener) }()
		return f, nil
	}
	return nil, errors.New("no free loopback address found")
}

// startEdges starts machines for the first time and waits until all are ready.
func (f *fleet) startEdges(n int) error {
	for i := range n {
		e := &edge{name: fmt.Sprintf("edge-th-north-%c-1", 'a'+i), ip: fmt.Sprintf("%s.%d", f.net, 10+i)}
		e.file = filepath.Join(f.dir, e.name+".json")
		f.edges = append(f.edges, e)
	}
	for i, e := range f.edges {
		if err := f.writeSettings(e, i, true); err != nil {
			return err
		}
		if err := f.startEdge(e); err != nil {
			return err
		}
	}
	for i, e := range f.edges {
		if err := f.awaitReady(e); err != nil {
			return err
		}
		if err := f.writeSettings(e, i, false); err != nil {
			return err
		}
	}
	f.printf("%d machines are ready", n)
	return nil
}

// writeSettings writes the settings file of a machine.
func (f *fleet) writeSettings(e *edge, i int, bootstrap bool) error {
	zone := func(i int) string { return fmt.Sprintf("th-north-%c", 'a'+i%4) }
	text, err := json.Marshal(map[string]any{
		"node": e.name, "role": "edge", "machine_class": "edge", "serves": []string{"edge"}, "ip": e.ip, "zone": zone(i), "region": "th-north",
		"zones":         map[string]string{zone(0): "th-north", zone(1): "th-north", zone(2): "th-north", zone(3): "th-north"},
		"listen":        map[string]string{"front": e.front(), "ready": fmt.Sprintf("%s:%d", e.ip, portReady), "control": fmt.Sprintf("%s:%d", e.ip, portControl)},
		"port_range":    []int{portFirst, portLast},
		"seeds":         []string{},
		"bootstrap":     bootstrap,
		"fault_counted": false,
		"limits":        map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": f.memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir":      nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": beatInterval.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota", "platform"},
		"tolerate":  map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": contactTime.Milliseconds(), "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": graceTime.Seconds(),
			"loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": true, "revoke_ms": 5000,
			"budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 54, "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 110000, "recovery_s": 12,
			"transit_ms": 120, "retry_after_s": 10, "require_fence": false, "lease_ms": 3000, "thaw_slack_ms": 300, "version_ms": versionTime.Milliseconds(), "version_all_ms": 17000,
		},
		"platform": map[string]any{"address": f.address, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(e.file, text, 0o600)
}

// startEdge starts the program as the deploy file does. Its working directory is the root of
// the repository.
func (f *fleet) startEdge(e *edge) error {
	log, err := os.OpenFile(filepath.Join(f.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/lacewingwheel", "edge", "--metrics-port", fmt.Sprint(portMetrics))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "LACEWINGWHEEL_NODE_FILE=" + e.file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	e.cmd, e.exited = cmd, make(chan struct{})
	go func() {
		e.err = cmd.Wait()
		close(e.exited)
	}()
	f.printf("%s started", e.name)
	return nil
}

func (f *fleet) awaitReady(e *edge) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", e.ip, portReady))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", e.name, startLimit)
}

// runningEdges returns how many of the processes have not ended.
func (f *fleet) runningEdges() int {
	n := 0
	for _, e := range f.edges {
		select {
		case <-e.exited:
		default:
			n++
		}
	}
	return n
}

// logLines returns how many lines of the machines' logs contain text, and the first of them.
func (f *fleet) logLines(text string) (n int, first string) {
	for _, e := range f.edges {
		log, err := os.ReadFile(filepath.Join(f.dir, e.name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(log)) {
			if strings.Contains(line, text) {
				if n++; n == 1 {
					first = e.name + ": " + strings.TrimSpace(line)
				}
			}
		}
	}
	return n, first
}

// close ends all that the case started.
func (f *fleet) close() {
	f.closing.Lock()
	defer f.closing.Unlock()
	for _, e := range f.edges {
		if e.cmd != nil {
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
			<-e.exited
		}
	}
	for _, r := range f.runners {
		r.stop()
	}
	_ = f.server.Close()
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		_ = exec.Command("cp", "-r", f.dir, dir).Run()
	}
	_ = os.RemoveAll(f.dir)
}

// removeSilent removes the entries of runners that have not written for three intervals, until
// ctx ends, as the platform does.
func (f *fleet) removeSilent(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		runners := f.runners
		f.mu.Unlock()
		for _, r := range runners {
			for _, id := range r.silentIDs() {
				f.store.Delete("servers", id)
			}
		}
	}
}
