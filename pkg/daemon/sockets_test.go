package daemon_test

import (
	"fmt"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// heldSockets keeps the socket of each drawn address open until a daemon takes it,
// so that no other process can bind its port meanwhile.
type heldSockets struct {
	mu          sync.Mutex
	listeners   map[string]net.Listener
	packetConns map[string]net.PacketConn
}

func newHeldSockets(t testing.TB) *heldSockets {
	h := &heldSockets{listeners: make(map[string]net.Listener), packetConns: make(map[string]net.PacketConn)}
	t.Cleanup(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, l := range h.listeners {
			assert.Check(t, l.Close())
		}
		for _, c := range h.packetConns {
			assert.Check(t, c.Close())
		}
	})
	return h
}

// tcpAddress returns the address of a new TCP listener.
func (h *heldSockets) tcpAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners[l.Addr().String()] = l
	return l.Addr().String()
}

// udpAddress returns the address of a new UDP socket.
func (h *heldSockets) udpAddress(t testing.TB) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.packetConns[c.LocalAddr().String()] = c
	return c.LocalAddr().String()
}

// listen hands over the listener of a drawn address.
func (h *heldSockets) listen(_, address string) (net.Listener, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.listeners[address]
	if l == nil {
		return nil, fmt.Errorf("no held listener at %s", address)
	}
	delete(h.listeners, address)
	return l, nil
}

// listenPacket hands over the UDP socket of a drawn address.
func (h *heldSockets) listenPacket(_, address string) (net.PacketConn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.packetConns[address]
	if c == nil {
		return nil, fmt.Errorf("no held UDP socket at %s", address)
	}
	delete(h.packetConns, address)
	return c, nil
}
