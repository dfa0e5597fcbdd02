package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// startRawTarget starts a target that reads the head of each request and then calls respond,
// after which the connection is reset.
func startRawTarget(t *testing.T, respond func(conn net.Conn, requestID string)) *target.Target {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				respond(conn, request.Header.Get(engine.HeaderRequestID))
				_ = conn.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return &target.Target{ID: "raw", Role: objectstore.RoleService, Address: listener.Addr().String(), Reachable: true, Live: &target.LiveState{}}
}

// A target answered a long upload at once without a length, sent a part and reset the
// connection. The writer of the upload got the reset and the reader a clean end, so that the
// caller got the part as a complete answer.
func TestAnswerThatBreaksOffDuringUploadIsNotWhole(t *testing.T) {
	upload := `{"model":"m","prompt":"` + strings.Repeat("x", 12<<20) + `"}`
	for _, path := range []string{pathBook, pathLookup, pathGenerate} {
		t.Run(path, func(t *testing.T) {
			raw := startRawTarget(t, func(conn net.Conn, id string) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n"+engine.HeaderRequestID+": %s\r\n\r\n{}", id)
				time.Sleep(100 * time.Millisecond) // the part arrives before the reset
			})
			r := newRouter(t, standin.NewPlatform(), raw)
			r.serve()
			for n := range 2 {
				key := ""
				if path == pathBook {
					key = fmt.Sprint("key-", n)
				}
				got := r.post(path, key, upload)
				assert.Assert(t, got.err != nil || got.status >= 500, "status %d with body %q as a complete answer", got.status, got.body)
			}
		})
	}
}
