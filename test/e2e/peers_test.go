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

// Guards G13: an instance that cannot reach the platform gets its configuration,
// its targets and each change through a peer.
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

// revocationLimit is "within seconds" of G6.
const revocationLimit = 5 * time.Second

// Guards G6 in an outage: a key revoked just before it, of which one instance
// alone has heard, stops working on all instances, also for running streams.
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
		code, done := lastEvent(t, streams[i].Body)
		assert.Assert(t, !done && strings.Contains(code, "key_revoked"), "%s", code)
	}
	took := time.Since(accepted)
	t.Logf("revoked on %d instances %v after it was accepted", len(routers), took)
	assert.Assert(t, took < revocationLimit, "%v", took)
}

// lastEvent reads a stream to its end and returns its last event.
func lastEvent(t *testing.T, r io.Reader) (string, bool) {
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

// Guards G3: when all instances but one are killed and started again during an
// outage, each serves from what the remaining one knows, whether the platform
// refuses calls or leaves them without an answer.
func TestHerdRestartDuringOutage(t *testing.T) {
	t.Run("platform refuses", func(t *testing.T) {
		testHerdRestart(t, func(f *harness.Fleet) { f.SetPlatformDown(true) })
	})
	t.Run("platform is frozen", func(t *testing.T) {
		testHerdRestart(t, func(f *harness.Fleet) { f.Platform.Signal(t, syscall.SIGSTOP) })
	})
}

func testHerdRestart(t *testing.T, breakPlatform func(*harness.Fleet)) {
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
			// The survivor holds the quota shares. Those of killed instances
			// cannot be taken over without the platform, so that an instance
			// that restarts into an outage serves from the survivor's tokens.
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
	took := time.Since(started)
	t.Logf("%d instances served %v after the first was started", instances-1, took)
	assert.Assert(t, took < 10*time.Second, "%v", took)
}

// Guards G13: neither an offer nor an answer of a peer brings back a lower
// generation, and an unknown message does no harm.
func TestLowerGenerationIsIgnored(t *testing.T) {
	f := harness.StartFleet(t)
	authority := certstest.NewAuthority(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine")
	r1 := f.StartRouter(harness.RouterOptions{ID: "r1", Authority: authority})
	f.PutTables(2, harness.RoutesTable, harness.PoolsWithKey(f.APIKey))
	harness.WaitGeneration(t, r1, 2, 5*time.Second)

	registry := peer.NewRegistry()
	fetched := make(chan struct{}, 10)
	peer.ConfigFetch.Handle(registry, func(context.Context, peer.ConfigFetchBody) (peer.ConfigFetchAnswer, error) {
		defer func() { fetched <- struct{}{} }()
		old := control.AcceptedConfiguration{Generation: 1, Editor: "old", Routes: harness.RoutesTable, Pools: harness.PoolsWithKey("old")}
		value, err := old.Encode()
		if err != nil {
			return peer.ConfigFetchAnswer{}, err
		}
		var packed bytes.Buffer
		w, _ := flate.NewWriter(&packed, flate.BestSpeed)
		_, _ = w.Write(value)
		return peer.ConfigFetchAnswer{Generation: 1, AcceptedConfig: packed.Bytes()}, w.Close()
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
	status := harness.WaitStatus(t, r1, 5*time.Second, "past generation 2", func(s server.Status) bool { return s.Generation != 2 })
	assert.Equal(t, status.Generation, uint64(3))
}

// Guards G13 against operators that race: exactly one edit of each round is
// accepted, and all instances put that one in force.
func TestRacingWriters(t *testing.T) {
	f := harness.StartFleet(t)
	authority := certstest.NewAuthority(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine")
	r1 := f.StartRouter(harness.RouterOptions{ID: "r1", Authority: authority})
	r2 := f.StartRouter(harness.RouterOptions{ID: "r2", Authority: authority, PlatformAddress: harness.UnusedAddress(t), Seeds: []string{r1.Addresses["peer"]}})
	r3 := f.StartRouter(harness.RouterOptions{ID: "r3", Authority: authority, Seeds: []string{r2.Addresses["peer"]}})
	for generation := uint64(2); generation <= 6; generation++ {
		winner := race(f, generation, 4)
		for _, r := range []*harness.Process{r1, r2, r3} {
			status := harness.WaitStatus(t, r, 5*time.Second, "at the new generation", func(s server.Status) bool { return s.Generation == generation })
			assert.Equal(t, status.Editor, winner)
		}
	}
}

// race lets several editors replace the same version and returns the one that
// was accepted.
func race(f *harness.Fleet, generation uint64, editors int) string {
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
			assert.Equal(f.T, winner, "", "two editors were accepted")
			winner = fmt.Sprint("editor-", n)
			continue
		}
		assert.Assert(f.T, objectstore.IsKind(err, objectstore.KindConflict), "%v", err)
	}
	return winner
}

// Guards G13 against an instance that is frozen across changes: it converges
// when it runs again, never goes back, and holds nobody else up.
func TestFreezeAndThaw(t *testing.T) {
	f := harness.StartFleet(t)
	authority := certstest.NewAuthority(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine")
	r1 := f.StartRouter(harness.RouterOptions{ID: "r1", Authority: authority})
	r2 := f.StartRouter(harness.RouterOptions{ID: "r2", Authority: authority, PlatformAddress: harness.UnusedAddress(t), Seeds: []string{r1.Addresses["peer"]}})
	r3 := f.StartRouter(harness.RouterOptions{ID: "r3", Authority: authority, PlatformAddress: harness.UnusedAddress(t), Seeds: []string{r2.Addresses["peer"]}})
	for _, r := range []*harness.Process{r1, r2, r3} {
		harness.WaitReady(t, r)
	}
	// r1 and r3 know each other through r2, which is frozen first.
	for _, r := range []*harness.Process{r1, r3} {
		harness.WaitStatus(t, r, 10*time.Second, "aware of both peers", func(s server.Status) bool { return len(s.Peers) == 2 })
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
			// Nobody else reaches the platform; the change waits for r1.
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
				return poll.Error(fmt.Errorf("went back from %d to %d", lowest, status.Generation))
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

// Guards takeovers against false proof: a frozen process proves nothing, a
// killed one is refused, and one that was started again has another incarnation.
func TestProbeOfProcesses(t *testing.T) {
	f := harness.StartFleet(t)
	authority := certstest.NewAuthority(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine")
	options := harness.RouterOptions{ID: "r1", Authority: authority}
	r1 := f.StartRouter(options)
	options.PeerListen = r1.Addresses["peer"]
	prober := &control.PeerTracker{
		Self:       control.InstanceIdentity{ID: "test", Address: "127.0.0.1:9", Incarnation: uuid.NewString()},
		Transport:  harness.StartFakePeer(t, authority, peer.NewRegistry()),
		Generation: func() uint64 { return 0 }, Log: hclog.NewNullLogger(),
	}
	first := prober.Probe(t.Context(), options.PeerListen)
	assert.Equal(t, first.State, control.ProbeAlive)
	r1.Signal(t, syscall.SIGSTOP)
	assert.Equal(t, prober.Probe(t.Context(), options.PeerListen).State, control.ProbeUnknown)
	r1.Signal(t, syscall.SIGCONT)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := prober.Probe(t.Context(), options.PeerListen); got != first {
			return poll.Continue("%+v", got)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	r1.Kill()
	assert.Equal(t, prober.Probe(t.Context(), options.PeerListen).State, control.ProbeRefused)
	f.StartRouter(options)
	again := prober.Probe(t.Context(), options.PeerListen)
	assert.Equal(t, again.State, control.ProbeAlive)
	assert.Assert(t, again.Incarnation != first.Incarnation)
}

// Guards G12: an instance that stops gracefully cuts no stream, of those that run
// and of those that arrive during the grace, and its peers go on.
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
	for _, stream := range streams {
		readStream(t, body, stream.Body, 150)
	}
	<-r1.Exited
	assert.Equal(t, r1.Cmd.ProcessState.ExitCode(), 0)
	f.PutTables(2, harness.RoutesTable, harness.PoolsWithKey(f.APIKey))
	harness.WaitGeneration(t, r2, 2, 5*time.Second)
}

// Guards against a certificate that needs a restart, and against a stream that
// is cut when it changes.
func TestCertificateReload(t *testing.T) {
	f := harness.StartFleet(t)
	authority := certstest.NewAuthority(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine", "--token-interval", "20ms")
	files := authority.Issue("caller-1")
	r1 := f.StartRouter(harness.RouterOptions{ID: "r1", Authority: authority, TLSSettings: map[string]string{"caller_cert": files.Cert, "caller_key": files.Key}})
	harness.WaitReady(t, r1)
	trust := &tls.Config{RootCAs: authority.Pool()}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: trust, ForceAttemptHTTP2: true}}
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
		conn, err := tls.Dial("tcp", r1.Addresses["caller"], trust)
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

// Guards against an instance of another authority that gets the tables or is
// taken for a peer.
func TestOtherAuthorityIsRefused(t *testing.T) {
	f := harness.StartFleet(t)
	f.StartTarget("engine-1", objectstore.RoleEngine, "engine")
	r1 := f.StartRouter(harness.RouterOptions{ID: "r1", Authority: certstest.NewAuthority(t)})
	harness.WaitReady(t, r1)
	stranger := f.StartRouter(harness.RouterOptions{ID: "stranger", Authority: certstest.NewAuthority(t), PlatformAddress: harness.UnusedAddress(t), Seeds: []string{r1.Addresses["peer"]}})
	status := harness.WaitStatus(t, stranger, 10*time.Second, "refused", func(s server.Status) bool {
		return len(s.Peers) == 1 && s.Peers[0].FailedSince != nil
	})
	assert.Equal(t, status.Generation, uint64(0))
	assert.Assert(t, !status.Ready)
	status, err := harness.ReadStatus(r1)
	assert.NilError(t, err)
	assert.Equal(t, len(status.Peers), 0)
}
