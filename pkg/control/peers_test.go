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

// node is the control part of an instance, without a platform.
type node struct {
	configuration *ConfigurationController
	listing       *InstanceListCache
	instances     *PeerTracker
	spread        *ConfigurationReplicator
	registry      *peer.Registry
	transport     *peer.Transport
}

// deadList is an instance list of a platform that does not answer.
type deadList struct{}

func (deadList) Instances(context.Context) ([]objectstore.Instance, error) {
	return nil, errors.New("outage")
}

func newIdentity(t *testing.T, authority *certstest.Authority) *peer.Identity {
	t.Helper()
	files := authority.Issue("node")
	pair, err := certs.LoadPair(files.Cert, files.Key, hclog.NewNullLogger())
	assert.NilError(t, err)
	trusted, err := certs.LoadAuthority(authority.File, hclog.NewNullLogger())
	assert.NilError(t, err)
	return &peer.Identity{Pair: pair, Authority: trusted}
}

func newNode(t *testing.T, authority *certstest.Authority, seeds ...string) *node {
	t.Helper()
	log := hclog.NewNullLogger()
	n := &node{
		configuration: &ConfigurationController{Log: log}, listing: NewInstanceListCache(deadList{}, log), registry: peer.NewRegistry(),
	}
	var err error
	n.transport, err = peer.Listen("127.0.0.1:0", newIdentity(t, authority), n.registry, log)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = n.transport.Close() })
	n.instances = &PeerTracker{
		Self:  InstanceIdentity{ID: n.transport.Address(), Address: n.transport.Address(), Incarnation: uuid.NewString()},
		Seeds: seeds, Transport: n.transport, Generation: n.configuration.Generation, Log: log,
	}
	n.spread = NewConfigurationReplicator(n.configuration, n.instances, n.transport, log)
	n.configuration.OnChange(func(*tables.Snapshot, *AcceptedConfiguration) { n.spread.NotifyChanged() })
	n.listing.Caller, n.listing.Peers = n.transport, n.instances.RandomPeers
	n.listing.OnChange(n.instances.MergeInstanceList)
	n.instances.OnContact(n.listing.NotifyContact)
	n.instances.Register(n.registry)
	n.spread.Register(n.registry)
	n.listing.Register(n.registry)
	n.instances.MergeInstanceList(nil)
	return n
}

func (n *node) run(t *testing.T) *node {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go n.transport.Serve()
	go func() { n.spread.Run(ctx); done <- struct{}{} }()
	go func() { n.listing.Run(ctx); done <- struct{}{} }()
	t.Cleanup(func() { cancel(); <-done; <-done })
	return n
}

func accepted(generation uint64, editor string) *AcceptedConfiguration {
	return &AcceptedConfiguration{
		Generation: generation, Editor: editor,
		Routes: "[route chat]\npath = /v1/chat/completions\npool = demo\n",
		Pools:  "[pool demo]\ntargets = app=engine\nmodel = demo\n",
	}
}

func waitFor(t *testing.T, limit time.Duration, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(limit), poll.WithDelay(2*time.Millisecond))
}

// Guards against a configuration that stops at the neighbours of the instance
// that has it, and against instances that only hear of it when they ask.
func TestConfigurationReachesAll(t *testing.T) {
	authority := certstest.NewAuthority(t)
	first := newNode(t, authority).run(t)
	nodes := []*node{first}
	for range 4 {
		// Each knows only the one before it.
		nodes = append(nodes, newNode(t, authority, nodes[len(nodes)-1].transport.Address()).run(t))
	}
	for generation := uint64(1); generation <= 3; generation++ {
		assert.Assert(t, first.configuration.ApplyIfNewer(accepted(generation, "first"), "test"))
		for i, n := range nodes {
			waitFor(t, 10*time.Second, fmt.Sprintf("node %d has no generation %d", i, generation), func() bool {
				return n.configuration.Generation() == generation
			})
		}
	}
	assert.Equal(t, nodes[4].configuration.AcceptedConfiguration().Editor, "first")
}

