package relay

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
)

const (
	// maxBufferedBytes is the largest response that is read in full before it is
	// sent to the caller. A larger one is sent while it is read, so its request
	// cannot be retried.
	maxBufferedBytes = 256 << 10
	// freeBufferedBytes replaces it where no memory is left in ForwardFilter.Memory.
	freeBufferedBytes = 16 << 10
)

const (
	// maxDrainBytes bounds what is read of a refusal so that its connection can be
	// reused.
	maxDrainBytes = 16 << 10
	// maxDrainTime bounds how long a refusal delays the next attempt.
	maxDrainTime = 20 * time.Millisecond
)

// bufferedResponse is a response that was read in full.
type bufferedResponse struct {
	status       int
	header       http.Header
	body         []byte
	statedLength int64 // Content-Length; -1 if there was none
}

// relayBuffered sends a response that is not a stream to the caller. A response
// with a 5xx status is not sent but returned in the failure. Nor is one sent into a
// stream that has begun.
func (f *ForwardFilter) relayBuffered(ex *Exchange, response *targetconn.Response) *failure {
	if ex.HeaderSent {
		return notResumed(errors.New("status " + strconv.Itoa(response.StatusCode)))
	}
	body, isWhole, err := f.readBuffered(ex, response)
	if err != nil {
		return &failure{requestSent: true, mayHaveRun: true, canTryOther: true, reason: "response cut off", cause: err}
	}
	buffered := &bufferedResponse{status: response.StatusCode, header: response.Header, body: body, statedLength: response.ContentLength}
	if !isWhole {
		return f.relayUnbuffered(ex, response, buffered)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return &failure{requestSent: true, mayHaveRun: true, canTryOther: true, reason: "the target failed", response: buffered,
			cause: errors.New("status " + strconv.Itoa(response.StatusCode))}
	}
	buffered.write(ex)
	return nil
}

// readBuffered reads the body of a response up to maxBufferedBytes, or freeBufferedBytes if
// no memory is left. isWhole is false if there may be more. The memory is held until the
// exchange ends.
func (f *ForwardFilter) readBuffered(ex *Exchange, response *targetconn.Response) (body []byte, isWhole bool, err error) {
	limit := int64(maxBufferedBytes)
	if n := response.ContentLength; n >= 0 && n < limit {
		limit = n
	}
	buffer := make([]byte, 0, min(limit+1, freeBufferedBytes))
	memory := f.Memory.For(ex.Target.Key())
	defer func() { ex.held = append(ex.held, memory) }()
	for {
		if len(buffer) == cap(buffer) {
			if int64(len(buffer)) > limit || !memory.Grow(2*limit) {
				return buffer, false, nil
			}
			buffer = append(make([]byte, 0, limit+1), buffer...)
		}
		n, err := response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}

// write sends the response to the caller.
func (b *bufferedResponse) write(ex *Exchange) {
	h := copyEndToEndHeaders(ex.Writer.Header(), b.header)
	if b.statedLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(b.statedLength, 10))
	} else if len(b.body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(b.body)))
	}
	ex.sendHeader(b.status)
	_, _ = ex.Writer.Write(b.body) // the caller may have closed the connection
	ex.FirstEventAt = time.Now()
}

// relayUnbuffered sends a response that is larger than maxBufferedBytes to the
// caller. head has the part that was read.
func (f *ForwardFilter) relayUnbuffered(ex *Exchange, response *targetconn.Response, head *bufferedResponse) *failure {
	h := copyEndToEndHeaders(ex.Writer.Header(), head.header)
	if head.statedLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(head.statedLength, 10))
	}
	ex.sendHeader(head.status)
	ex.FirstEventAt = time.Now()
	if _, err := ex.Writer.Write(head.body); err != nil {
		return &failure{requestSent: true, mayHaveRun: true, reason: "the caller does not read", cause: err}
	}
	if _, err := io.Copy(ex.Writer, response.Body); err != nil {
		return &failure{requestSent: true, mayHaveRun: true, reason: "response cut off", cause: err}
	}
	return nil
}

// sendHeader sends the response header to the caller.
func (ex *Exchange) sendHeader(status int) {
	ex.HeaderSent = true
	ex.Status = status
	ex.Writer.WriteHeader(status)
}

// hopByHopHeaders apply to a single connection and are not forwarded.
// Content-Length is set anew.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// copyEndToEndHeaders copies all headers but the hop-by-hop headers. Those of the caller's
// connection, which are in to, stay.
func copyEndToEndHeaders(to, from http.Header) http.Header {
	for name, values := range from {
		if !slices.Contains(hopByHopHeaders, name) {
			to[name] = values
		}
	}
	return to
}
