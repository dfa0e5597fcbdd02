package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/pkg/target"
	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
)

// A non-repeatable request runs twice if http.Transport resends it. It does so
// when a reused connection breaks before the response and the request carries an
// idempotency key. The subtest "control" shows this with a plain transport.
func TestNonRepeatableIsNotResent(t *testing.T) {
	cutSecondRequest := func() *testTarget {
		var s *testTarget
		s = newTarget(t, "s", func(w http.ResponseWriter, r *http.Request) {
			if s.reads.Load() > 1 {
				panic(http.ErrAbortHandler)
			}
			handleOK(w, r)
		})
		return s
	}
	t.Run("control", func(t *testing.T) {
		s := newTarget(t, "s", handleOK)
		address := newClosingTarget(t, s)
		transport := &http.Transport{}
		for range 2 {
			req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", strings.NewReader("b"))
			assert.NilError(t, err)
			req.Header.Set(headerIdempotencyKey, "k")
			if resp, err := transport.RoundTrip(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		}
		assert.Assert(t, s.reads.Load() > 2, "%d reads", s.reads.Load())
	})
	t.Run("router", func(t *testing.T) {
		s := cutSecondRequest()
		r := newRouter(t, standin.NewPlatform(), s.Target)
		r.crashes = nil // a crash probe would count as a connection
		r.serve()
		assert.Equal(t, r.post(pathBook, "k1", "b").status, 200)
		r.post(pathBook, "k2", "b").assertError(t, 502, apierr.CodeTargetFailed, apierr.OutcomeUnknown)
		assert.Equal(t, s.reads.Load(), int64(2))
		assert.Equal(t, s.connections.Load(), int64(2))
		r.post(pathBook, "k2", "b").assertError(t, 409, apierr.CodeOutcomeUnknown, apierr.OutcomeUnknown)
		assert.Equal(t, s.reads.Load(), int64(2))
	})
	// The repeatable request leaves an idle connection to the same target.
	t.Run("with an idle connection", func(t *testing.T) {
		s := cutSecondRequest()
		r := newRouter(t, standin.NewPlatform(), s.Target)
		r.crashes = nil // a crash probe would count as a connection
		r.serve()
		assert.Equal(t, r.post(pathLookup, "", "b").status, 200)
		r.post(pathBook, "k", "b").assertError(t, 502, apierr.CodeTargetFailed, apierr.OutcomeUnknown)
		assert.Equal(t, s.reads.Load(), int64(2))
		assert.Equal(t, s.connections.Load(), int64(2))
	})
}

// newClosingTarget returns the address of a server that answers the first request
// of each connection and closes the connection after it has read the second. It
// counts the requests in s.reads.
func newClosingTarget(t *testing.T, s *testTarget) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerOnceThenClose(conn, s)
		}
	}()
	return listener.Addr().String()
}

