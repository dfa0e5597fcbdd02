package gateway

import (
	"context"
	"net/http"
	"time"
)

const (
	// bodyTimeout bounds the time in which a caller must send the request body.
	bodyTimeout = 30 * time.Second
	// finalWriteTimeout bounds the writing of the error after a request has ended,
	// because its caller may have stopped reading.
	finalWriteTimeout = time.Second
)

// setBodyReadDeadline sets the read deadline of the connection to bodyTimeout
// from now. The returned function clears it and must be called after the body
// has been read: the deadline would otherwise apply to later requests.
func setBodyReadDeadline(w http.ResponseWriter) func() {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	return func() { _ = controller.SetReadDeadline(time.Time{}) }
}

// unblockWrites sets a write deadline once ctx is done. A write that blocks
// because the caller does not read ignores the context: without the deadline the
// request would never end and would hold up a graceful shutdown. The returned
// function stops the watch on ctx.
func unblockWrites(ctx context.Context, w http.ResponseWriter) func() {
	controller := http.NewResponseController(w)
	stop := context.AfterFunc(ctx, func() {
		_ = controller.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
	})
	return func() { stop() }
}
