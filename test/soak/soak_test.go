// Package soak runs router processes between callers and stand-ins, injects
// seeded faults from outside, and checks what callers and targets see.
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
	seeds    = flag.Int("soak", 0, "number of seeds to run by hand")
	seedFrom = flag.Uint64("soak-seed", 1, "first seed")
	length   = flag.Duration("soak-for", 12*time.Second, "time with faults for each seed")
	routers  = flag.Int("soak-routers", 3, "router processes")
	engines  = flag.Int("soak-engines", 4, "stand-in targets")
	callers  = flag.Int("soak-callers", 8, "callers")
)

// failedSeeds are seeds that once failed. Each has a line on the cause.
var failedSeeds = []uint64{}

const (
	// recoverWithin is the time from the end of all faults to service everywhere.
	recoverWithin = 12 * time.Second
	// slack is allowed for the way between the processes of one busy machine.
	slack = 500 * time.Millisecond
)

func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "lacewingwheel")
	out, err := exec.Command("go", "build", "-o", binary, "lacewingwheel.example/lacewingwheel/cmd/lacewingwheel").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return binary
}

// TestSoakShort is the run of CI: one seed, and those that once failed.
func TestSoakShort(t *testing.T) {
	binary := build(t)
	for _, seed := range append([]uint64{1}, failedSeeds...) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soak(t, binary, seed, 6*time.Second) })
	}
}

// TestSoak is the run by hand.
func TestSoak(t *testing.T) {
	if *seeds == 0 {
		t.Skip("run by hand: go test ./test/soak -run 'TestSoak$' -soak 50")
	}
	binary := build(t)
	for i := range uint64(*seeds) {
		seed := *seedFrom + i
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soak(t, binary, seed, *length) })
	}
}

func soak(t *testing.T, binary string, seed uint64, d time.Duration) {
	f := startFleet(t, binary, *routers, *engines)
	c := &checks{t: t, fleet: f, sent: make(map[string]sent)}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range *callers {
		r := rand.New(rand.NewPCG(seed, uint64(i)+1))
		group.Go(func() { c.call(r, i, stop) })
	}
	c.inject(rand.New(rand.NewPCG(seed, 0)), d)
	c.heal()
	healed := time.Now()
	c.awaitService(healed)
	close(stop)
	group.Wait()
	c.judge()
	t.Logf("seed %d: %d requests, %d served, faults: %s", seed, len(c.sent), c.served.Load(), strings.Join(c.faults, ", "))
}

// sent is one request as its caller saw it.
type sent struct {
	path, key string
	at        time.Time
	status    int // zero without a whole answer
	body      string
	router    string
	broken    error
}

// checks holds what callers saw and judges it against what targets saw.
type checks struct {
	t     *testing.T
	fleet *fleet

	mu     sync.Mutex
	sent   map[string]sent
	faults []string
	served atomic.Int64
	nextID atomic.Int64
	// disturbed has the beginnings of faults other than planned work.
	disturbed []time.Time
	stops     []plannedStop
}

// plannedStop is a SIGTERM and whether faults were in force around it.
type plannedStop struct {
	router string
	at     time.Time
	calm   bool
}

var paths = []string{"/once/", "/any/", "/stream/once/", "/stream/any/"}

// call sends requests on a connection that is used until it breaks.
func (c *checks) call(r *rand.Rand, n int, stop chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	at := n
	for {
		select {
		case <-stop:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-time.After(time.Duration(r.IntN(40)) * time.Millisecond):
		}
		x := c.fleet.routers[at%len(c.fleet.routers)]
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", x.caller, time.Second); err != nil {
				conn = nil
				at++
				continue
			}
			reader = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("q-%d", c.nextID.Add(1))
		s := sent{path: paths[r.IntN(len(paths))], key: c.fleet.anyKey(r.IntN(1000)), at: time.Now(), router: x.name}
		keep := c.exchange(conn, reader, id, &s)
		c.mu.Lock()
		c.sent[id] = s
		c.mu.Unlock()
		if s.status == http.StatusOK {
			c.served.Add(1)
		}
		if !keep {
			_ = conn.Close()
			conn = nil
			at = r.IntN(1000)
		}
	}
}

// exchange sends one request and reports whether the connection can be used again.
func (c *checks) exchange(conn net.Conn, reader *bufio.Reader, id string, s *sent) bool {
	const patience = 3500 * time.Millisecond
	_ = conn.SetDeadline(time.Now().Add(patience + time.Second))
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\n"+platformtest.HeaderRequestID+": %s\r\n"+platformtest.HeaderModel+": m\r\n"+platformtest.HeaderDeadline+": %d\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\nhi",
		s.path, id, patience.Milliseconds(), s.key)
	if err != nil {
		s.broken = err
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		s.broken = err
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	s.status, s.body = response.StatusCode, string(body)
	if err != nil {
		s.status, s.broken = 0, err
		return false
	}
	if got := response.Header.Get(platformtest.HeaderRequestID); got != id {
		c.t.Errorf("%s: the answer belongs to %q", id, got)
	}
	return !response.Close
}

