package callerconn

import (
	"context"
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// The kernel held up to 1.6 MB of a connection whose request ran, beside all budgets.
func TestKernelHoldsLittle(t *testing.T) {
	for _, limit := range []int{unreadBytes, unreadBodyBytes} {
		server, client := openTCP(t)
		allowUnread(server, limit)
		assert.NilError(t, client.SetWriteDeadline(time.Now().Add(500*time.Millisecond)))
		_, err := client.Write(make([]byte, 8<<20))
		assert.ErrorContains(t, err, "timeout")
		held := 0
		control(server, func(fd int) { held, err = unix.IoctlGetInt(fd, unix.TIOCINQ) })
		assert.NilError(t, err)
		assert.Assert(t, held > 0 && held <= limit, "%d bytes, limit %d", held, limit)
	}
}

// A caller that sent bytes behind its request and closed the connection was not noticed, and its request
// ran to its deadline.
func TestCallerThatLeavesBehindBytesIsNoticed(t *testing.T) {
	server, client := openTCP(t)
	l := New(Limits{Memory: testMemory}, hclog.NewNullLogger(), func(string, expvar.Var) {})
	c := l.admit(server, false)
	next := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.WriteString(client, "x")
		assert.Check(t, err)
		time.Sleep(2 * leaveCheckInterval)
		assert.Check(t, r.Context().Err(), "the caller has not left")
		assert.Check(t, client.Close())
		select {
		case <-r.Context().Done():
		case <-time.After(10 * time.Second):
			t.Error("the request still runs")
		}
	})
	ctx := ContextWithConn(context.Background(), c)
	l.Handler(next, http.NotFoundHandler()).ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil))
}
