package targetconn_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

const (
	idHeader    = platformtest.HeaderRequestID
	testTimeout = 5 * time.Second
)

// startTarget starts a stand-in target and returns it with an empty pool.
func startTarget(t *testing.T) (*platformtest.Target, *targetconn.Pool) {
	t.Helper()
	testTarget, err := platformtest.StartTarget("i-1")
	assert.NilError(t, err)
	t.Cleanup(testTarget.Stop)
	return testTarget, targetconn.NewPool(time.Second, time.Second)
}

func destinationOf(testTarget *platformtest.Target) targetconn.Destination {
	return targetconn.Destination{Key: testTarget.ID, Address: testTarget.Address}
}

func newRequest(id string) *targetconn.Request {
	return &targetconn.Request{
		Method: http.MethodPost, Path: "/a/b?c=d", Host: "host.example", Header: http.Header{idHeader: {id}}, Body: []byte("body"),
		MatchesResponse: func(h http.Header) bool { return h.Get(idHeader) == id },
	}
}

// doRequest sends a request and returns the whole response body.
func doRequest(t *testing.T, pool *targetconn.Pool, testTarget *platformtest.Target, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	response, err := pool.Do(ctx, destinationOf(testTarget), newRequest(id))
	if err != nil {
		return "", err
	}
	defer response.Release()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// startRawTarget listens on a loopback address. Each connection is passed to
// respond after the first bytes of a request, and closed when the test ends.
func startRawTarget(t *testing.T, respond func(conn net.Conn)) targetconn.Destination {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go func() {
				_, _ = conn.Read(make([]byte, 1024))
				respond(conn)
			}()
		}
	}()
	return targetconn.Destination{Key: "x", Address: listener.Addr().String()}
}

// stageOf returns the stage of an error of the pool.
func stageOf(t *testing.T, err error) targetconn.Stage {
	t.Helper()
	var failed *targetconn.Error
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	return failed.Stage
}

// Consecutive requests must share one connection; otherwise each of them pays
// for a new one.
func TestConnectionIsReused(t *testing.T) {
	testTarget, pool := startTarget(t)
	for _, id := range []string{"r1", "r2", "r3"} {
		body, err := doRequest(t, pool, testTarget, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "answer to "+id)
	}
	assert.Equal(t, testTarget.AcceptedConns(), 1)
	assert.Equal(t, testTarget.Requests()[0].Path, "/a/b?c=d")
	assert.Equal(t, testTarget.Requests()[0].Body, "body")
}

// A caller would get the response to another request if a target answered an
// earlier request twice and the second answer were read. The answer comes while
// the connection is idle, or before the answer to the next request.
func TestResponsesToOtherRequestsAreDiscarded(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\n" + idHeader + ": r1\r\nContent-Length: 5\r\n\r\nwrong"
	cases := map[string]func(n int, id string) platformtest.Fault{
		"while the connection is idle": func(n int, _ string) platformtest.Fault {
			if n == 1 {
				return platformtest.Fault{BytesAfter: late}
			}
			return platformtest.Fault{}
		},
		"before the next response": func(n int, _ string) platformtest.Fault {
			if n == 2 {
				return platformtest.Fault{BytesBefore: late}
			}
			return platformtest.Fault{}
		},
	}
	for name, react := range cases {
		t.Run(name, func(t *testing.T) {
			testTarget, pool := startTarget(t)
			testTarget.SetFaults(react)
			for _, id := range []string{"r1", "r2", "r3"} {
				body, err := doRequest(t, pool, testTarget, id)
				assert.NilError(t, err)
				assert.Equal(t, body, "answer to "+id)
			}
			assert.Assert(t, testTarget.AcceptedConns() > 1, "a connection with bytes of another response was reused")
		})
	}
}