func answerOnceThenClose(conn net.Conn, s *testTarget) {
	defer conn.Close()
	buf := make([]byte, 4096)
	for i := range 2 {
		var request []byte
		for !bytes.HasSuffix(request, []byte("\r\n\r\nb")) {
			n, err := conn.Read(buf)
			if err != nil {
				return
			}
			request = append(request, buf[:n]...)
		}
		s.reads.Add(1)
		if i == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// unreachableTarget returns a target that refuses connections.
func unreachableTarget(t *testing.T, id string) *target.Target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	listener.Close()
	return &target.Target{ID: id, Address: address, Reachable: true, Live: &target.LiveState{}}
}

// If the outcome not_run is sent for a request that may have run, the caller sends
// it again and it runs twice. A duplicate must be refused after the outcome unknown
// and must run after not_run.
func TestOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		handle  http.HandlerFunc // nil: the connection is refused
		status  int
		outcome apierr.Outcome
		runs    bool        // whether a duplicate runs
		again   apierr.Code // error of the duplicate
		stall   time.Duration
	}{
		{"connection refused", nil, 502, apierr.OutcomeNotRun, true, "", 0},
		{"closed before the header", handleCutBeforeResponse, 502, apierr.OutcomeUnknown, false, apierr.CodeOutcomeUnknown, 0},
		{"503 with X-Not-Run", handleRefuse(503, "1"), 502, apierr.OutcomeNotRun, true, "", 0},
		{"429 with X-Not-Run", handleRefuse(429, "1"), 502, apierr.OutcomeNotRun, true, "", 0},
		{"503 without X-Not-Run", handleRefuse(503, ""), 503, apierr.OutcomeUnknown, false, "", 0},
		{"503 with X-Not-Run: 0", handleRefuse(503, "0"), 503, apierr.OutcomeUnknown, false, "", 0},
		{"500 with X-Not-Run", handleRefuse(500, "1"), 500, apierr.OutcomeUnknown, false, "", 0},
		{"closed in the response body", handleCutMidResponse, 200, "", false, apierr.CodeOutcomeUnknown, 0},
		{"wrong request id", handleWrongRequestID, 502, apierr.OutcomeUnknown, false, apierr.CodeOutcomeUnknown, 0},
		{"header too large", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Long", strings.Repeat("x", 2*targetconn.MaxHeadBytes))
			handleOK(w, r)
		}, 502, apierr.OutcomeUnknown, false, apierr.CodeOutcomeUnknown, 0},
		{"no response", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 502, apierr.OutcomeUnknown, false, apierr.CodeOutcomeUnknown, 50 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTarget(t, "s", tc.handle)
			r := newRouter(t, standin.NewPlatform(), s.Target)
			if tc.stall > 0 {
				r.tables.Pools[0].StallTimeout = tc.stall
			}
			if tc.handle == nil {
				r.set = target.NewSet([]*target.Target{unreachableTarget(t, "s")})
			}
			r.serve()
			a := r.post(pathBook, "k", "b")
			assert.Equal(t, a.status, tc.status)
			assert.Equal(t, a.header.Get(apierr.HeaderOutcome), string(tc.outcome))
			assert.Assert(t, !strings.Contains(a.body, "secret"))
			if tc.status == 200 {
				assert.ErrorIs(t, a.err, io.ErrUnexpectedEOF)
			}
			before := s.reads.Load()
			s.setHandler(handleOK)
			r.set = target.NewSet([]*target.Target{s.Target})
			again := r.post(pathBook, "k", "b")
			assert.Equal(t, again.detail.Code, tc.again)
			assert.Equal(t, s.reads.Load()-before, map[bool]int64{true: 1, false: 0}[tc.runs])
			if !tc.runs && tc.again == "" {
				assert.Equal(t, again.header.Get(headerReplayed), "true")
				assert.Equal(t, again.status, tc.status)
				assert.Equal(t, again.header.Get(apierr.HeaderOutcome), string(tc.outcome))
			}
		})
	}
}

// If the first attempt may have run and the second did not, the outcome must be
// unknown: not_run of the last attempt would make the caller send a request again
// that has run.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	s := newTarget(t, "a", handleCutBeforeResponse)
	r := newRouter(t, standin.NewPlatform(), s.Target, unreachableTarget(t, "b"))
	r.serve()
	r.post(pathLookup, "", "b").assertError(t, 502, apierr.CodeTargetFailed, apierr.OutcomeUnknown)
	assert.Equal(t, s.reads.Load(), int64(1))
	r.set = target.NewSet([]*target.Target{unreachableTarget(t, "b"), unreachableTarget(t, "c")})
	r.post(pathLookup, "", "b").assertError(t, 502, apierr.CodeTargetFailed, apierr.OutcomeNotRun)
}

