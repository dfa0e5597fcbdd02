package relay_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// A body that stopped short of its end held its request for ever. It must end at the deadline
// or when the instance stops, with an answer that promises that the request has not run.
func TestStalledBodyEnds(t *testing.T) {
	for _, stops := range []bool{false, true} {
		t.Run(fmt.Sprintf("instance stops %t", stops), func(t *testing.T) {
			testTarget := startTarget(t, "i-1")
			f := newFixture(t, testTarget)
			conn, err := net.Dial("tcp4", f.server.Listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
			_, err = fmt.Fprintf(conn, "POST /once/ HTTP/1.1\r\nHost: x\r\n"+platformtest.HeaderRequestID+": id-1\r\nAuthorization: Token %s\r\nContent-Length: 10\r\n\r\nshort", testKey)
			assert.NilError(t, err)
			if stops {
				time.AfterFunc(50*time.Millisecond, f.endRequests)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer response.Body.Close()
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, response.Close, "the caller may send another request on a connection whose requests are cancelled")
			assert.Equal(t, response.Header.Get(apierr.HeaderOutcome), string(apierr.OutcomeNotRun))
			assert.Equal(t, len(testTarget.Requests()), 0)
		})
	}
}

// A head inside the limit was refused if its lines have no space after the colon, because one
// was counted for each.
func TestHeadWithinTheLimitIsServed(t *testing.T) {
	f := newFixture(t, startTarget(t, "i-1"))
	conn, err := net.Dial("tcp4", f.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	const limit = 8 << 10
	head := "POST /once/ HTTP/1.1\r\nHost: x\r\n" + platformtest.HeaderRequestID + ": id-1\r\nAuthorization: Token " + testKey + "\r\nContent-Length: 0\r\n"
	_, err = fmt.Fprint(conn, head+strings.Repeat("a:\r\n", (limit-len(head)-2)/4)+"\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
}
