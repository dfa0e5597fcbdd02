package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// writeWatch knows whether a request was written without an error.
type writeWatch struct {
	conn   atomic.Pointer[watchedConn] // nil until a connection is open
	result chan error                  // of writing the request, without what is in the buffer
}

func newWriteWatch() *writeWatch { return &writeWatch{result: make(chan error, 1)} }

// trace returns the hooks that the watch needs.
func (w *writeWatch) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*watchedConn)
			if !ok {
				conn = &watchedConn{Conn: info.Conn}
			}
			w.conn.Store(conn)
			select {
			case <-w.result: // of an attempt that http.Transport repeats on this connection
			default:
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case w.result <- info.Err:
			default:
			}
		},
	}
}

// connected reports whether the request got an open connection.
func (w *writeWatch) connected() bool { return w.conn.Load() != nil }

// await waits until the request is written and returns the error of writing it, or that of ctx.
func (w *writeWatch) await(ctx context.Context) error {
	select {
	case err := <-w.result:
		w.result <- err
		if err != nil {
			return err
		}
		return w.conn.Load().writeError()
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// watchedConn records the error of a write. After it a read may get a clean end of the
// connection although it was reset.
type watchedConn struct {
	net.Conn
	mu  sync.Mutex // held while writing
	err error
}

// Write implements net.Conn.
func (c *watchedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.err = err
	}
	return n, err
}

// writeError waits until no write runs and returns the error of the last one that failed.
func (c *watchedConn) writeError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// dialWatched opens a connection that records errors of writes.
func dialWatched(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn}, nil
}

// endsWithConnection reports whether only the end of the connection ends a response.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// unframedBody is the body of a response that ends with its connection. It is whole only if the
// request was written without an error.
type unframedBody struct {
	io.ReadCloser
	ctx   context.Context
	watch *writeWatch
}

// Read implements io.Reader.
func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if writeErr := b.watch.await(b.ctx); writeErr != nil {
		return n, fmt.Errorf("the connection ended before the request was written: %w", writeErr)
	}
	return n, io.EOF
}
