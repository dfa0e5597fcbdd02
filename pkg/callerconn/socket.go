package callerconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// control calls f with the descriptor of a connection, unless that is closed or no socket.
func control(conn net.Conn, f func(fd int)) {
	holder, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := holder.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // fails if it is closed
	}
}

// hasUnread reports whether bytes have arrived at a connection that are not read. It is false if
// that is not known.
func hasUnread(conn net.Conn) (has bool) {
	control(conn, func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		has = err == nil && n > 0
	})
	return has
}
