package callerconn

import (
	"bufio"
	"crypto/tls"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	testMemory = 48 << 20 // a budget of 16 MB, of which large bodies can take 12 MB
	testLimit  = 4 << 20
)

// testServer answers requests with the length of their body. A request to /slow runs until
// release is closed.
type testServer struct {
	*httptest.Server
	limiter *Limiter
	release chan struct{}
}

func newTestServer(t *testing.T, limits Limits, encrypted bool) *testServer {
	l := New(limits, hclog.NewNullLogger(), func(string, expvar.Var) {})
	s := &testServer{limiter: l, release: make(chan struct{})}
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	handler := func(w http.ResponseWriter, r *http.Request) {
		body, err := l.ReadBody(w, r, testLimit, 1)
		if err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		defer body.Release()
		if r.URL.Path == "/slow" {
			<-s.release
		}
		_, _ = fmt.Fprint(w, len(body.Bytes))
	}
	s.Server = httptest.NewUnstartedServer(l.Handler(http.HandlerFunc(handler), http.HandlerFunc(refuse)))
	s.Config.ConnState, s.Config.ConnContext = l.Record, ContextWithConn
	s.Listener = l.Listen(s.Listener, encrypted)
	s.EnableHTTP2 = encrypted
	if encrypted {
		s.StartTLS()
	} else {
		s.Start()
	}
	t.Cleanup(s.Close)
	return s
}

// open sends text on a new connection, which is closed at the end of the test.
func (s *testServer) open(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	return conn
}

// awaitUsed waits until the reserved memory is in a range.
func (s *testServer) awaitUsed(t *testing.T, least, most int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if used := s.limiter.budget.Used(); used < least || used > most {
			return poll.Continue("%d bytes reserved, want %d to %d", used, least, most)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

func post(path string, length int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
}

func status(t *testing.T, r *bufio.Reader) int {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	return response.StatusCode
}

// Bodies that stopped short of their end held the memory until their deadline, so that no
// other large body was served.
func TestStalledBodyGivesWay(t *testing.T) {
	s := newTestServer(t, Limits{Memory: testMemory}, false)
	var stalled []net.Conn
	for range 3 {
		stalled = append(stalled, s.open(t, post("/", testLimit, strings.Repeat("x", testLimit-100))))
	}
	time.Sleep(2 * minStall)
	whole := s.open(t, post("/", testLimit, strings.Repeat("x", testLimit)))
	assert.Equal(t, status(t, bufio.NewReader(whole)), http.StatusOK)
	assert.Equal(t, status(t, bufio.NewReader(stalled[0])), http.StatusServiceUnavailable)
}

// A stated length must take no memory, and all memory must be free again once the connections
// are closed, however their requests ended.
func TestMemoryIsReleased(t *testing.T) {
	s := newTestServer(t, Limits{Memory: testMemory}, false)
	lines := strings.Repeat("a:\r\n", 5000)
	conns := []net.Conn{
		s.open(t, ""),
		s.open(t, post("/", testLimit, "x")),
		s.open(t, "POST / HTTP/1.1\r\n"+lines),
		s.open(t, post("/", testLimit, strings.Repeat("x", testLimit/2))),
		s.open(t, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n"+strings.Repeat("x", 1<<15)),
		s.open(t, "no request\r\n\r\n"),
		s.open(t, post("/", 1, "x")),
	}
	s.awaitUsed(t, testLimit/2, testLimit+3<<20)
	for _, conn := range conns {
		assert.NilError(t, conn.Close())
	}
	s.awaitUsed(t, 0, 0)
	assert.Equal(t, s.limiter.connCount(), 0)
	assert.Equal(t, len(s.limiter.receipts), 0)
}

// Lines of a body, or of the head of the next request on a connection, must not count as
// lines of one head.
func TestOnlyHeadsCountAsHeads(t *testing.T) {
	s := newTestServer(t, Limits{Memory: testMemory}, false)
	body := strings.Repeat("a:\r\n", 100_000) // 20 MB as lines of a head
	conn := s.open(t, post("/", len(body), body))
	reader := bufio.NewReader(conn)
	assert.Equal(t, status(t, reader), http.StatusOK)
	head := "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 10_000) + "\r\n"
	for range 20 {
		_, err := io.WriteString(conn, head+head)
		assert.NilError(t, err)
		assert.Equal(t, status(t, reader), http.StatusOK)
		assert.Equal(t, status(t, reader), http.StatusOK)
	}
}

// A head for which no memory is left must get an answer that promises that the request has not
// run, or its caller may not send it again.
func TestHeadWithoutMemoryIsRefused(t *testing.T) {
	s := newTestServer(t, Limits{Memory: 8 << 20}, false)
	conn := s.open(t, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 15_000))
	assert.Equal(t, status(t, bufio.NewReader(conn)), http.StatusServiceUnavailable)
	s.awaitUsed(t, 0, 2*connBytes)
}

// Connections without a request must give way to new ones, and those whose request runs must
// not.
func TestConnectionsWithoutRequestGiveWay(t *testing.T) {
	s := newTestServer(t, Limits{Memory: testMemory, Descriptors: 16}, false) // 4 connections
	running := s.open(t, post("/slow", 1, "x"))
	for n := range 12 {
		s.open(t, []string{"", "GET", post("/", 2, "x")}[n%3])
	}
	time.Sleep(2 * minStall)
	assert.Assert(t, s.limiter.connCount() <= 4)
	other := s.open(t, post("/", 1, "x"))
	assert.Equal(t, status(t, bufio.NewReader(other)), http.StatusOK)
	close(s.release)
	assert.Equal(t, status(t, bufio.NewReader(running)), http.StatusOK)
}

// Requests over TLS and HTTP/2 must be served and release their memory.
func TestEncryptedConnections(t *testing.T) {
	s := newTestServer(t, Limits{Memory: testMemory}, true)
	for _, http2 := range []bool{false, true} {
		transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: http2}
		client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
		for range 50 {
			response, err := client.Post(s.URL, "", strings.NewReader(strings.Repeat("x", 1<<20)))
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), fmt.Sprint(1<<20))
			assert.NilError(t, response.Body.Close())
		}
		transport.CloseIdleConnections()
		s.awaitUsed(t, 0, 0)
	}
}

