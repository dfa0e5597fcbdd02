package peer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// refusalTimeout bounds the wait for a refusal. The kernel of the other host sends
// it at once or not at all.
const refusalTimeout = time.Second

// probePacket is not a QUIC packet, as its fixed bit is not set. A transport that
// listens on the port drops it.
var probePacket = []byte{0}

// PortClosed reports whether the host of an address refuses a packet to its UDP
// port with an ICMP message, because no process listens there. It takes at most
// refusalTimeout. A QUIC dial does not show refusals: the kernel reports them only
// to connected sockets, and the socket of a QUIC transport is not connected. A
// missing response is no refusal: the process may be frozen or the network down.
func PortClosed(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{}).DialContext(ctx, "udp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	deadline := time.Now().Add(refusalTimeout)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	_ = conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	if _, err := conn.Write(probePacket); err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_, err = conn.Read(make([]byte, 1))
	return errors.Is(err, syscall.ECONNREFUSED)
}
