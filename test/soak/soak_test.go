// Package soak runs router processes between callers and stand-in targets,
// injects faults chosen by a seed, and compares what callers and targets saw.
package soak

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

var (
	seedCount   = flag.Int("soak", 0, "number of seeds to run by hand")
	firstSeed   = flag.Uint64("soak-seed", 1, "first seed")
	faultPeriod = flag.Duration("soak-for", 12*time.Second, "time with faults for each seed")
	routerCount = flag.Int("soak-routers", 3, "router processes")
	targetCount = flag.Int("soak-engines", 4, "stand-in targets")
	callerCount = flag.Int("soak-callers", 8, "callers")
)

// failedSeeds are seeds that failed before and run again as regression tests.
// Each has a comment with the cause.
var failedSeeds = []uint64{}

const (
	// recoveryLimit is the time after the last fault within which every router
	// must serve again.
	recoveryLimit = 12 * time.Second
	// schedulingSlack is added to limits because all processes share one machine.
	schedulingSlack = 500 * time.Millisecond
)

func buildRouter(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "lacewingwheel")
	out, err := exec.Command("go", "build", "-o", binary, "lacewingwheel.example/lacewingwheel/cmd/lacewingwheel").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return binary
}

// restoreSeed is a seed whose first faults include a restore of the store.
const restoreSeed = 1601

// TestSoakShort runs in CI: two seeds, and those in failedSeeds.
func TestSoakShort(t *testing.T) {
	binary := buildRouter(t)
	for _, seed := range append([]uint64{1, restoreSeed}, failedSeeds...) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSoak(t, binary, seed, 6*time.Second) })
	}
}

// TestSoak runs any number of seeds. It is started by hand.
func TestSoak(t *testing.T) {
	if *seedCount == 0 {
		t.Skip("run by hand: go test ./test/soak -run 'TestSoak$' -soak 50")
	}
	binary := buildRouter(t)
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSoak(t, binary, seed, *faultPeriod) })
	}
}

// runSoak starts a fleet and its callers, injects faults for d, waits until all
// routers serve again, and then checks what callers and targets saw.
func runSoak(t *testing.T, binary string, seed uint64, d time.Duration) {
	f := startFleet(t, binary, *routerCount, *targetCount)
	c := &checker{t: t, fleet: f, requests: make(map[string]sentRequest)}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range *callerCount {
		r := rand.New(rand.NewPCG(seed, uint64(i)+1))
		group.Go(func() { c.runCaller(r, i, stop) })
	}
	c.injectFaults(rand.New(rand.NewPCG(seed, 0)), d)
	c.clearFaults()
	clearedAt := time.Now()
	c.awaitRecovery(clearedAt)
	close(stop)
	group.Wait()
	c.check()
	t.Logf("seed %d: %d requests, %d served, faults: %s", seed, len(c.requests), c.served.Load(), strings.Join(c.faults, ", "))
}

// sentRequest is one request and its result as its caller saw them.
type sentRequest struct {
	path, key  string
	sentAt     time.Time
	answeredAt time.Time
	status     int // zero without a complete response
	body       string
	routerName string
	// routerStart counts the processes of the router up to the one that had the request.
	routerStart int64
	err         error // the connection failed
}

// checker records what callers saw and checks it against what targets saw.
type checker struct {
	t     *testing.T
	fleet *fleet

	mu       sync.Mutex
	requests map[string]sentRequest // by request ID
	faults   []string
	served   atomic.Int64
	nextID   atomic.Int64
	// faultStarts has the start times of faults, without planned operations such
	// as stops and configuration changes.
	faultStarts []time.Time
	stops       []plannedStop
}

// plannedStop is a SIGTERM sent to a router.
type plannedStop struct {
	routerName    string
	signalledAt   time.Time
	noFaultBefore bool // no fault was injected before the signal
}

// paths are the paths of the routes in fleet.writeConfiguration. Requests to those
// with "any" are repeatable.
var paths = []string{"/once/", "/any/", "/stream/once/", "/stream/any/"}

// runCaller sends requests until stop is closed. It keeps its connection until
// that fails or the router closes it, and then connects to a random router.
func (c *checker) runCaller(r *rand.Rand, n int, stop chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	routerIndex := n
	for {
		select {
		case <-stop:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-time.After(time.Duration(r.IntN(40)) * time.Millisecond):
		}
		x := c.fleet.routers[routerIndex%len(c.fleet.routers)]
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", x.callerAddress, time.Second); err != nil {
				conn = nil
				routerIndex++
				continue
			}
			reader = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("q-%d", c.nextID.Add(1))
		s := sentRequest{path: paths[r.IntN(len(paths))], key: c.fleet.pickKey(r.IntN(1000)), sentAt: time.Now(), routerName: x.name, routerStart: x.starts.Load()}
		reusable := c.sendRequest(conn, reader, id, &s)
		s.answeredAt = time.Now()
		c.mu.Lock()
		c.requests[id] = s
		c.mu.Unlock()
		if s.status == http.StatusOK {
			c.served.Add(1)
		}
		if !reusable {
			_ = conn.Close()
			conn = nil
			routerIndex = r.IntN(1000)
		}
	}
}

