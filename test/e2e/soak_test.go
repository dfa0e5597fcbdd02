package e2e

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/certs/certstest"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/server"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/test/harness"
)

var (
	soakTime = flag.Duration("soak", 20*time.Second, "how long BenchmarkSoak runs")
	soakSeed = flag.Uint64("soak-seed", 1, "seed of the faults of BenchmarkSoak")
)

const (
	soakRouters = 4
	soakEngines = 3
	soakRate    = 1200 // under what the senders would use without a limit
	soakBurst   = 3000
	soakTokens  = 30 // of each stream
	// soakConverge is the time in which an accepted configuration must be in
	// force everywhere.
	soakConverge = 15 * time.Second
	// soakRestart is the time in which a restarted router must serve, also with
	// the platform down, if a peer answers.
	soakRestart = 10 * time.Second
	// soakLeave is the time after which a leaving target must get no new work.
	soakLeave = 5 * time.Second
	// soakDrain is more than the longest deadline of a route.
	soakDrain = 20 * time.Second
	otherKey  = "key-of-other"
)

const soakRoutes = `[route chat]
path = /v1/chat/completions
pool = demo
organisations = circle
deadline = 10s

[route other]
path = /v1/completions
pool = demo
organisations = other
deadline = 10s

[route confirm]
path = /confirm
pool = booking
repeatable = false
deadline = 5s
`

const soakPools = `[pool demo]
targets = app=engine
model = demo
stall_timeout = 1s

[pool booking]
kind = service
targets = app=booking
stall_timeout = 1s

[organisation circle]
rate = %d
burst = %d
key.first = %s
key.edit = %s

[organisation other]
rate = 1000
burst = 5000
key.first = %s
`

// soak is a fleet under traffic and faults, and what callers saw.
type soak struct {
	*harness.Fleet
	random       *rand.Rand
	options      []harness.RouterOptions
	engines      []*harness.Process
	service      *harness.Process
	edits        uint64
	faulty       int // router with a fault, -1 for none
	faultyEngine int // the same for engines
	left         int // engines that were seen to leave

	mu      sync.Mutex
	routers []*harness.Process
	copies  map[string][]seenCopy // by body of a confirmation

	started time.Time
	tokens  atomic.Int64 // that callers received
	streams atomic.Int64 // whole
	cut     atomic.Int64 // ended with an error
	refused atomic.Int64
}

// seenCopy is how one copy of a confirmation ended for its caller.
type seenCopy struct {
	ok      bool
	outcome apierr.Outcome
}

// BenchmarkSoak runs traffic through random pairs of faults and checks the
// guarantees from what callers received and what targets recorded:
//
//	go test ./test/e2e -run '^$' -bench Soak -benchtime 1x -timeout 15m -soak 3m -soak-seed 1
func BenchmarkSoak(b *testing.B) {
	for range b.N {
		s := newSoak(b)
		stop := make(chan struct{})
		var group sync.WaitGroup
		for n := range 8 {
			random := rand.New(rand.NewPCG(*soakSeed, uint64(n)))
			group.Go(func() { s.stream(b, stop, random, n) })
			group.Go(func() { s.confirm(stop, random, n) })
		}
		for time.Since(s.started) < *soakTime {
			s.faultPair(b)
		}
		close(stop)
		group.Wait()
		s.check(b)
	}
}

func newSoak(b *testing.B) *soak {
	s := &soak{
		Fleet: harness.StartFleet(b), random: rand.New(rand.NewPCG(*soakSeed, 99)), copies: make(map[string][]seenCopy),
	}
	b.Logf("seed %d", *soakSeed)
	s.edits = 1
	s.edit()
	for n := range soakEngines {
		s.engines = append(s.engines, s.StartTarget(fmt.Sprint("engine-", n), objectstore.RoleEngine, "engine", "--token-interval", "3ms"))
	}
	s.service = s.StartTarget("booking-1", objectstore.RoleService, "booking")
	authority := certstest.NewAuthority(b)
	var seeds []string
	for n := range soakRouters {
		o := harness.RouterOptions{ID: fmt.Sprint("r", n), Authority: authority, Seeds: seeds}
		r := s.StartRouter(o)
		o.PeerListen = r.Addresses["peer"]
		harness.WaitReady(b, r)
		seeds = append(seeds[:len(seeds):len(seeds)], o.PeerListen)
		s.options, s.routers = append(s.options, o), append(s.routers, r)
	}
	for n := range s.options {
		s.options[n].Seeds = seeds
	}
	s.started = time.Now()
	return s
}

