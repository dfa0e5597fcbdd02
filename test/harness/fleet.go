// Package harness starts routers, stand-in engines and services and a stand-in
// platform as separate processes on loopback, for tests.
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

// binaryDir is set by BuildAndRunTests.
var binaryDir string

// BuildAndRunTests builds the programs, runs the tests of m and exits the process
// with their exit code. It is called from TestMain.
func BuildAndRunTests(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "lacewingwheel-e2e")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binaryDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "lacewingwheel.example/lacewingwheel/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "tests not run, building the programs failed:", err)
		return 1
	}
	return m.Run()
}

// BinaryDir returns the directory with the programs that BuildAndRunTests built.
func BinaryDir() string { return binaryDir }

// Process is a running program. Its log is read until it exits.
type Process struct {
	Cmd       *exec.Cmd
	Addresses map[string]string // by name, from the log line "listening"
	Exited    chan struct{}     // closed when the process has exited
}

var listeningPattern = regexp.MustCompile(`(\w+)=(127\.0\.0\.1:\d+)`)

// StartProcess runs a program and waits until it logs that it is listening. The
// process is killed at the end of the test.
func StartProcess(t testing.TB, name string, args ...string) *Process {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaryDir, name), args...)
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
		t.Fatalf("%s %v exited before it was listening", name, args)
	}
	return p
}

// readLog fills p.Addresses from the log line "listening", closes listening, and
// closes p.Exited after the process has exited. With E2E_LOG set it prints the log.
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

// Kill sends SIGKILL to the process, also if it is suspended by SIGSTOP, and
// waits until it has exited.
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

// Fleet is a stand-in platform with the routers and targets started on it.
type Fleet struct {
	T        testing.TB
	Platform *Process
	Store    *httpapi.Client
	APIKey   string // of the organisation circle in PoolsTableFormat
	// Authority signs the certificates of routers. StartReadyRouter creates it with
	// the first router.
	Authority *certstest.Authority
	// ServerSettings are settings lines of the section [server] for StartReadyRouter.
	ServerSettings string
}

// PoolsTableFormat is the format of the pools table of a fleet. Its argument is
// the digest of the only key.
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

// RoutesTable is the routes table of a fleet.
const RoutesTable = `[route chat]
path = /v1/chat/completions
pool = demo
deadline = 20s

[route booking]
path = /booking/
pool = booking
`

// StartFleet starts a stand-in platform and writes RoutesTable and
// PoolsTableFormat to its store as generation 1.
func StartFleet(t testing.TB) *Fleet {
	t.Helper()
	p := StartProcess(t, "standin", "platform")
	f := &Fleet{T: t, Platform: p, Store: httpapi.New("http://" + p.Addresses["address"]), APIKey: "key-of-circle"}
	f.PutTables(1, RoutesTable, fmt.Sprintf(PoolsTableFormat, tables.FormatDigest(tables.HashKey(f.APIKey))))
	return f
}

// PutTables writes tables to the store as the accepted configuration of a
// generation. Generation 1 is created, every other replaces the current one.
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

// SendAdminRequest sends body as JSON to the admin interface of a stand-in. The
// test fails unless the status is 200.
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

// StartTarget starts a stand-in engine or service and adds it to the instance
// list. Pools select their targets by the label app.
func (f *Fleet) StartTarget(id string, role objectstore.Role, app string, args ...string) *Process {
	f.T.Helper()
	p := StartProcess(f.T, "standin", append([]string{string(role)}, args...)...)
	f.SendAdminRequest(http.MethodPut, f.Platform.Addresses["address"], "/admin/instances", objectstore.Instance{
		ID: id, Role: role, Address: p.Addresses["address"], Zone: "a", Labels: map[string]string{"app": app},
	})
	return p
}

// StartReadyRouter starts a router and waits until it is ready and reaches
// exactly the given number of targets.
func (f *Fleet) StartReadyRouter(id string, targets int) *Process {
	f.T.Helper()
	if f.Authority == nil {
		f.Authority = certstest.NewAuthority(f.T)
	}
	p := f.StartRouter(RouterOptions{ID: id, Authority: f.Authority, ServerSettings: f.ServerSettings})
	poll.WaitOn(f.T, func(poll.LogT) poll.Result { return f.checkReady(p, targets) }, poll.WithTimeout(20*time.Second))
	return p
}

// checkReady succeeds if the router is ready and reaches exactly the given number
// of targets.
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

// Post sends a request with the fleet's API key to a router. header has
// alternating names and values.
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

// GetJSON gets a document from a stand-in and decodes it into out.
func (f *Fleet) GetJSON(address, path string, out any) {
	f.T.Helper()
	resp, err := http.Get("http://" + address + path)
	assert.NilError(f.T, err)
	defer resp.Body.Close()
	assert.NilError(f.T, json.NewDecoder(resp.Body).Decode(out))
}
