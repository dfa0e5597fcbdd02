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
)

// Guards against the transport's own resends. The target closes the connection
// after it has read the second request, which the control, a plain transport
// with kept connections and the idempotency key, sends twice.
func TestNonRepeatableIsNotResent(t *testing.T) {
	cutSecond := func() *testTarget {
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
		address := rawTarget(t, s)
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
		s := cutSecond()
		r := newRouter(t, standin.NewPlatform(), s.Target)
		r.crashes = nil // its look at the target would count as a connection
		r.serve()
		assert.Equal(t, r.post(pathBook, "k1", "b").status, 200)
		r.post(pathBook, "k2", "b").want(t, 502, apierr.CodeTargetFailed, apierr.Unknown)
		assert.Equal(t, s.reads.Load(), int64(2))
		assert.Equal(t, s.connections.Load(), int64(2))
		r.post(pathBook, "k2", "b").want(t, 409, apierr.CodeOutcomeUnknown, apierr.Unknown)
		assert.Equal(t, s.reads.Load(), int64(2))
	})
	// A repeatable request leaves a kept connection to the same target behind.
	t.Run("after a kept connection", func(t *testing.T) {
		s := cutSecond()
		r := newRouter(t, standin.NewPlatform(), s.Target)
		r.crashes = nil // its look at the target would count as a connection
		r.serve()
		assert.Equal(t, r.post(pathLookup, "", "b").status, 200)
		r.post(pathBook, "k", "b").want(t, 502, apierr.CodeTargetFailed, apierr.Unknown)
		assert.Equal(t, s.reads.Load(), int64(2))
		assert.Equal(t, s.connections.Load(), int64(2))
	})
}

// rawTarget listens on a port where each connection gets one answer and is
// closed after the next request has been read. It counts the reads in s.
func rawTarget(t *testing.T, s *testTarget) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, s)
		}
	}()
	return listener.Addr().String()
}

func serveRaw(conn net.Conn, s *testTarget) {
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

// refusingTarget returns a target to which no connection can be made.
func refusingTarget(t *testing.T, id string) *target.Target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	listener.Close()
	return &target.Target{ID: id, Address: address, Reachable: true, Live: &target.LiveState{}}
}

// Guards against an outcome that promises more than is known, and against a
// duplicate that runs after an unknown outcome or is refused after not_run.
func TestOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		handle  http.HandlerFunc // nil: the connection is refused
		status  int
		outcome apierr.Outcome
		runs    bool // the same request sent again runs
		again   apierr.Code
		stall   time.Duration
	}{
		{"connection refused", nil, 502, apierr.NotRun, true, "", 0},
		{"closed before the header", handleCut, 502, apierr.Unknown, false, apierr.CodeOutcomeUnknown, 0},
		{"503 with X-Not-Run", handleRefuse(503, "1"), 502, apierr.NotRun, true, "", 0},
		{"429 with X-Not-Run", handleRefuse(429, "1"), 502, apierr.NotRun, true, "", 0},
		{"503 without X-Not-Run", handleRefuse(503, ""), 503, apierr.Unknown, false, "", 0},
		{"503 with X-Not-Run: 0", handleRefuse(503, "0"), 503, apierr.Unknown, false, "", 0},
		{"500 with X-Not-Run", handleRefuse(500, "1"), 500, apierr.Unknown, false, "", 0},
		{"cut in mid-answer", handleCutInAnswer, 200, "", false, apierr.CodeOutcomeUnknown, 0},
		{"another request id", handleCrossed, 502, apierr.Unknown, false, apierr.CodeOutcomeUnknown, 0},
		{"frozen", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 502, apierr.Unknown, false, apierr.CodeOutcomeUnknown, 50 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTarget(t, "s", tc.handle)
			r := newRouter(t, standin.NewPlatform(), s.Target)
			if tc.stall > 0 {
				r.tables.Pools[0].StallTimeout = tc.stall
			}
			if tc.handle == nil {
				r.set = target.NewSet([]*target.Target{refusingTarget(t, "s")})
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
			s.behave(handleOK)
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

// Guards against not_run after a first attempt that may have run.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	s := newTarget(t, "a", handleCut)
	r := newRouter(t, standin.NewPlatform(), s.Target, refusingTarget(t, "b"))
	r.serve()
	r.post(pathLookup, "", "b").want(t, 502, apierr.CodeTargetFailed, apierr.Unknown)
	assert.Equal(t, s.reads.Load(), int64(1))
	r.set = target.NewSet([]*target.Target{refusingTarget(t, "b"), refusingTarget(t, "c")})
	r.post(pathLookup, "", "b").want(t, 502, apierr.CodeTargetFailed, apierr.NotRun)
}

// Guards against a second target for a request that may have run on the first,
// and against a refusal while another target could take it.
func TestNonRepeatableMovesOnlyWhenNotRun(t *testing.T) {
	for name, tc := range map[string]struct {
		failing http.HandlerFunc
		status  int
	}{"cut": {handleCut, 502}, "503": {handleRefuse(503, ""), 503}, "refused": {handleRefuse(503, "1"), 200}} {
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

// Guards against retries on the target that failed, and against a crossed
// answer that reaches the caller on a repeatable route.
func TestRetryOnAnotherTarget(t *testing.T) {
	for name, failing := range map[string]http.HandlerFunc{
		"cut": handleCut, "crossed": handleCrossed, "503": handleRefuse(503, ""), "refused": handleRefuse(503, "1"),
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

// Guards against retries that multiply the load of a pool that fails as a whole.
func TestRetryBudget(t *testing.T) {
	a, b := newTarget(t, "a", handleRefuse(503, "1")), newTarget(t, "b", handleRefuse(503, "1"))
	r := newRouter(t, standin.NewPlatform(), a.Target, b.Target)
	r.tables.Pools[0].RetryBudget = 0
	r.serve()
	const requests = 15
	for range requests {
		r.post(pathLookup, "", "b").want(t, 502, apierr.CodeTargetFailed, apierr.NotRun)
	}
	assert.Equal(t, a.reads.Load()+b.reads.Load(), int64(requests+maxSavedRetries))
}

// Guards against a retry that starts when its wait would pass the deadline.
func TestRetryWithinDeadline(t *testing.T) {
	a, b := newTarget(t, "a", handleCut), newTarget(t, "b", handleOK)
	r := newRouter(t, standin.NewPlatform(), a.Target, b.Target)
	r.tables.Routes[1].Deadline = firstRetryWait / 2
	r.serve()
	assert.Assert(t, r.post(pathLookup, "", "b").status >= 502)
	assert.Equal(t, b.reads.Load(), int64(0))
}

// Guards against retries in step.
func TestRetryWaitIsSpread(t *testing.T) {
	for attempts := 1; attempts < maxAttempts; attempts++ {
		mean := firstRetryWait << (attempts - 1)
		seen := make(map[time.Duration]bool)
		for range 100 {
			wait := retryWait(attempts)
			assert.Assert(t, wait >= mean/2 && wait < mean/2+mean, "%v", wait)
			seen[wait] = true
		}
		assert.Assert(t, len(seen) > 50)
	}
}

// Guards against an engine's refusal of a request that is taken for a failure
// of the engine, because its text is not JSON: it must reach the caller, once.
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
