package daemon

import (
	"bufio"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/relay"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// plainDialect reads no headers. Only the method that the test needs is present.
type plainDialect struct{ relay.Dialect }

func (plainDialect) ParseRequestHeader(http.Header) relay.RequestMetadata {
	return relay.RequestMetadata{}
}

// cutOffFilter sends the start of an answer and fails.
type cutOffFilter struct{ length string }

func (f cutOffFilter) Handle(ex *relay.Exchange, _ relay.Handler) error {
	ex.Route = &tables.Route{}
	if f.length != "" {
		ex.Writer.Header().Set("Content-Length", f.length)
	}
	ex.Writer.WriteHeader(http.StatusOK)
	ex.HeaderSent = true
	_, _ = io.WriteString(ex.Writer, "part")
	_ = http.NewResponseController(ex.Writer).Flush()
	return errors.New("cut off")
}

// An answer that is cut off must end with an error at the caller through the
// listener of the daemon too, also if HTTP has no sign for its end.
func TestCutOffAnswerIsResetThroughListener(t *testing.T) {
	for _, c := range []struct{ version, length string }{{"HTTP/1.1", ""}, {"HTTP/1.1", "10"}, {"HTTP/1.0", ""}, {"HTTP/1.0", "10"}} {
		t.Run(c.version+" length "+c.length, func(t *testing.T) {
			requestLog := &relay.RequestLog{Log: hclog.NewNullLogger(), Metrics: new(expvar.Map).Init()}
			server := &http.Server{
				Handler:     relay.NewChain(plainDialect{}, requestLog, cutOffFilter{c.length}),
				IdleTimeout: idleTimeoutMarker, ConnContext: relay.ContextWithConn, ReadHeaderTimeout: readHeaderTimeout,
			}
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() { _ = server.Serve(newIdleTimeout().wrap(listener)) }()
			t.Cleanup(func() { _ = server.Close() })
			conn, err := net.Dial("tcp4", listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = fmt.Fprintf(conn, "GET / %s\r\nHost: x\r\n\r\n", c.version)
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			assert.Assert(t, err != nil, "the caller got no error for an answer that was cut off")
			var timeout net.Error
			assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout(), "the connection stayed open")
		})
	}
}
