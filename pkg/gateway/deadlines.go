package gateway

import (
	"context"
	"net/http"
	"time"
)

const (
	// bodyTimeout bounds how long a caller may take to send its body.
	bodyTimeout = 30 * time.Second
	// lastWrite is left for the error of a request that is over, when its caller
	// has stopped reading.
	lastWrite = time.Second
)

// limitBodyRead bounds the reading of the body. Call the returned function
// after it: the deadline would otherwise hold for the whole connection.
func limitBodyRead(w http.ResponseWriter) func() {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	return func() { _ = controller.SetReadDeadline(time.Time{}) }
}

// unblockWrites ends a write to a caller that does not read, once ctx is over.
// A blocked write does not see the end of a context, so the request would never
// end and a graceful stop would wait for it.
func unblockWrites(ctx context.Context, w http.ResponseWriter) func() {
	controller := http.NewResponseController(w)
	stop := context.AfterFunc(ctx, func() {
		_ = controller.SetWriteDeadline(time.Now().Add(lastWrite))
	})
	return func() { stop() }
}
