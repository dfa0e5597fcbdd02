package callerconn

import (
	"bufio"
	"expvar"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// A body below the size of a small reservation was refused beside large ones, because it held two
// buffers while it grew.
func TestSmallBodiesFindRoomBesideLargeOnes(t *testing.T) {
	s := newTestServer(t, Limits{Memory: testMemory}, false)
	first, second := s.limiter.budget.For("test"), s.limiter.budget.For("test")
	assert.Assert(t, first.Grow(6<<20) && second.Grow(6<<20-20<<10))
	for _, length := range []int{9 << 10, 40 << 10, 55 << 10, 64 << 10} {
		conn := s.open(t, post("/", length, strings.Repeat("x", length)))
		assert.Equal(t, status(t, bufio.NewReader(conn)), http.StatusOK)
	}
}

// The largest legal body was refused if its length was not stated, because the buffer is a byte
// larger than the body then. With a copy of it, or with the buffer before it, that is more than one
// request can hold.
func TestLargestBodyIsServedWithoutLength(t *testing.T) {
	// reservationPart is the part of the budget that one request can hold.
	const largest, copies, reservationPart = 16 << 20, 2, 2
	l := New(Limits{Memory: budgetDivisor * reservationPart * copies * largest}, hclog.NewNullLogger(), func(string, expvar.Var) {})
	for _, length := range []int64{largest, -1} {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", largest)))
		r.ContentLength = length
		body, err := l.ReadBody(httptest.NewRecorder(), r, largest, copies)
		assert.NilError(t, err)
		body.Release()
		assert.Equal(t, l.budget.Used(), int64(0))
	}
}
