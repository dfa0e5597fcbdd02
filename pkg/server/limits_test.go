package server

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/config"
)

// Oversized requests must be refused, because they would exhaust memory. Malformed
// requests must be refused too, because a proxy in front of the router could parse
// them in another way (request smuggling).
func TestRequestLimits(t *testing.T) {
	p, address := startPlatform(t)
	putConfiguration(t, p, 1, "demo")
	r := startServer(t, &config.Settings{Platform: config.Platform{Address: address}})
	r.waitReady(t, http.StatusOK)
	const head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
	cases := []struct {
		name, text string
		status     int
	}{
		{"large header", head + "X-Large: " + strings.Repeat("a", 2*maxHeaderBytes) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"large body", head + "Content-Length: 100000000\r\n\r\n" + strings.Repeat("a", 17<<20), http.StatusRequestEntityTooLarge},
		{"two lengths", head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef", http.StatusBadRequest},
		{"negative length", head + "Content-Length: -1\r\n\r\n", http.StatusBadRequest},
		{"unknown transfer coding", head + "Transfer-Encoding: xchunked\r\n\r\n", http.StatusNotImplemented},
		{"space in a header name", head + "X-A : b\r\n\r\n", http.StatusBadRequest},
		{"invalid chunk size", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", http.StatusBadRequest},
		{"no host", "POST /v1/chat/completions HTTP/1.1\r\n\r\n", http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", r.CallerAddress())
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			go func() { _, _ = fmt.Fprint(conn, c.text) }()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			resp.Body.Close()
			assert.Equal(t, resp.StatusCode, c.status)
		})
	}
}
