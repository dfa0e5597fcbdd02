package targetconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/memlimit"
)

// Stage is the step at which a request failed.
type Stage int

// Stages of a failed request.
const (
	StageConnect Stage = iota // no byte was sent: the target cannot have run the request
	StageSent                 // bytes were sent, and no response header arrived
	StageBody                 // the response header arrived, and the body was cut off
)

// Error is the failure of a request on its connection.
type Error struct {
	Stage  Stage
	Reused bool // the connection had carried other requests before
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	switch e.Stage {
	case StageConnect:
		return fmt.Sprintf("connecting to the target: %v", e.Cause)
	case StageSent:
		return fmt.Sprintf("waiting for the target's response (connection reused: %t): %v", e.Reused, e.Cause)
	default:
		return fmt.Sprintf("reading the target's response: %v", e.Cause)
	}
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// IsAckTimeout reports whether the connection was closed because the peer
// acknowledged no bytes within Pool.UnackedTimeout.
func (e *Error) IsAckTimeout() bool { return errors.Is(e.Cause, syscall.ETIMEDOUT) }

// ErrTooManyConnections means that Destination.MaxConns connections are open.
var ErrTooManyConnections = errors.New("all connections that this instance may open to the target are in use")

// Pool keeps idle connections by target. The key of a target includes its
// incarnation, so that a connection is never used for a restarted target. Its
// methods may be called concurrently.
type Pool struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// UnackedTimeout is the time after which a connection is closed if sent
	// bytes remain unacknowledged.
	UnackedTimeout time.Duration
	// Memory bounds what long heads of responses take together; nil means no bound.
	Memory *memlimit.Budget

	OpenedConns  atomic.Int64 // connections opened
	ReusedConns  atomic.Int64 // requests sent on an idle connection
	DroppedConns atomic.Int64 // idle connections found expired, closed or with unexpected bytes

	mu   sync.Mutex
	idle map[string][]*Conn
	open map[string]int
}

// NewPool returns an empty pool. dial and unacked are its DialTimeout and
// UnackedTimeout.
func NewPool(dial, unacked time.Duration) *Pool {
	return &Pool{DialTimeout: dial, UnackedTimeout: unacked, idle: make(map[string][]*Conn), open: make(map[string]int)}
}

// Destination identifies the target of a request.
type Destination struct {
	Key      string // identifies the target and its incarnation
	Address  string // IPv4 address, host:port
	MaxConns int    // connections that this instance may open to the target; zero means no limit
}

// Response is a response whose body is read from the connection. The caller
// must call Release, also if reading the body fails.
type Response struct {
	*http.Response
	Reused bool

	pool            *Pool
	conn            *Conn
	stopCancelWatch func() bool
	bodyRead        bool // the body was read to its end
}

// Do sends the request once and returns when the response header has arrived.
// The body must be read before ctx ends. Errors have the type *Error. Their
// cause is ErrTooManyConnections if the limit is reached and, once the request
// was sent, the cause of ctx if it has ended. An error of Prepare is the cause of
// an error with StageConnect.
func (p *Pool) Do(ctx context.Context, to Destination, r *Request) (*Response, error) {
	conn, err := p.acquire(ctx, to)
	if err != nil {
		return nil, &Error{Stage: StageConnect, Cause: err}
	}
	if r.Prepare != nil {
		prepared := *r
		if prepared.Header, err = r.Prepare(); err != nil {
			p.discard(conn)
			return nil, &Error{Stage: StageConnect, Cause: err}
		}
		r = &prepared
	}
	reused := conn.requestCount > 0
	conn.requestCount++
	stop := conn.closeOnCancel(ctx)
	fail := func(err error) (*Response, error) {
		stop()
		p.discard(conn)
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Stage: StageSent, Reused: reused, Cause: err}
	}
	if err := conn.write(r); err != nil {
		return fail(err)
	}
	response, err := conn.readResponse(r)
	if err != nil {
		return fail(err)
	}
	out := &Response{Response: response, Reused: reused, pool: p, conn: conn, stopCancelWatch: stop}
	out.Body = &trackedBody{ReadCloser: response.Body, response: out, ctx: ctx}
	return out, nil
}

// trackedBody records whether the body was read to its end and wraps errors in
// Error.
type trackedBody struct {
	io.ReadCloser
	response *Response
	ctx      context.Context
}

