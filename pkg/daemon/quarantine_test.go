package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/daemon"
	"lacewingwheel.example/lacewingwheel/platform"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

const (
	// reactionTime is the time after the fifth crash from which at most
	// maxLateRequests requests with the part may reach targets.
	reactionTime    = 3 * time.Second
	maxLateRequests = 3
	// recoveryTime is the time after the fifth crash from which sound requests
	// must be served at least half as often as without crashes.
	recoveryTime = 2 * reactionTime
	// crashDowntime is how long a target is down after a crash.
	crashDowntime = time.Second
	// crashingID is the prefix of the IDs of requests with the part that crashes
	// targets.
	crashingID = "crashing-"
)

// addCrashingTargets adds targets that crash on requests with crashingID until n
// are there.
func addCrashingTargets(t *testing.T, x *testDaemon, n int) []*platformtest.Target {
	t.Helper()
	targets := slices.Clone(x.targets)
	for i := len(targets); i < n; i++ {
		r, err := platformtest.StartTarget(fmt.Sprintf("i-%d", i))
		assert.NilError(t, err)
		r.Model = "m"
		t.Cleanup(r.Stop)
		targets = append(targets, r)
	}
	for _, r := range targets {
		r.SetFaults(func(_ int, id string) platformtest.Fault {
			return platformtest.Fault{Crash: strings.HasPrefix(id, crashingID), Delay: 20 * time.Millisecond}
		})
		r.SetCrashes(crashDowntime, func() { x.putTarget(r) })
		x.putTarget(r)
	}
	return targets
}

// sendParts sends a request with a prompt and returns the status of the response,
// or zero if there is none that is complete.
func (x *testDaemon) sendParts(id, parts string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+x.settings.CallerListen+"/stream/", strings.NewReader(id))
	if err != nil {
		return 0
	}
	request.Host = "h.example"
	request.Header.Set(platformtest.HeaderRequestID, id)
	request.Header.Set(platformtest.HeaderDeadline, "2000")
	request.Header.Set(platformtest.HeaderModel, "m")
	request.Header.Set(platformtest.HeaderPromptParts, parts)
	request.Header.Set(platformtest.HeaderTokenCounts, "200,4")
	request.Header.Set("Authorization", "Token key-1")
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// crashTimes returns the times of all crashes, in order.
func crashTimes(targets []*platformtest.Target) []time.Time {
	var all []time.Time
	for _, r := range targets {
		all = append(all, r.Crashes()...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// countCrashingSince returns the number of requests with crashingID that targets
// received after a time.
func countCrashingSince(targets []*platformtest.Target, since time.Time) int {
	n := 0
	for _, r := range targets {
		for _, received := range r.Requests() {
			if strings.HasPrefix(received.ID, crashingID) && received.ReceivedAt.After(since) {
				n++
			}
		}
	}
	return n
}

// A part of prompts that crashes targets must be refused by all instances soon
// after the fifth crash, while sound requests with the same first part are served.
// Otherwise requests with the part take down one target after the other.
func TestPartThatCrashesTargetsIsQuarantined(t *testing.T) {
	instances, _ := startTwoDaemons(t)
	targets := addCrashingTargets(t, instances[0], 6)
	time.Sleep(time.Second) // both instances learn of the targets

	type outcome struct {
		sentAt time.Time
		served bool
	}
	var mu sync.Mutex
	var sound []outcome
	var group sync.WaitGroup
	const period, length = 50 * time.Millisecond, 12 * time.Second
	startedAt := time.Now()
	for n := 0; time.Since(startedAt) < length; n++ {
		x := instances[n%len(instances)]
		group.Go(func() {
			o := outcome{sentAt: time.Now()}
			o.served = x.sendParts(fmt.Sprintf("sound-%d", n), fmt.Sprintf("a1:100,50d%x:50,e%x:10", n%5, n)) == http.StatusOK
			mu.Lock()
			defer mu.Unlock()
			sound = append(sound, o)
		})
		if n%4 == 1 || n%4 == 2 {
			group.Go(func() {
				x.sendParts(fmt.Sprintf("%s%d", crashingID, n), fmt.Sprintf("a1:100,dead:50,f%x:10", n))
			})
		}
		time.Sleep(period)
	}
	group.Wait()

	crashes := crashTimes(targets)
	assert.Assert(t, len(crashes) > 0)
	lastCounted := crashes[min(len(crashes), 5)-1]
	late := countCrashingSince(targets, lastCounted.Add(reactionTime))
	assert.Check(t, late <= maxLateRequests, "%d requests with the part reached targets later than %v after the fifth of %d crashes", late, reactionTime, len(crashes))
	served, sent := 0, 0
	for _, o := range sound {
		if o.sentAt.Sub(lastCounted) >= recoveryTime {
			sent++
			if o.served {
				served++
			}
		}
	}
	assert.Check(t, sent >= 20 && 2*served >= sent, "%d of %d sound requests served from %v after the fifth crash on", served, sent, recoveryTime)
}

// A quarantine must outlast the stop of all instances, and no target may be reached
// by requests with the part after the restart. Otherwise each restart of the fleet
// costs further targets.
func TestQuarantineOutlastsAllInstances(t *testing.T) {
	const kind = "lacewingwheel-quarantines"
	x := startDaemon(t, 5)
	targets := addCrashingTargets(t, x, 5)
	x.waitFor("the quarantine is stored", func() bool {
		x.sendParts(fmt.Sprintf("%s%d", crashingID, nextRequestID.Add(1)), "a1:100,dead:50,f1:10")
		return len(x.store.Names(kind)) > 0
	})
	x.stop()
	err := <-x.stopped
	assert.NilError(t, err)
	x.stopped <- err

	again := *x.settings
	again.FirstStart = false
	sockets := newHeldSockets(t)
	again.CallerListen, again.ReadyListen, again.MetricsListen = sockets.tcpAddress(t), sockets.tcpAddress(t), sockets.tcpAddress(t)
	y := &testDaemon{t: t, store: x.store, targets: targets, settings: &again, stopped: make(chan error, 1)}
	ctx, cancel := context.WithCancel(t.Context())
	current := func() *daemon.Settings { return y.settings }
	d := daemon.New(current, platform.New(current), hclog.NewNullLogger())
	d.UseSockets(sockets.listen, sockets.listenPacket)
	go func() { y.stopped <- d.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-y.stopped })
	y.waitFor("ready", func() bool { return y.readyStatus() == http.StatusOK })
	startedAt := time.Now()
	y.waitFor("the part is refused", func() bool {
		return y.sendParts(fmt.Sprintf("%s%d", crashingID, nextRequestID.Add(1)), "a1:100,dead:50,f1:10") == http.StatusUnprocessableEntity
	})
	assert.Assert(t, countCrashingSince(targets, startedAt) <= maxLateRequests)
}
