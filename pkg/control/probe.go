package control

import (
	"context"

	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

// ProbeState tells whether an instance was found at an address.
type ProbeState string

// Results of a probe.
const (
	ProbeUnknown ProbeState = "unknown" // no response: paused, unreachable or slow; proves nothing
	ProbeAlive   ProbeState = "alive"   // an instance responded with its incarnation
	ProbeRefused ProbeState = "refused" // the host reported that no process listens on the port
)

// ProbeResult is the outcome of a probe.
type ProbeResult struct {
	State       ProbeState
	Incarnation string // of the instance that responded; empty unless State is ProbeAlive
}

// Probe determines within probeTimeout which process listens at an address. The
// holder of a lease is proven gone by ProbeAlive with another incarnation, and
// by ProbeRefused.
func (c *PeerTracker) Probe(ctx context.Context, address string) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answered := make(chan ProbeResult, 1)
	go func() { answered <- c.probeHello(ctx, address) }()
	refused := make(chan bool, 1)
	go func() { refused <- peer.PortClosed(ctx, address) }()
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
		case isRefused := <-refused:
			if isRefused {
				return ProbeResult{State: ProbeRefused}
			}
			refused = nil
		}
	}
}

// probeHello sends a hello on a new connection: a cached one may lead to a
// process that no longer listens at the address.
func (c *PeerTracker) probeHello(ctx context.Context, address string) ProbeResult {
	body, err := peer.Hello.Call(ctx, c.Transport.UnpooledCaller(), address, c.helloBody())
	if err != nil {
		return ProbeResult{State: ProbeUnknown}
	}
	c.recordAnswer(address, body)
	return ProbeResult{State: ProbeAlive, Incarnation: body.Incarnation}
}
