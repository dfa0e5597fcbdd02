// Package targetconn keeps HTTP/1.1 connections to targets and sends one
// request at a time on each. Unlike http.Transport it never sends a request
// twice, tells whether a failed request can have reached the target, and
// recognises responses that belong to an earlier request.
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
)

const (
	// readBufferBytes holds the header of a response and a few events.
	readBufferBytes = 4 << 10
	// inlineBytes is the largest request that is written before the response
	// is read. A larger one may not fit the target's receive window, and a
	// target may answer before it has read all of it.
	inlineBytes = 8 << 10
	// maxStaleResponses bounds how many responses to earlier requests are
	// passed over on one connection.
	maxStaleResponses = 2
	// maxStaleBytes bounds a response that is passed over.
	maxStaleBytes = 1 << 20
	// defaultIdle is how long an idle connection is kept when the target does
	// not say how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is kept from a stated idle timeout, so that a request does not
	// cross the target's close.
	idleMargin = 500 * time.Millisecond
)

// ErrResponseMismatch means that the target answered with responses to other requests only.
var ErrResponseMismatch = errors.New("the target sent a response to another request")

// Conn is one connection to a target. It is used by one request at a time.
type Conn struct {
	net.Conn
	reader   *bufio.Reader
	key      string
	uses     int
	idleAt   time.Time
	idleFor  time.Duration
	writing  chan error // not nil while a large request is written in the background
	poisoned bool       // bytes of unknown origin may follow
}

// Request is one request as it goes to a target.
type Request struct {
	Method, Path, Host string
	Header             http.Header
	Body               []byte
	// MatchesResponse reports whether a response header belongs to this request.
	MatchesResponse func(http.Header) bool
}

// healthy reports whether an idle connection can carry a request: it is open
// and no bytes have arrived on it since its last response.
func (c *Conn) healthy(now time.Time) bool {
	if c.reader.Buffered() > 0 || now.Sub(c.idleAt) > c.idleFor {
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
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// write sends the request. A large one is sent in the background.
func (c *Conn) write(r *Request) error {
	head := encodeHead(r)
	if len(head)+len(r.Body) <= inlineBytes {
		_, err := c.Conn.Write(append(head, r.Body...))
		return err
	}
	done := make(chan error, 1)
	c.writing = done
	go func() {
		buffers := net.Buffers{head, r.Body}
		_, err := buffers.WriteTo(c.Conn)
		done <- err
	}()
	return nil
}

func encodeHead(r *Request) []byte {
	var b strings.Builder
	b.Grow(1024)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Path)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// readResponse returns the response to the request and passes over responses
// to earlier ones.
func (c *Conn) readResponse(r *Request) (*http.Response, error) {
	for stale := 0; ; {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if r.MatchesResponse == nil || r.MatchesResponse(response.Header) {
			return response, nil
		}
		c.poisoned = true
		stale++
		if stale > maxStaleResponses || response.ContentLength < 0 {
			return nil, ErrResponseMismatch
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBytes)); err != nil {
			return nil, err
		}
	}
}

// reusable reports whether the connection can carry another request after a
// response that was read to its end.
func (c *Conn) reusable(response *http.Response) bool {
	if c.poisoned || response.Close || c.reader.Buffered() > 0 {
		return false
	}
	if c.writing != nil {
		select {
		case err := <-c.writing:
			c.writing = nil
			if err != nil {
				return false
			}
		default:
			return false
		}
	}
	c.idleFor = idleTime(response.Header)
	return c.idleFor > 0
}

// idleTime is how long a target keeps an idle connection, less a margin.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return defaultIdle
		}
		return time.Duration(seconds)*time.Second - idleMargin
	}
	return defaultIdle
}

// watch closes the connection when ctx ends. The returned function ends the
// watch and reports whether the connection is still whole.
func (c *Conn) watch(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
}
