package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// sendVersion sends a request with the given HTTP version on a new connection and
// returns the response with its body and the error that ended the body. It closes
// delivered, unless that is nil, after that many bytes of the body.
func (f *fixture) sendVersion(version, path string, delivered chan struct{}, bytes int) (*http.Response, string, error) {
	f.t.Helper()
	conn, err := net.Dial("tcp4", f.server.Listener.Addr().String())
	assert.NilError(f.t, err)
	defer conn.Close()
	assert.NilError(f.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = fmt.Fprintf(conn, "POST %s %s\r\nHost: x\r\n"+platformtest.HeaderRequestID+": id-1\r\nAuthorization: Token %s\r\nContent-Length: 0\r\n\r\n", path, version, testKey)
	assert.NilError(f.t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(f.t, err)
	var body strings.Builder
	if delivered != nil {
		if _, err = io.CopyN(&body, response.Body, int64(bytes)); err == nil {
			close(delivered)
		}
	}
	if err == nil {
		_, err = io.Copy(&body, response.Body)
	}
	return response, body.String(), err
}

// streamEvents returns the events first to last of the stand-in's stream for id-1.
func streamEvents(first, last int) string {
	text := ""
	for n := first; n <= last; n++ {
		text += fmt.Sprintf("id: %d\ndata: id-1 event %d\n\n", n, n)
	}
	return text
}

// respondUnframed returns a response with neither a length nor chunks. Its
// connection is closed or, with reset, reset once delivered is closed. A reset
// discards what the router has not read.
func respondUnframed(body string, reset bool, delivered <-chan struct{}) func(*net.TCPConn, string) {
	return func(conn *net.TCPConn, head string) {
		_, _ = io.WriteString(conn, head+"Content-Type: text/event-stream\r\n\r\n"+body)
		if reset {
			select {
			case <-delivered:
			case <-time.After(200 * time.Millisecond): // nothing of it can reach the caller
			}
			_ = conn.SetLinger(0)
		}
	}
}

// A stream that ends inside an event, by a reset or without an event is not
// complete. It must go on after the last whole event where it may be resumed, and
// must not look complete to the caller otherwise.
func TestStreamWithoutLength(t *testing.T) {
	const half = "id: 3\ndata: id-1 ev"
	cases := []struct {
		name  string
		body  string
		reset bool
		whole bool   // the stream is complete
		after string // Last-Event-Id of the second attempt
	}{
		{"closed after the last event", streamEvents(1, 4), false, true, ""},
		{"closed inside an event", streamEvents(1, 2) + half, false, false, "2"},
		{"closed inside an event, without its last line end", streamEvents(1, 2) + "id: 3\ndata: id-1 event 3\n", false, false, "2"},
		{"closed inside the first event", "id: 1\nda", false, false, ""},
		{"closed without an event", "", false, false, ""},
		{"reset after an event", streamEvents(1, 2), true, false, "2"},
		{"reset inside an event", streamEvents(1, 2) + half, true, false, "2"},
		{"reset without an event", "", true, false, ""},
	}
	for _, c := range cases {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, path := range []string{"/stream/resumable/", "/stream/once/"} {
				t.Run(c.name+version+path, func(t *testing.T) {
					one, two := startTarget(t, "i-1"), startTarget(t, "i-2")
					var delivered chan struct{}
					if c.reset && c.after != "" {
						delivered = make(chan struct{})
					}
					var broken firstTarget
					for _, testTarget := range []*platformtest.Target{one, two} {
						testTarget.SetFaults(func(int, string) platformtest.Fault {
							if broken.isFirst(testTarget.ID) {
								return platformtest.Fault{Respond: respondUnframed(c.body, c.reset, delivered)}
							}
							return platformtest.Fault{}
						})
					}
					f := newFixture(t, one, two)
					response, body, err := f.sendVersion(version, path, delivered, len(streamEvents(1, 2)))
					resumable := path == "/stream/resumable/"
					if c.whole || resumable {
						assert.NilError(t, err)
						assert.Equal(t, response.StatusCode, http.StatusOK)
						assert.Equal(t, body, streamEvents(1, 4))
					} else if response.StatusCode == http.StatusOK {
						assert.Assert(t, err != nil, "the caller got no error for the incomplete stream %q", body)
					} else {
						assert.Equal(t, response.StatusCode, http.StatusBadGateway)
					}
					if c.whole || !resumable {
						assert.Equal(t, countRuns(one, two), 1)
						return
					}
					assert.Equal(t, countRuns(one, two), 2)
					second := two
					if broken.isFirst("i-2") {
						second = one
					}
					assert.Equal(t, second.Requests()[0].Header.Get("Last-Event-Id"), c.after)
					assert.Assert(t, strings.Contains(f.log.String(), `reason="stream cut off"`), f.log.String())
				})
			}
		}
	}
}

// An answer that is not a stream and has neither a length nor chunks is complete if
// its connection is closed. One that is reset must not look complete to the caller,
// also if its first part was already sent.
func TestAnswerWithoutLength(t *testing.T) {
	large := strings.Repeat("x", 300<<10) // more than is buffered
	cases := []struct {
		name, body string
		reset      bool
		status     int // of the caller's answer
	}{
		{"closed", "whole", false, http.StatusOK},
		{"closed without a byte", "", false, http.StatusOK},
		{"closed, large", large, false, http.StatusOK},
		{"reset", "part", true, http.StatusBadGateway},
		{"reset without a byte", "", true, http.StatusBadGateway},
		{"reset, large", large, true, http.StatusOK},
	}
	for _, c := range cases {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(c.name+version, func(t *testing.T) {
				testTarget := startTarget(t, "i-1")
				var delivered chan struct{}
				if c.reset && c.status == http.StatusOK {
					delivered = make(chan struct{})
				}
				testTarget.SetFaults(func(int, string) platformtest.Fault {
					return platformtest.Fault{Respond: respondUnframed(c.body, c.reset, delivered)}
				})
				f := newFixture(t, testTarget)
				response, body, err := f.sendVersion(version, "/once/", delivered, 1)
				assert.Equal(t, response.StatusCode, c.status)
				assert.Equal(t, countRuns(testTarget), 1)
				switch {
				case !c.reset:
					assert.NilError(t, err)
					assert.Assert(t, body == c.body, "%d bytes, want %d", len(body), len(c.body))
				case c.status == http.StatusOK:
					assert.Assert(t, err != nil, "the caller got no error for an answer that was cut off")
				default:
					assert.Equal(t, response.Header.Get("X-Outcome"), "unknown")
				}
			})
		}
	}
}

