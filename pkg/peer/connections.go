package peer

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// dialTimeout bounds one connection attempt. It does not depend on the context of
// a caller, because several callers may wait for the same attempt.
const dialTimeout = 2 * handshakeIdleTimeout

// maxSilence is how long a connection on which requests timed out is used although
// no packet has arrived on it since. A peer that was replaced resets it earlier.
const maxSilence = time.Second

// connectionPool caches up to limit open connections by address. When it is full,
// it evicts the least recently used connection without references.
type connectionPool struct {
	limit int
	dial  func(ctx context.Context, address string) (*quic.Conn, error)

	mu     sync.Mutex
	closed bool
	byAddr map[string]*list.Element // of *pooledConn
	lru    *list.List               // most recently used first
}

// pooledConn is one entry of the pool. conn and err are set before ready is
// closed; the pool's mu guards refs and detached.
type pooledConn struct {
	address string
	ready   chan struct{}
	conn    *quic.Conn
	err     error

	refs     int
	detached bool // no longer in the pool; closed when the last reference is released
	// silentSince is when the first request began that timed out without any packet
	// from the peer, and silentAt the number of packets received until then. Zero if
	// none did.
	silentSince time.Time
	silentAt    uint64
}

// packetsReceived returns the number of packets that arrived on an open connection.
func (e *pooledConn) packetsReceived() uint64 { return e.conn.ConnectionStats().PacketsReceived }

// connRef is a reference to a pooled connection. Its holder must release it.
type connRef struct {
	*pooledConn
	pool *connectionPool
}

func newConnectionPool(limit int, dial func(context.Context, string) (*quic.Conn, error)) *connectionPool {
	return &connectionPool{limit: limit, dial: dial, byAddr: make(map[string]*list.Element), lru: list.New()}
}

// acquire returns a reference to the connection to an address, and dials if there
// is none. The caller must release it.
func (c *connectionPool) acquire(ctx context.Context, address string) (*connRef, error) {
	c.mu.Lock()
	entry, err := c.lookup(address)
	if err != nil {
		c.mu.Unlock()
		return nil, err
	}
	entry.refs++
	c.mu.Unlock()
	r := &connRef{pooledConn: entry, pool: c}
	select {
	case <-entry.ready:
	case <-ctx.Done():
		r.release()
		return nil, ctx.Err()
	}
	if entry.err != nil {
		r.release()
		return nil, entry.err
	}
	return r, nil
}

// lookup returns the entry of an address, or adds one and starts to dial. The
// caller holds mu.
func (c *connectionPool) lookup(address string) (*pooledConn, error) {
	if c.closed {
		return nil, &Error{Kind: KindLocal, Message: "the transport is closed"}
	}
	if element, ok := c.byAddr[address]; ok {
		entry := element.Value.(*pooledConn)
		if !entry.isBroken() {
			c.lru.MoveToFront(element)
			return entry, nil
		}
		c.remove(entry)
	}
	if c.lru.Len() >= c.limit && !c.evict() {
		return nil, &Error{Kind: KindLocal, Message: "all pooled connections are in use"}
	}
	entry := &pooledConn{address: address, ready: make(chan struct{})}
	c.byAddr[address] = c.lru.PushFront(entry)
	go c.dialEntry(entry)
	return entry, nil
}

func (c *connectionPool) dialEntry(entry *pooledConn) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	entry.conn, entry.err = c.dial(ctx, entry.address)
	close(entry.ready)
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry.err != nil {
		c.remove(entry)
	}
	if entry.detached {
		entry.closeIfUnreferenced()
	}
}

// isBroken reports whether the dial failed, the connection has ended since, or the
// peer was silent for too long while requests waited for it. The caller holds the mu
// of the pool.
func (e *pooledConn) isBroken() bool {
	select {
	case <-e.ready:
	default:
		return false
	}
	if e.err != nil || e.conn.Context().Err() != nil {
		return true
	}
	return !e.silentSince.IsZero() && time.Since(e.silentSince) >= maxSilence && e.packetsReceived() == e.silentAt
}

// evict removes the least recently used connection without references and reports
// whether there was one. The caller holds mu.
func (c *connectionPool) evict() bool {
	for element := c.lru.Back(); element != nil; element = element.Prev() {
		entry := element.Value.(*pooledConn)
		if entry.refs == 0 {
			c.remove(entry)
			return true
		}
	}
	return false
}

// remove takes an entry out of the pool. The caller holds mu.
func (c *connectionPool) remove(entry *pooledConn) {
	if element, ok := c.byAddr[entry.address]; ok && element.Value == entry {
		c.lru.Remove(element)
		delete(c.byAddr, entry.address)
	}
	entry.detached = true
	entry.closeIfUnreferenced()
}

// closeIfUnreferenced closes an open connection without references. The caller
// holds the mu of the pool.
func (e *pooledConn) closeIfUnreferenced() {
	select {
	case <-e.ready:
	default:
		return
	}
	if e.refs == 0 && e.conn != nil {
		// In a goroutine, because closing sends a packet and mu is held.
		go func() { _ = e.conn.CloseWithError(codeClosing, "not needed") }()
	}
}

// release gives the reference back.
func (r *connRef) release() {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.refs--
	if r.detached {
		r.closeIfUnreferenced()
	}
}

// recordSilence records that a request timed out. startedAt is when it began, and
// received the number of packets until then.
func (r *connRef) recordSilence(startedAt time.Time, received uint64) {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	switch {
	case r.packetsReceived() != received:
		r.silentSince = time.Time{}
	case r.silentSince.IsZero() || r.silentAt != received:
		r.silentSince, r.silentAt = startedAt, received
	}
}

// discard removes the connection from the pool, so that the next caller dials
// again. Other references stay valid.
func (r *connRef) discard() {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.pool.remove(r.pooledConn)
}

// count returns the number of pooled connections.
func (c *connectionPool) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lru.Len()
}

// close empties the pool for good and closes its connections, also those with
// references.
func (c *connectionPool) close() {
	c.mu.Lock()
	c.closed = true
	var open []*quic.Conn
	for _, element := range c.byAddr {
		entry := element.Value.(*pooledConn)
		select {
		case <-entry.ready:
			if entry.conn != nil {
				open = append(open, entry.conn)
			}
		default:
		}
		c.remove(entry)
	}
	c.mu.Unlock()
	for _, conn := range open {
		_ = conn.CloseWithError(codeClosing, "stopping")
	}
}
