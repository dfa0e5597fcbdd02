package control

import (
	"context"

	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

// ProbeState is what a probe proves about an address.
type ProbeState string

// Results of a probe.
const (
	ProbeUnknown ProbeState = "unknown" // no answer: frozen, unreachable or slow; proves nothing
	ProbeAlive   ProbeState = "alive"   // an instance answered with its incarnation
	ProbeRefused ProbeState = "refused" // the host said that no process has the port
)

// ProbeResult is the outcome of a probe.
type ProbeResult struct {
	State       ProbeState
	Incarnation string // of the instance that answered
}

// Probe asks which process has an address now. The holder of a lease is proven
// gone by ProbeAlive with another incarnation and by ProbeRefused.
func (c *PeerTracker) Probe(ctx context.Context, address string) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answered := make(chan ProbeResult, 1)
	go func() { answered <- c.probeHello(ctx, address) }()
	refused := make(chan bool, 1)
	go func() { refused <- peer.Refused(ctx, address) }()
	for {
		select {
		case result := <-answered:
			if result.State == ProbeAlive || refused == nil {
				return result
			}
			if <-refused {
				return ProbeResult{State: ProbeRefused}
			}
			return result
		case gone := <-refused:
			if gone {
				return ProbeResult{State: ProbeRefused}
			}
			refused = nil
		}
	}
}

// probeHello says hello on a connection of its own: a cached one may lead to a
// process that no longer has the address.
func (c *PeerTracker) probeHello(ctx context.Context, address string) ProbeResult {
	body, err := peer.Hello.Call(ctx, c.Transport.CallFresh(), address, c.hello())
	if err != nil {
		return ProbeResult{State: ProbeUnknown}
	}
	c.settle(address, body)
	return ProbeResult{State: ProbeAlive, Incarnation: body.Incarnation}
}
