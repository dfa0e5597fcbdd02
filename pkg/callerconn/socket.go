package callerconn

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// unreadBytes bounds what the kernel holds of a connection that the process has not
	// read: callers may send on while their request runs.
	unreadBytes = 16 << 10
	// unreadBodyBytes replaces unreadBytes for a connection with larger bodies, so that these
	// arrive in few round trips.
	unreadBodyBytes = 64 << 10
	// kernelFactor is the number of bytes that the kernel holds for each byte of the size
	// that is set.
	kernelFactor = 2
	// stateEstablished is the state of a TCP connection that neither side has closed.
	stateEstablished = 1
)

// Listen opens a TCP listener whose connections hold few bytes in the kernel. network and
// address are those of net.Listen.
func Listen(network, address string) (net.Listener, error) {
	// The kernel limits the window of a connection by the buffer that the listener has when
	// the connection is opened.
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, unreadBytes/kernelFactor)
		})
		if err == nil {
			err = failed
		}
		return err
	}}
	config.SetMultipathTCP(false) // its subflows have buffers of their own
	return config.Listen(context.Background(), network, address)
}

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

// allowUnread raises the bytes that the kernel holds of a connection. With an error, bodies
// arrive more slowly.
func allowUnread(conn net.Conn, bytes int) {
	control(conn, func(fd int) {
		if now, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF); err != nil || now >= bytes {
			return // a smaller buffer would stop a caller that has seen the larger window
		}
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes/kernelFactor)
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bytes/kernelFactor)
	})
}

// hasLeft reports whether the other side has closed a connection. It is false if that is not known.
func hasLeft(conn net.Conn) (left bool) {
	control(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		left = err == nil && info.State != stateEstablished
	})
	return left
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
