package targetconn

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout returns a net.Dialer.Control function that closes a connection
// when sent bytes stay unacknowledged for d, so that a network partition is
// detected.
func tcpUserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}
}
