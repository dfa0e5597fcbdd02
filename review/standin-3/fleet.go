//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// Bounds of the deployment, as in the settings that the platform writes for it.
const (
	contact        = 3 * time.Second
	drainBound     = 2 * time.Second
	graceBound     = 8 * time.Second
	heartbeat      = 1200 * time.Millisecond
	portsPerEdge   = 16
	deployMetrics  = "9464" // of the deploy file
	callerDeadline = 4 * time.Second
)

// edge is one process of the system.
type edge struct {
	name, ip     string
	settingsFile string
	front, ready string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// fleet is the system with the stand-ins around it.
type fleet struct {
	record  *record
	dir     string // temporary
	store   *platformtest.Store
	server  *http.Server
	address string // of the store
	edges   []*edge
}

// record writes record.txt.
type record struct {
	mu      sync.Mutex
	out     io.Writer
	started time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// errCannotRun means that the case could not run.
var errCannotRun = errors.New("the case could not run")

// newFleet starts the store.
func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, dir: dir, store: platformtest.NewStore(), address: listener.Addr().String()}
	f.store.SetEra(1)
	f.server = &http.Server{Handler: f.store}
	go func() { _ = f.server.Serve(listener) }()
	return f, nil
}

// close ends all processes that the fleet has started.
func (f *fleet) close() {
	for _, e := range f.edges {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		e.awaitExit(5 * time.Second)
	}
	_ = f.server.Close()
	_ = os.RemoveAll(f.dir)
}

// freePorts returns the first of n consecutive ports that are free for TCP and UDP at an address.
func freePorts(ip string, n int) (int, error) {
next:
	for first := 21000; first < 32000; first += n {
		for port := first; port < first+n; port++ {
			address := net.JoinHostPort(ip, strconv.Itoa(port))
			l, err := net.Listen("tcp4", address)
			if err != nil {
				continue next
			}
			_ = l.Close()
			u, err := net.ListenPacket("udp4", address)
			if err != nil {
				continue next
			}
			_ = u.Close()
		}
		return first, nil
	}
	return 0, errCannotRun
}

// startEdges starts n edge processes, each at a loopback address of its own, and waits until all
// are ready.
func (f *fleet) startEdges(n int, store func(i int) string) error {
	for i := range n {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%200, 10+i)
		first, err := freePorts(ip, portsPerEdge+2)
		if err != nil {
			return err
		}
		e := &edge{name: fmt.Sprintf("edge-a-%d", i+1), ip: ip, settingsFile: filepath.Join(f.dir, fmt.Sprintf("boot-%d.json", i+1))}
		e.front = net.JoinHostPort(ip, strconv.Itoa(first+portsPerEdge))
		e.ready = net.JoinHostPort(ip, strconv.Itoa(first+portsPerEdge+1))
		address := f.address
		if store != nil {
			address = store(i)
		}
		if err := f.writeSettings(e, first, address, true); err != nil {
			return err
		}
		f.edges = append(f.edges, e)
		if err := f.start(e); err != nil {
			return err
		}
		defer func() { _ = f.writeSettings(e, first, address, false) }()
	}
	for _, e := range f.edges {
		if !e.awaitReady(20 * time.Second) {
			return fmt.Errorf("%w: %s is not ready", errCannotRun, e.name)
		}
	}
	return nil
}

