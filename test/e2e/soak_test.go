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
	soakDuration = flag.Duration("soak", 20*time.Second, "how long BenchmarkSoak runs")
	soakSeed     = flag.Uint64("soak-seed", 1, "seed of the faults of BenchmarkSoak")
)

const (
	soakRouters     = 4
	soakEngines     = 3
	soakRate        = 1200 // tokens per second; the senders would use more
	soakBurst       = 3000 // tokens
	tokensPerStream = 30
	// convergenceLimit is the time within which an accepted configuration must be
	// in force on all routers.
	convergenceLimit = 15 * time.Second
	// restartLimit is the time within which a restarted router must be ready, also
	// with the platform down if a peer answers.
	restartLimit = 10 * time.Second
	// leaveLimit is the time after which a leaving target must get no new requests.
	leaveLimit = 5 * time.Second
	// drainLimit is longer than every deadline in soakRoutes.
	drainLimit = 20 * time.Second
	otherKey   = "key-of-other"
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

// soakRun is a fleet under traffic and faults, with the results that callers saw.
type soakRun struct {
	*harness.Fleet
	random           *rand.Rand
	options          []harness.RouterOptions
	engines          []*harness.Process
	service          *harness.Process
	generation       uint64 // of the last accepted configuration
	lastFaultyRouter int    // in the current fault pair, -1 for none
	lastFaultyEngine int    // in the current fault pair, -1 for none
	enginesLeft      int    // times that an engine left

	mu            sync.Mutex
	routers       []*harness.Process
	confirmations map[string][]confirmationResult // by request body, one for each time it was sent

	started         time.Time
	deliveredTokens atomic.Int64
	completeStreams atomic.Int64
	failedStreams   atomic.Int64 // ended early with an error that the caller sees
	refusedRequests atomic.Int64 // without a connection or with a status other than 200
}

// confirmationResult is what the caller got for one sending of a confirmation.
type confirmationResult struct {
	succeeded bool
	outcome   apierr.Outcome
}

// BenchmarkSoak sends traffic while random pairs of faults are in force, and checks
// the guarantees by what callers received and what targets recorded. Run with
//
//	go test ./test/e2e -run '^$' -bench Soak -benchtime 1x -timeout 15m -soak 3m -soak-seed 1
func BenchmarkSoak(b *testing.B) {
	for range b.N {
		s := newSoakRun(b)
		stop := make(chan struct{})
		var group sync.WaitGroup
		for n := range 8 {
			random := rand.New(rand.NewPCG(*soakSeed, uint64(n)))
			group.Go(func() { s.sendStreams(b, stop, random, n) })
			group.Go(func() { s.sendConfirmations(stop, random, n) })
		}
		for time.Since(s.started) < *soakDuration {
			s.runFaultPair(b)
		}
		close(stop)
		group.Wait()
		s.checkGuarantees(b)
	}
}

func newSoakRun(b *testing.B) *soakRun {
	s := &soakRun{
		Fleet: harness.StartFleet(b), random: rand.New(rand.NewPCG(*soakSeed, 99)), confirmations: make(map[string][]confirmationResult),
	}
	b.Logf("seed %d", *soakSeed)
	s.generation = 1
	s.changeConfiguration()
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

// changeConfiguration accepts a new generation, in which the key of the previous
// one is replaced.
func (s *soakRun) changeConfiguration() {
	s.generation++
	digest := func(key string) string { return tables.FormatDigest(tables.HashKey(key)) }
	s.PutTables(s.generation, soakRoutes, fmt.Sprintf(soakPools, soakRate, soakBurst, digest(s.APIKey), digest(keyOfGeneration(s.generation)), digest(otherKey)))
}

// keyOfGeneration returns the key key.edit of a generation.
func keyOfGeneration(generation uint64) string { return fmt.Sprint("edit ", generation) }

func (s *soakRun) randomRouter(random *rand.Rand) *harness.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routers[random.IntN(len(s.routers))]
}

// post sends a request with an API key and, unless it is empty, an idempotency key.
// It fails after 15 s.
func (s *soakRun) post(router *harness.Process, path, body, key, idempotencyKey string) (*http.Response, error) {
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

// sendStreams sends streaming requests until stop is closed and checks that each
// stream is complete or ends with an error.
func (s *soakRun) sendStreams(b *testing.B, stop chan struct{}, random *rand.Rand, sender int) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		body := chatBody(fmt.Sprint("sender ", sender, " ", n), tokensPerStream)
		resp, err := s.post(s.randomRouter(random), "/v1/chat/completions", body, s.APIKey, "")
		if err != nil || resp.StatusCode != http.StatusOK {
			s.refusedRequests.Add(1)
			if err == nil {
				resp.Body.Close()
			}
			sleep(20 * time.Millisecond)
			continue
		}
		if err := s.checkStream(body, resp.Body); err != nil {
			b.Errorf("G2, G8: %v", err)
		}
		resp.Body.Close()
	}
}

