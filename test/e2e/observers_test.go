package e2e

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/certs/certstest"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/server"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/test/harness"
)

// targetStatus returns the status of a target, or the zero value if the document
// does not list the target.
func targetStatus(s server.Status, id string) server.TargetStatus {
	for _, target := range s.Targets {
		if target.ID == id {
			return target
		}
	}
	return server.TargetStatus{}
}

// waitForObservers waits until two routers observe a target, that is, read its
// state themselves. It returns these two and the remaining routers.
func waitForObservers(t *testing.T, routers []*harness.Process, id string) (observers, remaining []*harness.Process) {
	t.Helper()
	harness.WaitStatus(t, routers[0], 20*time.Second, "observed by two routers", func(server.Status) bool {
		observers, remaining = nil, nil
		for _, r := range routers {
			status, err := harness.ReadStatus(r)
			if err != nil {
				return false
			}
			if targetStatus(status, id).Observed {
				observers = append(observers, r)
			} else {
				remaining = append(remaining, r)
			}
		}
		return len(observers) == 2
	})
	return observers, remaining
}

// openRoutes need no key and have no rate limit, so that requests do not depend on
// the frozen instances, which hold the quota shares.
const openRoutes = "[route chat]\npath = /v1/chat/completions\npool = demo\naccess = open\n"

// Guards G11: a leaving target gets no new requests after 5 s, also from routers
// that do not read its state themselves. One or both of the routers that do are
// frozen (SIGSTOP) when the target announces that it is leaving. A resumed router
// must stop using the target within 5 s too. The instance list does not show that
// the target is leaving; only the target's own state does.
func TestLeavingTargetWithFrozenObservers(t *testing.T) {
	const limit = 5 * time.Second
	f := harness.StartFleet(t)
	f.PutTables(2, openRoutes, harness.PoolsWithKey(f.APIKey))
	engines := make(map[string]*harness.Process)
	for n := range 5 {
		id := fmt.Sprint("engine-", n)
		engines[id] = f.StartTarget(id, objectstore.RoleEngine, "engine")
	}
	authority := certstest.NewAuthority(t)
	routers := []*harness.Process{f.StartRouter(harness.RouterOptions{ID: "r0", Authority: authority})}
	for n := 1; n < 4; n++ {
		routers = append(routers, f.StartRouter(harness.RouterOptions{
			ID: fmt.Sprint("r", n), Authority: authority, Seeds: []string{routers[0].Addresses["peer"]},
		}))
	}
	for _, r := range routers {
		harness.WaitReady(t, r)
		harness.WaitPeers(t, r, len(routers)-1)
	}
	for _, c := range []struct {
		frozen int
		id     string
	}{{1, "engine-1"}, {2, "engine-2"}} {
		frozen, id := c.frozen, c.id
		observers, _ := waitForObservers(t, routers, id)
		suspended := make(map[*harness.Process]bool)
		for _, r := range observers[:frozen] {
			r.Signal(t, syscall.SIGSTOP)
			suspended[r] = true
		}
		f.SendAdminRequest(http.MethodPut, engines[id].Addresses["address"], "/admin/faults", standin.EngineFaults{Leaving: true})
		deadline := time.Now().Add(limit)
		showsLeaving := func(s server.Status) bool { return targetStatus(s, id).Leaving }
		for _, r := range routers {
			if !suspended[r] {
				harness.WaitStatus(t, r, time.Until(deadline), "showing the target as leaving", showsLeaving)
			}
		}
		receivedCount := func() int {
			var requests []standin.ReceivedRequest
			f.GetJSON(engines[id].Addresses["address"], "/admin/received", &requests)
			return len(requests)
		}
		before := receivedCount()
		send := func(r *harness.Process) {
			for n := range 10 {
				body := chatBody(fmt.Sprint("prompt ", n), 2)
				readStream(t, body, f.Post(r, "/v1/chat/completions", body).Body, 2)
			}
		}
		for _, r := range routers {
			if !suspended[r] {
				send(r)
			}
		}
		assert.Equal(t, receivedCount(), before, "the leaving target got new requests with %d observers frozen", frozen)
		for r := range suspended {
			r.Signal(t, syscall.SIGCONT)
		}
		for r := range suspended {
			harness.WaitStatus(t, r, limit, "showing the target as leaving", showsLeaving)
		}
		before = receivedCount()
		for r := range suspended {
			send(r)
		}
		assert.Equal(t, receivedCount(), before, "the leaving target got new requests from a resumed router")
	}
}
