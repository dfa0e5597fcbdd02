package daemon

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// readHeaderTimeout bounds reading a request header.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds a header before the configured limit is known.
	maxHeaderBytes = 64 << 10
	// idleTimeoutMarker is the idle timeout that the HTTP server is given. Its
	// connections turn deadlines that far away into the configured timeout,
	// which may change while the server runs.
	idleTimeoutMarker = time.Hour
	// defaultIdle holds until a configuration states a timeout.
	defaultIdle = 15 * time.Second
)

// idleTimeouts applies the configured idle timeout to callers' connections.
type idleTimeouts struct {
	timeout atomic.Int64
}

func newIdleTimeouts() *idleTimeouts {
	t := &idleTimeouts{}
	t.set(defaultIdle)
	return t
}

func (t *idleTimeouts) set(d time.Duration) {
	if d > 0 {
		t.timeout.Store(int64(d))
	}
}

func (t *idleTimeouts) listener(l net.Listener) net.Listener { return idleListener{l, t} }

type idleListener struct {
	net.Listener
	timeouts *idleTimeouts
}

// Accept implements net.Listener.
func (l idleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	return &callerConn{tcp, l.timeouts}, nil
}

type callerConn struct {
	*net.TCPConn
	timeouts *idleTimeouts
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(at time.Time) error {
	if !at.IsZero() && time.Until(at) > idleTimeoutMarker/2 {
		at = time.Now().Add(time.Duration(c.timeouts.timeout.Load()))
	}
	return c.TCPConn.SetReadDeadline(at)
}
