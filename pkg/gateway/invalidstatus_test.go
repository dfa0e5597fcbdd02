package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
)

// A status that no answer can have must not reach the caller as an answer.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for _, path := range []string{pathBook, pathLookup, pathGenerate} {
			t.Run(status+path, func(t *testing.T) {
				raw := startRawTarget(t, func(conn net.Conn, id string) {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Trouble\r\n"+engine.HeaderRequestID+": %s\r\nContent-Length: 2\r\n\r\n{}", status, id)
					time.Sleep(50 * time.Millisecond)
				})
				r := newRouter(t, standin.NewPlatform(), raw)
				r.serve()
				key := ""
				if path == pathBook {
					key = "key-1"
				}
				got := r.post(path, key, generateBody)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusBadGateway)
			})
		}
	}
}
