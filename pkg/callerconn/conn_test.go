package callerconn

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/memlimit"
)

// headFixture is a connection whose next byte waits for memory: all of the budget is taken, and
// the receipt that has to give way does not end before unblock is called.
type headFixture struct {
	limiter *Limiter
	conn    *Conn
	peer    net.Conn
	unblock func()
	ran     bool
}

func newHeadFixture(t *testing.T) *headFixture {
	t.Helper()
	server, client := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	l := New(Limits{Memory: testMemory}, hclog.NewNullLogger(), func(string, expvar.Var) {})
	f := &headFixture{limiter: l, conn: l.admit(server, false), peer: client}
	blocked := make(chan struct{})
	f.unblock = func() { close(blocked) }
	stalled := l.newReceipt(causeBody, nil, func() { <-blocked })
	stalled.progressAt = time.Now().Add(-time.Hour)
	stalled.held = 1 << 20
	return f
}

// fill takes all of the budget and returns a function that returns it.
func (f *headFixture) fill() (release func()) {
	var taken []*memlimit.Reservation
	for size := f.limiter.budget.Total(); size > 0; size /= 2 {
		for {
			r := f.limiter.budget.For("test")
			if !r.Grow(size) {
				break
			}
			taken = append(taken, &r)
		}
	}
	return func() {
		for _, r := range taken {
			r.Release()
		}
	}
}

// startRead starts to read a byte.
func (f *headFixture) startRead(t *testing.T) (result <-chan error) {
	t.Helper()
	read := make(chan error, 1)
	go func() {
		_, err := f.conn.Read(make([]byte, 1))
		read <- err
	}()
	_, err := io.WriteString(f.peer, "G")
	assert.NilError(t, err)
	return read
}

// awaitGrowing waits until a read waits for memory.
func (f *headFixture) awaitGrowing() {
	for growing := false; !growing; time.Sleep(time.Millisecond) {
		f.conn.mu.Lock()
		growing = f.conn.growing
		f.conn.mu.Unlock()
	}
}

// serve calls the handler of a request of the connection and reports whether it aborted.
func (f *headFixture) serve() (aborted bool) {
	defer func() { aborted = recover() == http.ErrAbortHandler }()
	next := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { f.ran = true })
	ctx := context.WithValue(context.Background(), contextKey{}, f.conn)
	f.limiter.Handler(next, http.NotFoundHandler()).ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil))
	return false
}

// A byte behind a complete request is read before its handler is called. While that read waited
// for memory, the request could still be chosen to give way, which closed the connection under it.
func TestRunningRequestDoesNotGiveWay(t *testing.T) {
	f := newHeadFixture(t)
	release := f.fill()
	read := f.startRead(t)
	f.awaitGrowing()
	release()
	f.limiter.mu.Lock()
	for r := range f.limiter.receipts {
		r.progressAt = time.Now().Add(-time.Hour)
	}
	f.limiter.mu.Unlock()
	assert.Assert(t, !f.serve())
	assert.Assert(t, f.ran)
	f.limiter.mu.Lock()
	for r := range f.limiter.receipts {
		assert.Check(t, r.cause != causeHead, "the head can still give way")
	}
	f.limiter.mu.Unlock()
	f.unblock()
	assert.NilError(t, <-read)
	assert.Equal(t, f.limiter.budget.Used(), int64(connBytes))
}

// A request whose connection was closed because its head had to give way ran without an answer.
func TestRequestWhoseHeadGaveWayDoesNotRun(t *testing.T) {
	f := newHeadFixture(t)
	f.unblock()
	assert.NilError(t, <-f.startRead(t))
	f.limiter.mu.Lock()
	f.conn.head.progressAt = time.Now().Add(-time.Hour)
	f.limiter.mu.Unlock()
	f.limiter.endStalled(&receipt{cause: causeHead}, 8<<20)
	assert.Assert(t, f.serve())
	assert.Assert(t, !f.ran)
}

// A byte behind a complete request was taken for a head. If there was no memory for it, the
// connection got the answer that the request had not run, although it ran.
func TestRunningRequestIsNotRefused(t *testing.T) {
	f := newHeadFixture(t)
	release := f.fill()
	read := f.startRead(t)
	f.awaitGrowing()
	release()
	assert.Assert(t, !f.serve())
	assert.Assert(t, f.ran)
	defer f.fill()()
	f.unblock()
	assert.NilError(t, <-read)
}

// A request whose connection got the answer that it had not run must not run.
func TestRefusedRequestDoesNotRun(t *testing.T) {
	f := newHeadFixture(t)
	defer f.fill()()
	f.unblock()
	read := f.startRead(t)
	answer := make([]byte, len(refusal))
	_, err := io.ReadFull(f.peer, answer)
	assert.NilError(t, err)
	assert.Equal(t, string(answer), refusal)
	assert.ErrorIs(t, <-read, ErrOutOfMemory)
	assert.Assert(t, f.serve())
	assert.Assert(t, !f.ran)
}

// One new connection closed all idle ones where the room of each was taken at once by a request
// that waited for memory.
func TestNewConnectionClosesOneAtMost(t *testing.T) {
	l := New(Limits{Memory: testMemory}, hclog.NewNullLogger(), func(string, expvar.Var) {})
	for range 3 {
		server, client := net.Pipe()
		defer client.Close()
		l.admit(server, false).since = time.Now().Add(-time.Hour)
	}
	l.maxConns = 0 // no room, whatever is closed
	server, client := net.Pipe()
	defer client.Close()
	assert.Assert(t, l.admit(server, false) == nil)
	assert.Equal(t, l.connCount(), 2)
}