// checkStream reads a stream and returns an error if events are missing, repeated or
// of another request, or if the stream ends early without an error.
func (s *soakRun) checkStream(body string, r io.Reader) error {
	reader := engine.NewEventReader(r)
	for position := uint64(1); ; position++ {
		event, err := reader.Next()
		if err != nil || strings.Contains(string(event.Data), `"error"`) {
			s.failedStreams.Add(1)
			return nil // the caller sees that the stream failed
		}
		if event.Position != position {
			return fmt.Errorf("event with position %d arrived as number %d of its stream", event.Position, position)
		}
		if event.IsEndMarker() {
			if position != tokensPerStream+1 {
				return fmt.Errorf("stream ended after %d events as if it were complete", position)
			}
			s.completeStreams.Add(1)
			return nil
		}
		if !strings.Contains(string(event.Data), standin.OutputToken([]byte(body), position)) {
			return fmt.Errorf("event %d belongs to another request: %s", position, event.Data)
		}
		s.deliveredTokens.Add(1)
	}
}

// sendConfirmations sends each confirmation one to three times, each time to a
// random router.
func (s *soakRun) sendConfirmations(stop chan struct{}, random *rand.Rand, sender int) {
	for n := 0; ; n++ {
		body := fmt.Sprint("confirmation ", sender, " ", n)
		for range 1 + random.IntN(3) {
			select {
			case <-stop:
				return
			default:
			}
			s.recordResult(body, s.sendConfirmation(random, body))
			sleep(10 * time.Millisecond)
		}
	}
}

// sendConfirmation sends a confirmation once. Its idempotency key is its body.
func (s *soakRun) sendConfirmation(random *rand.Rand, body string) confirmationResult {
	resp, err := s.post(s.randomRouter(random), "/confirm", body, s.APIKey, body)
	if err != nil {
		return confirmationResult{outcome: apierr.OutcomeUnknown}
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return confirmationResult{succeeded: true}
	}
	var doc apierr.ErrorDocument
	if json.NewDecoder(resp.Body).Decode(&doc) != nil {
		return confirmationResult{outcome: apierr.OutcomeUnknown}
	}
	return confirmationResult{outcome: doc.Error.Outcome}
}

func (s *soakRun) recordResult(body string, result confirmationResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmations[body] = append(s.confirmations[body], result)
}

// fault is one kind of fault. start injects it and returns a function that ends
// it.
type fault struct {
	name  string
	start func() func()
}

func (s *soakRun) faultKinds() []fault {
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
		{"engine closes streams early", engineFault(standin.EngineFaults{CutAfterEvents: 7})},
		{"engine responds with a wrong request ID", engineFault(standin.EngineFaults{WrongRequestID: true})},
		{"engine skips an event", engineFault(standin.EngineFaults{SkipEvent: 5})},
		{"engine frozen", engineFault(standin.EngineFaults{Freeze: true})},
		{"engine leaves", s.leaveEngine},
		{"service closes connections after running", func() func() {
			return s.setFaults(s.service, standin.ServiceFaults{CutAfterReading: true}, standin.ServiceFaults{})
		}},
		{"platform down", platformFault(standin.PlatformFaults{Down: true})},
		{"platform slow", platformFault(standin.PlatformFaults{DelayMillis: 300})},
		{"responses to writes lost", platformFault(standin.PlatformFaults{LoseAnswers: 20})},
	}
}

