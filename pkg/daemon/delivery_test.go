package daemon_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/platform"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// startDelivery starts a daemon and orders a second version, with two targets of each.
func startDelivery(t *testing.T, durationS int) *testDaemon {
	x := startDaemonWith(t, 2, func(x *testDaemon) {
		x.settings.MaxExposureShare, x.settings.ExposureSlack, x.settings.RollbackDelay = 0.1, 50, 5*time.Second
		x.settings.GossipListen = ""
	})
	x.store.Put(platform.KindDeliveries, "llm", map[string]any{"service": "llm", "target": "v2", "duration_s": durationS})
	for i := range 2 {
		r, err := platformtest.StartTarget(fmt.Sprintf("j-%d", i))
		assert.NilError(t, err)
		r.Model = "m"
		t.Cleanup(r.Stop)
		x.targets = append(x.targets, r)
		entry := r.Entry("llm", "a")
		entry["version"] = "v2"
		x.store.Put(platform.KindTargets, r.ID, entry)
	}
	return x
}

func (x *testDaemon) deliveryState() string {
	var status struct{ State, Target string }
	_ = json.Unmarshal(x.store.Status(platform.KindDeliveries, "llm"), &status)
	if status.Target != "v2" {
		return ""
	}
	return status.State
}

// sendUntil sends requests until the delivery has the state, and returns how many.
func (x *testDaemon) sendUntil(state string) (sent int) {
	x.waitFor("state "+state, func() bool {
		x.sendStatus("/stream/", "key-1")
		sent++
		return x.deliveryState() == state
	})
	return sent
}

func (x *testDaemon) newRequests() int {
	return len(x.targets[2].Requests()) + len(x.targets[3].Requests())
}

// A good version was not completed, or the old targets, which stop at once then, still got
// requests.
func TestVersionIsDelivered(t *testing.T) {
	x := startDelivery(t, 5)
	sent := x.sendUntil("serving")
	sent += x.sendUntil("completed")
	assert.Assert(t, sent > x.newRequests(), "no trial")
	before := len(x.targets[0].Requests()) + len(x.targets[1].Requests())
	for range 20 {
		assert.Equal(t, x.sendStatus("/stream/", "key-1"), http.StatusOK)
	}
	assert.Equal(t, len(x.targets[0].Requests())+len(x.targets[1].Requests()), before, "an old target got a request")
}

// A version whose answers fail stayed in use, or got more requests than the bound allows.
func TestBadVersionIsRolledBack(t *testing.T) {
	x := startDelivery(t, 8)
	for _, r := range x.targets[2:] {
		r.SetFaults(func(int, string) platformtest.Fault {
			return platformtest.Fault{Status: http.StatusInternalServerError}
		})
	}
	sent := x.sendUntil("rolled_back")
	exposed := x.newRequests()
	assert.Assert(t, exposed > 0 && float64(exposed) <= 0.1*float64(sent)+50, "%d of %d", exposed, sent)
	for range 30 {
		assert.Equal(t, x.sendStatus("/stream/", "key-1"), http.StatusOK)
	}
	assert.Equal(t, x.newRequests(), exposed, "used after the roll-back")
}

// Without a bound on exposure in the settings nothing may change: orders were read, at the
// price of calls to the store, or targets of another version were held back.
func TestNoDeliveryWithoutTheSettings(t *testing.T) {
	x := startDaemon(t, 1)
	var calls atomic.Int64
	x.store.SetFailure(func(r *http.Request) int {
		if strings.HasPrefix(r.URL.Path, "/objects/"+platform.KindDeliveries) || strings.Contains(r.URL.Path, "deliveries") {
			calls.Add(1)
		}
		return 0
	})
	x.store.Put(platform.KindDeliveries, "llm", map[string]any{"service": "llm", "target": "v2", "duration_s": 60})
	r, err := platformtest.StartTarget("j-0")
	assert.NilError(t, err)
	t.Cleanup(r.Stop)
	r.Model = "m"
	entry := r.Entry("llm", "a")
	entry["version"] = "v2"
	x.store.Put(platform.KindTargets, r.ID, entry)
	startedAt := time.Now()
	x.waitFor("the other version is used", func() bool {
		x.sendStatus("/stream/", "key-1")
		return len(r.Requests()) > 0
	})
	assert.Assert(t, time.Since(startedAt) < 3*time.Second, "held back")
	assert.Equal(t, calls.Load(), int64(0))
}
