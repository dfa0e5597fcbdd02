package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lacewingwheel.example/lacewingwheel/pkg/certs"
	"lacewingwheel.example/lacewingwheel/pkg/certs/certstest"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// node is an instance without a platform: its controllers and its peer
// transport.
type node struct {
	configuration *ConfigurationController
	instanceList  *InstanceListCache
	peers         *PeerTracker
	replicator    *ConfigurationReplicator
	registry      *peer.Registry
	transport     *peer.Transport
}

// unavailableInstanceList is the instance list of a platform that does not
// respond.
type unavailableInstanceList struct{}

func (unavailableInstanceList) Instances(context.Context) ([]objectstore.Instance, error) {
	return nil, errors.New("outage")
}

func newIdentity(t *testing.T, authority *certstest.Authority) *peer.Identity {
	t.Helper()
	files := authority.Issue("node")
	pair, err := certs.LoadKeyPair(files.Cert, files.Key, hclog.NewNullLogger())
	assert.NilError(t, err)
	trusted, err := certs.LoadCABundle(authority.CertFile, hclog.NewNullLogger())
	assert.NilError(t, err)
	return &peer.Identity{KeyPair: pair, CABundle: trusted}
}

func newNode(t *testing.T, authority *certstest.Authority, seeds ...string) *node {
	t.Helper()
	log := hclog.NewNullLogger()
	n := &node{
		configuration: &ConfigurationController{Log: log}, instanceList: NewInstanceListCache(unavailableInstanceList{}, log), registry: peer.NewRegistry(),
	}
	var err error
	n.transport, err = peer.Listen("127.0.0.1:0", newIdentity(t, authority), n.registry, log)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = n.transport.Close() })
	n.peers = &PeerTracker{
		Self:  InstanceIdentity{ID: n.transport.Address(), Address: n.transport.Address(), Incarnation: uuid.NewString()},
		Seeds: seeds, Transport: n.transport, Generation: n.configuration.Generation, Log: log,
	}
	n.replicator = NewConfigurationReplicator(n.configuration, n.peers, n.transport, log)
	n.configuration.OnChange(func(*tables.Snapshot, *AcceptedConfiguration) { n.replicator.NotifyChanged() })
	n.instanceList.Caller, n.instanceList.Peers = n.transport, n.peers.RandomPeers
	n.instanceList.OnChange(n.peers.MergeInstanceList)
	n.peers.OnContact(n.instanceList.NotifyContact)
	n.peers.Register(n.registry)
	n.replicator.Register(n.registry)
	n.instanceList.Register(n.registry)
	n.peers.MergeInstanceList(nil)
	return n
}

func (n *node) run(t *testing.T) *node {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go n.transport.Serve()
	go func() { n.replicator.Run(ctx); done <- struct{}{} }()
	go func() { n.instanceList.Run(ctx); done <- struct{}{} }()
	t.Cleanup(func() { cancel(); <-done; <-done })
	return n
}

// testConfiguration returns a valid configuration with one route and one pool.
func testConfiguration(generation uint64, editor string) *AcceptedConfiguration {
	return &AcceptedConfiguration{
		Generation: generation, Editor: editor,
		Routes: "[route chat]\npath = /v1/chat/completions\npool = demo\n",
		Pools:  "[pool demo]\ntargets = app=engine\nmodel = demo\n",
	}
}

// waitFor polls until done returns true, and fails the test with problem after
// limit.
func waitFor(t *testing.T, limit time.Duration, problem string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", problem)
	}, poll.WithTimeout(limit), poll.WithDelay(2*time.Millisecond))
}

// Instances run an old configuration if a change stops at the peers of the
// instance that got it first, or reaches the others only by the periodic
// exchange.
func TestConfigurationReachesAllInstances(t *testing.T) {
	authority := certstest.NewAuthority(t)
	first := newNode(t, authority).run(t)
	nodes := []*node{first}
	for range 4 {
		// Each instance has only the previous one as its seed.
		nodes = append(nodes, newNode(t, authority, nodes[len(nodes)-1].transport.Address()).run(t))
	}
	for generation := uint64(1); generation <= 3; generation++ {
		assert.Assert(t, first.configuration.ApplyIfNewer(testConfiguration(generation, "first"), "test"))
		for i, n := range nodes {
			waitFor(t, 10*time.Second, fmt.Sprintf("node %d has no generation %d", i, generation), func() bool {
				return n.configuration.Generation() == generation
			})
		}
	}
	assert.Equal(t, nodes[4].configuration.AcceptedConfiguration().Editor, "first")
}

