package callerconn

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/memlimit"
)

const (
	// headBaseBytes is the memory of a request without its head and body. headLineBytes is
	// that of each header line, which is in several maps until it is sent on, and
	// headByteFactor that of each byte: as it is read, parsed, and written to a target.
	headBaseBytes  = 16 << 10
	headLineBytes  = 200
	headByteFactor = 3
	// encryptedByteFactor replaces the two while the bytes of a head are encrypted.
	encryptedByteFactor = 10
	// maxEncryptedHead is the size above which encrypted bytes are no head, but frames that
	// keep a connection open.
	maxEncryptedHead = 128 << 10
	// encryptedConnBytes replaces connBytes with TLS.
	encryptedConnBytes = 48 << 10
	// StreamBufferBytes bounds the unread bytes of all streams of a connection of HTTP/2.
	StreamBufferBytes = 128 << 10
	// refusalTime bounds writing a refusal.
	refusalTime = 100 * time.Millisecond
)

// refusal is the answer to a request whose head was not read to its end. Its status promises
// that the request has not run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.3\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// connState is what a connection is used for.
type connState int

const (
	stateReceiving connState = iota // awaits its first request, or receives one
	stateIdle                       // awaits a further request
)

// Conn is a connection of a caller. It reserves memory for the heads that are read from it.
type Conn struct {
	net.Conn
	limiter   *Limiter
	encrypted bool
	memory    memlimit.Reservation // of the connection itself
	state     connState            // guarded by limiter.mu
	since     time.Time            // of the state or the last progress; guarded by limiter.mu
	running   int                  // complete requests that run, several with HTTP/2; guarded by limiter.mu

	mu       sync.Mutex
	inHead   bool     // what is read belongs to a head
	head     *receipt // of the head that is read; nil before its first byte
	growing  bool     // Read reserves memory for a head and releases it if that is no longer head
	aborted  bool     // no further request may run
	isClosed bool
	leave    context.CancelFunc // ends the requests; nil: only the server does
	unread   int64              // bytes that the kernel may hold while a request runs
	streams  bool               // memory holds the buffers of HTTP/2
}

// Listen returns a listener whose connections are bounded. encrypted is set if the connections
// carry TLS, which take more memory, so that there are fewer. With a nil limiter it returns inner.
func (l *Limiter) Listen(inner net.Listener, encrypted bool) net.Listener {
	if l == nil {
		return inner
	}
	if encrypted {
		l.mu.Lock()
		l.maxConns = max(1, min(l.maxConns, connsWithin(l.budget.Total(), encryptedConnBytes)))
		l.mu.Unlock()
	}
	return &listener{Listener: inner, limiter: l, encrypted: encrypted}
}

type listener struct {
	net.Listener
	limiter   *Limiter
	encrypted bool
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.limiter.admit(raw, l.encrypted); conn != nil {
			return conn, nil
		}
		_ = raw.Close() // refused
	}
}

// admit returns a connection, or nil if there is no room for it. It closes another connection
// to make room, and only one: what it releases may be taken by a request that waits for memory.
func (l *Limiter) admit(raw net.Conn, encrypted bool) *Conn {
	c := &Conn{Conn: raw, limiter: l, encrypted: encrypted, inHead: true, unread: unreadBytes, memory: l.budget.For(causeConnection), since: time.Now()}
	if l.add(c) {
		return c
	}
	if yielding := l.connToClose(); yielding != nil {
		l.recordEvent(l.ended, causeConnection, "connection closed to make room for another")
		_ = yielding.Close()
		if l.add(c) {
			return c
		}
	}
	l.recordEvent(l.refused, causeConnection, "connection refused; no room is left for connections")
	return nil
}

// add counts a connection and reports whether there is room for it.
func (l *Limiter) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	bytes := int64(connBytes)
	if c.encrypted {
		bytes = encryptedConnBytes
	}
	if len(l.conns) >= l.maxConns || !c.memory.Grow(bytes) {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

// connToClose returns the connection that gives way to a new one: the one that has been
// receiving its request without progress for longest, or else the one that has been idle for
// longest. It returns nil if there is none.
func (l *Limiter) connToClose() *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var chosen *Conn
	for c := range l.conns {
		switch {
		case c.running > 0 || now.Sub(c.since) < minStall:
		case chosen == nil || c.state < chosen.state || c.state == chosen.state && c.since.Before(chosen.since):
			chosen = c
		}
	}
	return chosen
}

// Read implements net.Conn. It fails if no memory is left for the head that is read.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.reserveHead(p[:n]) == nil {
		return n, err
	}
	if !c.encrypted {
		_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
		_, _ = c.Conn.Write([]byte(refusal)) // the caller may have closed the connection
	}
	// The server closes the connection without a further answer after this type of error.
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: ErrOutOfMemory}
}

// reserveHead reserves memory for bytes of a head. It does nothing for other bytes. After an
// error no request of the connection runs.
func (c *Conn) reserveHead(data []byte) error {
	head := c.startGrowing()
	if head == nil {
		return nil
	}
	cost := int64(headByteFactor*len(data) + headLineBytes*bytes.Count(data, []byte("\n")))
	if c.encrypted {
		cost = encryptedCost(head, len(data))
	}
	c.limiter.recordReceived(head, len(data))
	err := c.limiter.grow(head, cost)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.growing = false
	if c.head != head { // its request runs, or the connection is closed
		head.reservation.Release()
		return nil
	}
	c.aborted = c.aborted || err != nil
	return err
}