// sendRequest sends one request, stores its result in s and reports whether the
// connection can be reused.
func (c *checker) sendRequest(conn net.Conn, reader *bufio.Reader, id string, s *sentRequest) bool {
	const requestDeadline = 3500 * time.Millisecond
	_ = conn.SetDeadline(time.Now().Add(requestDeadline + time.Second))
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\n"+platformtest.HeaderRequestID+": %s\r\n"+platformtest.HeaderModel+": m\r\n"+platformtest.HeaderDeadline+": %d\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\nhi",
		s.path, id, requestDeadline.Milliseconds(), s.key)
	if err != nil {
		s.err = err
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		s.err = err
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	s.status, s.body = response.StatusCode, string(body)
	if err != nil {
		s.status, s.err = 0, err
		return false
	}
	if got := response.Header.Get(platformtest.HeaderRequestID); got != id {
		c.t.Errorf("request %s: the response has request ID %q", id, got)
	}
	return !response.Close
}

// fault is one kind of fault or planned operation. begin starts it and returns a
// function that ends it.
type fault struct {
	name    string
	planned bool // an operation that must not disturb callers
	begin   func(r *rand.Rand) (end func())
}

func (c *checker) faultKinds() []fault {
	f := c.fleet
	proxyFault := func(name string, pick func(r *rand.Rand) *proxy) fault {
		return fault{name: name, begin: func(r *rand.Rand) func() {
			p, m := pick(r), proxyMode(1+r.IntN(int(modeDropResponses)))
			c.recordFault(name + " " + modeNames[m])
			p.setMode(m)
			return func() { p.setMode(modePass) }
		}}
	}
	anyRouter := func(r *rand.Rand) *router { return f.routers[r.IntN(len(f.routers))] }
	return []fault{
		proxyFault("store of one router", func(r *rand.Rand) *proxy { return anyRouter(r).storeProxy }),
		proxyFault("target", func(r *rand.Rand) *proxy { return f.targets[r.IntN(len(f.targets))].proxy }),
		{name: "store down", begin: func(*rand.Rand) func() {
			f.store.SetFailure(func(*http.Request) int { return http.StatusServiceUnavailable })
			return func() { f.store.SetFailure(nil) }
		}},
		{name: "store restored", begin: func(r *rand.Rand) func() { return f.restoreStore(r) }},
		{name: "store history compacted", begin: func(*rand.Rand) func() { f.store.Compact(); return func() {} }},
		{name: "key revoked", planned: true, begin: func(*rand.Rand) func() { f.revokeKey(); return func() {} }},
		{name: "weight version changed", planned: true, begin: func(*rand.Rand) func() { f.nameWeights(); return func() {} }},
		{name: "router paused", begin: func(r *rand.Rand) func() {
			x := anyRouter(r)
			x.signal(syscall.SIGSTOP)
			return func() { x.signal(syscall.SIGCONT) }
		}},
		{name: "router killed", begin: func(r *rand.Rand) func() {
			x := anyRouter(r)
			x.signal(syscall.SIGCONT)
			x.signal(syscall.SIGKILL)
			x.awaitExit(startLimit)
			return func() { f.startRouter(x) }
		}},
		{name: "router stopped", planned: true, begin: func(r *rand.Rand) func() {
			x := anyRouter(r)
			x.signal(syscall.SIGCONT)
			c.recordStop(x)
			x.signal(syscall.SIGTERM)
			// A router takes longer than that to stop, so that no other process gets them.
			const latestRepeat = 2000
			for _, again := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
				time.AfterFunc(time.Duration(r.IntN(latestRepeat))*time.Millisecond, func() { x.signal(again) })
			}
			return func() {
				if !x.awaitExit(stopLimit + schedulingSlack) {
					c.t.Errorf("router %s is still running %v after SIGTERM", x.name, stopLimit)
					x.signal(syscall.SIGKILL)
					x.awaitExit(startLimit)
				}
				f.startRouter(x)
			}
		}},
		{name: "target leaving", planned: true, begin: func(r *rand.Rand) func() {
			// The first target never leaves: the last check needs one that serves.
			f.announceLeaving(f.targets[1+r.IntN(len(f.targets)-1)])
			return func() {}
		}},
		{name: "target says that it leaves", planned: true, begin: func(r *rand.Rand) func() {
			e := f.targets[1+r.IntN(len(f.targets)-1)]
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.saysLeavingSince.IsZero() {
				e.saysLeavingSince = time.Now()
				e.SetLeaving(true)
			}
			return func() {}
		}},
		{name: "target asks for a pause", planned: true, begin: func(r *rand.Rand) func() {
			e, pause := f.targets[r.IntN(len(f.targets))], []string{"0.3", "1", "soon", "-1"}[r.IntN(4)]
			e.SetFaults(func(int, string) platformtest.Fault { return platformtest.Fault{Refuse: true, RetryAfter: pause} })
			return func() { e.SetFaults(nil) }
		}},
		{name: "settings reloaded", planned: true, begin: func(r *rand.Rand) func() {
			anyRouter(r).signal(syscall.SIGHUP)
			return func() {}
		}},
	}
}

