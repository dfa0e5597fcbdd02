package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/burn"
	"lacewingwheel.example/lacewingwheel/pkg/certs/certstest"
	"lacewingwheel.example/lacewingwheel/pkg/platform"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
)

const onceRoutes = testRoutes + `
[route confirm]
path = /confirm
pool = booking
repeatable = false
deadline = 10s
`

// newOnceFleet returns a fleet whose tables have a non-repeatable route.
func newOnceFleet(t *testing.T) *fleet {
	f := newFleet(t)
	f.putTables(2, onceRoutes, poolsWithKey(f.key))
	return f
}

func (f *fleet) getJSON(address, path string, out any) {
	f.t.Helper()
	resp, err := http.Get("http://" + address + path)
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	assert.NilError(f.t, json.NewDecoder(resp.Body).Decode(out))
}

// runs returns how often the service has run a body.
func (f *fleet) runs(service *process, body string) int {
	f.t.Helper()
	var runs map[string]int
	f.getJSON(service.addresses["address"], "/admin/runs", &runs)
	return runs[body]
}

func errorOf(t *testing.T, resp *http.Response) apierr.Detail {
	t.Helper()
	var doc apierr.Body
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&doc))
	return doc.Error
}

// Guards G10: copies of a non-repeatable request that reach all instances at
// the same time must run once in all.
func TestConfirmationRunsOnceOverInstances(t *testing.T) {
	f := newOnceFleet(t)
	service := f.target("booking-1", platform.RoleService, "booking")
	routers := []*process{f.router("r1", 1), f.router("r2", 1), f.router("r3", 1)}
	const body, copies = "slot 7", 4
	var group sync.WaitGroup
	statuses := make(chan int, copies*len(routers))
	for _, router := range routers {
		for range copies {
			group.Go(func() {
				resp := f.post(router, "/confirm", body, "Idempotency-Key", "one")
				statuses <- resp.StatusCode
			})
		}
	}
	group.Wait()
	close(statuses)
	succeeded := 0
	for status := range statuses {
		assert.Assert(t, status == http.StatusOK || status == http.StatusConflict, "status %d", status)
		if status == http.StatusOK {
			succeeded++
		}
	}
	assert.Assert(t, succeeded >= 1)
	assert.Equal(t, f.runs(service, body), 1)

	resp := f.post(routers[2], "/confirm", body, "Idempotency-Key", "one")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, resp.Header.Get("Idempotent-Replayed"), "true")
	assert.Equal(t, f.runs(service, body), 1)
}

// Guards G10 and G9: after its router is killed in mid-request, or its target
// cuts the connection, a request sent again to another instance must not run
// again, and the caller must not be told that it has not run.
func TestConfirmationAfterLostAnswer(t *testing.T) {
	f := newOnceFleet(t)
	service := f.target("booking-1", platform.RoleService, "booking")
	first, second := f.router("r1", 1), f.router("r2", 1)

	f.admin(http.MethodPut, service.addresses["address"], "/admin/faults", standin.ServiceFaults{CutAfterReading: true})
	resp := f.post(first, "/confirm", "cut", "Idempotency-Key", "cut")
	assert.Equal(t, errorOf(t, resp).Outcome, apierr.Unknown)
	f.admin(http.MethodPut, service.addresses["address"], "/admin/faults", standin.ServiceFaults{})
	resp = f.post(second, "/confirm", "cut", "Idempotency-Key", "cut")
	assert.Equal(t, errorOf(t, resp).Code, apierr.CodeOutcomeUnknown)
	assert.Equal(t, f.runs(service, "cut"), 1)

	f.admin(http.MethodPut, service.addresses["address"], "/admin/faults", standin.ServiceFaults{DelayMillis: 3000})
	go func() {
		req, _ := http.NewRequest(http.MethodPost, "http://"+first.addresses["caller"]+"/confirm", strings.NewReader("kill"))
		req.Header.Set("Authorization", "Bearer "+f.key)
		req.Header.Set("Idempotency-Key", "kill")
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.runs(service, "kill") == 1 {
			return poll.Success()
		}
		return poll.Continue("not dispatched")
	}, poll.WithTimeout(10*time.Second))
	first.kill()
	resp = f.post(second, "/confirm", "kill", "Idempotency-Key", "kill")
	detail := errorOf(t, resp)
	assert.Equal(t, detail.Outcome, apierr.Unknown, "%+v", detail)
	assert.Equal(t, f.runs(service, "kill"), 1)
}

// Guards G9: without the platform no claim can be made, so the request must be
// refused as not run, and then run once when the platform is back.
func TestConfirmationDuringOutage(t *testing.T) {
	f := newOnceFleet(t)
	service := f.target("booking-1", platform.RoleService, "booking")
	router := f.router("r1", 1)
	f.outage(true)
	resp := f.post(router, "/confirm", "slot 7", "Idempotency-Key", "one")
	detail := errorOf(t, resp)
	assert.Equal(t, detail.Code, apierr.CodeClaimUnavailable)
	assert.Equal(t, detail.Outcome, apierr.NotRun)
	assert.Equal(t, f.runs(service, "slot 7"), 0)
	resp = f.post(router, "/booking/slots", "lookup")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	f.outage(false)
	resp = f.post(router, "/confirm", "slot 7", "Idempotency-Key", "one")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, f.runs(service, "slot 7"), 1)
}