// A non-repeatable request that may have run must not be sent to a second target,
// or it runs twice. If the first target states that it did not run the request,
// the second must get it.
func TestNonRepeatableIsRetriedOnlyIfNotRun(t *testing.T) {
	for name, tc := range map[string]struct {
		failing http.HandlerFunc
		status  int
	}{"closed before the header": {handleCutBeforeResponse, 502}, "503 without X-Not-Run": {handleRefuse(503, ""), 503}, "503 with X-Not-Run": {handleRefuse(503, "1"), 200}} {
		t.Run(name, func(t *testing.T) {
			a, b := newTarget(t, "a", tc.failing), newTarget(t, "b", handleOK)
			r := newRouter(t, standin.NewPlatform(), a.Target, b.Target)
			r.serve()
			assert.Equal(t, r.post(pathBook, "k", "b").status, tc.status)
			assert.Equal(t, a.reads.Load(), int64(1))
			assert.Equal(t, b.reads.Load() == 1, tc.status == 200)
		})
	}
}

// On a repeatable route a failed request must be retried on another target and
// not on the one that failed. A response to another request must not reach the
// caller.
func TestRetryOnAnotherTarget(t *testing.T) {
	for name, failing := range map[string]http.HandlerFunc{
		"closed before the header": handleCutBeforeResponse, "wrong request id": handleWrongRequestID,
		"503 without X-Not-Run": handleRefuse(503, ""), "503 with X-Not-Run": handleRefuse(503, "1"),
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newTarget(t, "a", failing), newTarget(t, "b", handleOK)
			r := newRouter(t, standin.NewPlatform(), a.Target, b.Target)
			r.serve()
			assert.Equal(t, r.post(pathLookup, "", "b").body, "booked")
			assert.Equal(t, a.reads.Load(), int64(1))
			assert.Equal(t, b.reads.Load(), int64(1))
		})
	}
}

// Without a budget, retries multiply the load of a pool in which all targets fail.
func TestRetryBudget(t *testing.T) {
	a, b := newTarget(t, "a", handleRefuse(503, "1")), newTarget(t, "b", handleRefuse(503, "1"))
	r := newRouter(t, standin.NewPlatform(), a.Target, b.Target)
	r.tables.Pools[0].RetryBudget = 0
	r.serve()
	const requests = 15
	for range requests {
		r.post(pathLookup, "", "b").assertError(t, 502, apierr.CodeTargetFailed, apierr.OutcomeNotRun)
	}
	assert.Equal(t, a.reads.Load()+b.reads.Load(), int64(requests+maxRetryBalance))
}

// A retry must not be sent if its backoff would end after the deadline.
func TestRetryWithinDeadline(t *testing.T) {
	a, b := newTarget(t, "a", handleCutBeforeResponse), newTarget(t, "b", handleOK)
	r := newRouter(t, standin.NewPlatform(), a.Target, b.Target)
	r.tables.Routes[1].Deadline = baseRetryBackoff / 2
	r.serve()
	assert.Assert(t, r.post(pathLookup, "", "b").status >= 502)
	assert.Equal(t, b.reads.Load(), int64(0))
}

// Requests that fail together must not be retried together: without jitter the
// next target gets them all at once.
func TestRetryBackoffHasJitter(t *testing.T) {
	for attempts := 1; attempts < maxAttempts; attempts++ {
		mean := baseRetryBackoff << (attempts - 1)
		seen := make(map[time.Duration]bool)
		for range 100 {
			wait := retryBackoff(attempts)
			assert.Assert(t, wait >= mean/2 && wait < mean/2+mean, "%v", wait)
			seen[wait] = true
		}
		assert.Assert(t, len(seen) > 50)
	}
}

// A 400 response of an engine must reach the caller. If its plain text counts as
// a malformed response, the request is retried and the caller gets a 502.
func TestEngineRefusalReachesCaller(t *testing.T) {
	e := newTarget(t, "e", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
		http.Error(w, "max_tokens is too large", http.StatusBadRequest)
	})
	r := newRouter(t, standin.NewPlatform(), e.Target)
	r.serve()
	got := r.post(pathGenerate, "", generateBody)
	assert.Equal(t, got.status, http.StatusBadRequest, got.body)
	assert.Equal(t, got.body, "max_tokens is too large\n")
	assert.Equal(t, e.reads.Load(), int64(1))
}
