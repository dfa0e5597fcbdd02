package peer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// refusedWait bounds the wait for a refusal. The kernel of the other machine
// sends it at once, or not at all.
const refusedWait = time.Second

// probePacket is no QUIC packet (the fixed bit is not set), so a listening
// transport drops it.
var probePacket = []byte{0}

// PortClosed reports whether the host of an address says that no process has the
// port. A QUIC dial does not show this, because its socket is not connected and
// the kernel then has nobody to report the ICMP message to; a connected socket
// gets it as an error. Silence is no refusal: the process may be frozen or the
// network down.
func PortClosed(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{}).DialContext(ctx, "udp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	deadline := time.Now().Add(refusedWait)
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