// Guards against a poison request that takes down one target after the other,
// because its caller sends it to another instance each time.
func TestPoisonRequestOverInstances(t *testing.T) {
	const engineCount = 4
	f := newFleet(t)
	authority := certstest.NewAuthority(t)
	var engines []*process
	for n := range engineCount {
		e := f.target(fmt.Sprint("engine-", n), platform.RoleEngine, "engine")
		f.admin(http.MethodPut, e.addresses["address"], "/admin/faults", standin.EngineFaults{CrashOnText: "poison"})
		engines = append(engines, e)
	}
	routers := []*process{f.peerRouter(peerOptions{id: "r1", authority: authority})}
	seed := []string{routers[0].addresses["peer"]}
	routers = append(routers, f.peerRouter(peerOptions{id: "r2", authority: authority, seeds: seed}))
	for _, router := range routers {
		waitReady(t, router)
	}
	waitPeers(t, routers[0], 1)
	body := `{"model":"demo","max_tokens":1,"messages":[{"role":"user","content":"poison"}]}`
	for n := range 6 {
		resp := f.post(routers[n%2], "/v1/chat/completions", body)
		assert.Assert(t, resp.StatusCode >= 400)
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	crashed := 0
	for _, e := range engines {
		select {
		case <-e.exited:
			crashed++
		default:
		}
	}
	assert.Assert(t, crashed <= 2, "%d engines crashed", crashed)
	for _, router := range routers {
		assert.Equal(t, errorOf(t, f.post(router, "/v1/chat/completions", body)).Code, apierr.CodeQuarantined)
		sound := chatBody("sound", 5)
		readStream(t, sound, f.post(router, "/v1/chat/completions", sound).Body, 5)
	}
}

// Guards G11: a target that says that it is leaving must get no new work after
// a few seconds, although the instance list still shows it as live.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	f := newFleet(t)
	leaving := f.target("engine-1", platform.RoleEngine, "engine")
	f.target("engine-2", platform.RoleEngine, "engine")
	router := f.router("r1", 2)
	f.admin(http.MethodPut, f.platform.addresses["address"], "/admin/faults", standin.PlatformFaults{FreezeList: true})
	f.admin(http.MethodPut, leaving.addresses["address"], "/admin/faults", standin.EngineFaults{Leaving: true})
	const limit = 5 * time.Second
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, err := readStatus(router)
		if err != nil {
			return poll.Error(err)
		}
		for _, target := range status.Targets {
			if target.ID == "engine-1" && target.Leaving {
				return poll.Success()
			}
		}
		return poll.Continue("not seen as leaving")
	}, poll.WithTimeout(limit))
	received := func() int {
		var requests []standin.Received
		f.getJSON(leaving.addresses["address"], "/admin/received", &requests)
		return len(requests)
	}
	before := received()
	for n := range 20 {
		body := chatBody(fmt.Sprint("prompt ", n), 3)
		readStream(t, body, f.post(router, "/v1/chat/completions", body).Body, 3)
	}
	assert.Equal(t, received(), before)
}

// Guards the reaction to a new weight version in the table: engines are ordered
// to load it, and requests wait for no other weights.
func TestPoolWeightsAreLoaded(t *testing.T) {
	f := newFleet(t)
	f.target("engine-1", platform.RoleEngine, "engine", "--load-delay", "200ms")
	f.target("engine-2", platform.RoleEngine, "engine", "--load-delay", "200ms")
	router := f.router("r1", 2)
	pools := strings.Replace(poolsWithKey(f.key), "model = demo\n", "model = demo\nweight_version = 2\nload_limit = 1\n", 1)
	f.putTables(2, testRoutes, pools)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, err := readStatus(router)
		if err != nil {
			return poll.Error(err)
		}
		loaded := 0
		for _, target := range status.Targets {
			if target.WeightVersion == "2" {
				loaded++
			}
		}
		if loaded == 2 {
			return poll.Success()
		}
		return poll.Continue("%d of 2 engines run the new weights", loaded)
	}, poll.WithTimeout(40*time.Second))
	body := chatBody("hello", 5)
	readStream(t, body, f.post(router, "/v1/chat/completions", body).Body, 5)
}

// Guards the report: it must add up the instances that answer and name the one
// that does not.
func TestReportOverProcesses(t *testing.T) {
	f := newFleet(t)
	f.target("engine-1", platform.RoleEngine, "engine")
	routers := []*process{f.router("r1", 1), f.router("r2", 1)}
	for _, router := range routers {
		body := chatBody("hello", 3)
		readStream(t, body, f.post(router, "/v1/chat/completions", body).Body, 3)
	}
	gone := closedPort(t)
	command := exec.Command(filepath.Join(binaries, "lacewingwheel"), "report", "--format", "json",
		"--operator", routers[0].addresses["operator"], "--operator", routers[1].addresses["operator"], "--operator", gone)
	var out bytes.Buffer
	command.Stdout = &out
	assert.NilError(t, command.Run())
	var report burn.Report
	assert.NilError(t, json.Unmarshal(out.Bytes(), &report))
	assert.Equal(t, len(report.Answered), 2)
	assert.Equal(t, len(report.Missing), 1)
	assert.Equal(t, len(report.Rows), 1)
	assert.Equal(t, report.Rows[0].Organisation, "circle")
	// A response is complete for its caller just before it is counted, so that
	// only the first of both is certain to be in the report.
	assert.Assert(t, report.Rows[0].Totals.Served >= 1)
}
