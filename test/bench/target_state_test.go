package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lacewingwheel.example/lacewingwheel/pkg/certs"
	"lacewingwheel.example/lacewingwheel/pkg/certs/certstest"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
)

const (
	packetHeaderBytes  = 28 // IPv4 and UDP
	maxPacketBytes     = 2048
	measurementPeriod  = 20 * time.Second
	warmUpPeriod       = 3 * time.Second // for start and handshakes, not measured
	comparisonInterval = 500 * time.Millisecond
)

// udpRelay forwards UDP packets between one client and a server and counts their
// bytes.
type udpRelay struct {
	socket *net.UDPConn
	server *net.UDPConn
	client atomic.Pointer[net.UDPAddr]
	bytes  *atomic.Int64
}

// newUDPRelay starts a relay to server, which adds the size of each packet with its
// headers to bytes.
func newUDPRelay(b *testing.B, server string, bytes *atomic.Int64) *udpRelay {
	address, err := net.ResolveUDPAddr("udp", server)
	assert.NilError(b, err)
	r := &udpRelay{bytes: bytes}
	r.server, err = net.DialUDP("udp", nil, address)
	assert.NilError(b, err)
	r.socket, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(b, err)
	b.Cleanup(func() { r.server.Close(); r.socket.Close() })
	go r.forwardToServer()
	go r.forwardToClient()
	return r
}

func (r *udpRelay) forwardToServer() {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, from, err := r.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		r.client.Store(from)
		r.bytes.Add(int64(n + packetHeaderBytes))
		_, _ = r.server.Write(buffer[:n])
	}
}

func (r *udpRelay) forwardToClient() {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, err := r.server.Read(buffer)
		if err != nil {
			return
		}
		r.bytes.Add(int64(n + packetHeaderBytes))
		_, _ = r.socket.WriteToUDP(buffer[:n], r.client.Load())
	}
}

// fakePeers acts as all other instances: one transport behind a relay for each.
type fakePeers struct {
	transport *peer.Transport
	records   []peer.TargetRecord
	bytes     atomic.Int64 // between the instance and its peers, both directions
	digest    atomic.Uint64
}

// randomAges returns for each target the age of its last confirmation: below 3 s,
// in units of 50 ms.
func (f *fakePeers) randomAges() []byte {
	ages := make([]byte, len(f.records))
	for i := range ages {
		ages[i] = byte(rand.N(60))
	}
	return ages
}

// newFakePeers starts a transport that answers as a peer whose target states are
// those of rows, each with the given state.
func newFakePeers(b *testing.B, identity *peer.Identity, rows []objectstore.Instance, state engine.State) *fakePeers {
	f := &fakePeers{}
	for _, row := range rows {
		f.records = append(f.records, peer.TargetRecord{
			ID: row.ID, Version: 1, Reachable: true, CanResume: state.CanResume,
			Incarnation: state.Incarnation, Model: state.Model, WeightVersion: state.WeightVersion, Adapter: state.Adapter,
		})
	}
	registry := peer.NewRegistry()
	peer.TargetsFetch.Handle(registry, func(context.Context, peer.EmptyBody) (peer.TargetsFetchResponse, error) {
		return peer.TargetsFetchResponse{Records: f.records}, nil
	})
	peer.TargetsConfirm.Handle(registry, func(_ context.Context, body peer.TargetsConfirmBody) (peer.TargetsConfirmBody, error) {
		f.digest.Store(body.Digest)
		return peer.TargetsConfirmBody{Digest: body.Digest, IsSettled: true, Ages: f.randomAges()}, nil
	})
	peer.TargetsUpdate.Handle(registry, func(context.Context, peer.TargetsUpdateBody) (peer.TargetsUpdateResponse, error) {
		return peer.TargetsUpdateResponse{}, nil
	})
	var err error
	f.transport, err = peer.Listen("127.0.0.1:0", identity, registry, hclog.NewNullLogger())
	assert.NilError(b, err)
	b.Cleanup(func() { _ = f.transport.Close() })
	go f.transport.Serve()
	return f
}

