package targetconn

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
)

const (
	// downProbes is the number of connections that IsDown tries. The connections of
	// an exiting process may break before its listener closes.
	downProbes = 3
	// downProbeInterval is the time between two of them.
	downProbeInterval = 20 * time.Millisecond
	// downProbeTimeout bounds all of them together, because a retry waits for them.
	downProbeTimeout = 300 * time.Millisecond
)

// IsDown reports whether no process listens at the address of a target. It is
// called after a connection broke, to tell a crash from a lost connection. A
// timeout does not count as down, because a network failure would then look like
// the crash of all targets behind it.
func IsDown(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), downProbeTimeout)
	defer cancel()
	for range downProbes {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err == nil {
			_ = conn.Close() // nothing was sent on it
			return false
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if !clock.Sleep(ctx, downProbeInterval) {
			return false
		}
	}
	return false
}