// An open body on an HTTP/2 connection made it give way although another of its requests ran.
func TestRunningRequestKeepsItsHTTP2Connection(t *testing.T) {
	s := newTestServer(t, Limits{Memory: testMemory, Descriptors: 16}, true) // 4 connections
	client := s.Client()
	result := make(chan error, 1)
	go func() {
		response, err := client.Post(s.URL+"/slow", "", strings.NewReader("x"))
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		result <- err
	}()
	s.awaitUsed(t, connBytes+headBaseBytes, testMemory)
	open, pipe := io.Pipe()
	defer pipe.Close()
	go func() { _, _ = client.Post(s.URL+"/", "", open) }()
	_, err := pipe.Write(make([]byte, 2*progressBytes))
	assert.NilError(t, err)
	time.Sleep(2 * minStall)
	for range 6 {
		s.open(t, "")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.limiter.refused[causeConnection].Value()+s.limiter.ended[causeConnection].Value() < 3 {
			return poll.Continue("the connections are not all accepted")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	close(s.release)
	assert.NilError(t, <-result)
}

// Idle connections with TLS took the whole budget, because their number was bounded by the memory of one without,
// and requests found none.
func TestEncryptedConnectionsLeaveMemoryToRequests(t *testing.T) {
	s := newTestServer(t, Limits{Memory: testMemory}, true)
	assert.Assert(t, s.limiter.maxConns*encryptedConnBytes <= int(s.limiter.budget.Total())/2)
	assert.Assert(t, New(Limits{Memory: testMemory}, hclog.NewNullLogger(), func(string, expvar.Var) {}).maxConns > s.limiter.maxConns)
}
