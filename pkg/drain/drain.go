// Package drain stops HTTP servers without cutting requests that callers have just sent.
// http.Server.Shutdown closes a connection whose first request arrives after it was called,
// without an answer, although the request was read.
package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
)

const (
	// firstRequestTime is how long after it was opened a connection without a request is
	// waited for. A caller sends its request at once on a new connection.
	firstRequestTime = 500 * time.Millisecond
	// checkInterval is the time between checks whether the wait is over.
	checkInterval = 5 * time.Millisecond
	// backlogTime is how long a closed Listener waits for further connections that the kernel
	// has established for it. A busy process may not run at all for as long, so that Accept is
	// called again with a new deadline before the wait counts as over.
	backlogTime = 10 * time.Millisecond
	// lastAcceptTime is the deadline of that call, and unusedListenerTime the time after which
	// a closed Listener ends on which Accept is not called.
	lastAcceptTime     = 50 * time.Millisecond
	unusedListenerTime = time.Second
)

// Tracker knows which connections of a server have requests. Its Record method is the
// ConnState hook of the server. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	opened map[net.Conn]time.Time // connections without a request so far
	active map[net.Conn]bool      // connections with a request
}

// NewTracker returns a tracker without connections.
func NewTracker() *Tracker {
	return &Tracker{opened: make(map[net.Conn]time.Time), active: make(map[net.Conn]bool)}
}

// Record implements http.Server.ConnState.
func (t *Tracker) Record(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.opened, conn)
	delete(t.active, conn)
	switch state {
	case http.StateNew:
		t.opened[conn] = time.Now()
	case http.StateActive:
		t.active[conn] = true
	}
}

// awaitsFirstRequest reports whether a connection that was just opened has no request yet.
func (t *Tracker) awaitsFirstRequest() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range t.opened {
		if time.Since(at) < firstRequestTime {
			return true
		}
	}
	return false
}

func (t *Tracker) hasActive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.active) > 0
}

// AwaitFirstRequests waits, after the listener was closed, until connections that were just
// opened have their request. It returns the error of ctx if that ends before.
func (t *Tracker) AwaitFirstRequests(ctx context.Context) error {
	return await(ctx, func() bool { return !t.awaitsFirstRequest() })
}

// AwaitQuiet waits, after the listener was closed, until no request runs and connections
// that were just opened have had theirs. It returns the error of ctx if that ends before.
// Idle connections stay open, because a caller may have sent a request that was not read yet:
// once AwaitQuiet has returned, the handler must refuse requests, and AwaitQuiet be called
// again, before the server may be closed.
func (t *Tracker) AwaitQuiet(ctx context.Context) error {
	return await(ctx, func() bool { return !t.hasActive() && !t.awaitsFirstRequest() })
}

func await(ctx context.Context, done func() bool) error {
	for !done() {
		if !clock.Sleep(ctx, checkInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// Listener accepts the established connections before it closes. A TCP listener that is
// closed at once resets them, with requests that may have been sent on them.
type Listener struct {
	*net.TCPListener
	closing    atomic.Bool
	lastAccept atomic.Bool // the deadline of the last call of Accept is set
}

// NewListener returns l as a Listener, or l itself if it is no TCP listener.
func NewListener(l net.Listener) net.Listener {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return l
	}
	return &Listener{TCPListener: tcp}
}

// Close makes Accept return the established connections and then net.ErrClosed. Without a
// call of Accept the listener closes soon after.
func (l *Listener) Close() error {
	if l.closing.Swap(true) {
		return nil
	}
	time.AfterFunc(unusedListenerTime, func() { _ = l.TCPListener.Close() }) // usually closed by then
	return l.SetDeadline(time.Now().Add(backlogTime))
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil || !l.closing.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	if !l.lastAccept.Swap(true) && l.SetDeadline(time.Now().Add(lastAcceptTime)) == nil {
		return l.Accept()
	}
	return nil, errors.Join(net.ErrClosed, l.TCPListener.Close())
}
