// Package e2e runs routers, engines, services and the platform as separate
// processes on loopback.
package e2e

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
	"lacewingwheel.example/lacewingwheel/pkg/platform"
	"lacewingwheel.example/lacewingwheel/pkg/platform/httpapi"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lacewingwheel-e2e")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+"/", "lacewingwheel.example/lacewingwheel/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "building the programs failed:", err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is a started program whose log is read.
type process struct {
	cmd       *exec.Cmd
	addresses map[string]string // from its "listening" line
	exited    chan struct{}
}

var listeningPattern = regexp.MustCompile(`(\w+)=(127\.0\.0\.1:\d+)`)

// start runs a program and waits until it listens.
func start(t testing.TB, name string, args ...string) *process {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, name), args...)
	stderr, err := cmd.StderrPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	p := &process{cmd: cmd, addresses: make(map[string]string), exited: make(chan struct{})}
	listening := make(chan struct{})
	go p.readLog(stderr, listening)
	t.Cleanup(p.kill)
	select {
	case <-listening:
	case <-p.exited:
		t.Fatalf("%s %v ended before it listened", name, args)
	}
	return p
}

func (p *process) readLog(stderr io.Reader, listening chan struct{}) {
	scanner := bufio.NewScanner(stderr)
	for scanner.Scan() {
		line := scanner.Text()
		if os.Getenv("E2E_LOG") != "" {
			fmt.Println(line)
		}
		if strings.Contains(line, "listening:") && len(p.addresses) == 0 {
			for _, match := range listeningPattern.FindAllStringSubmatch(line, -1) {
				p.addresses[match[1]] = match[2]
			}
			close(listening)
		}
	}
	_ = p.cmd.Wait()
	close(p.exited)
}

func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func (p *process) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(s))
}

// fleet is a whole system on loopback.
type fleet struct {
	t        testing.TB
	platform *process
	store    *httpapi.Client
	key      string
	// authority signs the certificates of routers; made with the first one.
	authority *certstest.Authority
}

const testPools = `[pool demo]
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

const testRoutes = `[route chat]
path = /v1/chat/completions
pool = demo
deadline = 20s

[route booking]
path = /booking/
pool = booking
`

func newFleet(t testing.TB) *fleet {
	t.Helper()
	p := start(t, "standin", "platform")
	f := &fleet{t: t, platform: p, store: httpapi.New("http://" + p.addresses["address"]), key: "key-of-circle"}
	f.putTables(1, testRoutes, fmt.Sprintf(testPools, tables.FormatDigest(tables.DigestKey(f.key))))
	return f
}

func (f *fleet) putTables(generation uint64, routes, pools string) {
	f.t.Helper()
	a := control.Accepted{Generation: generation, Editor: "test", Nonce: fmt.Sprint(generation), Routes: routes, Pools: pools}
	value, err := a.Encode()
	assert.NilError(f.t, err)
	if generation == 1 {
		_, err = f.store.Create(f.t.Context(), control.KindConfiguration, control.NameAccepted, value)
		assert.NilError(f.t, err)
		return
	}
	current, err := f.store.Get(f.t.Context(), control.KindConfiguration, control.NameAccepted)
	assert.NilError(f.t, err)
	_, err = f.store.Update(f.t.Context(), control.KindConfiguration, control.NameAccepted, value, current.Version)
	assert.NilError(f.t, err)
}

func (f *fleet) admin(method, address, path string, body any) {
	f.t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(f.t, err)
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	assert.NilError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	assert.Equal(f.t, resp.StatusCode, http.StatusOK)
}

// target starts a stand-in and puts it on the instance list.
func (f *fleet) target(id string, role platform.Role, app string, args ...string) *process {
	f.t.Helper()
	p := start(f.t, "standin", append([]string{string(role)}, args...)...)
	f.admin(http.MethodPut, f.platform.addresses["address"], "/admin/instances", platform.Instance{
		ID: id, Role: role, Address: p.addresses["address"], Zone: "a", Labels: map[string]string{"app": app},
	})
	return p
}

// router starts a router and waits until it is ready and knows its targets.
func (f *fleet) router(id string, targets int) *process {
	f.t.Helper()
	if f.authority == nil {
		f.authority = certstest.NewAuthority(f.t)
	}
	p := f.peerRouter(peerOptions{id: id, authority: f.authority})
	poll.WaitOn(f.t, func(poll.LogT) poll.Result { return f.checkReady(p, targets) }, poll.WithTimeout(20*time.Second))
	return p
}

func (f *fleet) checkReady(p *process, targets int) poll.Result {
	resp, err := http.Get("http://" + p.addresses["operator"] + "/status.json")
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

// post sends a request with the organisation's key.
func (f *fleet) post(router *process, path, body string, header ...string) *http.Response {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+router.addresses["caller"]+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+f.key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { resp.Body.Close() })
	return resp
}