func (c *checker) recordFault(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, name)
}

func (c *checker) recordStop(x *router) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops = append(c.stops, plannedStop{routerName: x.name, signalledAt: time.Now(), noFaultBefore: len(c.faultStarts) == 0})
}

// injectFaults starts random faults for a period and returns when the last has
// ended. Faults overlap.
func (c *checker) injectFaults(r *rand.Rand, d time.Duration) {
	kinds := c.faultKinds()
	var group sync.WaitGroup
	inUse := make(map[string]bool) // "process": at most one signal fault at a time
	var mu sync.Mutex
	for end := time.Now().Add(d); time.Now().Before(end); {
		k := kinds[r.IntN(len(kinds))]
		duration := time.Duration(200+r.IntN(3000)) * time.Millisecond
		wait := time.Duration(100+r.IntN(1200)) * time.Millisecond
		onProcess := k.name == "router paused" || k.name == "router killed" || k.name == "router stopped"
		mu.Lock()
		skip := onProcess && inUse["process"]
		if onProcess {
			inUse["process"] = true
		}
		mu.Unlock()
		if skip {
			time.Sleep(wait)
			continue
		}
		if !k.planned {
			c.mu.Lock()
			c.faultStarts = append(c.faultStarts, time.Now())
			c.mu.Unlock()
		}
		if k.name != "target" && k.name != "store of one router" {
			c.recordFault(k.name)
		}
		endFault := k.begin(r)
		group.Go(func() {
			time.Sleep(duration)
			endFault()
			if onProcess {
				mu.Lock()
				inUse["process"] = false
				mu.Unlock()
			}
		})
		time.Sleep(wait)
	}
	group.Wait()
}

// clearFaults removes the faults that are still in force.
func (c *checker) clearFaults() {
	c.fleet.store.SetFailure(nil)
	for _, x := range c.fleet.routers {
		x.storeProxy.setMode(modePass)
		x.signal(syscall.SIGCONT)
	}
	for _, e := range c.fleet.targets {
		e.proxy.setMode(modePass)
	}
}