// encryptedCost returns the memory of further encrypted bytes of a head.
func encryptedCost(head *receipt, length int) int64 {
	if head.reservation.Bytes() >= encryptedByteFactor*maxEncryptedHead {
		return 0
	}
	return int64(encryptedByteFactor * length)
}

// startGrowing returns the receipt of the head that is read, or nil if none is.
func (c *Conn) startGrowing() *receipt {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead || c.isClosed {
		return nil
	}
	if c.head == nil {
		c.head = c.limiter.newReceipt(causeHead, c.Conn, func() { _ = c.Conn.Close() })
	}
	c.growing = true
	return c.head
}

// releaseHead ends the reading of a head. inHead is whether the next bytes belong to another.
// It reports whether the request may run: not after a refusal, and not if the head had to give way,
// which has closed the connection.
func (c *Conn) releaseHead(inHead bool) (mayRun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = inHead
	if c.head != nil {
		if c.limiter.finish(c.head) {
			c.aborted = true
		}
		if !c.growing {
			c.head.reservation.Release()
		}
		c.head = nil
	}
	return !c.aborted
}

// setState records what the connection is used for.
func (c *Conn) setState(state connState) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.state, c.since = state, time.Now()
}

// startRunning counts a complete request. The connection does not give way before its end.
func (c *Conn) startRunning() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.running++; c.running == 1 {
		c.since = time.Now()
	}
	c.limiter.startChecks()
}

// endRunning ends a request of startRunning.
func (c *Conn) endRunning() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.running--
	c.since = time.Now()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	wasClosed := c.isClosed
	c.isClosed = true
	c.mu.Unlock()
	if wasClosed {
		return err
	}
	c.endRequests()
	c.releaseHead(true)
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	delete(c.limiter.conns, c)
	c.memory.Release()
	return err
}

// endRequests ends the contexts of the connection's requests.
func (c *Conn) endRequests() {
	c.mu.Lock()
	leave := c.leave
	c.mu.Unlock()
	if leave != nil {
		leave()
	}
}

// CloseWrite closes the sending side, as the HTTP server does before it closes a connection
// with unread bytes.
func (c *Conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets how the connection is closed; see net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if inner, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return inner.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// fromNetConn returns the Conn in a connection of the server, or nil.
func fromNetConn(conn net.Conn) *Conn {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	c, _ := conn.(*Conn)
	return c
}

// Record records the state of a connection. It is meant for http.Server.ConnState.
func (l *Limiter) Record(conn net.Conn, state http.ConnState) {
	c := fromNetConn(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.setState(stateReceiving)
	case http.StateIdle:
		c.releaseHead(true)
		c.setState(stateIdle)
	}
}

type contextKey struct{}

// ContextWithConn stores the connection in the context of its requests, which then also ends
// when either side has closed the connection. It is meant for http.Server.ConnContext.
func ContextWithConn(ctx context.Context, conn net.Conn) context.Context {
	c := fromNetConn(conn)
	if c == nil {
		return ctx
	}
	ctx, cancel := context.WithCancel(context.WithValue(ctx, contextKey{}, c))
	c.mu.Lock()
	c.leave = cancel
	c.mu.Unlock()
	return ctx
}

// fromContext returns the connection of a request, or nil.
func fromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Handler returns a handler that holds memory for the head of each request until next returns,
// and for what the kernel may hold behind the request. If none is left it calls refuse instead.
func (l *Limiter) Handler(next, refuse http.Handler) http.Handler {
	if l == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		head := &receipt{cause: causeHead, reservation: l.budget.For(causeHead)} // complete
		defer func() { head.reservation.Release() }()
		bytes := headCost(r)
		if c := fromContext(r.Context()); c != nil {
			if !c.releaseHead(false) {
				panic(http.ErrAbortHandler) // no answer can be sent
			}
			if r.Body == nil || r.Body == http.NoBody {
				c.startRunning()
				defer c.endRunning()
			}
			if r.ProtoMajor == 1 {
				bytes += c.unreadLimit()
			} else if !c.reserveStreams() {
				refuse.ServeHTTP(w, r)
				return
			}
		}
		if l.grow(head, bytes) != nil {
			refuse.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// reserveStreams reserves the buffers of HTTP/2 for a connection, once. It reports whether
// there is memory for them.
func (c *Conn) reserveStreams() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed || c.streams {
		return true
	}
	c.streams = c.memory.Grow(StreamBufferBytes)
	return c.streams
}

// unreadLimit returns the bytes that the kernel may hold of the connection.
func (c *Conn) unreadLimit() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unread
}

// allowBody lets more of a large body arrive before it is read, if there is memory for it. It
// returns that memory, which must be held until the end of the request. The buffer of the
// connection stays as it is then.
func (c *Conn) allowBody(length int64) memlimit.Reservation {
	c.mu.Lock()
	defer c.mu.Unlock()
	memory := c.limiter.budget.For(causeBody)
	if length >= 0 && length <= unreadBytes || c.unread == unreadBodyBytes || !memory.Grow(unreadBodyBytes-c.unread) {
		return memory
	}
	c.unread = unreadBodyBytes
	allowUnread(c.Conn, unreadBodyBytes)
	return memory
}

// headCost returns the memory that a request takes without its body.
func headCost(r *http.Request) int64 {
	lines, length := 0, len(r.RequestURI)+len(r.Host)
	for name, values := range r.Header {
		lines += len(values)
		for _, value := range values {
			length += len(name) + len(value)
		}
	}
	return int64(headBaseBytes + headLineBytes*lines + headByteFactor*length)
}