// fault is one thing that goes wrong, for a time.
type fault struct {
	name    string
	planned bool
	begin   func(r *rand.Rand) (end func())
}

func (c *checks) kinds() []fault {
	f := c.fleet
	proxyFault := func(name string, pick func(r *rand.Rand) *proxy) fault {
		return fault{name: name, begin: func(r *rand.Rand) func() {
			p, m := pick(r), mode(1+r.IntN(int(oneWay)))
			c.note(name + " " + modeNames[m])
			p.set(m)
			return func() { p.set(pass) }
		}}
	}
	anyRouter := func(r *rand.Rand) *router { return f.routers[r.IntN(len(f.routers))] }
	return []fault{
		proxyFault("store of one router", func(r *rand.Rand) *proxy { return anyRouter(r).store }),
		proxyFault("target", func(r *rand.Rand) *proxy { return f.engines[r.IntN(len(f.engines))].proxy }),
		{name: "store down", begin: func(*rand.Rand) func() {
			f.store.SetFailure(func(*http.Request) int { return http.StatusServiceUnavailable })
			return func() { f.store.SetFailure(nil) }
		}},
		{name: "history gone", begin: func(*rand.Rand) func() { f.store.Compact(); return func() {} }},
		{name: "key withdrawn", planned: true, begin: func(*rand.Rand) func() { f.withdrawKey(); return func() {} }},
		{name: "weights named", planned: true, begin: func(r *rand.Rand) func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.version++
			f.store.Put("versions", "m", map[string]any{"model": "m", "version": f.version})
			return func() {}
		}},
		{name: "paused", begin: func(r *rand.Rand) func() {
			x := anyRouter(r)
			x.signal(syscall.SIGSTOP)
			return func() { x.signal(syscall.SIGCONT) }
		}},
		{name: "killed", begin: func(r *rand.Rand) func() {
			x := anyRouter(r)
			x.signal(syscall.SIGCONT)
			x.signal(syscall.SIGKILL)
			x.await(startWithin)
			return func() { f.start(x) }
		}},
		{name: "stopped", planned: true, begin: func(r *rand.Rand) func() {
			x := anyRouter(r)
			x.signal(syscall.SIGCONT)
			c.stopping(x)
			x.signal(syscall.SIGTERM)
			return func() {
				if !x.await(stopWithin + slack) {
					c.t.Errorf("%s still runs %v after SIGTERM", x.name, stopWithin)
					x.signal(syscall.SIGKILL)
					x.await(startWithin)
				}
				f.start(x)
			}
		}},
		{name: "leaving", planned: true, begin: func(r *rand.Rand) func() {
			// The first target stays, so that requests can be served at the end.
			f.leave(f.engines[1+r.IntN(len(f.engines)-1)])
			return func() {}
		}},
		{name: "settings reloaded", planned: true, begin: func(r *rand.Rand) func() {
			anyRouter(r).signal(syscall.SIGHUP)
			return func() {}
		}},
	}
}

func (c *checks) note(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, name)
}

func (c *checks) stopping(x *router) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops = append(c.stops, plannedStop{router: x.name, at: time.Now(), calm: len(c.disturbed) == 0})
}

// inject runs faults in series that overlap.
func (c *checks) inject(r *rand.Rand, d time.Duration) {
	kinds := c.kinds()
	var group sync.WaitGroup
	busy := make(map[string]bool) // signals to the same process do not overlap
	var mu sync.Mutex
	for end := time.Now().Add(d); time.Now().Before(end); {
		k := kinds[r.IntN(len(kinds))]
		hold := time.Duration(200+r.IntN(3000)) * time.Millisecond
		wait := time.Duration(100+r.IntN(1200)) * time.Millisecond
		process := k.name == "paused" || k.name == "killed" || k.name == "stopped"
		mu.Lock()
		skip := process && busy["process"]
		if process {
			busy["process"] = true
		}
		mu.Unlock()
		if skip {
			time.Sleep(wait)
			continue
		}
		if !k.planned {
			c.mu.Lock()
			c.disturbed = append(c.disturbed, time.Now())
			c.mu.Unlock()
		}
		if k.name != "target" && k.name != "store of one router" {
			c.note(k.name)
		}
		heal := k.begin(r)
		group.Go(func() {
			time.Sleep(hold)
			heal()
			if process {
				mu.Lock()
				busy["process"] = false
				mu.Unlock()
			}
		})
		time.Sleep(wait)
	}
	group.Wait()
}

// heal ends what is left of the faults.
func (c *checks) heal() {
	c.fleet.store.SetFailure(nil)
	for _, x := range c.fleet.routers {
		x.store.set(pass)
		x.signal(syscall.SIGCONT)
	}
	for _, e := range c.fleet.engines {
		e.proxy.set(pass)
	}
}