// A target that sends only responses to other requests must cause an error. The
// caller must not get one of them.
func TestOnlyMismatchedResponsesFail(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1024))
		_, _ = io.WriteString(conn, strings.Repeat("HTTP/1.1 200 OK\r\n"+idHeader+": other\r\nContent-Length: 0\r\n\r\n", 5))
	}()
	pool := targetconn.NewPool(time.Second, time.Second)
	_, err = pool.Do(t.Context(), targetconn.Destination{Key: "x", Address: listener.Addr().String()}, newRequest("mine"))
	assert.ErrorIs(t, err, targetconn.ErrResponseMismatch)
	assert.Equal(t, stageOf(t, err), targetconn.StageSent)
}

// A head without end must not grow the memory of the router or hold the request
// until its deadline.
func TestHeadWithoutEndFails(t *testing.T) {
	cases := map[string]struct{ start, repeated string }{
		"status line":               {"HTTP/1.1 200 ", "O"},
		"bytes that are no HTTP":    {"", "x"},
		"header line":               {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"header lines":              {"HTTP/1.1 200 OK\r\n", "X-Many: x\r\n"},
		"continued header line":     {"HTTP/1.1 200 OK\r\nX-Long: x\r\n", " x\r\n"},
		"informational responses":   {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"informational header line": {"HTTP/1.1 103 Early Hints\r\nLink: ", "x"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			destination := startRawTarget(t, func(conn net.Conn) {
				platformtest.WriteEndless(conn, c.start, c.repeated)
			})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			pool := targetconn.NewPool(time.Second, time.Second)
			_, err := pool.Do(ctx, destination, newRequest("r1"))
			assert.ErrorIs(t, err, targetconn.ErrHeadTooLarge)
			assert.Equal(t, stageOf(t, err), targetconn.StageSent)
		})
	}
}

// A head up to the limit must be accepted, also after informational responses, or
// valid responses are lost.
func TestLargeHeadIsAccepted(t *testing.T) {
	const headBytes = 60 << 10
	for name, head := range map[string]string{
		"one long line":           "X-Long: " + strings.Repeat("x", headBytes) + "\r\n",
		"many lines":              strings.Repeat("X-Many: x\r\n", headBytes/11),
		"informational responses": "",
	} {
		t.Run(name, func(t *testing.T) {
			before := ""
			if head == "" {
				before = strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)
			}
			body := strings.Repeat("b", 1<<20)
			destination := startRawTarget(t, func(conn net.Conn) {
				_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\n%s: r1\r\n%sContent-Length: %d\r\n\r\n%s", before, idHeader, head, len(body), body)
			})
			pool := targetconn.NewPool(time.Second, time.Second)
			response, err := pool.Do(t.Context(), destination, newRequest("r1"))
			assert.NilError(t, err)
			defer response.Release()
			got, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Assert(t, string(got) == body, "%d bytes of the body, want %d", len(got), len(body))
		})
	}
}

// A status that no server may send must fail the request. net/http panics on a
// status below 100, and after 101 the connection carries another protocol.
func TestInvalidStatusFails(t *testing.T) {
	for _, status := range []string{"000", "099", "101 Switching Protocols"} {
		t.Run(status, func(t *testing.T) {
			destination := startRawTarget(t, func(conn net.Conn) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: r1\r\nContent-Length: 0\r\n\r\n", status, idHeader)
			})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			pool := targetconn.NewPool(time.Second, time.Second)
			_, err := pool.Do(ctx, destination, newRequest("r1"))
			assert.ErrorIs(t, err, targetconn.ErrInvalidStatus)
			assert.Equal(t, stageOf(t, err), targetconn.StageSent)
		})
	}
}

// The rest of a discarded response must not be read as the next response: its
// bytes may look like one.
func TestLargeMismatchedResponseFails(t *testing.T) {
	forged := "HTTP/1.1 200 OK\r\n" + idHeader + ": r1\r\nContent-Length: 6\r\n\r\nforged"
	body := strings.Repeat("x", 1<<20) + forged
	destination := startRawTarget(t, func(conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: %d\r\n\r\n%s", idHeader, len(body), body)
	})
	pool := targetconn.NewPool(time.Second, time.Second)
	_, err := pool.Do(t.Context(), destination, newRequest("r1"))
	assert.ErrorIs(t, err, targetconn.ErrResponseMismatch)
}

