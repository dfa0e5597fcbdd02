// Package targetconn pools HTTP/1.1 connections to targets and sends one
// request at a time on each. Unlike http.Transport it never sends a request
// twice, reports whether a failed request can have reached the target, and
// detects responses that belong to an earlier request.
package targetconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lacewingwheel.example/lacewingwheel/pkg/memlimit"
)

const (
	// readBufferBytes is enough for the header of a response and a few events.
	readBufferBytes = 4 << 10
	// maxInlineRequestBytes is the largest request that is written before the
	// response is read. A larger one may not fit the receive window of the
	// target, which may answer before it has read all of it.
	maxInlineRequestBytes = 8 << 10
	// MaxHeadBytes bounds the header of a response, together with the headers of
	// informational responses and of responses to earlier requests before it.
	MaxHeadBytes = 64 << 10
	// freeHeadBytes is the part of MaxHeadBytes for which nothing is reserved in
	// Pool.Memory. Usual heads are shorter.
	freeHeadBytes = 8 << 10
	// parsedHeadFactor is the memory that a header of many short lines takes for each of
	// its bytes.
	parsedHeadFactor = 10
	// maxMismatchedResponses bounds the responses to earlier requests that are
	// discarded before one request fails.
	maxMismatchedResponses = 2
	// maxMismatchedBytes bounds the body of a discarded response.
	maxMismatchedBytes = 1 << 20
	// defaultIdleTimeout is how long an idle connection is kept if the target
	// states no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from a stated Keep-Alive timeout, so that
	// no request is sent while the target closes the connection.
	idleTimeoutMargin = 500 * time.Millisecond
)

// ErrResponseMismatch means that the target sent only responses to other
// requests.
var ErrResponseMismatch = errors.New("the target sent a response to another request")

// ErrHeadTooLarge means that the header of a response, with the responses before it
// that are skipped, exceeds MaxHeadBytes.
var ErrHeadTooLarge = errors.New("the header of the target's response exceeds the size limit")

// ErrOutOfMemory means that a response needs more memory than is left for responses, or for
// those of its target.
var ErrOutOfMemory = errors.New("no memory is left for this response of the target")

// ErrInvalidStatus means that the target sent a status that no response to this
// request can have.
var ErrInvalidStatus = errors.New("the target sent an invalid status")

// Conn is a connection to a target. Only one request may use it at a time.
type Conn struct {
	net.Conn
	input        *boundedReader
	reader       *bufio.Reader // reads input
	key          string        // Destination.Key
	requestCount int
	idleSince    time.Time
	idleTimeout  time.Duration
	writeDone    chan error // result of a request that is written in the background; otherwise nil
	writeErr     error      // from writeDone
	outOfSync    bool       // further bytes may belong to other requests
	memory       memlimit.Reservation
}

// newConn returns a connection to the target with this Destination.Key, whose long heads
// are reserved in memory.
func newConn(raw net.Conn, key string, memory *memlimit.Budget) *Conn {
	input := &boundedReader{Reader: raw}
	c := &Conn{Conn: raw, input: input, reader: bufio.NewReaderSize(input, readBufferBytes), key: key, memory: memory.For(key)}
	input.reserve = func(bytes int) bool { return c.memory.Grow(int64(parsedHeadFactor * bytes)) }
	return c
}

// boundedReader bounds what is read while a header is expected. http.ReadResponse
// has no bound of its own.
type boundedReader struct {
	io.Reader
	bounded bool
	free    int // bytes that may be read while bounded
	left    int // bytes that may be read then, once reserve has returned true for them
	reserve func(bytes int) bool
	err     error // why more was not read
}

// Read implements io.Reader. It returns ErrHeadTooLarge at the bound, or ErrOutOfMemory.
func (b *boundedReader) Read(p []byte) (int, error) {
	if !b.bounded {
		return b.Reader.Read(p)
	}
	if b.free <= 0 {
		switch {
		case b.left <= 0:
			b.err = ErrHeadTooLarge
		case !b.reserve(b.left):
			b.err = ErrOutOfMemory
		}
		if b.err != nil {
			return 0, b.err
		}
		b.free, b.left = b.left, 0
	}
	n, err := b.Reader.Read(p[:min(len(p), b.free)])
	b.free -= n
	return n, err
}

