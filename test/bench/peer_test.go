package bench

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/certs"
	"lacewingwheel.example/lacewingwheel/pkg/certs/certstest"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

// newPeer starts a transport that answers hello messages.
func newPeer(b *testing.B, authority *certstest.Authority) *peer.Transport {
	files := authority.Issue("peer")
	pair, err := certs.LoadKeyPair(files.Cert, files.Key, hclog.NewNullLogger())
	assert.NilError(b, err)
	caBundle, err := certs.LoadCABundle(authority.CertFile, hclog.NewNullLogger())
	assert.NilError(b, err)
	registry := peer.NewRegistry()
	peer.Hello.Handle(registry, func(_ context.Context, body peer.HelloBody) (peer.HelloBody, error) { return body, nil })
	transport, err := peer.Listen("127.0.0.1:0", &peer.Identity{KeyPair: pair, CABundle: caBundle}, registry, hclog.NewNullLogger())
	assert.NilError(b, err)
	go transport.Serve()
	b.Cleanup(func() { transport.Close() })
	return transport
}

var helloBody = peer.HelloBody{ID: "router-1", Address: "127.0.0.1:1", Zone: "a", Incarnation: "00000000-0000-0000-0000-000000000000", Generation: 1}

// BenchmarkPeerExchange measures one request and response on an open connection
// and one that needs a handshake, as most do in a large fleet. Both ends are in
// this process, so that the CPU time is that of two instances.
func BenchmarkPeerExchange(b *testing.B) {
	authority := certstest.NewAuthority(b)
	client, server := newPeer(b, authority), newPeer(b, authority)
	for _, bench := range []struct {
		name   string
		caller peer.Caller
	}{{"open connection", client}, {"handshake", client.UnpooledCaller()}} {
		b.Run(bench.name, func(b *testing.B) {
			_, err := peer.Hello.Call(b.Context(), bench.caller, server.Address(), helloBody)
			assert.NilError(b, err)
			cpu := cpuTime(b)
			b.ResetTimer()
			for range b.N {
				_, err := peer.Hello.Call(b.Context(), bench.caller, server.Address(), helloBody)
				assert.NilError(b, err)
			}
			b.StopTimer()
			b.ReportMetric(float64((cpuTime(b)-cpu).Nanoseconds())/float64(b.N)/1e3, "cpu-us/exchange")
		})
	}
}

// BenchmarkPeerConnections measures the memory of open connections, both ends
// of which are in this process.
func BenchmarkPeerConnections(b *testing.B) {
	const connections = 48
	authority := certstest.NewAuthority(b)
	client := newPeer(b, authority)
	servers := make([]*peer.Transport, connections)
	for i := range servers {
		servers[i] = newPeer(b, authority)
	}
	before := heapBytes()
	for _, server := range servers {
		_, err := peer.Hello.Call(b.Context(), client, server.Address(), helloBody)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(heapBytes()-before)/(2*connections), "heap-B/end")
	for range b.N {
	}
}
