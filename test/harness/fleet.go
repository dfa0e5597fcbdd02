// Package harness runs routers, engines, services and the platform as separate
// processes on loopback, for tests.
package harness

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lacewingwheel.example/lacewingwheel/pkg/certs/certstest"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore/httpapi"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

var binaries string

// BuildAndRunTests builds the programs, runs the tests and ends the process. Call it from
// TestMain.
func BuildAndRunTests(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "lacewingwheel-e2e")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+"/", "lacewingwheel.example/lacewingwheel/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "building the programs failed:", err)
		return 1
	}
	return m.Run()
}

// BinaryDir returns the directory of the programs.
func BinaryDir() string { return binaries }

// Process is a started program whose log is read.
type Process struct {
	Cmd       *exec.Cmd
	Addresses map[string]string // from its "listening" line
	Exited    chan struct{}     // closed when it has ended
}

var listeningPattern = regexp.MustCompile(`(\w+)=(127\.0\.0\.1:\d+)`)

// StartProcess runs a program and waits until it listens.
func StartProcess(t testing.TB, name string, args ...string) *Process {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, name), args...)
	stderr, err := cmd.StderrPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	p := &Process{Cmd: cmd, Addresses: make(map[string]string), Exited: make(chan struct{})}
	listening := make(chan struct{})
	go p.readLog(stderr, listening)
	t.Cleanup(p.Kill)
	select {
	case <-listening:
	case <-p.Exited:
		t.Fatalf("%s %v ended before it listened", name, args)
	}
	return p
}

func (p *Process) readLog(stderr io.Reader, listening chan struct{}) {
	scanner := bufio.NewScanner(stderr)
	for scanner.Scan() {
		line := scanner.Text()
		if os.Getenv("E2E_LOG") != "" {
			fmt.Println(line)
		}
		if strings.Contains(line, "listening:") && len(p.Addresses) == 0 {
			for _, match := range listeningPattern.FindAllStringSubmatch(line, -1) {
				p.Addresses[match[1]] = match[2]
			}
			close(listening)
		}
	}
	_ = p.Cmd.Wait()
	close(p.Exited)
}

// Kill ends the process, also if it is frozen.
func (p *Process) Kill() {
	_ = p.Cmd.Process.Signal(syscall.SIGCONT)
	_ = p.Cmd.Process.Kill()
	<-p.Exited
}

// Signal sends a signal to the process.
func (p *Process) Signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.Cmd.Process.Signal(s))
}

// Fleet is a whole system on loopback.
type Fleet struct {
	T        testing.TB
	Platform *Process
	Store    *httpapi.Client
	APIKey   string // of the organisation in Pools
	// Authority signs the certificates of routers; made with the first one.
	Authority *certstest.Authority
}

// PoolsTableFormat is the pools table of New. It takes the digest of the one key.
const PoolsTableFormat = `[pool demo]
targets = app=engine
model = demo

[pool booking]
kind = service
targets = app=booking

[organisation circle]
rate = 1000000
burst = 10000000
key.first = %s
`

// RoutesTable is the routes table of New.
const RoutesTable = `[route chat]
path = /v1/chat/completions
pool = demo
deadline = 20s

[route booking]
path = /booking/
pool = booking
`

// StartFleet starts a platform and accepts Routes and Pools on it.
func StartFleet(t testing.TB) *Fleet {
	t.Helper()
	p := StartProcess(t, "standin", "platform")
	f := &Fleet{T: t, Platform: p, Store: httpapi.New("http://" + p.Addresses["address"]), APIKey: "key-of-circle"}
	f.PutTables(1, RoutesTable, fmt.Sprintf(PoolsTableFormat, tables.FormatDigest(tables.HashKey(f.APIKey))))
	return f
}

// PutTables accepts tables under a generation.
func (f *Fleet) PutTables(generation uint64, routes, pools string) {
	f.T.Helper()
	a := control.AcceptedConfiguration{Generation: generation, Editor: "test", Nonce: fmt.Sprint(generation), Routes: routes, Pools: pools}
	value, err := a.Encode()
	assert.NilError(f.T, err)
	if generation == 1 {
		_, err = f.Store.Create(f.T.Context(), control.KindConfiguration, control.NameAccepted, value)
		assert.NilError(f.T, err)
		return
	}
	current, err := f.Store.Get(f.T.Context(), control.KindConfiguration, control.NameAccepted)
	assert.NilError(f.T, err)
	_, err = f.Store.Update(f.T.Context(), control.KindConfiguration, control.NameAccepted, value, current.Version)
	assert.NilError(f.T, err)
}

// SendAdminRequest sends a control to a stand-in.
func (f *Fleet) SendAdminRequest(method, address, path string, body any) {
	f.T.Helper()
	data, err := json.Marshal(body)
	assert.NilError(f.T, err)
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	assert.NilError(f.T, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.T, err)
	defer resp.Body.Close()
	assert.Equal(f.T, resp.StatusCode, http.StatusOK)
}

// StartTarget starts a stand-in and puts it on the instance list.
func (f *Fleet) StartTarget(id string, role objectstore.Role, app string, args ...string) *Process {
	f.T.Helper()
	p := StartProcess(f.T, "standin", append([]string{string(role)}, args...)...)
	f.SendAdminRequest(http.MethodPut, f.Platform.Addresses["address"], "/admin/instances", objectstore.Instance{
		ID: id, Role: role, Address: p.Addresses["address"], Zone: "a", Labels: map[string]string{"app": app},
	})
	return p
}

// StartReadyRouter starts a router and waits until it is ready and knows its targets.
func (f *Fleet) StartReadyRouter(id string, targets int) *Process {
	f.T.Helper()
	if f.Authority == nil {
		f.Authority = certstest.NewAuthority(f.T)
	}
	p := f.StartRouter(RouterOptions{ID: id, Authority: f.Authority})
	poll.WaitOn(f.T, func(poll.LogT) poll.Result { return f.checkReady(p, targets) }, poll.WithTimeout(20*time.Second))
	return p
}

func (f *Fleet) checkReady(p *Process, targets int) poll.Result {
	resp, err := http.Get("http://" + p.Addresses["operator"] + "/status.json")
	if err != nil {
		return poll.Error(err)
	}
	defer resp.Body.Close()
	var status struct {
		Ready   bool
		Targets []struct{ Reachable bool }
	}
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return poll.Error(err)
	}
	reachable := 0
	for _, target := range status.Targets {
		if target.Reachable {
			reachable++
		}
	}
	if status.Ready && reachable == targets {
		return poll.Success()
	}
	return poll.Continue("ready=%v, %d of %d targets reachable", status.Ready, reachable, targets)
}

// Post sends a request with the organisation's key.
func (f *Fleet) Post(router *Process, path, body string, header ...string) *http.Response {
	f.T.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+router.Addresses["caller"]+path, strings.NewReader(body))
	assert.NilError(f.T, err)
	req.Header.Set("Authorization", "Bearer "+f.APIKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.T, err)
	f.T.Cleanup(func() { resp.Body.Close() })
	return resp
}

// GetJSON reads a document of a stand-in.
func (f *Fleet) GetJSON(address, path string, out any) {
	f.T.Helper()
	resp, err := http.Get("http://" + address + path)
	assert.NilError(f.T, err)
	defer resp.Body.Close()
	assert.NilError(f.T, json.NewDecoder(resp.Body).Decode(out))
}