// A response with neither a length nor chunks is complete if its connection is
// closed, and cut off if it is reset. Chunk extensions and trailers without end
// must fail.
func TestEndOfBody(t *testing.T) {
	const unframed, chunked = "\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name, body     string
		endless, reset bool
		want           string // empty with ok: the body is empty
		ok             bool
	}{
		{"closed", unframed + "whole", false, false, "whole", true},
		{"closed without a byte", unframed, false, false, "", true},
		{"reset", unframed + "part", false, true, "", false},
		{"reset without a byte", unframed, false, true, "", false},
		{"chunks closed before the last one", chunked + "4\r\npart\r\n", false, false, "", false},
		{"chunk extension without end", chunked + "4;", true, false, "", false},
		{"chunk size without end", chunked, true, false, "", false},
		{"trailer line without end", chunked + "4\r\npart\r\n0\r\nX-End: ", true, false, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			headRead := make(chan struct{})
			destination := startRawTarget(t, func(conn net.Conn) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r1\r\n%s", idHeader, c.body)
				if c.endless {
					platformtest.WriteEndless(conn, "", "0")
					return
				}
				<-headRead // a reset discards what the router has not read
				if c.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			pool := targetconn.NewPool(time.Second, time.Second)
			response, err := pool.Do(ctx, destination, newRequest("r1"))
			assert.NilError(t, err)
			defer response.Release()
			close(headRead)
			got, err := io.ReadAll(response.Body)
			if c.ok {
				assert.NilError(t, err)
				assert.Equal(t, string(got), c.want)
				return
			}
			assert.Equal(t, stageOf(t, err), targetconn.StageBody)
			assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "the body was read until the deadline")
		})
	}
}

// A refused connection must count as not sent, or a request that cannot have
// run is reported as possibly run and is not sent to another target.
func TestRefusedConnectionFailsAtConnect(t *testing.T) {
	testTarget, pool := startTarget(t)
	testTarget.Stop()
	_, err := doRequest(t, pool, testTarget, "r1")
	assert.Equal(t, stageOf(t, err), targetconn.StageConnect)
}

// A request must not be sent a second time when its connection breaks, be it
// new or reused: the target may have run it.
func TestBrokenConnectionSendsOnce(t *testing.T) {
	for _, reused := range []bool{false, true} {
		testTarget, pool := startTarget(t)
		if reused {
			_, err := doRequest(t, pool, testTarget, "first")
			assert.NilError(t, err)
		}
		testTarget.SetFaults(func(_ int, id string) platformtest.Fault { return platformtest.Fault{Reset: id == "r1"} })
		_, err := doRequest(t, pool, testTarget, "r1")
		assert.Equal(t, stageOf(t, err), targetconn.StageSent)
		count := 0
		for _, seen := range testTarget.Requests() {
			if seen.ID == "r1" {
				count++
			}
		}
		assert.Equal(t, count, 1)
	}
}

// A response that ends before its Content-Length must fail instead of looking
// complete.
func TestTruncatedResponseFails(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1024))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idHeader+": r1\r\nContent-Length: 10\r\n\r\nhalf")
		_ = conn.Close()
	}()
	pool := targetconn.NewPool(time.Second, time.Second)
	response, err := pool.Do(t.Context(), targetconn.Destination{Key: "x", Address: listener.Addr().String()}, newRequest("r1"))
	assert.NilError(t, err)
	defer response.Release()
	_, err = io.ReadAll(response.Body)
	assert.Equal(t, stageOf(t, err), targetconn.StageBody)
}