// awaitRecovery waits until every router serves again.
func (c *checker) awaitRecovery(clearedAt time.Time) {
	for _, x := range c.fleet.routers {
		for {
			s := sentRequest{path: "/any/", key: c.fleet.activeKeys[len(c.fleet.activeKeys)-1], sentAt: time.Now(), routerName: x.name}
			conn, err := net.DialTimeout("tcp4", x.callerAddress, time.Second)
			if err == nil {
				c.sendRequest(conn, bufio.NewReader(conn), fmt.Sprintf("q-%d", c.nextID.Add(1)), &s)
				_ = conn.Close()
			}
			if s.status == http.StatusOK {
				break
			}
			if time.Since(clearedAt) > recoveryLimit {
				c.t.Errorf("router %s does not serve %v after the last fault: status %d, request error %v, dial error %v", x.name, recoveryLimit, s.status, s.err, err)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// check compares what callers saw with what targets recorded.
func (c *checker) check() {
	runs := make(map[string]int)
	var limitedRuns []time.Time // first run of each request of the rate-limited organisation
	for _, e := range c.fleet.targets {
		e.mu.Lock()
		leavingSince, saysLeavingSince := e.leavingSince, e.saysLeavingSince
		e.mu.Unlock()
		c.checkLeavingInResponses(e, saysLeavingSince)
		for _, received := range e.Requests() {
			if received.Header.Get("Authorization") != "" {
				c.t.Errorf("request %s: target %s received the API key of the caller", received.ID, e.ID)
			}
			s, ok := c.requests[received.ID]
			organisation := "o"
			if s.key == platformtest.LimitedKey {
				organisation = platformtest.LimitedOrganisation
			}
			if got := received.Header.Get(platformtest.HeaderOrganisation); ok && got != organisation {
				c.t.Errorf("request %s: ran for organisation %q, its key belongs to %q", received.ID, got, organisation)
			}
			if received.Body != "hi" {
				c.t.Errorf("request %s: target received body %q", received.ID, received.Body)
			}
			if received.Executed {
				if runs[received.ID]++; organisation == platformtest.LimitedOrganisation && runs[received.ID] == 1 {
					limitedRuns = append(limitedRuns, received.ReceivedAt)
				}
			}
			if at, revoked := c.fleet.revokedAt(s.key); ok && received.Executed && revoked && s.sentAt.After(at.Add(revocationLimit)) {
				c.t.Errorf("request %s: was sent %v after its key was revoked, and ran", received.ID, s.sentAt.Sub(at))
			}
			if !leavingSince.IsZero() && received.ReceivedAt.After(leavingSince.Add(leaveLimit+schedulingSlack)) && c.noFaultBetween(leavingSince.Add(-4*time.Second), received.ReceivedAt) {
				c.t.Errorf("request %s: target %s received it %v after it announced that it is leaving", received.ID, e.ID, received.ReceivedAt.Sub(leavingSince))
			}
		}
	}
	for id, s := range c.requests {
		repeatable := strings.Contains(s.path, "any")
		if runs[id] > 1 && !repeatable {
			c.t.Errorf("request %s %s ran %d times", id, s.path, runs[id])
		}
		switch s.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized, http.StatusNotFound:
			if runs[id] > 0 && !repeatable {
				c.t.Errorf("request %s %s was refused with status %d but ran", id, s.path, s.status)
			}
		case http.StatusOK:
			c.checkBody(id, s)
		}
		c.checkGracefulStop(id, s)
	}
	if c.served.Load() == 0 {
		c.t.Error("no request was served")
	}
	c.checkRateLimit(limitedRuns)
	c.checkOrderTokens()
	c.checkNoKeyReturns(runs)
}

// checkLeavingInResponses checks that each router process sent a target that says that
// it leaves no more requests than it had under way when it got the first response.
func (c *checker) checkLeavingInResponses(e *proxiedTarget, since time.Time) {
	if since.IsZero() {
		return
	}
	late := 0
	for _, received := range e.Requests() {
		if received.ReceivedAt.After(since) {
			late++
		}
	}
	if most := int(c.fleet.routerStarts.Load()) * *callerCount; late > most {
		c.t.Errorf("target %s received %d requests after it said that it leaves, at most %d were under way", e.ID, late, most)
	}
}

// checkRateLimit checks that the requests of the rate-limited organisation stayed
// within rate and burst in every window, over all routers.
func (c *checker) checkRateLimit(runs []time.Time) {
	slices.SortFunc(runs, time.Time.Compare)
	limit := int((platformtest.LimitedRate*quotaWindow.Seconds()+platformtest.LimitedRate)*(1+quotaOverage)) + quotaSlack
	from := 0
	for i, at := range runs {
		for at.Sub(runs[from]) >= quotaWindow {
			from++
		}
		if n := i - from + 1; n > limit {
			c.t.Errorf("%d requests of the rate-limited organisation ran within %v, the limit is %d", n, quotaWindow, limit)
			return
		}
	}
	c.t.Logf("%d requests of the rate-limited organisation ran, limit %d per window", len(runs), limit)
}

func (c *checker) checkBody(id string, s sentRequest) {
	want := "answer to " + id
	if strings.HasPrefix(s.path, "/stream") {
		want = ""
		for n := 1; n <= 6; n++ {
			want += fmt.Sprintf("id: %d\ndata: %s event %d\n\n", n, id, n)
		}
	}
	if s.body != want {
		c.t.Errorf("request %s %s: caller received body %q", id, s.path, s.body)
	}
}

// checkGracefulStop reports a request that failed during a planned stop although
// no fault was in force.
func (c *checker) checkGracefulStop(id string, s sentRequest) {
	if s.err == nil {
		return
	}
	for _, stop := range c.stops {
		if stop.routerName != s.routerName || !stop.noFaultBefore || s.sentAt.Before(stop.signalledAt) || s.sentAt.After(stop.signalledAt.Add(2*time.Second)) {
			continue
		}
		if c.noFaultBetween(stop.signalledAt.Add(-4*time.Second), s.sentAt.Add(stopLimit)) {
			c.t.Errorf("request %s %s: failed, sent %v after SIGTERM to its router: %v", id, s.path, s.sentAt.Sub(stop.signalledAt), s.err)
		}
	}
}

// noFaultBetween reports whether no fault started between from and to, or within
// 4 s before from.
func (c *checker) noFaultBetween(from, to time.Time) bool {
	for _, at := range c.faultStarts {
		if at.Add(4*time.Second).After(from) && at.Before(to) {
			return false
		}
	}
	return true
}

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}