// EndsWithConnection reports whether only the end of the connection ends the body.
func (r *Response) EndsWithConnection() bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// Read implements io.Reader. A body that ends with its connection is whole only if the request
// was written without an error: while it is written, a reset of the connection may show there
// alone, and a read gets a clean end.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.response.EndsWithConnection() {
		if writeErr := b.response.conn.awaitWritten(b.ctx); writeErr != nil {
			err = fmt.Errorf("the connection ended before the request was written: %w", writeErr)
		}
	}
	switch {
	case err == io.EOF:
		b.response.bodyRead = true
	case err != nil:
		if b.ctx.Err() != nil {
			err = context.Cause(b.ctx)
		}
		err = &Error{Stage: StageBody, Reused: b.response.Reused, Cause: err}
	}
	return n, err
}

// Drain reads the rest of a body that is not used, so that the connection can be
// reused. It stops after maxBytes or after d; Release then closes the connection.
func (r *Response) Drain(maxBytes int64, d time.Duration) {
	if r.ContentLength > maxBytes {
		return
	}
	if r.conn.SetReadDeadline(time.Now().Add(d)) != nil {
		return // the connection is closed
	}
	// After an error the connection is closed as well.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxBytes))
	_ = r.conn.SetReadDeadline(time.Time{})
}

// Release returns the connection to the pool if the body was read to its end
// and the connection can carry another request. Otherwise it closes the
// connection, which cancels a request that still runs at the target.
func (r *Response) Release() {
	connOpen := r.stopCancelWatch()
	if !connOpen || !r.bodyRead || !r.conn.canReuse(r.Response) {
		r.pool.discard(r.conn)
		return
	}
	r.pool.put(r.conn)
}

// acquire returns a usable idle connection or opens a new one.
func (p *Pool) acquire(ctx context.Context, to Destination) (*Conn, error) {
	now := time.Now()
	for {
		conn, err := p.takeIdleOrReserve(to)
		if err != nil {
			return nil, err
		}
		if conn == nil {
			break
		}
		if conn.isUsable(now) {
			p.ReusedConns.Add(1)
			return conn, nil
		}
		p.DroppedConns.Add(1)
		p.discard(conn)
	}
	dialer := net.Dialer{Timeout: p.DialTimeout, KeepAlive: -1, Control: tcpUserTimeout(p.UnackedTimeout)}
	raw, err := dialer.DialContext(ctx, "tcp4", to.Address)
	if err != nil {
		p.mu.Lock()
		p.releaseSlot(to.Key)
		p.mu.Unlock()
		return nil, err
	}
	p.OpenedConns.Add(1)
	return newConn(raw, to.Key, p.Memory), nil
}

// takeIdleOrReserve returns the most recently used idle connection. If there is
// none, it returns nil and counts a new connection, which the caller opens, or
// returns ErrTooManyConnections.
func (p *Pool) takeIdleOrReserve(to Destination) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[to.Key]
	if n := len(list); n > 0 {
		conn := list[n-1]
		list[n-1] = nil
		p.idle[to.Key] = list[:n-1]
		return conn, nil
	}
	if to.MaxConns > 0 && p.open[to.Key] >= to.MaxConns {
		return nil, ErrTooManyConnections
	}
	p.open[to.Key]++
	return nil, nil
}

func (p *Pool) put(conn *Conn) {
	conn.memory.Release()
	conn.idleSince = time.Now()
	p.mu.Lock()
	p.idle[conn.key] = append(p.idle[conn.key], conn)
	p.mu.Unlock()
}

func (p *Pool) discard(conn *Conn) {
	_ = conn.Close() // the connection is discarded, so the error does not matter
	conn.memory.Release()
	p.mu.Lock()
	p.releaseSlot(conn.key)
	p.mu.Unlock()
}

// releaseSlot subtracts a connection from the open ones of a target. The caller
// holds mu.
func (p *Pool) releaseSlot(key string) {
	p.open[key]--
	if p.open[key] <= 0 {
		delete(p.open, key)
	}
}

// CloseIdle closes idle connections that have reached their idle timeout, and
// all idle connections of keys for which keep returns false. keep runs under
// the lock of the pool.
func (p *Pool) CloseIdle(keep func(key string) bool) {
	now := time.Now()
	var expired []*Conn
	p.mu.Lock()
	for key, list := range p.idle {
		rest := list[:0]
		for _, conn := range list {
			if !keep(key) || now.Sub(conn.idleSince) > conn.idleTimeout {
				expired = append(expired, conn)
				continue
			}
			rest = append(rest, conn)
		}
		clear(list[len(rest):])
		p.idle[key] = rest
		if len(rest) == 0 {
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, conn := range expired {
		p.discard(conn)
	}
}
