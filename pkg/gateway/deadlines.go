package gateway

import (
	"net/http"
	"time"
)

const (
	// bodyTimeout bounds the time in which a caller must send the request body.
	bodyTimeout = 30 * time.Second
	// unreadBodyTimeout bounds reading the rest of a body that was refused.
	unreadBodyTimeout = time.Second
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