// leaveEngine makes an engine report that it is leaving. The instance list does
// not show it. The function that ends the fault waits for leaveLimit and then
// checks for a second that the engine gets no new requests.
func (s *soakRun) leaveEngine() func() {
	e := s.pickEngine()
	clearFault := s.setFaults(e, standin.EngineFaults{Leaving: true}, standin.EngineFaults{})
	return func() {
		s.enginesLeft++
		sleep(leaveLimit)
		before := s.receivedCount(e)
		sleep(time.Second)
		if after := s.receivedCount(e); after != before {
			s.T.Errorf("G11: a leaving engine got %d new requests", after-before)
		}
		clearFault()
	}
}

// receivedCount returns the number of requests that an engine has received.
func (s *soakRun) receivedCount(e *harness.Process) int {
	var counts standin.EngineCounts
	s.GetJSON(e.Addresses["address"], "/admin/counts", &counts)
	return counts.Received
}

// setFaults sets the faults of a stand-in to on and returns a function that sets
// them to off.
func (s *soakRun) setFaults(p *harness.Process, on, off any) func() {
	s.SendAdminRequest(http.MethodPut, p.Addresses["address"], "/admin/faults", on)
	return func() { s.SendAdminRequest(http.MethodPut, p.Addresses["address"], "/admin/faults", off) }
}

// pickEngine returns an engine without a fault in this pair: setting the faults of
// an engine replaces those that are set.
func (s *soakRun) pickEngine() *harness.Process {
	n := s.random.IntN(soakEngines)
	if n == s.lastFaultyEngine {
		n = (n + 1) % soakEngines
	}
	s.lastFaultyEngine = n
	return s.engines[n]
}

// pickRouter returns the index of a router without a fault in this pair.
func (s *soakRun) pickRouter() int {
	n := s.random.IntN(soakRouters)
	if n == s.lastFaultyRouter {
		n = (n + 1) % soakRouters
	}
	s.lastFaultyRouter = n
	return n
}

func (s *soakRun) killRouter() func() {
	n := s.pickRouter()
	s.routers[n].Kill()
	return func() { s.restartRouter(n) }
}

// restartRouter starts a router again and waits until it is ready.
func (s *soakRun) restartRouter(n int) {
	next := s.StartRouter(s.options[n])
	s.mu.Lock()
	s.routers[n] = next
	s.mu.Unlock()
	harness.WaitStatus(s.T, next, restartLimit, "ready (G3)", func(status server.Status) bool { return status.Ready })
}

// stopRouter sends SIGTERM to a router while requests run. Exit code 0 means that
// it completed all of them.
func (s *soakRun) stopRouter() func() {
	n := s.pickRouter()
	stopped := s.routers[n]
	_ = stopped.Cmd.Process.Signal(syscall.SIGTERM)
	return func() {
		select {
		case <-stopped.Exited:
			if code := stopped.Cmd.ProcessState.ExitCode(); code != 0 {
				s.T.Errorf("G12: a router exited with code %d after SIGTERM", code)
			}
		case <-time.After(drainLimit):
			s.T.Errorf("G12: a router was still running %v after SIGTERM", drainLimit)
			stopped.Kill()
		}
		s.restartRouter(n)
	}
}

func (s *soakRun) freezeRouter() func() {
	frozen := s.routers[s.pickRouter()]
	_ = frozen.Cmd.Process.Signal(syscall.SIGSTOP)
	return func() { _ = frozen.Cmd.Process.Signal(syscall.SIGCONT) }
}

// runFaultPair runs two faults at the same time and then waits until a change of the
// configuration made after them is in force on all routers.
func (s *soakRun) runFaultPair(b *testing.B) {
	s.lastFaultyRouter, s.lastFaultyEngine = -1, -1
	all := s.faultKinds()
	s.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	b.Logf("%6.1f s: %s, %s", time.Since(s.started).Seconds(), all[0].name, all[1].name)
	endFirst := all[0].start()
	sleep(time.Duration(s.random.IntN(1000)) * time.Millisecond)
	endSecond := all[1].start()
	sleep(time.Second + time.Duration(s.random.IntN(2000))*time.Millisecond)
	// The function that ends "engine leaves" needs a fleet without other faults, so
	// it is called last.
	if all[0].name == "engine leaves" {
		endFirst, endSecond = endSecond, endFirst
	}
	endFirst()
	endSecond()
	sleep(200 * time.Millisecond)
	s.changeConfiguration()
	for _, r := range s.routers {
		harness.WaitGeneration(b, r, s.generation, convergenceLimit)
		s.checkKeys(b, r)
	}
}

