package e2e

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lacewingwheel.example/lacewingwheel/pkg/certs/certstest"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
	"lacewingwheel.example/lacewingwheel/pkg/server"
	"lacewingwheel.example/lacewingwheel/test/harness"
)

// Guards G13: each accepted configuration comes into force on all instances. An
// instance that cannot reach the platform must get its configuration, its targets
// and every change from a peer.
func TestConfigurationThroughPeer(t *testing.T) {
	f := harness.StartFleet(t)
	authority := certstest.NewAuthority(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine")
	r1 := f.StartRouter(harness.RouterOptions{ID: "r1", Authority: authority})
	r2 := f.StartRouter(harness.RouterOptions{ID: "r2", Authority: authority, PlatformAddress: harness.UnusedAddress(t), Seeds: []string{r1.Addresses["peer"]}})
	// Only r1 can hold quota shares, from which r2 borrows.
	harness.WaitReady(t, r1)
	harness.WaitReady(t, r2)
	body := chatBody("hello", 5)
	readStream(t, body, f.Post(r2, "/v1/chat/completions", body).Body, 5)
	for generation := uint64(2); generation <= 4; generation++ {
		f.PutTables(generation, harness.RoutesTable, harness.PoolsWithKey(f.APIKey))
		harness.WaitGeneration(t, r2, generation, 5*time.Second)
	}
	status, err := harness.ReadStatus(r2)
	assert.NilError(t, err)
	assert.Equal(t, len(status.Peers), 1)
	assert.Equal(t, status.Peers[0].ID, "r1")
}

// revocationLimit is the time that G6 allows for a revocation.
const revocationLimit = 5 * time.Second

// Guards G6: a revoked key stops working on all instances, also for running
// streams. The platform goes down just after the revocation, when only one
// instance has read it; the others must get it from peers.
func TestRevocationDuringOutage(t *testing.T) {
	f := harness.StartFleet(t)
	authority := certstest.NewAuthority(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine", "--token-interval", "20ms")
	r1 := f.StartRouter(harness.RouterOptions{ID: "r1", Authority: authority})
	routers := []*harness.Process{r1}
	for _, id := range []string{"r2", "r3", "r4"} {
		routers = append(routers, f.StartRouter(harness.RouterOptions{
			ID: id, Authority: authority, PlatformAddress: harness.UnusedAddress(t), Seeds: []string{routers[len(routers)-1].Addresses["peer"]},
		}))
	}
	var streams []*http.Response
	for _, r := range routers {
		harness.WaitReady(t, r)
		streams = append(streams, f.Post(r, "/v1/chat/completions", chatBody("long", 100_000)))
	}
	f.PutTables(2, harness.RoutesTable, harness.PoolsWithKey("another key"))
	accepted := time.Now()
	harness.WaitGeneration(t, r1, 2, revocationLimit)
	f.SetPlatformDown(true)
	for i, r := range routers {
		harness.WaitGeneration(t, r, 2, revocationLimit)
		assert.Equal(t, f.Post(r, "/v1/chat/completions", chatBody("new", 1)).StatusCode, http.StatusUnauthorized)
		code, done := readLastEvent(t, streams[i].Body)
		assert.Assert(t, !done && strings.Contains(code, "key_revoked"), "%s", code)
	}
	elapsed := time.Since(accepted)
	t.Logf("key revoked on %d instances %v after the configuration was accepted", len(routers), elapsed)
	assert.Assert(t, elapsed < revocationLimit, "%v", elapsed)
}

// readLastEvent reads a stream to its end. It returns the data of the last event
// and whether that is the end marker.
func readLastEvent(t *testing.T, r io.Reader) (string, bool) {
	t.Helper()
	reader := engine.NewEventReader(r)
	var last engine.StreamEvent
	for {
		event, err := reader.Next()
		if err != nil {
			return string(last.Data), last.IsEndMarker()
		}
		last = event
	}
}

// Guards G3: a restarted instance serves during a platform outage. All instances
// but one are killed and restarted at the same time; they must get configuration
// and targets from the remaining one, whether the platform refuses calls or does
// not respond.
func TestSimultaneousRestartDuringOutage(t *testing.T) {
	t.Run("platform refuses", func(t *testing.T) {
		testSimultaneousRestart(t, func(f *harness.Fleet) { f.SetPlatformDown(true) })
	})
	t.Run("platform is frozen", func(t *testing.T) {
		testSimultaneousRestart(t, func(f *harness.Fleet) { f.Platform.Signal(t, syscall.SIGSTOP) })
	})
}

func testSimultaneousRestart(t *testing.T, breakPlatform func(*harness.Fleet)) {
	f := harness.StartFleet(t)
	authority := certstest.NewAuthority(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine")
	const instances = 6
	var options []harness.RouterOptions
	var routers []*harness.Process
	var seeds []string
	for n := range instances {
		o := harness.RouterOptions{ID: fmt.Sprint("r", n), Authority: authority, Seeds: seeds}
		r := f.StartRouter(o)
		o.PeerListen = r.Addresses["peer"]
		if n == 0 {
			// The instance that is not killed holds the quota shares. Shares of
			// killed instances cannot be taken over without the platform, so the
			// restarted instances borrow tokens from the remaining one.
			harness.WaitReady(t, r)
		}
		seeds = append(seeds[:len(seeds):len(seeds)], o.PeerListen)
		options, routers = append(options, o), append(routers, r)
	}
	f.PutTables(2, harness.RoutesTable, harness.PoolsWithKey(f.APIKey))
	for _, r := range routers {
		harness.WaitReady(t, r)
		harness.WaitGeneration(t, r, 2, 5*time.Second)
	}
	breakPlatform(f)
	for _, r := range routers[1:] {
		r.Kill()
	}
	started := time.Now()
	for n := 1; n < instances; n++ {
		options[n].Seeds = seeds
		routers[n] = f.StartRouter(options[n])
	}
	for _, r := range routers[1:] {
		harness.WaitReady(t, r)
		harness.WaitGeneration(t, r, 2, time.Second)
		body := chatBody("hello", 5)
		readStream(t, body, f.Post(r, "/v1/chat/completions", body).Body, 5)
	}
	elapsed := time.Since(started)
	t.Logf("%d instances served %v after the first was started", instances-1, elapsed)
	assert.Assert(t, elapsed < 10*time.Second, "%v", elapsed)
}

// Guards G13: the configuration generation never decreases. A peer offers and
// answers with an old generation; the instance must keep its own. It must also
// reject a message of unknown type and keep running.
func TestLowerGenerationIsIgnored(t *testing.T) {
	f := harness.StartFleet(t)
	authority := certstest.NewAuthority(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine")
	r1 := f.StartRouter(harness.RouterOptions{ID: "r1", Authority: authority})
	f.PutTables(2, harness.RoutesTable, harness.PoolsWithKey(f.APIKey))
	harness.WaitGeneration(t, r1, 2, 5*time.Second)

	registry := peer.NewRegistry()
	fetched := make(chan struct{}, 10)
	peer.ConfigFetch.Handle(registry, func(context.Context, peer.ConfigFetchBody) (peer.ConfigFetchResponse, error) {
		defer func() { fetched <- struct{}{} }()
		old := control.AcceptedConfiguration{Generation: 1, Editor: "old", Routes: harness.RoutesTable, Pools: harness.PoolsWithKey("old")}
		value, err := old.Encode()
		if err != nil {
			return peer.ConfigFetchResponse{}, err
		}
		var compressed bytes.Buffer
		w, _ := flate.NewWriter(&compressed, flate.BestSpeed)
		_, _ = w.Write(value)
		return peer.ConfigFetchResponse{Generation: 1, AcceptedConfig: compressed.Bytes()}, w.Close()
	})
	fake := harness.StartFakePeer(t, authority, registry)
	for _, generation := range []uint64{1, 9} {
		answer, err := peer.ConfigOffer.Call(t.Context(), fake, r1.Addresses["peer"], peer.ConfigOfferBody{Address: fake.Address(), Generation: generation})
		assert.NilError(t, err)
		assert.Equal(t, answer.Generation, uint64(2))
	}
	<-fetched
	unknown := &peer.Message[peer.EmptyBody, peer.EmptyBody]{Request: "later.message", Response: "later.answer", Timeout: time.Second}
	_, err := unknown.Call(t.Context(), fake, r1.Addresses["peer"], peer.EmptyBody{})
	assert.Equal(t, peer.KindOf(err), peer.KindUnknownType)
	f.PutTables(3, harness.RoutesTable, harness.PoolsWithKey(f.APIKey))
	status := harness.WaitStatus(t, r1, 5*time.Second, "at another generation than 2", func(s server.Status) bool { return s.Generation != 2 })
	assert.Equal(t, status.Generation, uint64(3))
}

// Guards G13: of several operators that replace the same configuration at the same
// time, exactly one succeeds, and all instances put that one in force.
func TestConcurrentConfigurationUpdates(t *testing.T) {
	f := harness.StartFleet(t)
	authority := certstest.NewAuthority(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine")
	r1 := f.StartRouter(harness.RouterOptions{ID: "r1", Authority: authority})
	r2 := f.StartRouter(harness.RouterOptions{ID: "r2", Authority: authority, PlatformAddress: harness.UnusedAddress(t), Seeds: []string{r1.Addresses["peer"]}})
	r3 := f.StartRouter(harness.RouterOptions{ID: "r3", Authority: authority, Seeds: []string{r2.Addresses["peer"]}})
	for generation := uint64(2); generation <= 6; generation++ {
		winner := updateConcurrently(f, generation, 4)
		for _, r := range []*harness.Process{r1, r2, r3} {
			status := harness.WaitStatus(t, r, 5*time.Second, "at the new generation", func(s server.Status) bool { return s.Generation == generation })
			assert.Equal(t, status.Editor, winner)
		}
	}
}

// updateConcurrently lets several editors replace the same version of the
// configuration and returns the name of the editor whose update was accepted. The
// other updates must fail with a conflict.
func updateConcurrently(f *harness.Fleet, generation uint64, editors int) string {
	f.T.Helper()
	current, err := f.Store.Get(f.T.Context(), control.KindConfiguration, control.NameAccepted)
	assert.NilError(f.T, err)
	errs := make([]error, editors)
	var group sync.WaitGroup
	for n := range editors {
		group.Go(func() {
			a := control.AcceptedConfiguration{Generation: generation, Editor: fmt.Sprint("editor-", n), Nonce: uuid.NewString(), Routes: harness.RoutesTable, Pools: harness.PoolsWithKey(f.APIKey)}
			value, err := a.Encode()
			if err == nil {
				_, err = f.Store.Update(f.T.Context(), control.KindConfiguration, control.NameAccepted, value, current.Version)
			}
			errs[n] = err
		})
	}
	group.Wait()
	winner := ""
	for n, err := range errs {
		if err == nil {
			assert.Equal(f.T, winner, "", "the updates of two editors were accepted")
			winner = fmt.Sprint("editor-", n)
			continue
		}
		assert.Assert(f.T, objectstore.IsKind(err, objectstore.KindConflict), "%v", err)
	}
	return winner
}

// Guards G13: an instance that is frozen (SIGSTOP) while the configuration changes
// must converge after it resumes, must never go back to a lower generation, and
// must not delay other instances.
func TestConvergenceAfterSuspension(t *testing.T) {
	f := harness.StartFleet(t)
	authority := certstest.NewAuthority(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine")
	r1 := f.StartRouter(harness.RouterOptions{ID: "r1", Authority: authority})
	r2 := f.StartRouter(harness.RouterOptions{ID: "r2", Authority: authority, PlatformAddress: harness.UnusedAddress(t), Seeds: []string{r1.Addresses["peer"]}})
	r3 := f.StartRouter(harness.RouterOptions{ID: "r3", Authority: authority, PlatformAddress: harness.UnusedAddress(t), Seeds: []string{r2.Addresses["peer"]}})
	for _, r := range []*harness.Process{r1, r2, r3} {
		harness.WaitReady(t, r)
	}
	// r1 and r3 learn of each other from r2, which is frozen first.
	for _, r := range []*harness.Process{r1, r3} {
		harness.WaitStatus(t, r, 10*time.Second, "showing both peers", func(s server.Status) bool { return len(s.Peers) == 2 })
	}
	generation := uint64(1)
	for _, frozen := range []*harness.Process{r2, r1} {
		frozen.Signal(t, syscall.SIGSTOP)
		if frozen != r1 {
			for range 2 {
				generation++
				f.PutTables(generation, harness.RoutesTable, harness.PoolsWithKey(f.APIKey))
				harness.WaitGeneration(t, r1, generation, 5*time.Second)
				harness.WaitGeneration(t, r3, generation, 10*time.Second)
			}
		} else {
			// Only r1 reaches the platform: the others get the change after r1 resumes.
			generation++
			f.PutTables(generation, harness.RoutesTable, harness.PoolsWithKey(f.APIKey))
		}
		frozen.Signal(t, syscall.SIGCONT)
		lowest := uint64(0)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			status, err := harness.ReadStatus(frozen)
			if err != nil {
				return poll.Continue("%v", err)
			}
			if status.Generation < lowest {
				return poll.Error(fmt.Errorf("generation went back from %d to %d", lowest, status.Generation))
			}
			if lowest = status.Generation; lowest == generation {
				return poll.Success()
			}
			return poll.Continue("at generation %d", lowest)
		}, poll.WithTimeout(15*time.Second), poll.WithDelay(time.Millisecond))
		for _, r := range []*harness.Process{r1, r2, r3} {
			harness.WaitGeneration(t, r, generation, 10*time.Second)
		}
	}
}

// Guards against taking over the work of an instance that still runs. A probe must
// report a frozen process as unknown and a killed one as refused, and a restarted
// process must have a new incarnation.
func TestProbeTellsProcessStatesApart(t *testing.T) {
	f := harness.StartFleet(t)
	authority := certstest.NewAuthority(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine")
	options := harness.RouterOptions{ID: "r1", Authority: authority}
	r1 := f.StartRouter(options)
	options.PeerListen = r1.Addresses["peer"]
	tracker := &control.PeerTracker{
		Self:       control.InstanceIdentity{ID: "test", Address: "127.0.0.1:9", Incarnation: uuid.NewString()},
		Transport:  harness.StartFakePeer(t, authority, peer.NewRegistry()),
		Generation: func() uint64 { return 0 }, Log: hclog.NewNullLogger(),
	}
	first := tracker.Probe(t.Context(), options.PeerListen)
	assert.Equal(t, first.State, control.ProbeAlive)
	r1.Signal(t, syscall.SIGSTOP)
	assert.Equal(t, tracker.Probe(t.Context(), options.PeerListen).State, control.ProbeUnknown)
	r1.Signal(t, syscall.SIGCONT)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := tracker.Probe(t.Context(), options.PeerListen); got != first {
			return poll.Continue("%+v", got)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	r1.Kill()
	assert.Equal(t, tracker.Probe(t.Context(), options.PeerListen).State, control.ProbeRefused)
	f.StartRouter(options)
	again := tracker.Probe(t.Context(), options.PeerListen)
	assert.Equal(t, again.State, control.ProbeAlive)
	assert.Assert(t, again.Incarnation != first.Incarnation)
}

// Guards G12: an instance that gets SIGTERM completes the streams that run and
// those that arrive during ready_grace, and its peers keep working.
func TestGracefulStopWithPeers(t *testing.T) {
	f := harness.StartFleet(t)
	authority := certstest.NewAuthority(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine", "--token-interval", "20ms")
	r1 := f.StartRouter(harness.RouterOptions{ID: "r1", Authority: authority, ServerSettings: "ready_grace = 2s"})
	r2 := f.StartRouter(harness.RouterOptions{ID: "r2", Authority: authority, Seeds: []string{r1.Addresses["peer"]}})
	harness.WaitReady(t, r1)
	harness.WaitReady(t, r2)
	body := chatBody("hello", 150)
	streams := []*http.Response{f.Post(r1, "/v1/chat/completions", body)}
	r1.Signal(t, syscall.SIGTERM)
	harness.WaitStatus(t, r1, 2*time.Second, "stopping", func(s server.Status) bool { return s.Stopping && !s.Ready })
	streams = append(streams, f.Post(r1, "/v1/chat/completions", body))
	for n, stream := range streams {
		// An error document reads like a stream that was cut.
		assert.Equal(t, stream.StatusCode, http.StatusOK, "stream %d", n)
		readStream(t, body, stream.Body, 150)
	}
	<-r1.Exited
	assert.Equal(t, r1.Cmd.ProcessState.ExitCode(), 0)
	f.PutTables(2, harness.RoutesTable, harness.PoolsWithKey(f.APIKey))
	harness.WaitGeneration(t, r2, 2, 5*time.Second)
}

// Guards against an expired certificate after a renewal: a new certificate file
// must be served without a restart, and running streams must not be interrupted.
func TestCertificateReload(t *testing.T) {
	f := harness.StartFleet(t)
	authority := certstest.NewAuthority(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine", "--token-interval", "20ms")
	files := authority.Issue("caller-1")
	r1 := f.StartRouter(harness.RouterOptions{ID: "r1", Authority: authority, TLSSettings: map[string]string{"caller_cert": files.Cert, "caller_key": files.Key}})
	harness.WaitReady(t, r1)
	tlsConfig := &tls.Config{RootCAs: authority.Pool()}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: tlsConfig, ForceAttemptHTTP2: true}}
	body := chatBody("hello", 150)
	req, err := http.NewRequest(http.MethodPost, "https://"+r1.Addresses["caller"]+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+f.APIKey)
	resp, err := client.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.TLS.PeerCertificates[0].Subject.CommonName, "caller-1")
	authority.Renew(files, "caller-2")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		conn, err := tls.Dial("tcp", r1.Addresses["caller"], tlsConfig)
		if err != nil {
			return poll.Error(err)
		}
		defer conn.Close()
		if name := conn.ConnectionState().PeerCertificates[0].Subject.CommonName; name != "caller-2" {
			return poll.Continue("%s", name)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	readStream(t, body, resp.Body, 150)
}

// Guards against disclosure of the tables: an instance whose certificate is signed
// by another authority must get no configuration and must not be listed as a peer.
func TestOtherAuthorityIsRefused(t *testing.T) {
	f := harness.StartFleet(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine")
	r1 := f.StartRouter(harness.RouterOptions{ID: "r1", Authority: certstest.NewAuthority(t)})
	harness.WaitReady(t, r1)
	untrusted := f.StartRouter(harness.RouterOptions{ID: "stranger", Authority: certstest.NewAuthority(t), PlatformAddress: harness.UnusedAddress(t), Seeds: []string{r1.Addresses["peer"]}})
	status := harness.WaitStatus(t, untrusted, 10*time.Second, "showing a failed peer", func(s server.Status) bool {
		return len(s.Peers) == 1 && s.Peers[0].FailedSince != nil
	})
	assert.Equal(t, status.Generation, uint64(0))
	assert.Assert(t, !status.Ready)
	status, err := harness.ReadStatus(r1)
	assert.NilError(t, err)
	assert.Equal(t, len(status.Peers), 0)
}
