package callerconn

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

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
