package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// A status that no answer can have must not reach the caller as an answer.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			f := newFixture(t, startRawTarget(t, func(conn net.Conn, id string) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Trouble\r\n"+platformtest.HeaderRequestID+": %s\r\n"+platformtest.HeaderSignature+": s\r\nContent-Length: 4\r\n\r\npart", status, id)
				time.Sleep(50 * time.Millisecond)
			}))
			got := f.send(callerRequest{path: "/once/"})
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusBadGateway)
		})
	}
}
