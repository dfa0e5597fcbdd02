// Package slowcaller bounds how long a caller that stops reading can hold a
// request.
package slowcaller

import (
	"context"
	"net/http"
	"time"
)

// UnblockWrites sets a write deadline of grace from the end of ctx. A write that
// blocks because the caller does not read ignores the context: without the deadline
// the request would never end and would hold up a graceful shutdown. The returned
// function stops the watch on ctx; the server clears the deadline before the next
// request on the connection.
func UnblockWrites(ctx context.Context, w http.ResponseWriter, grace time.Duration) (stop func()) {
	controller := http.NewResponseController(w)
	done := make(chan struct{})
	stopWatch := context.AfterFunc(ctx, func() {
		defer close(done)
		_ = controller.SetWriteDeadline(time.Now().Add(grace)) // the connection may be closed
	})
	return func() {
		if !stopWatch() {
			<-done
		}
	}
}
