package targetconn

import (
	"bufio"
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
)

// Stage says how far a failed request came.
type Stage int

// Stages of a failed request.
const (
	StageConnect Stage = iota // no byte was sent: the target cannot have run it
	StageSent                 // bytes were sent and no response header came
	StageBody                 // the response header came, its body did not end
)

// Error is a request that failed on its connection.
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

// IsAckTimeout reports whether the peer acknowledged nothing for too long.
func (e *Error) IsAckTimeout() bool { return errors.Is(e.Cause, syscall.ETIMEDOUT) }

// ErrTooManyConnections means that the pool's own limit for the target is reached.
var ErrTooManyConnections = errors.New("all connections that this instance may open to the target are in use")

// Pool keeps idle connections by target. The key of a target includes its
// incarnation, so that a connection never outlives the target it was opened to.
type Pool struct {
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// UnackedTimeout ends connections whose peer acknowledges nothing.
	UnackedTimeout time.Duration

	OpenedConns  atomic.Int64 // connections opened
	ReusedConns  atomic.Int64 // requests sent on a kept connection
	DroppedConns atomic.Int64 // kept connections found closed or with unexpected bytes

	mu   sync.Mutex
	idle map[string][]*Conn
	open map[string]int
}

// NewPool returns an empty pool.
func NewPool(dial, unacked time.Duration) *Pool {
	return &Pool{DialTimeout: dial, UnackedTimeout: unacked, idle: make(map[string][]*Conn), open: make(map[string]int)}
}

// Destination is where a request goes.
type Destination struct {
	Key      string // target and incarnation
	Address  string
	MaxConns int // connections that this instance may hold to it; zero: no limit
}

// Response is a response whose body is read from the connection. Release must be
// called in any case.
type Response struct {
	*http.Response
	Reused bool

	pool  *Pool
	conn  *Conn
	stop  func() bool
	ended bool // the body was read to its end
}

// Do sends the request once and returns when the response header has come. The
// error is an *Error.
func (p *Pool) Do(ctx context.Context, to Destination, r *Request) (*Response, error) {
	conn, err := p.get(ctx, to)
	if err != nil {
		return nil, &Error{Stage: StageConnect, Cause: err}
	}
	reused := conn.uses > 0
	conn.uses++
	stop := conn.watch(ctx)
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
	out := &Response{Response: response, Reused: reused, pool: p, conn: conn, stop: stop}
	out.Body = &body{ReadCloser: response.Body, response: out, ctx: ctx}
	return out, nil
}

// body notes when a response was read to its end.
type body struct {
	io.ReadCloser
	response *Response
	ctx      context.Context
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.response.ended = true
	case err != nil:
		if b.ctx.Err() != nil {
			err = context.Cause(b.ctx)
		}
		err = &Error{Stage: StageBody, Reused: b.response.Reused, Cause: err}
	}
	return n, err
}

// Release keeps the connection for the next request if the response was read to
// its end, and closes it otherwise, which cancels the request at the target.
func (r *Response) Release() {
	whole := r.stop()
	if !whole || !r.ended || !r.conn.reusable(r.Response) {
		r.pool.discard(r.conn)
		return
	}
	r.pool.put(r.conn)
}

func (p *Pool) get(ctx context.Context, to Destination) (*Conn, error) {
	now := time.Now()
	for {
		conn, err := p.takeIdle(to)
		if err != nil {
			return nil, err
		}
		if conn == nil {
			break
		}
		if conn.healthy(now) {
			p.ReusedConns.Add(1)
			return conn, nil
		}
		p.DroppedConns.Add(1)
		p.discard(conn)
	}
	dialer := net.Dialer{Timeout: p.DialTimeout, KeepAlive: -1, Control: userTimeout(p.UnackedTimeout)}
	raw, err := dialer.DialContext(ctx, "tcp4", to.Address)
	if err != nil {
		p.mu.Lock()
		p.release(to.Key)
		p.mu.Unlock()
		return nil, err
	}
	p.OpenedConns.Add(1)
	return &Conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), key: to.Key}, nil
}

// takeIdle returns the most recently used idle connection. If there is none it
// counts a new one, which the caller opens.
func (p *Pool) takeIdle(to Destination) (*Conn, error) {
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
	conn.idleAt = time.Now()
	p.mu.Lock()
	p.idle[conn.key] = append(p.idle[conn.key], conn)
	p.mu.Unlock()
}

func (p *Pool) discard(conn *Conn) {
	_ = conn.Close() // the connection is given up; its state no longer matters
	p.mu.Lock()
	p.release(conn.key)
	p.mu.Unlock()
}

func (p *Pool) release(key string) {
	p.open[key]--
	if p.open[key] <= 0 {
		delete(p.open, key)
	}
}

// CloseIdle closes idle connections that have reached their time, and all idle
// connections of keys that keep does not contain.
func (p *Pool) CloseIdle(keep func(key string) bool) {
	now := time.Now()
	var expired []*Conn
	p.mu.Lock()
	for key, list := range p.idle {
		rest := list[:0]
		for _, conn := range list {
			if !keep(key) || now.Sub(conn.idleAt) > conn.idleFor {
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