// sendComparisons sends a comparison of target states every comparisonInterval, as
// many as an instance gets from its peers.
func (f *fakePeers) sendComparisons(ctx context.Context, address string) {
	for ctx.Err() == nil {
		body := peer.TargetsConfirmBody{Digest: f.digest.Load(), IsSettled: true, Ages: f.randomAges()}
		_, _ = peer.TargetsConfirm.Call(ctx, f.transport, address, body)
		select {
		case <-ctx.Done():
		case <-time.After(comparisonInterval):
		}
	}
}

// replicationBench is one instance with its targets and, unless it runs alone, its
// peers.
type replicationBench struct {
	handler    *countingHandler
	targets    *control.TargetController
	replicator *control.TargetStateReplicator
	peers      *fakePeers // nil for a single instance
	address    string     // of the relay to the instance
	// startBytes were exchanged with peers until warmUpPeriod after the instance was
	// ready.
	startBytes int64
}

// newReplicationBench creates an instance with targets and, if instances is more
// than 1, instances-1 fake peers. It does not start the instance.
func newReplicationBench(b *testing.B, targets, instances int) *replicationBench {
	s := &replicationBench{handler: &countingHandler{next: standin.NewEngine(standin.DefaultEngineOptions("demo")).Handler()}}
	server := httptest.NewServer(s.handler)
	b.Cleanup(server.Close)
	var rows []objectstore.Instance
	for n := range targets {
		rows = append(rows, objectstore.Instance{
			ID: fmt.Sprintf("engine-%d", n), Role: objectstore.RoleEngine, Zone: "a", Address: server.Listener.Addr().String(),
		})
	}
	log := hclog.NewNullLogger()
	s.targets = &control.TargetController{List: staticInstances(rows), Client: engine.NewHTTPClient(), Log: log}
	if instances == 1 {
		return s
	}
	identity := newIdentity(b)
	state, err := s.targets.Client.State(b.Context(), rows[0].Address)
	assert.NilError(b, err)
	s.peers = newFakePeers(b, identity, rows, state)
	registry := peer.NewRegistry()
	transport, err := peer.Listen("127.0.0.1:0", identity, registry, log)
	assert.NilError(b, err)
	b.Cleanup(func() { _ = transport.Close() })
	go transport.Serve()
	tracker := &control.PeerTracker{
		Self:      control.InstanceIdentity{ID: "r0", Address: transport.Address(), Incarnation: "r0"},
		Transport: transport, Generation: func() uint64 { return 1 }, Log: log,
	}
	var routers []objectstore.Instance
	for n := 1; n < instances; n++ {
		r := newUDPRelay(b, s.peers.transport.Address(), &s.peers.bytes)
		routers = append(routers, objectstore.Instance{ID: fmt.Sprint("r", n), Role: objectstore.RoleRouter, Address: r.socket.LocalAddr().String()})
	}
	tracker.MergeInstanceList(routers)
	s.replicator = control.NewTargetStateReplicator(tracker, transport, log)
	s.replicator.Register(registry)
	s.targets.Replicator = s.replicator
	s.address = newUDPRelay(b, transport.Address(), &s.peers.bytes).socket.LocalAddr().String()
	return s
}

// staticInstances is an instance list that never changes.
type staticInstances []objectstore.Instance

func (l staticInstances) Instances(context.Context) ([]objectstore.Instance, error) { return l, nil }

func newIdentity(b *testing.B) *peer.Identity {
	authority := certstest.NewAuthority(b)
	files := authority.Issue("bench")
	pair, err := certs.LoadKeyPair(files.Cert, files.Key, hclog.NewNullLogger())
	assert.NilError(b, err)
	caBundle, err := certs.LoadCABundle(authority.CertFile, hclog.NewNullLogger())
	assert.NilError(b, err)
	return &peer.Identity{KeyPair: pair, CABundle: caBundle}
}

