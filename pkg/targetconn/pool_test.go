package targetconn_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

const (
	idHeader = platformtest.HeaderRequestID
	waitLong = 5 * time.Second
)

func start(t *testing.T) (*platformtest.Runner, *targetconn.Pool) {
	t.Helper()
	runner, err := platformtest.StartRunner("i-1")
	assert.NilError(t, err)
	t.Cleanup(runner.Stop)
	return runner, targetconn.NewPool(time.Second, time.Second)
}

func to(r *platformtest.Runner) targetconn.Destination {
	return targetconn.Destination{Key: r.ID, Address: r.Address}
}

func request(id string) *targetconn.Request {
	return &targetconn.Request{
		Method: http.MethodPost, Path: "/a/b?c=d", Host: "host.example", Header: http.Header{idHeader: {id}}, Body: []byte("body"),
		MatchesResponse: func(h http.Header) bool { return h.Get(idHeader) == id },
	}
}

// do sends a request and returns the whole body.
func do(t *testing.T, p *targetconn.Pool, r *platformtest.Runner, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitLong)
	defer cancel()
	response, err := p.Do(ctx, to(r), request(id))
	if err != nil {
		return "", err
	}
	defer response.Release()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func stageOf(t *testing.T, err error) targetconn.Stage {
	t.Helper()
	var failed *targetconn.Error
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	return failed.Stage
}

// Guards against connections that are opened for each request.
func TestConnectionIsReused(t *testing.T) {
	runner, pool := start(t)
	for _, id := range []string{"r1", "r2", "r3"} {
		body, err := do(t, pool, runner, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "answer to "+id)
	}
	assert.Equal(t, runner.Opened(), 1)
	assert.Equal(t, runner.Requests()[0].Path, "/a/b?c=d")
	assert.Equal(t, runner.Requests()[0].Body, "body")
}

// Guards against a second answer to an earlier request that reaches the next
// caller, whether it comes while the connection is idle or after the next
// request was sent.
func TestAnswersOfOtherRequestsArePassedOver(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\n" + idHeader + ": r1\r\nContent-Length: 5\r\n\r\nwrong"
	cases := map[string]func(n int, id string) platformtest.Reaction{
		"at once": func(n int, _ string) platformtest.Reaction {
			if n == 1 {
				return platformtest.Reaction{Extra: late}
			}
			return platformtest.Reaction{}
		},
		"before the next answer": func(n int, _ string) platformtest.Reaction {
			if n == 2 {
				return platformtest.Reaction{Before: late}
			}
			return platformtest.Reaction{}
		},
	}
	for name, react := range cases {
		t.Run(name, func(t *testing.T) {
			runner, pool := start(t)
			runner.React(react)
			for _, id := range []string{"r1", "r2", "r3"} {
				body, err := do(t, pool, runner, id)
				assert.NilError(t, err)
				assert.Equal(t, body, "answer to "+id)
			}
			assert.Assert(t, runner.Opened() > 1, "a connection with foreign bytes was kept")
		})
	}
}

// Guards against an answer to another request that is taken for this one's.
func TestOnlyForeignAnswerIsAnError(t *testing.T) {
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
	_, err = pool.Do(t.Context(), targetconn.Destination{Key: "x", Address: listener.Addr().String()}, request("mine"))
	assert.ErrorIs(t, err, targetconn.ErrResponseMismatch)
	assert.Equal(t, stageOf(t, err), targetconn.StageSent)
}

// Guards against a failure before a byte was sent that counts as one after.
func TestRefusedConnectionWasNotSent(t *testing.T) {
	runner, pool := start(t)
	runner.Stop()
	_, err := do(t, pool, runner, "r1")
	assert.Equal(t, stageOf(t, err), targetconn.StageConnect)
}

// Guards against a request that is sent twice when its connection breaks, also
// a kept one.
func TestBrokenConnectionSendsOnce(t *testing.T) {
	for _, kept := range []bool{false, true} {
		runner, pool := start(t)
		if kept {
			_, err := do(t, pool, runner, "first")
			assert.NilError(t, err)
		}
		runner.React(func(_ int, id string) platformtest.Reaction { return platformtest.Reaction{Reset: id == "r1"} })
		_, err := do(t, pool, runner, "r1")
		assert.Equal(t, stageOf(t, err), targetconn.StageSent)
		count := 0
		for _, seen := range runner.Requests() {
			if seen.ID == "r1" {
				count++
			}
		}
		assert.Equal(t, count, 1)
	}
}

// Guards against a truncated answer that looks whole.
func TestTruncatedAnswerIsAnError(t *testing.T) {
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
	response, err := pool.Do(t.Context(), targetconn.Destination{Key: "x", Address: listener.Addr().String()}, request("r1"))
	assert.NilError(t, err)
	defer response.Release()
	_, err = io.ReadAll(response.Body)
	assert.Equal(t, stageOf(t, err), targetconn.StageBody)
}

// Guards against other bytes where the rest of a long body is due: a target
// that answers early must not get the next request on the connection.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
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
	long := request("r1")
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

// Guards against work that goes on after its caller has left.
func TestCancelClosesTheConnection(t *testing.T) {
	runner, pool := start(t)
	runner.SetStream(1000, 20*time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	r := request("r1")
	r.Path = "/stream"
	response, err := pool.Do(ctx, to(runner), r)
	assert.NilError(t, err)
	_, err = response.Body.Read(make([]byte, 16))
	assert.NilError(t, err)
	cancel()
	_, err = io.ReadAll(response.Body)
	assert.ErrorIs(t, err, context.Canceled)
	response.Release()
	for deadline := time.Now().Add(waitLong); runner.Active() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the target still works on the request")
	}
}

// Guards against more connections than this instance's part.
func TestConnectionLimit(t *testing.T) {
	runner, pool := start(t)
	runner.SetStream(1000, 20*time.Millisecond)
	destination := to(runner)
	destination.MaxConns = 1
	r := request("r1")
	r.Path = "/stream"
	response, err := pool.Do(t.Context(), destination, r)
	assert.NilError(t, err)
	_, err = pool.Do(t.Context(), destination, request("r2"))
	assert.ErrorIs(t, err, targetconn.ErrTooManyConnections)
	response.Release()
	second, err := pool.Do(t.Context(), destination, request("r3"))
	assert.NilError(t, err)
	second.Release()
}

// Guards against kept connections to targets that are gone.
func TestSweepClosesConnections(t *testing.T) {
	runner, pool := start(t)
	_, err := do(t, pool, runner, "r1")
	assert.NilError(t, err)
	pool.CloseIdle(func(string) bool { return false })
	_, err = do(t, pool, runner, "r2")
	assert.NilError(t, err)
	assert.Equal(t, runner.Opened(), 2)
}