// A revoked key works again if an offer or a response of a peer brings back a
// lower generation. Peers and network are loaded if an invalid generation is
// fetched again and again.
func TestLowerAndInvalidGenerationsFromPeers(t *testing.T) {
	authority := certstest.NewAuthority(t)
	n := newNode(t, authority).run(t)
	assert.Assert(t, n.configuration.ApplyIfNewer(testConfiguration(5, "good"), "test"))

	registry := peer.NewRegistry()
	fetched := make(chan uint64, 100)
	var answer atomic.Pointer[AcceptedConfiguration]
	answer.Store(testConfiguration(4, "old"))
	peer.ConfigFetch.Handle(registry, func(_ context.Context, body peer.ConfigFetchBody) (peer.ConfigFetchResponse, error) {
		fetched <- body.Generation
		value, err := answer.Load().Encode()
		if err != nil {
			return peer.ConfigFetchResponse{}, err
		}
		packed, err := compress(value)
		return peer.ConfigFetchResponse{Generation: answer.Load().Generation, AcceptedConfig: packed}, err
	})
	fake, err := peer.Listen("127.0.0.1:0", newIdentity(t, authority), registry, hclog.NewNullLogger())
	assert.NilError(t, err)
	defer fake.Close()
	go fake.Serve()
	offerGeneration := func(generation uint64) {
		got, err := peer.ConfigOffer.Call(t.Context(), fake, n.transport.Address(), peer.ConfigOfferBody{Address: fake.Address(), Generation: generation})
		assert.NilError(t, err)
		assert.Equal(t, got.Generation, uint64(5))
	}
	offerGeneration(4) // lower, so it must not be fetched
	offerGeneration(9) // the peer responds with generation 4
	assert.Equal(t, <-fetched, uint64(9))
	bad := testConfiguration(7, "bad")
	bad.Routes = "[route chat]\npath = /x\npool = missing\n"
	answer.Store(bad)
	offerGeneration(7)
	assert.Equal(t, <-fetched, uint64(7))
	waitFor(t, 5*time.Second, "generation 7 is not rejected", func() bool { return n.configuration.LastRejection() != nil })
	offerGeneration(7)
	answer.Store(testConfiguration(8, "good again"))
	offerGeneration(8)
	assert.Equal(t, <-fetched, uint64(8), "a rejected generation was fetched again")
	waitFor(t, 5*time.Second, "generation 8 is not in force", func() bool { return n.configuration.Generation() == 8 })
}

// An instance runs out of memory if a small message of a peer decompresses to
// any size.
func TestDecompressIsBounded(t *testing.T) {
	packed, err := compress(make([]byte, 1<<20))
	assert.NilError(t, err)
	_, err = decompress(packed, 1<<20-1)
	assert.ErrorContains(t, err, "more than")
	data, err := decompress(packed, 1<<20)
	assert.NilError(t, err)
	assert.Equal(t, len(data), 1<<20)
}

// An instance that restarts in a platform outage knows no targets unless it
// gets the instance list from a peer. Two instances must not make an old list
// look new by sending it to each other.
func TestInstanceListFromPeer(t *testing.T) {
	authority := certstest.NewAuthority(t)
	first := newNode(t, authority).run(t)
	rows := []objectstore.Instance{
		{ID: "engine-1", Role: objectstore.RoleEngine, Address: "127.0.0.1:1"},
		{ID: "r9", Role: objectstore.RoleRouter, Address: "127.0.0.1:9", Zone: "b", Leaving: true},
	}
	const age = time.Minute
	first.instanceList.store(rows, time.Now().Add(-age))
	second := newNode(t, authority, first.transport.Address()).run(t)
	got, err := second.instanceList.Instances(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, rows)
	waitFor(t, 5*time.Second, "the router in the list is not a known peer", func() bool {
		router := second.peers.PeerSet().ByAddress["127.0.0.1:9"]
		return router != nil && router.Leaving && router.Zone == "b"
	})
	for range 3 {
		first.instanceList.fetchFrom(t.Context(), second.transport.Address())
		second.instanceList.fetchFrom(t.Context(), first.transport.Address())
	}
	for _, n := range []*node{first, second} {
		known, _ := n.instanceList.Age()
		assert.Assert(t, known >= age, "%v", known)
	}
	second.instanceList.store(nil, time.Now().Add(-2*age))
	assert.Equal(t, len(second.instanceList.current.Load().rows), len(rows), "an older list replaced a newer one")
}

// Two instances spend from one share if a lease is taken over on false proof. A
// response or a closed port is proof; a process that listens and stays silent
// is not, nor is one of another certificate authority.
func TestProbeIgnoresSilence(t *testing.T) {
	authority := certstest.NewAuthority(t)
	prober, other := newNode(t, authority).run(t), newNode(t, authority).run(t)
	got := prober.peers.Probe(t.Context(), other.transport.Address())
	assert.Equal(t, got, ProbeResult{State: ProbeAlive, Incarnation: other.peers.Self.Incarnation})

	silent, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	address := silent.LocalAddr().String()
	assert.Equal(t, prober.peers.Probe(t.Context(), address).State, ProbeUnknown)
	assert.NilError(t, silent.Close())
	assert.Equal(t, prober.peers.Probe(t.Context(), address).State, ProbeRefused)

	stranger := newNode(t, certstest.NewAuthority(t)).run(t)
	assert.Equal(t, prober.peers.Probe(t.Context(), stranger.transport.Address()).State, ProbeUnknown)
}

