package relay_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/target"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// supersede makes the fixture's targets engines whose weights may be used for left.
func (f *fixture) supersede(left time.Duration) (usableUntil time.Time) {
	f.update(func() {
		f.newestVersion = "2"
		for _, t := range f.targets {
			t.IsEngine, t.Model, t.WeightVersion = true, "m", "1"
			t.WeightsUsableUntil = clock.System{}.Elapsed() + left
		}
	})
	return time.Now().Add(left)
}

// statedTime returns the timeout that a request states to the target.
func statedTime(t *testing.T, seen platformtest.ReceivedRequest) time.Duration {
	t.Helper()
	limit, err := strconv.Atoi(seen.Header.Get(platformtest.HeaderDeadline))
	assert.NilError(t, err)
	return time.Duration(limit) * time.Millisecond
}

// A request that waits at a target with superseded weights must not begin there
// after their use has ended.
func TestRequestDoesNotBeginOnExpiredWeights(t *testing.T) {
	for _, c := range []struct {
		name       string
		path       string
		left       time.Duration // time for which the weights may be used
		queueDelay time.Duration // wait at the target
		replaced   bool          // a target with the newest weights is listed meanwhile
		wantStatus int
		wantSent   int // requests that reach the target with superseded weights
	}{
		{"resumable stream moves to the newest weights", "/stream/resumable/", 1300 * time.Millisecond, 1400 * time.Millisecond, true, http.StatusOK, 1},
		{"other stream is refused", "/stream/once/", 1300 * time.Millisecond, 1400 * time.Millisecond, true, http.StatusServiceUnavailable, 1},
		{"request that cannot begin in time is not sent", "/once/", 500 * time.Millisecond, 0, false, http.StatusServiceUnavailable, 0},
		{"request in time is answered", "/stream/once/", 1300 * time.Millisecond, 300 * time.Millisecond, false, http.StatusOK, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			old, newest := startTarget(t, "i-1"), startTarget(t, "i-2")
			old.SetFaults(func(int, string) platformtest.Fault { return platformtest.Fault{QueueDelay: c.queueDelay} })
			newest.SetWeightVersion(2)
			f := newFixture(t, old)
			usableUntil := f.supersede(c.left)
			if c.replaced {
				time.AfterFunc(c.left/4, func() {
					f.update(func() {
						f.targets = append(f.targets[:1:1], &target.Target{ID: "i-2", Address: newest.Address, Zone: "zone-a", Pool: "pool", Incarnation: "1", Slots: 8,
							IsEngine: true, Model: "m", WeightVersion: "2", Live: &target.LiveState{}})
					})
				})
			}
			got := f.send(callerRequest{path: c.path, timeout: 2 * time.Second, header: map[string]string{platformtest.HeaderModel: "m"}})
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, c.wantStatus, "%s", f.log)
			assert.Equal(t, len(old.Requests()), c.wantSent)
			time.Sleep(c.queueDelay) // the stand-in goes on after its connection was closed
			for _, seen := range old.Requests() {
				assert.Assert(t, !seen.ExecutedAt.After(usableUntil), "the request began %v after the end of use", seen.ExecutedAt.Sub(usableUntil))
				limit := statedTime(t, seen)
				assert.Assert(t, seen.ReceivedAt.Add(limit).Before(usableUntil), "the target may begin it until %v after it was sent", limit)
			}
		})
	}
}

// A request that was sent before newer weights were announced, and has not begun
// when the use of the older ones ends, must be cancelled.
func TestRequestSentBeforeAnnouncementDoesNotOutlastTheWeights(t *testing.T) {
	old := startTarget(t, "i-1")
	old.SetFaults(func(int, string) platformtest.Fault { return platformtest.Fault{QueueDelay: 1900 * time.Millisecond} })
	f := newFixture(t, old)
	f.update(func() {
		f.targets[0].IsEngine, f.targets[0].Model, f.targets[0].WeightVersion = true, "m", "1"
	})
	started := time.Now()
	time.AfterFunc(rolloutDeadline/4, func() {
		f.update(func() {
			superseded := *f.targets[0]
			superseded.WeightsUsableUntil = clock.System{}.Elapsed() + rolloutDeadline/2
			f.targets = []*target.Target{&superseded}
		})
	})
	got := f.send(callerRequest{path: "/stream/once/", timeout: 2 * time.Second, header: map[string]string{platformtest.HeaderModel: "m"}})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway, "it may have begun")
	assert.Assert(t, time.Since(started) <= rolloutDeadline, "cancelled after %v", time.Since(started))
}
