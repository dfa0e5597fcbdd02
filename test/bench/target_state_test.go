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
	packetHeaderBytes = 28 // IPv4 and UDP
	maxPacketBytes    = 2048
	measureTime       = 20 * time.Second
	settleTime        = 3 * time.Second // start and handshakes, not measured
	exchangesPerPeer  = 500 * time.Millisecond
)

// relay forwards UDP packets between one client and a server, and counts them.
type relay struct {
	socket *net.UDPConn
	server *net.UDPConn
	client atomic.Pointer[net.UDPAddr]
	bytes  *atomic.Int64
}

func newRelay(b *testing.B, server string, bytes *atomic.Int64) *relay {
	address, err := net.ResolveUDPAddr("udp", server)
	assert.NilError(b, err)
	r := &relay{bytes: bytes}
	r.server, err = net.DialUDP("udp", nil, address)
	assert.NilError(b, err)
	r.socket, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(b, err)
	b.Cleanup(func() { r.server.Close(); r.socket.Close() })
	go r.forward()
	go r.back()
	return r
}

func (r *relay) forward() {
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

func (r *relay) back() {
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

// fakeFleet stands for all other instances: one transport behind many relays.
type fakeFleet struct {
	transport *peer.Transport
	records   []peer.TargetRecord
	bytes     atomic.Int64 // between the instance and the fleet, both ways
	digest    atomic.Uint64
}

// ages are confirmations of up to 3 s, in units of 50 ms.
func (f *fakeFleet) ages() []byte {
	ages := make([]byte, len(f.records))
	for i := range ages {
		ages[i] = byte(rand.N(60))
	}
	return ages
}

func newFakeFleet(b *testing.B, identity *peer.Identity, rows []objectstore.Instance, state engine.State) *fakeFleet {
	f := &fakeFleet{}
	for _, row := range rows {
		f.records = append(f.records, peer.TargetRecord{
			ID: row.ID, Version: 1, Reachable: true, CanResume: state.CanResume,
			Incarnation: state.Incarnation, Model: state.Model, WeightVersion: state.WeightVersion, Adapter: state.Adapter,
		})
	}
	registry := peer.NewRegistry()
	peer.TargetsFetch.Handle(registry, func(context.Context, peer.EmptyBody) (peer.TargetsFetchAnswer, error) {
		return peer.TargetsFetchAnswer{Records: f.records}, nil
	})
	peer.TargetsConfirm.Handle(registry, func(_ context.Context, body peer.TargetsConfirmBody) (peer.TargetsConfirmBody, error) {
		f.digest.Store(body.Digest)
		return peer.TargetsConfirmBody{Digest: body.Digest, IsSettled: true, Ages: f.ages()}, nil
	})
	peer.TargetsUpdate.Handle(registry, func(context.Context, peer.TargetsUpdateBody) (peer.TargetsUpdateAnswer, error) {
		return peer.TargetsUpdateAnswer{}, nil
	})
	var err error
	f.transport, err = peer.Listen("127.0.0.1:0", identity, registry, hclog.NewNullLogger())
	assert.NilError(b, err)
	b.Cleanup(func() { _ = f.transport.Close() })
	go f.transport.Serve()
	return f
}

// confirm sends as many comparisons as an instance gets from others.
func (f *fakeFleet) confirm(ctx context.Context, address string) {
	for ctx.Err() == nil {
		body := peer.TargetsConfirmBody{Digest: f.digest.Load(), IsSettled: true, Ages: f.ages()}
		_, _ = peer.TargetsConfirm.Call(ctx, f.transport, address, body)
		select {
		case <-ctx.Done():
		case <-time.After(exchangesPerPeer):
		}
	}
}

// shareBench is one instance with its targets and, if it has peers, the fleet.
type shareBench struct {
	handler *countingHandler
	targets *control.TargetController
	spread  *control.TargetStateReplicator
	fleet   *fakeFleet
	address string // of the instance, through a relay
	// startBytes were exchanged with peers up to settleTime after it was ready.
	startBytes int64
}

func newShareBench(b *testing.B, targets, instances int) *shareBench {
	s := &shareBench{handler: &countingHandler{next: standin.NewEngine(standin.DefaultEngineOptions("demo")).Handler()}}
	server := httptest.NewServer(s.handler)
	b.Cleanup(server.Close)
	var rows []objectstore.Instance
	for n := range targets {
		rows = append(rows, objectstore.Instance{
			ID: fmt.Sprintf("engine-%d", n), Role: objectstore.RoleEngine, Zone: "a", Address: server.Listener.Addr().String(),
		})
	}
	log := hclog.NewNullLogger()
	s.targets = &control.TargetController{List: listOf(rows), Client: engine.NewHTTPClient(), Log: log}
	if instances == 1 {
		return s
	}
	identity := newIdentity(b)
	state, err := s.targets.Client.State(b.Context(), rows[0].Address)
	assert.NilError(b, err)
	s.fleet = newFakeFleet(b, identity, rows, state)
	registry := peer.NewRegistry()
	transport, err := peer.Listen("127.0.0.1:0", identity, registry, log)
	assert.NilError(b, err)
	b.Cleanup(func() { _ = transport.Close() })
	go transport.Serve()
	all := &control.PeerTracker{
		Self:      control.InstanceIdentity{ID: "r0", Address: transport.Address(), Incarnation: "r0"},
		Transport: transport, Generation: func() uint64 { return 1 }, Log: log,
	}
	var routers []objectstore.Instance
	for n := 1; n < instances; n++ {
		r := newRelay(b, s.fleet.transport.Address(), &s.fleet.bytes)
		routers = append(routers, objectstore.Instance{ID: fmt.Sprint("r", n), Role: objectstore.RoleRouter, Address: r.socket.LocalAddr().String()})
	}
	all.MergeInstanceList(routers)
	s.spread = control.NewTargetStateReplicator(all, transport, log)
	s.spread.Register(registry)
	s.targets.Replicator = s.spread
	s.address = newRelay(b, transport.Address(), &s.fleet.bytes).socket.LocalAddr().String()
	return s
}

type listOf []objectstore.Instance

func (l listOf) Instances(context.Context) ([]objectstore.Instance, error) { return l, nil }

func newIdentity(b *testing.B) *peer.Identity {
	authority := certstest.NewAuthority(b)
	files := authority.Issue("bench")
	pair, err := certs.LoadKeyPair(files.Cert, files.Key, hclog.NewNullLogger())
	assert.NilError(b, err)
	trusted, err := certs.LoadCABundle(authority.CertFile, hclog.NewNullLogger())
	assert.NilError(b, err)
	return &peer.Identity{KeyPair: pair, CABundle: trusted}
}

func waitUntil(b *testing.B, what string, done func() bool) {
	poll.WaitOn(b, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("not %s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// run starts the instance and returns a function that stops it.
func (s *shareBench) run(b *testing.B) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { s.targets.Run(ctx) })
	if s.fleet != nil {
		group.Go(func() { s.spread.Run(ctx) })
		group.Go(func() { s.fleet.confirm(ctx, s.address) })
	}
	waitUntil(b, "ready", s.targets.Ready)
	<-time.After(settleTime)
	if s.fleet != nil {
		s.startBytes = s.fleet.bytes.Load()
	}
	return func() { cancel(); group.Wait() }
}

// BenchmarkTargetStateShare measures what the states of the targets cost one
// instance over a time without changes: alone, and as one of a fleet. The
// processor time includes the stand-in engine's, the fake peers' and the
// relays', so it is an upper bound.
func BenchmarkTargetStateShare(b *testing.B) {
	for _, size := range []struct{ targets, instances int }{{22, 1}, {22, 8}, {620, 1}, {620, 410}} {
		b.Run(fmt.Sprintf("targets=%d/instances=%d", size.targets, size.instances), func(b *testing.B) {
			s := newShareBench(b, size.targets, size.instances)
			defer s.run(b)()
			b.ResetTimer()
			var peerBytes, peerBefore int64
			if s.fleet != nil {
				peerBefore = s.fleet.bytes.Load()
			}
			stateBefore, cpu, began := s.handler.bytes.Load(), processTime(b), time.Now()
			for range b.N {
				<-time.After(measureTime)
			}
			used, elapsed := processTime(b)-cpu, time.Since(began).Seconds()
			if s.fleet != nil {
				peerBytes = s.fleet.bytes.Load() - peerBefore
			}
			b.StopTimer()
			b.ReportMetric(used.Seconds()/elapsed*100, "cpu-%")
			b.ReportMetric(float64(s.handler.bytes.Load()-stateBefore)/elapsed, "state-B/s")
			b.ReportMetric(float64(peerBytes)/elapsed, "peer-B/s")
			b.ReportMetric(float64(s.startBytes), "start-B")
			reads := 0
			for _, t := range s.targets.Set().Targets {
				if s.targets.Observes(t.ID) {
					reads++
				}
			}
			b.ReportMetric(float64(reads), "observed")
		})
	}
}

// BenchmarkTargetUpdate measures one changed target: the update arrives from 6
// neighbours and is passed on to 6. The processor time is an upper bound as
// above, and includes the polls for the published change.
func BenchmarkTargetUpdate(b *testing.B) {
	s := newShareBench(b, 620, 410)
	defer s.run(b)()
	record := s.fleet.records[0]
	neighbours := make([]*relay, 6)
	for i := range neighbours {
		neighbours[i] = newRelay(b, s.address, &atomic.Int64{})
	}
	before, cpu := s.fleet.bytes.Load(), processTime(b)
	b.ResetTimer()
	for n := range b.N {
		record.Version, record.Leaving = uint64(n+2), n%2 == 0
		for _, r := range neighbours {
			_, err := peer.TargetsUpdate.Call(b.Context(), s.fleet.transport, r.socket.LocalAddr().String(), peer.TargetsUpdateBody{Records: []peer.TargetRecord{record}})
			assert.NilError(b, err)
		}
		waitUntil(b, "updated", func() bool { return s.targets.Set().ByID[record.ID].Leaving == record.Leaving })
	}
	b.StopTimer()
	b.ReportMetric(float64((processTime(b)-cpu).Microseconds())/float64(b.N), "cpu-us/update")
	b.ReportMetric(float64(s.fleet.bytes.Load()-before)/float64(b.N), "peer-B/update")
}
