package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// blockingCaller writes its whole body before it reads the response, as many HTTP
// clients do.
type blockingCaller struct {
	path, key     string
	bodyBytes     int
	chunked, last bool          // last: asks to close the connection after the response
	pieces        int           // in which the body is written
	pause         time.Duration // before each piece
}

// send returns the response and the connection, which is open unless last is set.
func (c blockingCaller) send(t *testing.T, address string) (*http.Response, net.Conn) {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%s: id-1\r\nAuthorization: Token %s\r\n", c.path, platformtest.HeaderRequestID, c.key)
	if c.last {
		head += "Connection: close\r\n"
	}
	if c.chunked {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", c.bodyBytes)
	}
	_, err = fmt.Fprint(conn, head)
	assert.NilError(t, err)
	piece := strings.Repeat("x", c.bodyBytes/c.pieces)
	if c.chunked {
		piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	}
	for i := range c.pieces {
		time.Sleep(c.pause)
		_, err = fmt.Fprint(conn, piece)
		assert.NilError(t, err, "piece %d of %d", i+1, c.pieces)
	}
	if c.chunked {
		_, err = fmt.Fprint(conn, "0\r\n\r\n")
		assert.NilError(t, err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	return response, conn
}

// A caller that still writes its body when it is refused must get the response, not
// a reset, and may keep its connection.
func TestRefusalReachesWritingCaller(t *testing.T) {
	const large = 1 << 20
	kinds := []struct {
		name string
		blockingCaller
		status int
	}{
		{"too large", blockingCaller{path: "/once/", key: testKey}, http.StatusRequestEntityTooLarge},
		{"too large, chunked", blockingCaller{path: "/once/", key: testKey, chunked: true}, http.StatusRequestEntityTooLarge},
		{"unknown key", blockingCaller{path: "/once/", key: "other"}, http.StatusUnauthorized},
		{"no route", blockingCaller{path: "/nowhere/", key: testKey}, http.StatusNotFound},
	}
	for _, c := range kinds {
		for _, last := range []bool{false, true} {
			for _, pause := range []time.Duration{0, 100 * time.Millisecond} {
				caller := c.blockingCaller
				caller.bodyBytes, caller.last, caller.pieces, caller.pause = large, last, 8, pause
				t.Run(fmt.Sprintf("%s, last request %t, pause %v", c.name, last, pause), func(t *testing.T) {
					t.Parallel()
					f := newFixture(t, startTarget(t, "i-1"))
					response, _ := caller.send(t, f.server.Listener.Addr().String())
					assert.Equal(t, response.StatusCode, c.status)
					assert.Equal(t, response.Close, last)
					assert.Equal(t, response.Header.Get(apierr.HeaderOutcome), string(apierr.OutcomeNotRun))
				})
			}
		}
	}
}

// A caller that never ends the body of a refused request must get the response at
// once, must not keep its connection past the deadline, and must not have the rest
// of its body parsed as a request.
func TestRefusedBodyIsReadUntilDeadline(t *testing.T) {
	testTarget := startTarget(t, "i-1")
	f := newFixture(t, testTarget)
	conn, err := net.Dial("tcp4", f.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	const timeout = 500 * time.Millisecond
	startedAt := time.Now()
	assert.NilError(t, conn.SetDeadline(startedAt.Add(testTimeout)))
	_, err = fmt.Fprintf(conn, "POST /once/ HTTP/1.1\r\nHost: x\r\n%s: id-1\r\n%s: %d\r\nContent-Length: 1000\r\n\r\n",
		platformtest.HeaderRequestID, platformtest.HeaderDeadline, timeout.Milliseconds())
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(startedAt) < timeout, "the response came only after %v", time.Since(startedAt))
	for err == nil {
		time.Sleep(timeout / 10)
		_, err = fmt.Fprint(conn, "GET /open/ HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.Assert(t, time.Since(startedAt) < 2*timeout, "the connection is still open after %v", time.Since(startedAt))
	}
	assert.Equal(t, len(testTarget.Requests()), 0)
}

// After a request that failed at its deadline, the next request on the same
// connection must not be cancelled.
func TestConnectionIsUsableAfterDeadline(t *testing.T) {
	testTarget := startTarget(t, "i-1")
	f := newFixture(t, testTarget)
	testTarget.SetFaults(func(n int, _ string) platformtest.Fault {
		if n == 1 {
			return platformtest.Fault{Delay: time.Second}
		}
		return platformtest.Fault{}
	})
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	late := f.sendFrom(client, callerRequest{path: "/once/", body: "the body", timeout: 50 * time.Millisecond})
	assert.Assert(t, late.status >= http.StatusInternalServerError, "status %d", late.status)
	assert.Equal(t, f.sendFrom(client, callerRequest{path: "/once/", body: "the body"}).status, http.StatusOK)
}
