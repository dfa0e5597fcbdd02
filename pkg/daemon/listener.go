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
	// idleTimeoutMarker is the idle timeout of the HTTP server. idleConn replaces
	// deadlines that far away by the configured timeout, which may change while
	// the server runs.
	idleTimeoutMarker = time.Hour
	// defaultIdleTimeout applies until a configuration states a timeout.
	defaultIdleTimeout = 15 * time.Second
)

// idleTimeout is the configured idle timeout of callers' connections. Its methods
// may be called concurrently.
type idleTimeout struct {
	nanos atomic.Int64
}

// newIdleTimeout returns an idle timeout of defaultIdleTimeout.
func newIdleTimeout() *idleTimeout {
	t := &idleTimeout{}
	t.set(defaultIdleTimeout)
	return t
}

// set changes the timeout for all connections. Values of zero or less have no
// effect.
func (t *idleTimeout) set(d time.Duration) {
	if d > 0 {
		t.nanos.Store(int64(d))
	}
}

// wrap returns a listener whose connections use the timeout.
func (t *idleTimeout) wrap(l net.Listener) net.Listener { return idleListener{l, t} }

type idleListener struct {
	net.Listener
	timeout *idleTimeout
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
	return &idleConn{tcp, l.timeout}, nil
}

// idleConn replaces the marker timeout of the HTTP server by the configured one.
type idleConn struct {
	*net.TCPConn
	timeout *idleTimeout
}

// SetReadDeadline implements net.Conn.
func (c *idleConn) SetReadDeadline(at time.Time) error {
	if !at.IsZero() && time.Until(at) > idleTimeoutMarker/2 {
		at = time.Now().Add(time.Duration(c.timeout.nanos.Load()))
	}
	return c.TCPConn.SetReadDeadline(at)
}