// checkKeys checks that a router accepts the newest key and refuses the key that
// the last change revoked, a key of another organisation and a missing key.
func (s *soakRun) checkKeys(b *testing.B, r *harness.Process) {
	for _, c := range []struct {
		guarantee, key string
		status         int
	}{
		{"G13", keyOfGeneration(s.generation), http.StatusOK},
		{"G6", keyOfGeneration(s.generation - 1), http.StatusUnauthorized},
		{"G4", otherKey, http.StatusForbidden},
		{"G4", "", http.StatusUnauthorized},
	} {
		resp, err := s.post(r, "/v1/chat/completions", chatBody("keys", 1), c.key, "")
		if err != nil {
			b.Errorf("%s: %v", c.guarantee, err)
			continue
		}
		resp.Body.Close()
		// A request with a valid key may fail for other reasons.
		if authenticated := resp.StatusCode != http.StatusUnauthorized; resp.StatusCode != c.status && (c.status != http.StatusOK || !authenticated) {
			b.Errorf("%s: key %q got status %d, want %d", c.guarantee, c.key, resp.StatusCode, c.status)
		}
	}
	// The same prompt from another organisation, for checkCacheSalts.
	if resp, err := s.post(r, "/v1/completions", chatBody("keys", 1), otherKey, ""); err == nil {
		resp.Body.Close()
	}
}

// checkCacheSalts checks that no two organisations share a cache salt. Each
// organisation has its own path. pathOf collects the path of each salt.
func (s *soakRun) checkCacheSalts(b *testing.B, received []standin.ReceivedRequest, pathOf map[string]string) {
	for _, r := range received {
		salt := r.Header.Get(engine.HeaderCacheSalt)
		if path, ok := pathOf[salt]; ok && path != r.Path {
			b.Errorf("G1: cache salt %q was sent for %s and for %s", salt, path, r.Path)
		}
		pathOf[salt] = r.Path
	}
}

// checkGuarantees compares what callers saw with what targets recorded.
func (s *soakRun) checkGuarantees(b *testing.B) {
	limit := soakBurst + soakRate*time.Since(s.started).Seconds()
	if used := float64(s.deliveredTokens.Load()); used > limit {
		b.Errorf("G7: %.0f tokens delivered, limit %.0f", used, limit)
	}
	var runs map[string]int
	s.GetJSON(s.service.Addresses["address"], "/admin/runs", &runs)
	totalRuns, ranOnce := 0, 0
	for body, results := range s.confirmations {
		anySucceeded, allNotRun := false, true
		for _, c := range results {
			anySucceeded = anySucceeded || c.succeeded
			allNotRun = allNotRun && !c.succeeded && c.outcome == apierr.OutcomeNotRun
		}
		n := runs[body]
		totalRuns += n
		if n == 1 {
			ranOnce++
		}
		if n > 1 {
			b.Errorf("G10: %q ran %d times", body, n)
		}
		if allNotRun && n > 0 {
			b.Errorf("G9: %q ran although its callers got only not_run", body)
		}
		if anySucceeded && n != 1 {
			b.Errorf("G8: %q succeeded for a caller and ran %d times", body, n)
		}
	}
	pathOf := make(map[string]string)
	for _, e := range s.engines {
		var received []standin.ReceivedRequest
		s.GetJSON(e.Addresses["address"], "/admin/received", &received)
		text, err := json.Marshal(received)
		assert.NilError(b, err)
		if strings.Contains(string(text), s.APIKey) {
			b.Errorf("G5: an engine received the API key of a caller")
		}
		s.checkCacheSalts(b, received, pathOf)
	}
	if len(pathOf) != 2 {
		b.Errorf("G1: %d cache salts for two organisations", len(pathOf))
	}
	fmt.Printf("soak seed %d: %d complete streams, %d failed streams, %d refused requests, %d tokens; %d confirmations, %d ran once, %d runs; %d engines left; %d configuration changes\n",
		*soakSeed, s.completeStreams.Load(), s.failedStreams.Load(), s.refusedRequests.Load(), s.deliveredTokens.Load(), len(s.confirmations), ranOnce, totalRuns, s.enginesLeft, s.generation-1)
}