// A head that breaks off must fail at each of its bytes: what was read of it is no answer
// with an empty body.
func TestHeadThatBreaksOffFails(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n" + idHeader + ": r1\r\nContent-Length: 10\r\nContent-Type: text/plain\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + idHeader + ": r1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\n" + idHeader + ": r1\nConnection: close\n\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + idHeader + ": r1\r\n\r\n",
	} {
		var cut atomic.Int64
		destination := startRawTarget(t, func(conn net.Conn) {
			_, _ = io.WriteString(conn, head[:cut.Load()])
			_ = conn.Close()
		})
		pool := targetconn.NewPool(time.Second, time.Second)
		for n := range len(head) {
			cut.Store(int64(n))
			_, err := pool.Do(t.Context(), destination, newRequest("r1"))
			assert.Assert(t, err != nil, "%q is taken for an answer", head[:n])
			assert.Equal(t, stageOf(t, err), targetconn.StageSent)
		}
	}
}

// A target may respond before it has read the whole request body. It would take
// a second request on that connection for the rest of the first body, so the
// connection must be closed.
func TestEarlyResponseClosesConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
			_, _ = conn.Read(make([]byte, 512))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idHeader+": r1\r\nContent-Length: 2\r\n\r\nok")
		}
	}()
	pool := targetconn.NewPool(time.Second, time.Second)
	long := newRequest("r1")
	long.Body = make([]byte, 16<<20)
	destination := targetconn.Destination{Key: "x", Address: listener.Addr().String()}
	for range 2 {
		response, err := pool.Do(t.Context(), destination, long)
		assert.NilError(t, err)
		_, err = io.ReadAll(response.Body)
		assert.NilError(t, err)
		response.Release()
	}
	assert.Equal(t, len(accepted), 2)
}

// A target must stop working on a request whose context was cancelled, which it
// only sees by the closed connection.
func TestCancelClosesTheConnection(t *testing.T) {
	testTarget, pool := startTarget(t)
	testTarget.SetStream(1000, 20*time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	r := newRequest("r1")
	r.Path = "/stream"
	response, err := pool.Do(ctx, destinationOf(testTarget), r)
	assert.NilError(t, err)
	_, err = response.Body.Read(make([]byte, 16))
	assert.NilError(t, err)
	cancel()
	_, err = io.ReadAll(response.Body)
	assert.ErrorIs(t, err, context.Canceled)
	response.Release()
	for deadline := time.Now().Add(testTimeout); testTarget.RunningRequests() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the target still works on the request")
	}
}

// An instance must not open more connections to a target than its share of what
// the target accepts, and a released connection must become free again.
func TestConnectionLimit(t *testing.T) {
	testTarget, pool := startTarget(t)
	testTarget.SetStream(1000, 20*time.Millisecond)
	destination := destinationOf(testTarget)
	destination.MaxConns = 1
	r := newRequest("r1")
	r.Path = "/stream"
	response, err := pool.Do(t.Context(), destination, r)
	assert.NilError(t, err)
	_, err = pool.Do(t.Context(), destination, newRequest("r2"))
	assert.ErrorIs(t, err, targetconn.ErrTooManyConnections)
	response.Release()
	second, err := pool.Do(t.Context(), destination, newRequest("r3"))
	assert.NilError(t, err)
	second.Release()
}

// Idle connections to targets that no longer exist must be closed.
func TestCloseIdleClosesConnections(t *testing.T) {
	testTarget, pool := startTarget(t)
	_, err := doRequest(t, pool, testTarget, "r1")
	assert.NilError(t, err)
	pool.CloseIdle(func(string) bool { return false })
	_, err = doRequest(t, pool, testTarget, "r2")
	assert.NilError(t, err)
	assert.Equal(t, testTarget.AcceptedConns(), 2)
}

// A target that refuses connections must count as down, one that accepts them must
// not. Otherwise crashes are not noticed, or each lost connection counts as one.
func TestIsDown(t *testing.T) {
	testTarget, _ := startTarget(t)
	assert.Assert(t, !targetconn.IsDown(t.Context(), testTarget.Address))
	testTarget.Stop()
	assert.Assert(t, targetconn.IsDown(t.Context(), testTarget.Address))
}
