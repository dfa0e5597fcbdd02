package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
)

// bufferBytes is the largest response that is read whole before any of it is
// passed on. A longer one is passed on as it comes and cannot be repeated.
const bufferBytes = 256 << 10

// drainBytes bounds what is read of a refusal so that its connection can be kept.
const drainBytes = 16 << 10

func drain(response *targetconn.Response) {
	// A refusal that does not end only costs its connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, drainBytes))
}

// buffered is a response that was read whole.
type buffered struct {
	status int
	header http.Header
	body   []byte
	length int64 // as stated; -1 if it was not
}

// relayWhole passes on a response that is not a stream.
func (f *ForwardFilter) relayWhole(ex *Exchange, response *targetconn.Response) *failure {
	body, err := io.ReadAll(io.LimitReader(response.Body, bufferBytes+1))
	if err != nil {
		return &failure{sent: true, ran: true, elsewhere: true, reason: "response cut off", cause: err}
	}
	answer := &buffered{status: response.StatusCode, header: response.Header, body: body, length: response.ContentLength}
	if len(body) > bufferBytes {
		return f.relayLong(ex, response, answer)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return &failure{sent: true, ran: true, elsewhere: true, reason: "the target failed", answer: answer,
			cause: errors.New("status " + strconv.Itoa(response.StatusCode))}
	}
	answer.write(ex)
	return nil
}

// write sends the response to the caller.
func (b *buffered) write(ex *Exchange) {
	h := copyHeader(ex.Writer.Header(), b.header)
	if b.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(b.length, 10))
	} else if len(b.body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(b.body)))
	}
	ex.begin(b.status)
	_, _ = ex.Writer.Write(b.body) // a caller that is gone needs no answer
	ex.FirstEventAt = time.Now()
}

// relayLong passes on a response that is too long to be held.
func (f *ForwardFilter) relayLong(ex *Exchange, response *targetconn.Response, head *buffered) *failure {
	h := copyHeader(ex.Writer.Header(), head.header)
	if head.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(head.length, 10))
	} else if response.Close {
		h.Set("Transfer-Encoding", "identity")
	}
	ex.begin(head.status)
	ex.FirstEventAt = time.Now()
	if _, err := ex.Writer.Write(head.body); err != nil {
		return &failure{sent: true, ran: true, reason: "the caller does not read", cause: err}
	}
	if _, err := io.Copy(ex.Writer, response.Body); err != nil {
		return &failure{sent: true, ran: true, reason: "response cut off", cause: err}
	}
	return nil
}

// begin sends the response header to the caller.
func (ex *Exchange) begin(status int) {
	ex.HeaderSent = true
	ex.Status = status
	ex.Writer.WriteHeader(status)
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// copyHeader copies what concerns more than one connection.
func copyHeader(to, from http.Header) http.Header {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
	return to
}
