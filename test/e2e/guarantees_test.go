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
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/test/harness"
)

const nonRepeatableRoutes = harness.RoutesTable + `
[route confirm]
path = /confirm
pool = booking
repeatable = false
deadline = 10s
`

// startNonRepeatableFleet starts a fleet whose tables have a non-repeatable route.
func startNonRepeatableFleet(t *testing.T) *harness.Fleet {
	f := harness.StartFleet(t)
	f.PutTables(2, nonRepeatableRoutes, harness.PoolsWithKey(f.APIKey))
	return f
}

// runCount returns how often the service has run a request with this body.
func runCount(f *harness.Fleet, service *harness.Process, body string) int {
	f.T.Helper()
	var runs map[string]int
	f.GetJSON(service.Addresses["address"], "/admin/runs", &runs)
	return runs[body]
}

// decodeError returns the error in the body of a response.
func decodeError(t *testing.T, resp *http.Response) apierr.ErrorDetail {
	t.Helper()
	var doc apierr.ErrorDocument
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&doc))
	return doc.Error
}

// Guards G10: a non-repeatable request runs at most once. Copies with the same
// idempotency key reach all instances at the same time; the service must run one.
func TestNonRepeatableRequestRunsOnceAcrossInstances(t *testing.T) {
	f := startNonRepeatableFleet(t)
	service := f.StartTarget("booking-1", objectstore.RoleService, "booking")
	routers := []*harness.Process{f.StartReadyRouter("r1", 1), f.StartReadyRouter("r2", 1), f.StartReadyRouter("r3", 1)}
	const body, copies = "slot 7", 4
	var group sync.WaitGroup
	statuses := make(chan int, copies*len(routers))
	for _, router := range routers {
		for range copies {
			group.Go(func() {
				resp := f.Post(router, "/confirm", body, "Idempotency-Key", "one")
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
	assert.Equal(t, runCount(f, service, body), 1)

	resp := f.Post(routers[2], "/confirm", body, "Idempotency-Key", "one")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, resp.Header.Get("Idempotent-Replayed"), "true")
	assert.Equal(t, runCount(f, service, body), 1)
}

// Guards G10 and G9: a non-repeatable request runs at most once, and a caller gets
// not_run only if it did not run. The target closes the connection, or the router
// is killed, while the request runs. The same request sent to another instance must
// not run again, and its outcome must be unknown.
func TestNonRepeatableRequestAfterLostResponse(t *testing.T) {
	f := startNonRepeatableFleet(t)
	service := f.StartTarget("booking-1", objectstore.RoleService, "booking")
	first, second := f.StartReadyRouter("r1", 1), f.StartReadyRouter("r2", 1)

	f.SendAdminRequest(http.MethodPut, service.Addresses["address"], "/admin/faults", standin.ServiceFaults{CutAfterReading: true})
	resp := f.Post(first, "/confirm", "cut", "Idempotency-Key", "cut")
	assert.Equal(t, decodeError(t, resp).Outcome, apierr.OutcomeUnknown)
	f.SendAdminRequest(http.MethodPut, service.Addresses["address"], "/admin/faults", standin.ServiceFaults{})
	resp = f.Post(second, "/confirm", "cut", "Idempotency-Key", "cut")
	assert.Equal(t, decodeError(t, resp).Code, apierr.CodeOutcomeUnknown)
	assert.Equal(t, runCount(f, service, "cut"), 1)

	f.SendAdminRequest(http.MethodPut, service.Addresses["address"], "/admin/faults", standin.ServiceFaults{DelayMillis: 3000})
	go func() {
		req, _ := http.NewRequest(http.MethodPost, "http://"+first.Addresses["caller"]+"/confirm", strings.NewReader("kill"))
		req.Header.Set("Authorization", "Bearer "+f.APIKey)
		req.Header.Set("Idempotency-Key", "kill")
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if runCount(f, service, "kill") == 1 {
			return poll.Success()
		}
		return poll.Continue("the service has not run the request")
	}, poll.WithTimeout(10*time.Second))
	first.Kill()
	resp = f.Post(second, "/confirm", "kill", "Idempotency-Key", "kill")
	detail := decodeError(t, resp)
	assert.Equal(t, detail.Outcome, apierr.OutcomeUnknown, "%+v", detail)
	assert.Equal(t, runCount(f, service, "kill"), 1)
}

// Guards G9: a caller gets not_run only if the request did not run. While the
// platform is down no claim can be written, so a non-repeatable request must be
// refused as not_run. Sent again after the outage it must run once.
func TestNonRepeatableRequestDuringOutage(t *testing.T) {
	f := startNonRepeatableFleet(t)
	service := f.StartTarget("booking-1", objectstore.RoleService, "booking")
	router := f.StartReadyRouter("r1", 1)
	f.SetPlatformDown(true)
	resp := f.Post(router, "/confirm", "slot 7", "Idempotency-Key", "one")
	detail := decodeError(t, resp)
	assert.Equal(t, detail.Code, apierr.CodeClaimUnavailable)
	assert.Equal(t, detail.Outcome, apierr.OutcomeNotRun)
	assert.Equal(t, runCount(f, service, "slot 7"), 0)
	resp = f.Post(router, "/booking/slots", "lookup")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	f.SetPlatformDown(false)
	resp = f.Post(router, "/confirm", "slot 7", "Idempotency-Key", "one")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, runCount(f, service, "slot 7"), 1)
}

// Guards against a poison request that crashes one engine after the other because
// its caller sends it to another instance each time.
func TestPoisonRequestAcrossInstances(t *testing.T) {
	const engineCount = 4
	f := harness.StartFleet(t)
	authority := certstest.NewAuthority(t)
	var engines []*harness.Process
	for n := range engineCount {
		e := f.StartTarget(fmt.Sprint("engine-", n), objectstore.RoleEngine, "engine")
		f.SendAdminRequest(http.MethodPut, e.Addresses["address"], "/admin/faults", standin.EngineFaults{CrashOnText: "poison"})
		engines = append(engines, e)
	}
	routers := []*harness.Process{f.StartRouter(harness.RouterOptions{ID: "r1", Authority: authority})}
	seed := []string{routers[0].Addresses["peer"]}
	routers = append(routers, f.StartRouter(harness.RouterOptions{ID: "r2", Authority: authority, Seeds: seed}))
	for _, router := range routers {
		harness.WaitReady(t, router)
	}
	harness.WaitPeers(t, routers[0], 1)
	body := `{"model":"demo","max_tokens":1,"messages":[{"role":"user","content":"poison"}]}`
	for n := range 6 {
		resp := f.Post(routers[n%2], "/v1/chat/completions", body)
		assert.Assert(t, resp.StatusCode >= 400)
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	crashed := 0
	for _, e := range engines {
		select {
		case <-e.Exited:
			crashed++
		default:
		}
	}
	assert.Assert(t, crashed <= 2, "%d engines crashed", crashed)
	for _, router := range routers {
		assert.Equal(t, decodeError(t, f.Post(router, "/v1/chat/completions", body)).Code, apierr.CodeQuarantined)
		harmless := chatBody("sound", 5)
		readStream(t, harmless, f.Post(router, "/v1/chat/completions", harmless).Body, 5)
	}
}

// Guards G11: a leaving target gets no new requests after 5 s. The instance list is
// frozen and still shows the target as live, so the router must use the target's
// own state.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	f := harness.StartFleet(t)
	leaving := f.StartTarget("engine-1", objectstore.RoleEngine, "engine")
	f.StartTarget("engine-2", objectstore.RoleEngine, "engine")
	router := f.StartReadyRouter("r1", 2)
	f.SendAdminRequest(http.MethodPut, f.Platform.Addresses["address"], "/admin/faults", standin.PlatformFaults{FreezeList: true})
	f.SendAdminRequest(http.MethodPut, leaving.Addresses["address"], "/admin/faults", standin.EngineFaults{Leaving: true})
	const limit = 5 * time.Second
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, err := harness.ReadStatus(router)
		if err != nil {
			return poll.Error(err)
		}
		for _, target := range status.Targets {
			if target.ID == "engine-1" && target.Leaving {
				return poll.Success()
			}
		}
		return poll.Continue("the router does not show the target as leaving")
	}, poll.WithTimeout(limit))
	receivedCount := func() int {
		var requests []standin.ReceivedRequest
		f.GetJSON(leaving.Addresses["address"], "/admin/received", &requests)
		return len(requests)
	}
	before := receivedCount()
	for n := range 20 {
		body := chatBody(fmt.Sprint("prompt ", n), 3)
		readStream(t, body, f.Post(router, "/v1/chat/completions", body).Body, 3)
	}
	assert.Equal(t, receivedCount(), before)
}

