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

// targetOf returns a target of a status document.
func targetOf(s server.Status, id string) server.TargetStatus {
	for _, target := range s.Targets {
		if target.ID == id {
			return target
		}
	}
	return server.TargetStatus{}
}

// observersOf waits until a target has two observers and returns them, and the
// other routers.
func observersOf(t *testing.T, routers []*harness.Process, id string) (observers, others []*harness.Process) {
	t.Helper()
	harness.WaitStatus(t, routers[0], 20*time.Second, "two observers", func(server.Status) bool {
		observers, others = nil, nil
		for _, r := range routers {
			status, err := harness.ReadStatus(r)
			if err != nil {
				return false
			}
			if targetOf(status, id).Observed {
				observers = append(observers, r)
			} else {
				others = append(others, r)
			}
		}
		return len(observers) == 2
	})
	return observers, others
}

// openRoutes let everybody in. Open routes have no rate, so that requests do not
// depend on the frozen instances, which hold the quota shares.
const openRoutes = "[route chat]\npath = /v1/chat/completions\npool = demo\naccess = open\n"

// Guards G11 where instances rely on the reads of others: with one or both
// observers of a leaving target frozen, no router may send it work after 5 s, nor
// a resumed one 5 s after it goes on. The instance list never shows the target as
// leaving, as if it lagged by more than the test takes.
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
		observers, _ := observersOf(t, routers, id)
		stopped := make(map[*harness.Process]bool)
		for _, r := range observers[:frozen] {
			r.Signal(t, syscall.SIGSTOP)
			stopped[r] = true
		}
		f.SendAdminRequest(http.MethodPut, engines[id].Addresses["address"], "/admin/faults", standin.EngineFaults{Leaving: true})
		deadline := time.Now().Add(limit)
		isLeaving := func(s server.Status) bool { return targetOf(s, id).Leaving }
		for _, r := range routers {
			if !stopped[r] {
				harness.WaitStatus(t, r, time.Until(deadline), "aware that the target leaves", isLeaving)
			}
		}
		received := func() int {
			var requests []standin.ReceivedRequest
			f.GetJSON(engines[id].Addresses["address"], "/admin/received", &requests)
			return len(requests)
		}
		before := received()
		send := func(r *harness.Process) {
			for n := range 10 {
				body := chatBody(fmt.Sprint("prompt ", n), 2)
				readStream(t, body, f.Post(r, "/v1/chat/completions", body).Body, 2)
			}
		}
		for _, r := range routers {
			if !stopped[r] {
				send(r)
			}
		}
		assert.Equal(t, received(), before, "%d observers frozen", frozen)
		for r := range stopped {
			r.Signal(t, syscall.SIGCONT)
		}
		for r := range stopped {
			harness.WaitStatus(t, r, limit, "aware that the target leaves", isLeaving)
		}
		before = received()
		for r := range stopped {
			send(r)
		}
		assert.Equal(t, received(), before, "resumed")
	}
}