// Guards G13: neither an offer nor an answer of a peer may bring back a lower
// generation, and a configuration that fails its check is not fetched in a loop.
func TestLowerAndFaultyConfigurationsOfPeers(t *testing.T) {
	authority := certstest.NewAuthority(t)
	n := newNode(t, authority).run(t)
	assert.Assert(t, n.configuration.ApplyIfNewer(accepted(5, "good"), "test"))

	registry := peer.NewRegistry()
	fetched := make(chan uint64, 100)
	var answer atomic.Pointer[AcceptedConfiguration]
	answer.Store(accepted(4, "old"))
	peer.ConfigFetch.Handle(registry, func(_ context.Context, body peer.ConfigFetchBody) (peer.ConfigFetchAnswer, error) {
		fetched <- body.Generation
		value, err := answer.Load().Encode()
		if err != nil {
			return peer.ConfigFetchAnswer{}, err
		}
		packed, err := compress(value)
		return peer.ConfigFetchAnswer{Generation: answer.Load().Generation, Accepted: packed}, err
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
	offerGeneration(4) // not worth a fetch
	offerGeneration(9) // the answer then has generation 4
	assert.Equal(t, <-fetched, uint64(9))
	bad := accepted(7, "bad")
	bad.Routes = "[route chat]\npath = /x\npool = missing\n"
	answer.Store(bad)
	offerGeneration(7)
	assert.Equal(t, <-fetched, uint64(7))
	waitFor(t, 5*time.Second, "generation 7 is not rejected", func() bool { return n.configuration.LastRejection() != nil })
	offerGeneration(7)
	answer.Store(accepted(8, "good again"))
	offerGeneration(8)
	assert.Equal(t, <-fetched, uint64(8), "a rejected generation was fetched again")
	waitFor(t, 5*time.Second, "generation 8 is not in force", func() bool { return n.configuration.Generation() == 8 })
}

// Guards against a small message that unpacks to any size.
func TestDecompressIsBounded(t *testing.T) {
	packed, err := compress(make([]byte, 1<<20))
	assert.NilError(t, err)
	_, err = decompress(packed, 1<<20-1)
	assert.ErrorContains(t, err, "more than")
	data, err := decompress(packed, 1<<20)
	assert.NilError(t, err)
	assert.Equal(t, len(data), 1<<20)
}

// Guards G3 in an outage: a restarted instance gets the instance list from a
// peer. Guards also against two instances that pass a list to and fro and make
// it look new.
func TestInstanceListFromPeer(t *testing.T) {
	authority := certstest.NewAuthority(t)
	first := newNode(t, authority).run(t)
	rows := []objectstore.Instance{
		{ID: "engine-1", Role: objectstore.RoleEngine, Address: "127.0.0.1:1"},
		{ID: "r9", Role: objectstore.RoleRouter, Address: "127.0.0.1:9", Zone: "b", Leaving: true},
	}
	const age = time.Minute
	first.listing.put(rows, time.Now().Add(-age))
	second := newNode(t, authority, first.transport.Address()).run(t)
	got, err := second.listing.Instances(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, rows)
	waitFor(t, 5*time.Second, "the router of the list is not known", func() bool {
		router := second.instances.PeerSet().ByAddress["127.0.0.1:9"]
		return router != nil && router.Leaving && router.Zone == "b"
	})
	for range 3 {
		first.listing.ask(t.Context(), second.transport.Address())
		second.listing.ask(t.Context(), first.transport.Address())
	}
	for _, n := range []*node{first, second} {
		known, _ := n.listing.Age()
		assert.Assert(t, known >= age, "%v", known)
	}
	second.listing.put(nil, time.Now().Add(-2*age))
	assert.Equal(t, len(second.listing.current.Load().rows), len(rows), "an older list replaced a newer one")
}

// Guards a takeover of leases against false proof: only an answer or a closed
// port proves something; a process that holds the port in silence does not.
func TestProbe(t *testing.T) {
	authority := certstest.NewAuthority(t)
	prober, other := newNode(t, authority).run(t), newNode(t, authority).run(t)
	got := prober.instances.Probe(t.Context(), other.transport.Address())
	assert.Equal(t, got, ProbeResult{State: ProbeAlive, Incarnation: other.instances.Self.Incarnation})

	silent, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	address := silent.LocalAddr().String()
	assert.Equal(t, prober.instances.Probe(t.Context(), address).State, ProbeUnknown)
	assert.NilError(t, silent.Close())
	assert.Equal(t, prober.instances.Probe(t.Context(), address).State, ProbeRefused)

	stranger := newNode(t, certstest.NewAuthority(t)).run(t)
	assert.Equal(t, prober.instances.Probe(t.Context(), stranger.transport.Address()).State, ProbeUnknown)
}

// Guards against a set of peers that only grows, and against forgetting one that
// the lagging list does not show yet.
func TestPeersExpire(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name    string
		peer    Peer
		expired bool
	}{
		{"listed, never contacted", Peer{listed: true}, false},
		{"listed, failing for long", Peer{listed: true, FailedSince: now.Add(-time.Hour)}, false},
		{"known by contact", Peer{LastContact: now.Add(-contactLife / 2)}, false},
		{"silent for long", Peer{LastContact: now.Add(-2 * contactLife)}, true},
		{"named by a peer", Peer{named: now.Add(-failedLife / 2)}, false},
		{"named, never contacted", Peer{named: now.Add(-2 * failedLife)}, true},
		{"failing", Peer{LastContact: now.Add(-2 * failedLife), FailedSince: now}, true},
	}
	for _, c := range cases {
		assert.Equal(t, c.peer.expired(now), c.expired, c.name)
	}
}

// Guards against one frozen peer that holds up a change which others have too.
func TestFrozenPeerDoesNotDelayFetch(t *testing.T) {
	authority := certstest.NewAuthority(t)
	registry := peer.NewRegistry()
	asked := make(chan struct{}, 10)
	peer.ConfigFetch.Handle(registry, func(ctx context.Context, _ peer.ConfigFetchBody) (peer.ConfigFetchAnswer, error) {
		asked <- struct{}{}
		<-ctx.Done()
		return peer.ConfigFetchAnswer{}, ctx.Err()
	})
	frozen, err := peer.Listen("127.0.0.1:0", newIdentity(t, authority), registry, hclog.NewNullLogger())
	assert.NilError(t, err)
	defer frozen.Close()
	go frozen.Serve()
	n := newNode(t, authority).run(t)
	_, err = peer.ConfigOffer.Call(t.Context(), frozen, n.transport.Address(), peer.ConfigOfferBody{Address: frozen.Address(), Generation: 2})
	assert.NilError(t, err)
	<-asked
	sound := newNode(t, authority, n.transport.Address()).run(t)
	assert.Assert(t, sound.configuration.ApplyIfNewer(accepted(2, "sound"), "test"))
	waitFor(t, peer.ConfigFetch.Timeout/2, "generation 2 is not in force", func() bool { return n.configuration.Generation() == 2 })
}

// Guards G3 against seeds that are gone: they must not delay what the remaining
// one can give at once.
func TestDeadSeedsDoNotDelayStart(t *testing.T) {
	authority := certstest.NewAuthority(t)
	first := newNode(t, authority).run(t)
	assert.Assert(t, first.configuration.ApplyIfNewer(accepted(3, "first"), "test"))
	first.listing.put([]objectstore.Instance{{ID: "engine-1", Role: objectstore.RoleEngine, Address: "127.0.0.1:1"}}, time.Now())
	seeds := []string{first.transport.Address()}
	for len(seeds) < fanOut {
		silent, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		assert.NilError(t, err)
		defer silent.Close()
		seeds = append(seeds, silent.LocalAddr().String())
	}
	second := newNode(t, authority, seeds...).run(t)
	waitFor(t, time.Second, "the second node knows too little", func() bool {
		_, known := second.listing.Age()
		return known && second.configuration.Generation() == 3
	})
}

// Guards against limits that a configuration of the size that the platform
// allows does not pass.
func TestLargeConfiguration(t *testing.T) {
	authority := certstest.NewAuthority(t)
	first := newNode(t, authority).run(t)
	second := newNode(t, authority, first.transport.Address()).run(t)
	large := accepted(1, "large")
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
