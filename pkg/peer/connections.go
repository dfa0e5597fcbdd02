package peer

import (
	"container/list"
	"context"
	"sync"

	"github.com/quic-go/quic-go"
)

// dialTimeout bounds one attempt to connect. It does not depend on the caller,
// because several callers may wait for the same attempt.
const dialTimeout = 2 * handshakeIdle

// connections keeps a bounded number of connections, by address.
type connections struct {
	limit int
	dial  func(ctx context.Context, address string) (*quic.Conn, error)

	mu     sync.Mutex
	closed bool
	byAddr map[string]*list.Element // of *connection
	recent *list.List               // most recently used first
}

// connection is one cached connection. The fields under mu of the cache change;
// conn and err are set before ready is closed.
type connection struct {
	address string
	ready   chan struct{}
	conn    *quic.Conn
	err     error

	users   int
	retired bool // no longer in the cache; closed when its last user leaves
}

// use is one user's hold on a connection.
type use struct {
	*connection
	cache *connections
}

func newConnections(limit int, dial func(context.Context, string) (*quic.Conn, error)) *connections {
	return &connections{limit: limit, dial: dial, byAddr: make(map[string]*list.Element), recent: list.New()}
}

// acquire returns the connection to an address and opens it if needed. The
// caller must release it.
func (c *connections) acquire(ctx context.Context, address string) (*use, error) {
	c.mu.Lock()
	entry, err := c.lookup(address)
	if err != nil {
		c.mu.Unlock()
		return nil, err
	}
	entry.users++
	c.mu.Unlock()
	u := &use{connection: entry, cache: c}
	select {
	case <-entry.ready:
	case <-ctx.Done():
		u.release()
		return nil, ctx.Err()
	}
	if entry.err != nil {
		u.release()
		return nil, entry.err
	}
	return u, nil
}

// lookup returns the cached entry or starts a new one. It runs under mu.
func (c *connections) lookup(address string) (*connection, error) {
	if c.closed {
		return nil, &Error{Kind: KindLocal, Message: "the transport is closed"}
	}
	if element, ok := c.byAddr[address]; ok {
		entry := element.Value.(*connection)
		if !entry.broken() {
			c.recent.MoveToFront(element)
			return entry, nil
		}
		c.remove(entry)
	}
	if c.recent.Len() >= c.limit && !c.evict() {
		return nil, &Error{Kind: KindLocal, Message: "all connections are in use"}
	}
	entry := &connection{address: address, ready: make(chan struct{})}
	c.byAddr[address] = c.recent.PushFront(entry)
	go c.open(entry)
	return entry, nil
}

func (c *connections) open(entry *connection) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	entry.conn, entry.err = c.dial(ctx, entry.address)
	close(entry.ready)
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry.err != nil {
		c.remove(entry)
	}
	if entry.retired {
		entry.closeIfUnused()
	}
}

// broken reports whether a connection was opened and has ended since.
func (e *connection) broken() bool {
	select {
	case <-e.ready:
		return e.err != nil || e.conn.Context().Err() != nil
	default:
		return false
	}
}

// evict removes the least recently used connection that nobody uses. It runs
// under mu.
func (c *connections) evict() bool {
	for element := c.recent.Back(); element != nil; element = element.Prev() {
		entry := element.Value.(*connection)
		if entry.users == 0 {
			c.remove(entry)
			return true
		}
	}
	return false
}

// remove takes an entry out of the cache. It runs under mu.
func (c *connections) remove(entry *connection) {
	if element, ok := c.byAddr[entry.address]; ok && element.Value == entry {
		c.recent.Remove(element)
		delete(c.byAddr, entry.address)
	}
	entry.retired = true
	entry.closeIfUnused()
}

// closeIfUnused closes an opened connection without users. It runs under mu.
func (e *connection) closeIfUnused() {
	select {
	case <-e.ready:
	default:
		return
	}
	if e.users == 0 && e.conn != nil {
		// Closing sends a packet; no caller waits for it under the lock.
		go func() { _ = e.conn.CloseWithError(codeClosing, "not needed") }()
	}
}

// release ends the hold.
func (u *use) release() {
	u.cache.mu.Lock()
	defer u.cache.mu.Unlock()
	u.users--
	if u.retired {
		u.closeIfUnused()
	}
}

// retire takes the connection out of the cache. Its other users may finish.
func (u *use) retire() {
	u.cache.mu.Lock()
	defer u.cache.mu.Unlock()
	u.cache.remove(u.connection)
}

// count returns the number of cached connections.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recent.Len()
}

// close empties the cache for good and ends its connections, used or not.
func (c *connections) close() {
	c.mu.Lock()
	c.closed = true
	var open []*quic.Conn
	for _, element := range c.byAddr {
		entry := element.Value.(*connection)
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