// edit accepts a configuration with another second key.
func (s *soak) edit() {
	s.edits++
	digest := func(key string) string { return tables.FormatDigest(tables.HashKey(key)) }
	s.PutTables(s.edits, soakRoutes, fmt.Sprintf(soakPools, soakRate, soakBurst, digest(s.APIKey), digest(editKey(s.edits)), digest(otherKey)))
}

func editKey(edit uint64) string { return fmt.Sprint("edit ", edit) }

func (s *soak) router(random *rand.Rand) *harness.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routers[random.IntN(len(s.routers))]
}

func (s *soak) send(router *harness.Process, path, body, key, idempotencyKey string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+router.Addresses["caller"]+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return (&http.Client{Timeout: 15 * time.Second}).Do(req)
}

// stream sends streaming requests. A stream that ends cleanly must be whole.
func (s *soak) stream(b *testing.B, stop chan struct{}, random *rand.Rand, sender int) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		body := chatBody(fmt.Sprint("sender ", sender, " ", n), soakTokens)
		resp, err := s.send(s.router(random), "/v1/chat/completions", body, s.APIKey, "")
		if err != nil || resp.StatusCode != http.StatusOK {
			s.refused.Add(1)
			if err == nil {
				resp.Body.Close()
			}
			pause(20 * time.Millisecond)
			continue
		}
		if err := s.readSoakStream(body, resp.Body); err != nil {
			b.Errorf("G2, G8: %v", err)
		}
		resp.Body.Close()
	}
}

func (s *soak) readSoakStream(body string, r io.Reader) error {
	reader := engine.NewEventReader(r)
	for position := uint64(1); ; position++ {
		event, err := reader.Next()
		if err != nil || strings.Contains(string(event.Data), `"error"`) {
			s.cut.Add(1)
			return nil // cut visibly
		}
		if event.Position != position {
			return fmt.Errorf("event %d came as number %d of its stream", event.Position, position)
		}
		if event.IsEndMarker() {
			if position != soakTokens+1 {
				return fmt.Errorf("a stream of %d events ended as if whole", position)
			}
			s.streams.Add(1)
			return nil
		}
		if !strings.Contains(string(event.Data), standin.OutputToken([]byte(body), position)) {
			return fmt.Errorf("event %d belongs to another request: %s", position, event.Data)
		}
		s.tokens.Add(1)
	}
}

// confirm sends each confirmation up to three times, to any router.
func (s *soak) confirm(stop chan struct{}, random *rand.Rand, sender int) {
	for n := 0; ; n++ {
		body := fmt.Sprint("confirmation ", sender, " ", n)
		for range 1 + random.IntN(3) {
			select {
			case <-stop:
				return
			default:
			}
			s.note(body, s.confirmOnce(random, body))
			pause(10 * time.Millisecond)
		}
	}
}

func (s *soak) confirmOnce(random *rand.Rand, body string) seenCopy {
	resp, err := s.send(s.router(random), "/confirm", body, s.APIKey, body)
	if err != nil {
		return seenCopy{outcome: apierr.OutcomeUnknown}
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return seenCopy{ok: true}
	}
	var doc apierr.ErrorDocument
	if json.NewDecoder(resp.Body).Decode(&doc) != nil {
		return seenCopy{outcome: apierr.OutcomeUnknown}
	}
	return seenCopy{outcome: doc.Error.Outcome}
}

func (s *soak) note(body string, seen seenCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies[body] = append(s.copies[body], seen)
}

// fault starts a fault and returns what ends it.
type fault struct {
	name  string
	start func() func()
}