// A target that breaks off in the middle of the head of its answer has given none. The
// caller must not get a success, empty or short, that is framed as whole.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/once/", "/stream/resumable/"} {
		for _, reset := range []bool{false, true} {
			for _, rest := range []string{"", "Content-Len", "Content-Length: 1", "Content-Length: 10\r\n", "Content-Type: text/event-stream\r\n\r"} {
				t.Run(fmt.Sprintf("%s %q %t", path, rest, reset), func(t *testing.T) {
					testTarget := startTarget(t, "i-1")
					testTarget.SetFaults(func(int, string) platformtest.Fault {
						return platformtest.Fault{Respond: func(conn *net.TCPConn, head string) {
							_, _ = io.WriteString(conn, head+rest)
							if reset {
								_ = conn.SetLinger(0)
							}
						}}
					})
					f := newFixture(t, testTarget)
					response, body, err := f.sendVersion("HTTP/1.1", path, nil, 0)
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, http.StatusBadGateway, body)
					assert.Equal(t, response.Header.Get("X-Outcome"), "unknown")
				})
			}
		}
	}
}

// An answer whose end is the end of its connection looks complete when this process
// is killed while it sends. Callers that know chunks must get chunks.
func TestAnswerWithoutLengthIsSentInChunks(t *testing.T) {
	large := strings.Repeat("x", 300<<10)
	cases := map[string]struct{ path, rest string }{
		"stream":                         {"/stream/once/", "\r\n" + streamEvents(1, 1)},
		"large answer":                   {"/once/", "\r\n" + large},
		"large answer in chunks, closed": {"/once/", fmt.Sprintf("Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(large), large)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			testTarget := startTarget(t, "i-1")
			release := make(chan struct{})
			defer close(release)
			testTarget.SetFaults(func(int, string) platformtest.Fault {
				return platformtest.Fault{Respond: func(conn *net.TCPConn, head string) {
					_, _ = io.WriteString(conn, head+c.rest)
					<-release
				}}
			})
			f := newFixture(t, testTarget)
			conn, reader := f.sendRaw(c.path, "id-1")
			defer conn.Close()
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			_, err = response.Body.Read(make([]byte, 16))
			assert.NilError(t, err)
			f.server.CloseClientConnections()
			_, err = io.ReadAll(response.Body)
			assert.Assert(t, err != nil, "the caller got no error although the router closed the connection before the end")
		})
	}
}

// A stream that states its end is complete also without an event: a caller may
// resume after the last one.
func TestEmptyStreamWithStatedEnd(t *testing.T) {
	for name, rest := range map[string]string{
		"length": "Content-Length: 0\r\n\r\n",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			testTarget := startTarget(t, "i-1")
			testTarget.SetFaults(func(int, string) platformtest.Fault {
				return platformtest.Fault{Respond: func(conn *net.TCPConn, head string) { _, _ = io.WriteString(conn, head+rest) }}
			})
			f := newFixture(t, testTarget)
			got := f.send(callerRequest{path: "/stream/resumable/", header: map[string]string{"Last-Event-Id": "4"}})
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, "")
			assert.Equal(t, countRuns(testTarget), 1)
		})
	}
}

