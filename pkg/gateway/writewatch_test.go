package gateway

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"testing"

	"gotest.tools/v3/assert"
)

// http.Transport repeats a request without a body on a new connection. The error of the first
// attempt stayed the result, so that the answer to the second counted as cut off.
func TestWriteWatchKeepsTheResultOfTheLastAttempt(t *testing.T) {
	first, second := net.Pipe()
	defer first.Close()
	defer second.Close()
	watch := newWriteWatch()
	trace := watch.trace()
	trace.GotConn(httptrace.GotConnInfo{Conn: first, Reused: true})
	trace.WroteRequest(httptrace.WroteRequestInfo{Err: errors.New("broken pipe")})
	trace.GotConn(httptrace.GotConnInfo{Conn: second})
	trace.WroteRequest(httptrace.WroteRequestInfo{})
	assert.NilError(t, watch.await(context.Background()))
}