// awaitService waits until every router serves again.
func (c *checks) awaitService(healed time.Time) {
	for _, x := range c.fleet.routers {
		for {
			s := sent{path: "/any/", key: c.fleet.inForce[len(c.fleet.inForce)-1], at: time.Now(), router: x.name}
			conn, err := net.DialTimeout("tcp4", x.caller, time.Second)
			if err == nil {
				c.exchange(conn, bufio.NewReader(conn), fmt.Sprintf("q-%d", c.nextID.Add(1)), &s)
				_ = conn.Close()
			}
			if s.status == http.StatusOK {
				break
			}
			if time.Since(healed) > recoverWithin {
				c.t.Errorf("%s does not serve %v after the last fault: status %d, %v, %v", x.name, recoverWithin, s.status, s.broken, err)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// judge compares what callers and targets saw.
func (c *checks) judge() {
	runs := make(map[string]int)
	var limited []time.Time // first runs of the limited organisation's requests
	for _, e := range c.fleet.engines {
		e.mu.Lock()
		leftAt := e.leftAt
		e.mu.Unlock()
		for _, seen := range e.Requests() {
			if seen.Header.Get("Authorization") != "" {
				c.t.Errorf("%s: %s got a caller's key", seen.ID, e.ID)
			}
			s, ok := c.sent[seen.ID]
			organisation := "o"
			if s.key == platformtest.LimitedKey {
				organisation = platformtest.LimitedOrganisation
			}
			if got := seen.Header.Get(platformtest.HeaderOrganisation); ok && got != organisation {
				c.t.Errorf("%s: ran for organisation %q, its key is of %q", seen.ID, got, organisation)
			}
			if seen.Body != "hi" {
				c.t.Errorf("%s: body %q", seen.ID, seen.Body)
			}
			if seen.Executed {
				if runs[seen.ID]++; organisation == platformtest.LimitedOrganisation && runs[seen.ID] == 1 {
					limited = append(limited, seen.ReceivedAt)
				}
			}
			if at, withdrawn := c.fleet.withdrawnAt(s.key); ok && seen.Executed && withdrawn && s.at.After(at.Add(revokeWithin)) {
				c.t.Errorf("%s: ran %v after its key was withdrawn", seen.ID, s.at.Sub(at))
			}
			if !leftAt.IsZero() && seen.ReceivedAt.After(leftAt.Add(leaveWithin+slack)) && c.calmSince(leftAt.Add(-4*time.Second), seen.ReceivedAt) {
				c.t.Errorf("%s: %s got it %v after it left", seen.ID, e.ID, seen.ReceivedAt.Sub(leftAt))
			}
		}
	}
	for id, s := range c.sent {
		repeatable := strings.Contains(s.path, "any")
		if runs[id] > 1 && !repeatable {
			c.t.Errorf("%s %s ran %d times", id, s.path, runs[id])
		}
		switch s.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized, http.StatusNotFound:
			if runs[id] > 0 && !repeatable {
				c.t.Errorf("%s %s was refused with %d and ran", id, s.path, s.status)
			}
		case http.StatusOK:
			c.judgeBody(id, s)
		}
		c.judgeStop(id, s)
	}
	if c.served.Load() == 0 {
		c.t.Error("no request was served")
	}
	c.judgeRate(limited)
}

// judgeRate checks that the limited organisation got no more than its rate and
// burst in any window, over all routers.
func (c *checks) judgeRate(runs []time.Time) {
	slices.SortFunc(runs, time.Time.Compare)
	bound := int((platformtest.LimitedRate*quotaWindow.Seconds()+platformtest.LimitedRate)*(1+quotaOverage)) + quotaSlack
	from := 0
	for i, at := range runs {
		for at.Sub(runs[from]) >= quotaWindow {
			from++
		}
		if n := i - from + 1; n > bound {
			c.t.Errorf("%d requests of the limited organisation ran within %v, the bound is %d", n, quotaWindow, bound)
			return
		}
	}
	c.t.Logf("%d requests of the limited organisation ran, at most %d in a window", len(runs), bound)
}

func (c *checks) judgeBody(id string, s sent) {
	want := "answer to " + id
	if strings.HasPrefix(s.path, "/stream") {
		want = ""
		for n := 1; n <= 6; n++ {
			want += fmt.Sprintf("id: %d\ndata: %s event %d\n\n", n, id, n)
		}
	}
	if s.body != want {
		c.t.Errorf("%s %s: body %q", id, s.path, s.body)
	}
}

// judgeStop checks that a planned stop without other faults cuts nothing.
func (c *checks) judgeStop(id string, s sent) {
	if s.broken == nil {
		return
	}
	for _, stop := range c.stops {
		if stop.router != s.router || !stop.calm || s.at.Before(stop.at) || s.at.After(stop.at.Add(2*time.Second)) {
			continue
		}
		if c.calmSince(stop.at.Add(-4*time.Second), s.at.Add(stopWithin)) {
			c.t.Errorf("%s %s: cut %v after a planned stop: %v", id, s.path, s.at.Sub(stop.at), s.broken)
		}
	}
}

// calmSince reports whether no fault began in a span.
func (c *checks) calmSince(from, to time.Time) bool {
	for _, at := range c.disturbed {
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
