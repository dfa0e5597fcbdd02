package targetconn

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout returns a socket option setter that ends a connection when sent
// bytes stay unacknowledged for d, so that a partitioned peer is noticed.
func userTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return set
	}
}
