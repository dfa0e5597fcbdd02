package relay_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// A target that said in a response that it leaves got further requests, because its
// entry in the list still said that it was ready.
func TestTargetThatSaysItLeavesGetsNoFurtherRequest(t *testing.T) {
	for _, c := range []struct {
		name, path string
		fault      platformtest.Fault
	}{
		{"response", "/once/", platformtest.Fault{}},
		{"stream", "/stream/once/", platformtest.Fault{}},
		{"error", "/once/", platformtest.Fault{Status: http.StatusInternalServerError}},
		{"refusal", "/once/", platformtest.Fault{Refuse: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			leaving, other := startTarget(t, "i-1"), startTarget(t, "i-2")
			f := newFixture(t, leaving, other)
			f.avoid(1)
			leaving.SetLeaving(true)
			leaving.SetFaults(func(int, string) platformtest.Fault { return c.fault })
			for range 5 {
				assert.NilError(t, f.send(callerRequest{path: c.path}).err)
			}
			assert.Equal(t, len(leaving.Requests()), 1, "requests at the target that leaves")
		})
	}
}

// Nobody may use what a response to another request says about new work.
func TestLeavingInAnotherResponseIsNoEvidence(t *testing.T) {
	testTarget := startTarget(t, "i-1")
	f := newFixture(t, testTarget)
	testTarget.SetFaults(func(int, string) platformtest.Fault {
		return platformtest.Fault{BytesBefore: "HTTP/1.1 503 Service Unavailable\r\n" + platformtest.HeaderRequestID + ": another\r\n" + platformtest.HeaderNotRun + ": 1\r\nServer-Leaving: 1\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n"}
	})
	for range 2 {
		got := f.send(callerRequest{path: "/once/"})
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
	}
}

// A target that asked for a pause was sent requests again after the fixed backoff of
// 250 ms.
func TestPauseOfATargetIsObeyed(t *testing.T) {
	const pause = 700 * time.Millisecond
	busy, other := startTarget(t, "i-1"), startTarget(t, "i-2")
	f := newFixture(t, busy, other)
	f.avoid(1)
	busy.SetFaults(func(int, string) platformtest.Fault {
		return platformtest.Fault{Refuse: true, RetryAfter: "0.7"}
	})
	start := time.Now()
	for time.Since(start) < pause-50*time.Millisecond {
		got := f.send(callerRequest{path: "/idempotent/"})
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK, "the other target was not used")
	}
	time.Sleep(pause)
	f.send(callerRequest{path: "/idempotent/"})
	requests := busy.Requests()
	assert.Assert(t, len(requests) >= 2, "the target is not tried after the pause")
	for n := range requests[1:] {
		since := requests[n+1].ReceivedAt.Sub(requests[n].ReceivedAt)
		assert.Assert(t, since >= pause, "the target got a request %v after the one it refused", since)
	}
}

// A pause that is asked for while other requests wait for their connections must hold
// for these too.
func TestPauseHoldsForRequestsThatWereChosenBefore(t *testing.T) {
	busy, other := startTarget(t, "i-1"), startTarget(t, "i-2")
	f := newFixture(t, busy, other)
	f.avoid(1)
	lists := 0
	f.onList = func() {
		if lists++; lists == 2 { // after the choice
			f.targets[0].Live.RecordPause(clock.System{}.Elapsed(), time.Second)
		}
	}
	got := f.send(callerRequest{path: "/once/"})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, len(busy.Requests()), 0)
}

// Where all targets ask for a pause, callers were held or told to return after the fixed
// backoff, and came back together.
func TestCallersAreToldTheEndOfThePause(t *testing.T) {
	targets := []*platformtest.Target{startTarget(t, "i-1"), startTarget(t, "i-2")}
	f := newFixture(t, targets...)
	f.tokens = 1000
	for n, after := range []string{"0.6", "5"} {
		targets[n].SetFaults(func(int, string) platformtest.Fault {
			return platformtest.Fault{Refuse: true, RetryAfter: after}
		})
	}
	f.send(callerRequest{path: "/once/"})
	waits := make(map[string]bool)
	start := time.Now()
	for range 8 {
		sent := time.Now()
		got := f.send(callerRequest{path: "/once/", timeout: 10 * time.Second})
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(sent) < 300*time.Millisecond, "the caller was held")
		text := got.header.Get("Retry-After")
		wait, err := strconv.ParseFloat(text, 64)
		assert.NilError(t, err)
		left := 600*time.Millisecond - time.Since(start)
		longest := 2.0 / 3 // a third of the time until the deadline of the route
		assert.Assert(t, wait >= min(left.Seconds(), 0.75*longest)-0.05 && wait <= longest, "Retry-After %s with %v left of the first pause", text, left)
		waits[text] = true
	}
	assert.Assert(t, len(waits) > 4, "callers return together: %v", waits)
	for _, x := range targets {
		assert.Equal(t, len(x.Requests()), 1)
	}
}

// A target that ran a request wrote the refusal of an earlier one on the kept connection.
// The caller was told that its request had not run, or it ran at a second target.
func TestRepeatedRefusalOfAnEarlierRequestIsNoRefusal(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Service Unavailable\r\n" + platformtest.HeaderRequestID + ": " + id + "\r\n" + platformtest.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	}
	for _, c := range []struct {
		name  string
		fault func(earlier string) platformtest.Fault
		want  int
	}{
		{"before the answer", func(earlier string) platformtest.Fault {
			return platformtest.Fault{BytesBefore: refusal(earlier)}
		}, http.StatusOK},
		{"without a request id", func(string) platformtest.Fault { return platformtest.Fault{BytesBefore: refusal("")} }, http.StatusOK},
		{"in place of the answer", func(earlier string) platformtest.Fault {
			return platformtest.Fault{Respond: func(conn *net.TCPConn, _ string) { _, _ = io.WriteString(conn, refusal(earlier)) }}
		}, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			faulty, other := startTarget(t, "i-1"), startTarget(t, "i-2")
			f := newFixture(t, faulty, other)
			f.avoid(1)
			faulty.SetFaults(func(n int, _ string) platformtest.Fault {
				switch n {
				case 1:
					return platformtest.Fault{Refuse: true}
				case 2:
					return platformtest.Fault{}
				}
				return c.fault("earlier")
			})
			f.tokens = 1000
			f.send(callerRequest{path: "/once/", id: "earlier"})
			time.Sleep(300 * time.Millisecond) // the backoff after a refusal
			middle := f.send(callerRequest{path: "/once/", id: "middle"})
			assert.Equal(t, middle.status, http.StatusOK, middle.body+f.log.String())
			got := f.send(callerRequest{path: "/once/", id: "last"})
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, c.want)
			assert.Equal(t, countRuns(faulty, other), 2, "the last request ran at both targets or at none")
		})
	}
}