// Guards against a new weight version in the pools table that does not come into
// use: the engines must be ordered to load it, and requests must then be served.
func TestPoolWeightsAreLoaded(t *testing.T) {
	f := harness.StartFleet(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine", "--load-delay", "200ms")
	f.StartTarget("engine-2", objectstore.RoleEngine, "engine", "--load-delay", "200ms")
	router := f.StartReadyRouter("r1", 2)
	pools := strings.Replace(harness.PoolsWithKey(f.APIKey), "model = demo\n", "model = demo\nweight_version = 2\nload_limit = 1\n", 1)
	f.PutTables(2, harness.RoutesTable, pools)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, err := harness.ReadStatus(router)
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
	readStream(t, body, f.Post(router, "/v1/chat/completions", body).Body, 5)
}

// Guards against a report that is silently incomplete: it must add up the counts of
// the instances that respond and list the one that does not.
func TestReportAcrossInstances(t *testing.T) {
	f := harness.StartFleet(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine")
	routers := []*harness.Process{f.StartReadyRouter("r1", 1), f.StartReadyRouter("r2", 1)}
	for _, router := range routers {
		body := chatBody("hello", 3)
		readStream(t, body, f.Post(router, "/v1/chat/completions", body).Body, 3)
	}
	unusedAddress := harness.UnusedAddress(t)
	command := exec.Command(filepath.Join(harness.BinaryDir(), "lacewingwheel"), "report", "--format", "json",
		"--operator", routers[0].Addresses["operator"], "--operator", routers[1].Addresses["operator"], "--operator", unusedAddress)
	var out bytes.Buffer
	command.Stdout = &out
	assert.NilError(t, command.Run())
	var report burn.Report
	assert.NilError(t, json.Unmarshal(out.Bytes(), &report))
	assert.Equal(t, len(report.AnsweredInstances), 2)
	assert.Equal(t, len(report.MissingInstances), 1)
	assert.Equal(t, len(report.Rows), 1)
	assert.Equal(t, report.Rows[0].Organisation, "circle")
	// A response is counted just after its caller has received it, so that only the
	// first of the two requests is certain to be in the report.
	assert.Assert(t, report.Rows[0].Totals.Served >= 1)
}
