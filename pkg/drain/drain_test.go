package drain

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return conn
}

func assertAnswered(t *testing.T, conn net.Conn, what string) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err, what)
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// Connections that are established when the listener closes must be served: callers may
// have sent requests on them, which were cut off without an answer.
func TestClosedListenerServesItsBacklog(t *testing.T) {
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: time.Second}
	listener := NewListener(raw)
	var conns []net.Conn
	for range 20 {
		conn := dial(t, raw)
		_, err = io.WriteString(conn, request)
		assert.NilError(t, err)
		conns = append(conns, conn)
	}
	assert.NilError(t, listener.Close())
	assert.ErrorIs(t, server.Serve(listener), net.ErrClosed)
	for _, conn := range conns {
		assertAnswered(t, conn, "a connection of the backlog")
	}
	_, err = net.Dial("tcp4", raw.Addr().String())
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
}

// A request that arrives on a connection that was opened before the stop must be answered.
// http.Server.Shutdown closes the connection when it has read the request.
func TestFirstRequestDuringDrainIsAnswered(t *testing.T) {
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	tracker, started, finish := NewTracker(), make(chan struct{}, 1), make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, ConnState: tracker.Record, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			started <- struct{}{}
			<-finish
		}
	})}
	listener := NewListener(raw)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	long, late, new := dial(t, raw), dial(t, raw), dial(t, raw)
	_, err = io.WriteString(long, "GET /long HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	<-started
	assert.NilError(t, listener.Close())
	first := make(chan error, 1)
	go func() { first <- tracker.AwaitFirstRequests(t.Context()) }()
	_, err = io.WriteString(new, request)
	assert.NilError(t, err)
	assertAnswered(t, new, "a connection that was just opened")
	assert.NilError(t, <-first)
	_, err = io.WriteString(late, request)
	assert.NilError(t, err)
	assertAnswered(t, late, "a connection that was opened a while before")

	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, tracker.AwaitQuiet(ctx), context.DeadlineExceeded, "a request runs")
	close(finish)
	assertAnswered(t, long, "the request that ran")
	assert.NilError(t, tracker.AwaitQuiet(t.Context()))
}

// Requests that cross the end of a stop on connections that were idle must be answered, or
// must not be handled at all. Some were passed on and their connections closed as idle.
func TestRequestThatCrossesTheEndIsAnsweredOrNotHandled(t *testing.T) {
	const callers, rounds = 64, 10
	for range rounds {
		raw, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		tracker := NewTracker()
		var refuses atomic.Bool
		var handled sync.Map
		server := &http.Server{ConnState: tracker.Record, ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if refuses.Load() {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			handled.Store(r.URL.Path, true)
			time.Sleep(time.Millisecond)
		})}
		listener := NewListener(raw)
		go func() { _ = server.Serve(listener) }()
		conns := make([]net.Conn, callers)
		for n := range conns {
			conns[n] = dial(t, raw)
			_, err = io.WriteString(conns[n], request)
			assert.NilError(t, err)
			assertAnswered(t, conns[n], "the first request of a connection")
		}
		var group sync.WaitGroup
		for n, conn := range conns {
			group.Go(func() {
				time.Sleep(time.Duration(n) * 100 * time.Microsecond)
				path := fmt.Sprintf("/%d", n)
				_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
				if err == nil {
					_, err = http.ReadResponse(bufio.NewReader(conn), nil)
				}
				if _, wasHandled := handled.Load(path); err != nil && wasHandled {
					t.Errorf("request %s was handled and got no answer: %v", path, err)
				}
			})
		}
		assert.NilError(t, listener.Close())
		assert.NilError(t, tracker.AwaitQuiet(t.Context()))
		refuses.Store(true)
		assert.NilError(t, tracker.AwaitQuiet(t.Context()))
		assert.NilError(t, server.Close())
		group.Wait()
	}
}