// waitUntil waits until holds returns true. condition is the text for the message
// after a timeout, which begins with "not".
func waitUntil(b *testing.B, condition string, holds func() bool) {
	poll.WaitOn(b, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("not %s", condition)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// start starts the instance, waits until it is ready and warmed up, and returns a
// function that stops it.
func (s *replicationBench) start(b *testing.B) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { s.targets.Run(ctx) })
	if s.peers != nil {
		group.Go(func() { s.replicator.Run(ctx) })
		group.Go(func() { s.peers.sendComparisons(ctx, s.address) })
	}
	waitUntil(b, "ready", s.targets.Ready)
	<-time.After(warmUpPeriod)
	if s.peers != nil {
		s.startBytes = s.peers.bytes.Load()
	}
	return func() { cancel(); group.Wait() }
}

// BenchmarkTargetStateReplication measures the CPU time and the traffic with
// targets and peers that one instance needs to keep the states of its targets
// current while nothing changes: alone, and with peers. The CPU time includes that
// of the stand-in engine, the fake peers and the relays, so it is an upper bound.
func BenchmarkTargetStateReplication(b *testing.B) {
	for _, size := range []struct{ targets, instances int }{{22, 1}, {22, 8}, {620, 1}, {620, 410}} {
		b.Run(fmt.Sprintf("targets=%d/instances=%d", size.targets, size.instances), func(b *testing.B) {
			s := newReplicationBench(b, size.targets, size.instances)
			defer s.start(b)()
			b.ResetTimer()
			var peerBytes, peerBytesBefore int64
			if s.peers != nil {
				peerBytesBefore = s.peers.bytes.Load()
			}
			stateBytesBefore, cpu, started := s.handler.bytes.Load(), cpuTime(b), time.Now()
			for range b.N {
				<-time.After(measurementPeriod)
			}
			used, elapsed := cpuTime(b)-cpu, time.Since(started).Seconds()
			if s.peers != nil {
				peerBytes = s.peers.bytes.Load() - peerBytesBefore
			}
			b.StopTimer()
			b.ReportMetric(used.Seconds()/elapsed*100, "cpu-%")
			b.ReportMetric(float64(s.handler.bytes.Load()-stateBytesBefore)/elapsed, "state-B/s")
			b.ReportMetric(float64(peerBytes)/elapsed, "peer-B/s")
			b.ReportMetric(float64(s.startBytes), "start-B")
			observed := 0
			for _, t := range s.targets.TargetSet().Targets {
				if s.targets.Observes(t.ID) {
					observed++
				}
			}
			b.ReportMetric(float64(observed), "observed")
		})
	}
}

// BenchmarkTargetUpdate measures one changed target: the update arrives from 6
// neighbours and is forwarded to 6. The CPU time is an upper bound for the reasons
// given at BenchmarkTargetStateReplication, and includes polling for the change.
func BenchmarkTargetUpdate(b *testing.B) {
	s := newReplicationBench(b, 620, 410)
	defer s.start(b)()
	record := s.peers.records[0]
	neighbours := make([]*udpRelay, 6)
	for i := range neighbours {
		neighbours[i] = newUDPRelay(b, s.address, &atomic.Int64{})
	}
	before, cpu := s.peers.bytes.Load(), cpuTime(b)
	b.ResetTimer()
	for n := range b.N {
		record.Version, record.Leaving = uint64(n+2), n%2 == 0
		for _, r := range neighbours {
			_, err := peer.TargetsUpdate.Call(b.Context(), s.peers.transport, r.socket.LocalAddr().String(), peer.TargetsUpdateBody{Records: []peer.TargetRecord{record}})
			assert.NilError(b, err)
		}
		waitUntil(b, "updated", func() bool { return s.targets.TargetSet().ByID[record.ID].Leaving == record.Leaving })
	}
	b.StopTimer()
	b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/float64(b.N), "cpu-us/update")
	b.ReportMetric(float64(s.peers.bytes.Load()-before)/float64(b.N), "peer-B/update")
}