// writeSettings writes the settings file of an edge, with the figures of a small deployment.
func (f *fleet) writeSettings(e *edge, firstPort int, store string, bootstrap bool) error {
	text, err := json.MarshalIndent(map[string]any{
		"node": e.name, "role": "edge", "machine_class": "edge", "serves": []string{"edge"}, "ip": e.ip, "zone": "a", "region": "r",
		"zones": map[string]string{"a": "r"}, "listen": map[string]string{"front": e.front, "ready": e.ready},
		"port_range": []int{firstPort, firstPort + portsPerEdge - 1}, "seeds": []string{}, "bootstrap": bootstrap, "fault_counted": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 134, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota", "platform"},
		"tolerate":  map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": contact.Milliseconds(), "ack_ms": 4000, "catch_up_s": 4, "drain_ms": drainBound.Milliseconds(), "grace_s": graceBound.Seconds(),
			"loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": true, "revoke_ms": 5000,
			"budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 54, "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 110000, "recovery_s": 12,
			"transit_ms": 120, "retry_after_s": 10, "require_fence": false, "lease_ms": 3000, "thaw_slack_ms": 300, "version_ms": 12000, "version_all_ms": 17000,
		},
		"platform": map[string]any{"address": store, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
	}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(e.settingsFile, text, 0o600)
}

// start starts the process of an edge with the command of the deploy file.
func (f *fleet) start(e *edge) error {
	log, err := os.OpenFile(filepath.Join(logDir(f.dir), e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/lacewingwheel", "edge", "--metrics-port", deployMetrics)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LACEWINGWHEEL_NODE_FILE=" + e.settingsFile, "GOMAXPROCS=1"}
	cmd.Stdout, cmd.Stderr = log, log
	if err := startAndRemember(cmd); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = cmd.Wait(); _ = log.Close(); close(exited) }()
	e.mu.Lock()
	e.cmd, e.exited = cmd, exited
	e.mu.Unlock()
	return nil
}

// started are all processes that this program has started.
var started struct {
	mu       sync.Mutex
	cmds     []*exec.Cmd
	isClosed bool
}

func startAndRemember(cmd *exec.Cmd) error {
	started.mu.Lock()
	defer started.mu.Unlock()
	if started.isClosed {
		return errCannotRun
	}
	started.cmds = append(started.cmds, cmd)
	return cmd.Start()
}

// killStarted ends all processes when this program is told to end.
func killStarted() {
	started.mu.Lock()
	defer started.mu.Unlock()
	started.isClosed = true
	for _, cmd := range started.cmds {
		if cmd.Process != nil {
			_ = cmd.Process.Kill() // it may have ended
		}
	}
}

// logDir returns the directory for the logs of the edges: REVIEW_LOGS, which is kept, or dir.
func logDir(dir string) string {
	if kept := os.Getenv("REVIEW_LOGS"); kept != "" {
		return kept
	}
	return dir
}

func (e *edge) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		_ = e.cmd.Process.Signal(s) // it may have ended
	}
}

func (e *edge) awaitExit(limit time.Duration) bool {
	e.mu.Lock()
	exited := e.exited
	e.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (e *edge) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + e.ready + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// request is one attempt of a client.
type request struct {
	id, method, path, key, body string
	deadline                    time.Duration
	header                      map[string]string
}

// answer is what the client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // the answer is not complete
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	text := strconv.Itoa(a.status)
	if stamp := a.header.Get(platformtest.HeaderSignature); stamp != "" {
		text += " of " + stamp
	}
	if a.err != nil {
		text += " cut off"
	}
	return text
}

// send sends a request to an edge, records both the request and its answer, and returns the answer.
func (f *fleet) send(e *edge, r request) answer {
	sentAt := time.Now()
	a := e.send(r)
	f.record.printf("%s %s %s to %s, sent %.0f ms ago: %v", r.id, r.method, r.path, e.name, time.Since(sentAt).Seconds()*1000, a)
	return a
}

// send sends a request on a new connection and reads the whole answer.
func (e *edge) send(r request) (a answer) {
	client := &http.Client{Timeout: r.deadline + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	out, err := http.NewRequest(r.method, "http://"+e.front+r.path, strings.NewReader(r.body))
	if err != nil {
		return answer{err: err}
	}
	out.Host = host
	out.Header.Set(platformtest.HeaderRequestID, r.id)
	out.Header.Set(platformtest.HeaderDeadline, strconv.FormatInt(r.deadline.Milliseconds(), 10))
	out.Header.Set("Authorization", "Token "+r.key)
	for name, value := range r.header {
		out.Header.Set(name, value)
	}
	response, err := client.Do(out)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// host is that of all routes.
const host = "h.example"