func (s *soak) faults() []fault {
	platformFault := func(f standin.PlatformFaults) func() func() {
		return func() func() { return s.setFaults(s.Platform, f, standin.PlatformFaults{}) }
	}
	engineFault := func(f standin.EngineFaults) func() func() {
		return func() func() { return s.setFaults(s.pickEngine(), f, standin.EngineFaults{}) }
	}
	return []fault{
		{"router killed and restarted", s.killRouter},
		{"router frozen", s.freezeRouter},
		{"router stopped gracefully and restarted", s.stopRouter},
		{"engine cuts streams", engineFault(standin.EngineFaults{CutAfterEvents: 7})},
		{"engine answers with another id", engineFault(standin.EngineFaults{WrongRequestID: true})},
		{"engine leaves out an event", engineFault(standin.EngineFaults{SkipEvent: 5})},
		{"engine frozen", engineFault(standin.EngineFaults{Freeze: true})},
		{"engine leaves", s.leave},
		{"service cuts after running", func() func() {
			return s.setFaults(s.service, standin.ServiceFaults{CutAfterReading: true}, standin.ServiceFaults{})
		}},
		{"platform down", platformFault(standin.PlatformFaults{Down: true})},
		{"platform slow", platformFault(standin.PlatformFaults{DelayMillis: 300})},
		{"answers of writes lost", platformFault(standin.PlatformFaults{LoseAnswers: 20})},
	}
}

// leave lets an engine say that it is leaving. The instance list never shows it.
// At the end it must have had no new work since soakLeave after the last fault.
func (s *soak) leave() func() {
	e := s.pickEngine()
	back := s.setFaults(e, standin.EngineFaults{Leaving: true}, standin.EngineFaults{})
	return func() {
		s.left++
		pause(soakLeave)
		before := s.received(e)
		pause(time.Second)
		if after := s.received(e); after != before {
			s.T.Errorf("G11: a leaving engine got %d requests", after-before)
		}
		back()
	}
}

// received returns how many requests an engine has seen in all.
func (s *soak) received(e *harness.Process) int {
	var counts standin.EngineCounts
	s.GetJSON(e.Addresses["address"], "/admin/counts", &counts)
	return counts.Received
}

func (s *soak) setFaults(p *harness.Process, on, off any) func() {
	s.SendAdminRequest(http.MethodPut, p.Addresses["address"], "/admin/faults", on)
	return func() { s.SendAdminRequest(http.MethodPut, p.Addresses["address"], "/admin/faults", off) }
}

// pickEngine picks an engine that has no fault yet in this pair: the faults of
// an engine replace each other.
func (s *soak) pickEngine() *harness.Process {
	n := s.random.IntN(soakEngines)
	if n == s.faultyEngine {
		n = (n + 1) % soakEngines
	}
	s.faultyEngine = n
	return s.engines[n]
}

// pickRouter picks a router that has no fault yet in this pair.
func (s *soak) pickRouter() int {
	n := s.random.IntN(soakRouters)
	if n == s.faulty {
		n = (n + 1) % soakRouters
	}
	s.faulty = n
	return n
}

func (s *soak) killRouter() func() {
	n := s.pickRouter()
	s.routers[n].Kill()
	return func() { s.restart(n) }
}

// restart starts a router again and waits until it serves.
func (s *soak) restart(n int) {
	next := s.StartRouter(s.options[n])
	s.mu.Lock()
	s.routers[n] = next
	s.mu.Unlock()
	harness.WaitStatus(s.T, next, soakRestart, "ready (G3)", func(status server.Status) bool { return status.Ready })
}

// stopRouter stops a router while requests run. It must not give up on any.
func (s *soak) stopRouter() func() {
	n := s.pickRouter()
	stopped := s.routers[n]
	_ = stopped.Cmd.Process.Signal(syscall.SIGTERM)
	return func() {
		select {
		case <-stopped.Exited:
			if code := stopped.Cmd.ProcessState.ExitCode(); code != 0 {
				s.T.Errorf("G12: a router that was stopped gracefully ended with code %d", code)
			}
		case <-time.After(soakDrain):
			s.T.Errorf("G12: a router was still running %v after it was told to stop", soakDrain)
			stopped.Kill()
		}
		s.restart(n)
	}
}

func (s *soak) freezeRouter() func() {
	frozen := s.routers[s.pickRouter()]
	_ = frozen.Cmd.Process.Signal(syscall.SIGSTOP)
	return func() { _ = frozen.Cmd.Process.Signal(syscall.SIGCONT) }
}