// The peer set grows without bound if peers never expire. A new peer is
// forgotten if it expires before the lagging instance list shows it.
func TestPeersExpire(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name    string
		peer    Peer
		expired bool
	}{
		{"listed, never contacted", Peer{listedOrSeed: true}, false},
		{"listed, failing for an hour", Peer{listedOrSeed: true, FailedSince: now.Add(-time.Hour)}, false},
		{"known by contact", Peer{LastContact: now.Add(-unlistedPeerTTL / 2)}, false},
		{"last contact too old", Peer{LastContact: now.Add(-2 * unlistedPeerTTL)}, true},
		{"advertised by a peer", Peer{advertisedAt: now.Add(-failedPeerTTL / 2)}, false},
		{"advertised, never contacted", Peer{advertisedAt: now.Add(-2 * failedPeerTTL)}, true},
		{"failing", Peer{LastContact: now.Add(-2 * failedPeerTTL), FailedSince: now}, true},
	}
	for _, c := range cases {
		assert.Equal(t, c.peer.expired(now), c.expired, c.name)
	}
}

// A change comes into force late if the fetch from one frozen peer holds up the
// fetch from another that has it too.
func TestFrozenPeerDoesNotDelayConfiguration(t *testing.T) {
	authority := certstest.NewAuthority(t)
	registry := peer.NewRegistry()
	asked := make(chan struct{}, 10)
	peer.ConfigFetch.Handle(registry, func(ctx context.Context, _ peer.ConfigFetchBody) (peer.ConfigFetchResponse, error) {
		asked <- struct{}{}
		<-ctx.Done()
		return peer.ConfigFetchResponse{}, ctx.Err()
	})
	frozen, err := peer.Listen("127.0.0.1:0", newIdentity(t, authority), registry, hclog.NewNullLogger())
	assert.NilError(t, err)
	defer frozen.Close()
	go frozen.Serve()
	n := newNode(t, authority).run(t)
	_, err = peer.ConfigOffer.Call(t.Context(), frozen, n.transport.Address(), peer.ConfigOfferBody{Address: frozen.Address(), Generation: 2})
	assert.NilError(t, err)
	<-asked
	healthy := newNode(t, authority, n.transport.Address()).run(t)
	assert.Assert(t, healthy.configuration.ApplyIfNewer(testConfiguration(2, "healthy"), "test"))
	waitFor(t, peer.ConfigFetch.Timeout/2, "generation 2 is not in force", func() bool { return n.configuration.Generation() == 2 })
}

// A restarting instance is not ready in time if seeds that are gone delay the
// exchange with the seed that answers.
func TestDeadSeedsDoNotDelayStart(t *testing.T) {
	authority := certstest.NewAuthority(t)
	first := newNode(t, authority).run(t)
	assert.Assert(t, first.configuration.ApplyIfNewer(testConfiguration(3, "first"), "test"))
	first.instanceList.store([]objectstore.Instance{{ID: "engine-1", Role: objectstore.RoleEngine, Address: "127.0.0.1:1"}}, time.Now())
	seeds := []string{first.transport.Address()}
	for len(seeds) < fanOut {
		silent, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		assert.NilError(t, err)
		defer silent.Close()
		seeds = append(seeds, silent.LocalAddr().String())
	}
	second := newNode(t, authority, seeds...).run(t)
	waitFor(t, time.Second, "the second node has no instance list or configuration", func() bool {
		_, known := second.instanceList.Age()
		return known && second.configuration.Generation() == 3
	})
}

// A configuration that the platform accepts never reaches the other instances
// if a limit on messages between peers is lower than the platform's.
func TestLargeConfigurationReachesPeer(t *testing.T) {
	authority := certstest.NewAuthority(t)
	first := newNode(t, authority).run(t)
	second := newNode(t, authority, first.transport.Address()).run(t)
	large := testConfiguration(1, "large")
	var pools strings.Builder
	pools.WriteString(large.Pools)
	random := rand.New(rand.NewPCG(1, 2))
	for n := 0; pools.Len() < objectstore.MaxValueBytes*9/10; n++ {
		var digest [32]byte
		for i := range digest {
			digest[i] = byte(random.Uint32())
		}
		fmt.Fprintf(&pools, "[organisation o%d]\nrate = 1\nburst = 2000\nkey.first = %s\n", n, tables.FormatDigest(digest))
	}
	large.Pools = pools.String()
	assert.Assert(t, first.configuration.ApplyIfNewer(large, "test"))
	waitFor(t, 10*time.Second, "the large configuration is not in force", func() bool { return second.configuration.Generation() == 1 })
	assert.Equal(t, second.configuration.AcceptedConfiguration().Pools, large.Pools)
}