// When a stream is resumed, an answer of the second target that is not a stream
// must not be written into the stream of the first.
func TestAnswerToResumeIsNotPartOfStream(t *testing.T) {
	for name, second := range map[string]platformtest.Fault{
		"refused as unknown": {Status: http.StatusNotFound},
		"another success":    {Status: http.StatusNoContent},
		"large answer": {Status: http.StatusNotFound, Respond: func(conn *net.TCPConn, head string) {
			_, _ = io.WriteString(conn, head+"\r\n"+strings.Repeat("x", 300<<10))
		}},
		"error as a success": {Respond: func(conn *net.TCPConn, head string) {
			_, _ = io.WriteString(conn, head+"Content-Type: application/json\r\n\r\n{\"error\":\"no memory\"}\n\n")
		}},
		"head of another answer as its body": {Respond: func(conn *net.TCPConn, head string) {
			_, _ = io.WriteString(conn, head+"Content-Type: text/plain\r\nContent-Length: 40\r\n\r\nHTTP/1.1 500 Internal Server Error\r\n\r\n\n\n")
		}},
		"success without content": {Respond: func(conn *net.TCPConn, head string) {
			_, _ = io.WriteString(conn, head+"Content-Length: 0\r\n\r\n")
		}},
		"stream from its start": {Respond: func(conn *net.TCPConn, head string) {
			_, _ = io.WriteString(conn, head+"Content-Type: text/event-stream\r\n\r\n"+streamEvents(1, 4))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			one, two := startTarget(t, "i-1"), startTarget(t, "i-2")
			var broken firstTarget
			for _, testTarget := range []*platformtest.Target{one, two} {
				testTarget.SetFaults(func(int, string) platformtest.Fault {
					if broken.isFirst(testTarget.ID) {
						return platformtest.Fault{Reset: true, ResetAfter: 2}
					}
					return second
				})
			}
			f := newFixture(t, one, two)
			got := f.send(callerRequest{path: "/stream/resumable/"})
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, countRuns(one, two), 2)
			assert.Equal(t, got.body, streamEvents(1, 2))
			assert.Assert(t, got.err != nil, "the caller got no error for the incomplete stream")
			assert.Assert(t, strings.Contains(f.log.String(), `reason="stream not resumed"`), f.log.String())
		})
	}
}

// The body of a refusal is not used, so that one without end must not hold the
// request: another target can still take it.
func TestRefusalWithoutEndDoesNotHoldRequest(t *testing.T) {
	for name, body := range map[string]string{
		"length without bytes": "Content-Length: 10\r\n\r\n",
		"neither":              "\r\npart",
		"chunks":               "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			one, two := startTarget(t, "i-1"), startTarget(t, "i-2")
			var refusing firstTarget
			release := make(chan struct{})
			defer close(release)
			for _, testTarget := range []*platformtest.Target{one, two} {
				testTarget.SetFaults(func(int, string) platformtest.Fault {
					if !refusing.isFirst(testTarget.ID) {
						return platformtest.Fault{}
					}
					return platformtest.Fault{Status: http.StatusServiceUnavailable, Respond: func(conn *net.TCPConn, head string) {
						_, _ = io.WriteString(conn, head+platformtest.HeaderNotRun+": 1\r\n"+body)
						<-release
					}}
				})
			}
			f := newFixture(t, one, two)
			started := time.Now()
			got := f.send(callerRequest{path: "/open/"})
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, "answer to id-1")
			assert.Assert(t, time.Since(started) < 750*time.Millisecond, "answered after %v, half of the time that the caller allows is 750ms", time.Since(started))
		})
	}
}

// respondEndless returns a response whose start is followed by repeated without end.
func respondEndless(start, repeated string) func(*net.TCPConn, string) {
	return func(conn *net.TCPConn, head string) { platformtest.WriteEndless(conn, head+start, repeated) }
}

// setDeadline sets the deadline of all routes. The caller holds mu.
func (f *fixture) setDeadline(d time.Duration) {
	changed := *f.snapshot.Tables
	changed.Routes = append([]tables.Route(nil), changed.Routes...)
	for i := range changed.Routes {
		changed.Routes[i].Deadline = d
	}
	f.snapshot = tables.NewSnapshot(2, &changed)
}