// Request is a request to a target.
type Request struct {
	Method, Path, Host string
	Header             http.Header
	Body               []byte
	// Prepare returns the header to send in place of Header, or an error if the
	// request must not be sent any more. It is called when the connection is open,
	// which may take a while. Nil means no call.
	Prepare func() (http.Header, error)
	// MatchesResponse reports whether a response header belongs to this
	// request. Nil accepts every response.
	MatchesResponse func(http.Header) bool
}

// isUsable reports whether an idle connection can carry another request: it has
// not expired, is open, and no bytes have arrived since the last response.
func (c *Conn) isUsable(now time.Time) bool {
	if c.reader.Buffered() > 0 || now.Sub(c.idleSince) > c.idleTimeout {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && noData
}

// write sends the request. A request above maxInlineRequestBytes is written in
// the background.
func (c *Conn) write(r *Request) error {
	head := encodeHead(r)
	if len(head)+len(r.Body) <= maxInlineRequestBytes {
		_, err := c.Conn.Write(append(head, r.Body...))
		return err
	}
	done := make(chan error, 1)
	c.writeDone = done
	go func() {
		buffers := net.Buffers{head, r.Body}
		_, err := buffers.WriteTo(c.Conn)
		done <- err
	}()
	return nil
}

// headOverheadBytes is more than what a head has beside the method, path, host and header lines.
const headOverheadBytes = 128

// encodeHead returns the head of the request, in a buffer that is large enough from the start.
func encodeHead(r *Request) []byte {
	size := headOverheadBytes + len(r.Method) + len(r.Path) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(": ") + len(value) + len("\r\n")
		}
	}
	b := make([]byte, 0, size)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// readResponse returns the response to the request. It skips informational
// responses and discards responses to earlier requests.
func (c *Conn) readResponse(r *Request) (*http.Response, error) {
	c.input.free, c.input.left = freeHeadBytes, MaxHeadBytes-freeHeadBytes
	defer func() { c.input.bounded = false }()
	for mismatched := 0; ; {
		c.input.bounded = true
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if c.input.err != nil {
			return nil, c.input.err // err may be about the line that was cut
		}
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode < 100 || response.StatusCode > 599 || response.StatusCode == http.StatusSwitchingProtocols:
			return nil, ErrInvalidStatus
		case response.StatusCode < 200:
			continue
		}
		if r.MatchesResponse == nil || r.MatchesResponse(response.Header) {
			return response, nil
		}
		c.outOfSync = true
		mismatched++
		if mismatched > maxMismatchedResponses || response.ContentLength < 0 || response.ContentLength > maxMismatchedBytes {
			return nil, ErrResponseMismatch
		}
		c.input.bounded = false
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
}

// awaitWritten waits until the request is written and returns the error of writing it, or that
// of ctx.
func (c *Conn) awaitWritten(ctx context.Context) error {
	if c.writeDone == nil {
		return c.writeErr
	}
	select {
	case c.writeErr = <-c.writeDone:
		c.writeDone = nil
		return c.writeErr
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// canReuse reports whether the connection can carry another request after a
// response whose body was read to its end. It sets the idle timeout.
func (c *Conn) canReuse(response *http.Response) bool {
	if c.outOfSync || response.Close || c.reader.Buffered() > 0 {
		return false
	}
	if c.writeDone != nil {
		select {
		case c.writeErr = <-c.writeDone:
			c.writeDone = nil
		default:
			return false
		}
	}
	if c.writeErr != nil {
		return false
	}
	c.idleTimeout = keepAliveTimeout(response.Header)
	return c.idleTimeout > 0
}

// keepAliveTimeout returns how long to keep an idle connection: the Keep-Alive
// timeout that the target states less a margin, or the default.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return defaultIdleTimeout
		}
		return time.Duration(seconds)*time.Second - idleTimeoutMargin
	}
	return defaultIdleTimeout
}

// closeOnCancel closes the connection when ctx ends. The returned function
// cancels this and reports whether the connection was still open.
func (c *Conn) closeOnCancel(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
}