// faultPair runs two faults at a time and then waits until an edit made after
// them is in force everywhere.
func (s *soak) faultPair(b *testing.B) {
	s.faulty, s.faultyEngine = -1, -1
	all := s.faults()
	s.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	b.Logf("%6.1f s: %s, %s", time.Since(s.started).Seconds(), all[0].name, all[1].name)
	first := all[0].start()
	pause(time.Duration(s.random.IntN(1000)) * time.Millisecond)
	second := all[1].start()
	pause(time.Second + time.Duration(s.random.IntN(2000))*time.Millisecond)
	// The end of "engine leaves" checks a quiet fleet, so it comes last.
	if all[0].name == "engine leaves" {
		first, second = second, first
	}
	first()
	second()
	pause(200 * time.Millisecond)
	s.edit()
	for _, r := range s.routers {
		harness.WaitGeneration(b, r, s.edits, soakConverge)
		s.checkKeys(b, r)
	}
}

// checkKeys checks that a router refuses the key that the last edit revoked, the
// key of another organisation and no key, and knows the newest.
func (s *soak) checkKeys(b *testing.B, r *harness.Process) {
	for _, c := range []struct {
		guarantee, key string
		status         int
	}{
		{"G13", editKey(s.edits), http.StatusOK},
		{"G6", editKey(s.edits - 1), http.StatusUnauthorized},
		{"G4", otherKey, http.StatusForbidden},
		{"G4", "", http.StatusUnauthorized},
	} {
		resp, err := s.send(r, "/v1/chat/completions", chatBody("keys", 1), c.key, "")
		if err != nil {
			b.Errorf("%s: %v", c.guarantee, err)
			continue
		}
		resp.Body.Close()
		// A request with a valid key may be refused for other reasons.
		if known := resp.StatusCode != http.StatusUnauthorized; resp.StatusCode != c.status && (c.status != http.StatusOK || !known) {
			b.Errorf("%s: key %q got status %d, want %d", c.guarantee, c.key, resp.StatusCode, c.status)
		}
	}
	// The same prompt of another organisation, for the check of the salts.
	if resp, err := s.send(r, "/v1/completions", chatBody("keys", 1), otherKey, ""); err == nil {
		resp.Body.Close()
	}
}

// checkSalts checks that no cache salt is used by two organisations. Each has a
// path of its own.
func (s *soak) checkSalts(b *testing.B, received []standin.ReceivedRequest, pathOf map[string]string) {
	for _, r := range received {
		salt := r.Header.Get(engine.HeaderCacheSalt)
		if path, ok := pathOf[salt]; ok && path != r.Path {
			b.Errorf("G1: cache salt %q was sent for %s and for %s", salt, path, r.Path)
		}
		pathOf[salt] = r.Path
	}
}

// check compares what callers saw with what targets recorded.
func (s *soak) check(b *testing.B) {
	limit := soakBurst + soakRate*time.Since(s.started).Seconds()
	if used := float64(s.tokens.Load()); used > limit {
		b.Errorf("G7: %.0f tokens delivered, limit %.0f", used, limit)
	}
	var runs map[string]int
	s.GetJSON(s.service.Addresses["address"], "/admin/runs", &runs)
	ran, once := 0, 0
	for body, copies := range s.copies {
		anyOK, allNotRun := false, true
		for _, c := range copies {
			anyOK = anyOK || c.ok
			allNotRun = allNotRun && !c.ok && c.outcome == apierr.OutcomeNotRun
		}
		n := runs[body]
		ran += n
		if n == 1 {
			once++
		}
		if n > 1 {
			b.Errorf("G10: %q ran %d times", body, n)
		}
		if allNotRun && n > 0 {
			b.Errorf("G9: %q ran although each copy was told not_run", body)
		}
		if anyOK && n != 1 {
			b.Errorf("G8: %q was confirmed and ran %d times", body, n)
		}
	}
	pathOf := make(map[string]string)
	for _, e := range s.engines {
		var received []standin.ReceivedRequest
		s.GetJSON(e.Addresses["address"], "/admin/received", &received)
		text, err := json.Marshal(received)
		assert.NilError(b, err)
		if strings.Contains(string(text), s.APIKey) {
			b.Errorf("G5: an engine received the key")
		}
		s.checkSalts(b, received, pathOf)
	}
	if len(pathOf) != 2 {
		b.Errorf("G1: %d cache salts for two organisations", len(pathOf))
	}
	fmt.Printf("soak seed %d: %d whole streams, %d cut visibly, %d refused, %d tokens; %d confirmations, %d ran once, %d runs; %d engines left; %d edits\n",
		*soakSeed, s.streams.Load(), s.cut.Load(), s.refused.Load(), s.tokens.Load(), len(s.copies), once, ran, s.left, s.edits-1)
}