// Bytes without end that are no answer must not hold the request: where it may run
// again another target answers it, and otherwise the caller learns of the failure
// at once. The target counts as failing and the log has the reason.
func TestAnswerWithoutEnd(t *testing.T) {
	cases := []struct {
		name, start, repeated, reason string
		unsigned                      bool
	}{
		{"body without the target's signature", "\r\n", "x", "response without the target's signature", true},
		{"header", "X-Long: ", "x", "the header of the target's response exceeds the size limit", false},
		{"event", "\r\n", "x", "an event of the stream exceeds the size limit", false},
		{"event after whole ones", "\r\n" + streamEvents(1, 2) + "id: 3\ndata: ", "x", "an event of the stream exceeds the size limit", false},
		{"chunk extension", "Transfer-Encoding: chunked\r\n\r\n4;", "x", "stream cut off", false},
	}
	for _, c := range cases {
		for _, path := range []string{"/stream/resumable/", "/stream/once/"} {
			t.Run(c.name+path, func(t *testing.T) {
				one, two := startTarget(t, "i-1"), startTarget(t, "i-2")
				var broken firstTarget
				respond := respondEndless(c.start, c.repeated)
				for _, testTarget := range []*platformtest.Target{one, two} {
					testTarget.SetFaults(func(int, string) platformtest.Fault {
						if broken.isFirst(testTarget.ID) {
							return platformtest.Fault{Respond: respond, OmitSignature: c.unsigned}
						}
						return platformtest.Fault{}
					})
				}
				f := newFixture(t, one, two)
				started := time.Now()
				response, body, err := f.sendVersion("HTTP/1.1", path, nil, 0)
				assert.Assert(t, time.Since(started) < time.Second, "answered after %v, half of the route's deadline is 1s", time.Since(started))
				switch {
				case path == "/stream/resumable/":
					assert.NilError(t, err)
					assert.Equal(t, body, streamEvents(1, 4))
				case response.StatusCode == http.StatusOK:
					assert.Equal(t, body, streamEvents(1, 2))
					assert.Assert(t, err != nil, "the caller got no error for the incomplete stream")
				default:
					assert.Equal(t, response.StatusCode, http.StatusBadGateway)
				}
				eventually(t, "no log line with the reason", func() bool { return strings.Contains(f.log.String(), c.reason) })
				bad := one
				if broken.isFirst("i-2") {
					bad = two
				}
				for range 4 {
					assert.Equal(t, f.send(callerRequest{path: "/once/"}).status, http.StatusOK)
				}
				assert.Equal(t, len(bad.Requests()), 1, "the target still counts as healthy")
			})
		}
	}
}

// An event just below the limit must arrive whole, or valid streams are cut off.
func TestLargeEventIsAccepted(t *testing.T) {
	event := "id: 1\ndata: " + strings.Repeat("x", 1000<<10) + "\n\n"
	testTarget := startTarget(t, "i-1")
	testTarget.SetFaults(func(int, string) platformtest.Fault {
		return platformtest.Fault{Respond: respondUnframed(event, false, nil)}
	})
	f := newFixture(t, testTarget)
	got := f.send(callerRequest{path: "/stream/once/"})
	assert.NilError(t, got.err)
	assert.Assert(t, got.body == event, "%d bytes, want %d", len(got.body), len(event))
}

// A body or a stream without end is forwarded until the deadline and must end there
// with an error, also if the caller has stopped reading: until its handler returns,
// the request holds memory and delays a planned stop.
func TestBodyWithoutEndEndsAtDeadline(t *testing.T) {
	cases := []struct{ name, path, start, repeated string }{
		{"body", "/once/", "\r\n", "x"},
		{"body in chunks", "/once/", "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
		{"stream", "/stream/once/", "\r\n", "id: 1\ndata: x\n\n"},
	}
	const timeout = 400 * time.Millisecond
	for _, c := range cases {
		for _, reads := range []bool{true, false} {
			t.Run(fmt.Sprint(c.name, ", caller reads: ", reads), func(t *testing.T) {
				testTarget := startTarget(t, "i-1")
				respond := respondEndless(c.start, c.repeated)
				testTarget.SetFaults(func(int, string) platformtest.Fault { return platformtest.Fault{Respond: respond} })
				f := newFixture(t, testTarget)
				f.update(func() { f.setDeadline(timeout) })
				started := time.Now()
				conn, reader := f.sendRaw(c.path, "id-1")
				defer conn.Close()
				if reads {
					response, err := http.ReadResponse(reader, nil)
					assert.NilError(t, err)
					_, err = io.Copy(io.Discard, response.Body)
					if err == nil {
						// The deadline passed before any of it was sent on.
						assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout, "the caller got no error for an answer without end")
					}
				}
				eventually(t, "the request has not ended", func() bool { return strings.Contains(f.log.String(), "request failed") })
				assert.Assert(t, time.Since(started) < timeout+500*time.Millisecond, "ended after %v, its deadline is %v", time.Since(started), timeout)
				eventually(t, "the target still works on the request", func() bool { return testTarget.RunningRequests() == 0 })
			})
		}
	}
}
