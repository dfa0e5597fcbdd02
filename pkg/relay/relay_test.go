package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/explain"
	"lacewingwheel.example/lacewingwheel/pkg/relay"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// Requests and responses must pass unchanged. The API key must not reach the
// target, and a caller must not be able to set headers that only the router may
// set.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	testTarget := startTarget(t, "i-1")
	f := newFixture(t, testTarget)
	got := f.send(callerRequest{path: "/once/x%2Fy/?q=a+b", body: "the body", header: map[string]string{
		"X-Other": "kept", platformtest.HeaderOrganisation: "forged", platformtest.HeaderHold: "forged", "Kv-From": "forged",
		platformtest.HeaderSalt: "forged", platformtest.HeaderInstance: "forged", platformtest.HeaderBackup: "forged",
	}})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "answer to id-1")
	assert.Equal(t, got.header.Get(platformtest.HeaderSignature), "i-1")
	seen := testTarget.Requests()[0]
	assert.Equal(t, seen.Method+" "+seen.Path, "POST /once/x%2Fy/?q=a+b")
	assert.Equal(t, seen.Body, "the body")
	assert.Equal(t, seen.Header.Get("X-Other"), "kept")
	assert.Equal(t, seen.Header.Get(platformtest.HeaderOrganisation), "one")
	assert.Equal(t, seen.Header.Get(platformtest.HeaderInstance), "i-1")
	for _, name := range []string{"Authorization", platformtest.HeaderHold, "Kv-From", platformtest.HeaderSalt, platformtest.HeaderBackup} {
		assert.Equal(t, seen.Header.Get(name), "", name)
	}
	left, err := strconv.Atoi(seen.Header.Get(platformtest.HeaderDeadline))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 1500, "timeout sent to the target: %d ms, want 1 to 1500", left)
}

// A request that the router refuses must not reach a target, must be marked as
// not run, and must have the right status and a usable Retry-After.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		change func(f *fixture)
		call   callerRequest
		status int
	}{
		{"no configuration", func(f *fixture) { f.snapshot = nil }, callerRequest{path: "/once/"}, http.StatusServiceUnavailable},
		{"proof of the configuration too old", func(f *fixture) { f.proofAge = 4100 * time.Millisecond }, callerRequest{path: "/once/"}, http.StatusServiceUnavailable},
		{"unknown key", nil, callerRequest{path: "/once/", key: "other"}, http.StatusUnauthorized},
		{"no route", nil, callerRequest{path: "/nowhere/"}, http.StatusNotFound},
		{"body too large", nil, callerRequest{path: "/once/", body: strings.Repeat("x", 65<<10)}, http.StatusRequestEntityTooLarge},
		{"header too large", nil, callerRequest{path: "/once/", header: map[string]string{"X-Big": strings.Repeat("x", 9<<10)}}, http.StatusRequestHeaderFieldsTooLarge},
		{"over the quota", func(f *fixture) { f.tokens = 9 }, callerRequest{path: "/once/"}, http.StatusTooManyRequests},
		{"no target", func(f *fixture) { f.targets = nil }, callerRequest{path: "/once/"}, http.StatusServiceUnavailable},
		{"only targets with outdated weights", func(f *fixture) { f.targets[0].WeightsUsableUntil = clock.System{}.Elapsed() }, callerRequest{path: "/once/"}, http.StatusServiceUnavailable},
		{"only leaving targets", func(f *fixture) { f.targets[0].Leaving = true }, callerRequest{path: "/once/"}, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			testTarget := startTarget(t, "i-1")
			f := newFixture(t, testTarget)
			if c.change != nil {
				f.update(func() { c.change(f) })
			}
			got := f.send(c.call)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, len(testTarget.Requests()), 0)
			assert.Equal(t, got.header.Get("X-Outcome"), "not_run")
			if c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests {
				wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, wait > 0 && wait <= 0.5, "Retry-After is %f s, want more than 0 and at most 0.5 s (a third of the timeout)", wait)
			}
		})
	}
}

// A route with open access must keep working when the configuration is too old
// to check keys.
func TestOpenRouteNeedsNoKey(t *testing.T) {
	testTarget := startTarget(t, "i-1")
	f := newFixture(t, testTarget)
	f.update(func() { f.proofAge = time.Hour })
	assert.Equal(t, f.send(callerRequest{path: "/open/", key: "none"}).status, http.StatusOK)
	assert.Equal(t, testTarget.Requests()[0].Header.Get(platformtest.HeaderOrganisation), "")
}

// A request that is not repeatable must not be sent again once a target may
// have run it, and the caller must not get the outcome not_run then.
func TestNonRepeatableRequestIsSentOnce(t *testing.T) {
	cases := []struct {
		name     string
		reaction platformtest.Fault
		status   int
		ran      int
	}{
		{"connection reset after the request was sent", platformtest.Fault{Reset: true}, http.StatusBadGateway, 1},
		{"refused by the target", platformtest.Fault{Refuse: true}, http.StatusServiceUnavailable, 0},
		{"error status of the target", platformtest.Fault{Status: http.StatusInternalServerError}, http.StatusInternalServerError, 1},
		{"response without signature", platformtest.Fault{OmitSignature: true}, http.StatusBadGateway, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			one, two := startTarget(t, "i-1"), startTarget(t, "i-2")
			react := func(int, string) platformtest.Fault { return c.reaction }
			one.SetFaults(react)
			two.SetFaults(react)
			f := newFixture(t, one, two)
			got := f.send(callerRequest{path: "/once/"})
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, countRuns(one, two), c.ran)
			assert.Equal(t, len(one.Requests())+len(two.Requests()), 1)
		})
	}
}

// A repeatable request must succeed at another target if the first one fails,
// and must not be attempted more often than the route allows.
func TestRepeatableRequestIsRetried(t *testing.T) {
	cases := map[string]platformtest.Fault{
		"connection reset": {Reset: true},
		"error status":     {Status: http.StatusInternalServerError},
		"no signature":     {OmitSignature: true},
		"no response":      {Delay: time.Second},
	}
	for name, reaction := range cases {
		t.Run(name, func(t *testing.T) {
			one, two := startTarget(t, "i-1"), startTarget(t, "i-2")
			var broken firstTarget
			react := func(id string) func(int, string) platformtest.Fault {
				return func(int, string) platformtest.Fault {
					if broken.isFirst(id) {
						return reaction
					}
					return platformtest.Fault{}
				}
			}
			one.SetFaults(react("i-1"))
			two.SetFaults(react("i-2"))
			f := newFixture(t, one, two)
			got := f.send(callerRequest{path: "/idempotent/"})
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, "answer to id-1")
		})
	}
	one, two, three := startTarget(t, "i-1"), startTarget(t, "i-2"), startTarget(t, "i-3")
	for _, testTarget := range []*platformtest.Target{one, two, three} {
		testTarget.SetFaults(func(int, string) platformtest.Fault { return platformtest.Fault{Reset: true} })
	}
	f := newFixture(t, one, two, three)
	assert.Equal(t, f.send(callerRequest{path: "/idempotent/"}).status, http.StatusBadGateway)
	assert.Equal(t, countRuns(one, two, three), 2)
}

// A request to a target that is slow but still answers other requests must wait
// there. If it moved to another target, it would run twice and make the overload
// worse.
func TestBusyTargetKeepsItsRequests(t *testing.T) {
	one, two := startTarget(t, "i-1"), startTarget(t, "i-2")
	slow := func(int, string) platformtest.Fault { return platformtest.Fault{Delay: 700 * time.Millisecond} }
	one.SetFaults(slow)
	two.SetFaults(slow)
	f := newFixture(t, one, two)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
				f.targets[0].Live.MarkSeen(time.Now())
				f.targets[1].Live.MarkSeen(time.Now())
			}
		}
	}()
	got := f.send(callerRequest{path: "/idempotent/"})
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, countRuns(one, two), 1)
}

// A target that cannot be reached must not use up the only attempt of a
// request.
func TestUnreachableTargetDoesNotCountAsAttempt(t *testing.T) {
	one, two := startTarget(t, "i-1"), startTarget(t, "i-2")
	one.Stop()
	f := newFixture(t, one, two)
	for range 6 {
		assert.Equal(t, f.send(callerRequest{path: "/once/"}).status, http.StatusOK)
	}
}

// Retries must stay within the budget, or they multiply the load of a failing
// pool.
func TestRetryBudget(t *testing.T) {
	one, two := startTarget(t, "i-1"), startTarget(t, "i-2")
	for _, testTarget := range []*platformtest.Target{one, two} {
		testTarget.SetFaults(func(int, string) platformtest.Fault { return platformtest.Fault{Reset: true} })
	}
	f := newFixture(t, one, two)
	f.limits = relay.RetryLimits{Ratio: 0.2, ExtraRetries: 2, Window: time.Minute}
	const requests = 20
	for range requests {
		f.send(callerRequest{path: "/idempotent/"})
	}
	retries := countRuns(one, two) - requests
	assert.Assert(t, retries > 0 && retries <= 2+requests/5, "%d retries", retries)
}

// When a resumable stream breaks off, another target continues it. The caller
// must get every event once and complete.
func TestStreamResumesAtAnotherTarget(t *testing.T) {
	for after := range 4 {
		one, two := startTarget(t, "i-1"), startTarget(t, "i-2")
		var broken firstTarget
		for _, testTarget := range []*platformtest.Target{one, two} {
			testTarget.SetFaults(func(int, string) platformtest.Fault {
				return platformtest.Fault{Reset: broken.isFirst(testTarget.ID), ResetAfter: after}
			})
		}
		f := newFixture(t, one, two)
		got := f.send(callerRequest{path: "/stream/resumable/"})
		assert.NilError(t, got.err)
		want := ""
		for n := 1; n <= 4; n++ {
			want += "id: " + strconv.Itoa(n) + "\ndata: id-1 event " + strconv.Itoa(n) + "\n\n"
		}
		assert.Equal(t, got.body, want, "first stream reset after %d events", after)
	}
}

// A stream that breaks off and cannot be resumed must end with an error at the
// caller.
func TestBrokenStreamEndsWithError(t *testing.T) {
	testTarget := startTarget(t, "i-1")
	testTarget.SetFaults(func(int, string) platformtest.Fault { return platformtest.Fault{Reset: true, ResetAfter: 2} })
	f := newFixture(t, testTarget)
	got := f.send(callerRequest{path: "/stream/once/"})
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, got.err != nil, "the caller got no error for the incomplete stream %q", got.body)
	assert.Equal(t, countRuns(testTarget), 1)
}

// Each event must reach the caller at once, without waiting for the next one.
func TestEventsAreFlushedAtOnce(t *testing.T) {
	testTarget := startTarget(t, "i-1")
	testTarget.SetStream(3, 300*time.Millisecond)
	f := newFixture(t, testTarget)
	started := time.Now()
	conn, reader := f.sendRaw("/stream/once/", "id-1")
	defer conn.Close()
	for line := ""; !strings.HasPrefix(line, "data:"); {
		var err error
		line, err = reader.ReadString('\n')
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(started) < 300*time.Millisecond, "the first event arrived after %v", time.Since(started))
}

// When the caller closes the connection, the target must stop working on its
// request.
func TestClosedCallerConnectionCancelsRequest(t *testing.T) {
	testTarget := startTarget(t, "i-1")
	testTarget.SetStream(1000, 10*time.Millisecond)
	f := newFixture(t, testTarget)
	conn, reader := f.sendRaw("/stream/once/", "id-1")
	_, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	eventually(t, "the target still works on the cancelled request", func() bool { return testTarget.RunningRequests() == 0 })
}

// A request must end at its deadline. A target may still run it then, so the
// outcome is unknown.
func TestDeadlineEndsRequest(t *testing.T) {
	testTarget := startTarget(t, "i-1")
	testTarget.SetFaults(func(int, string) platformtest.Fault { return platformtest.Fault{Delay: 3 * time.Second} })
	f := newFixture(t, testTarget)
	started := time.Now()
	got := f.send(callerRequest{path: "/once/", timeout: 200 * time.Millisecond})
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Equal(t, got.header.Get("X-Outcome"), "unknown")
	assert.Assert(t, time.Since(started) < time.Second)
}

// A request must not be sent again if its key was revoked after the first
// attempt.
func TestRevokedKeyStopsRetries(t *testing.T) {
	one, two := startTarget(t, "i-1"), startTarget(t, "i-2")
	f := newFixture(t, one, two)
	react := func(int, string) platformtest.Fault {
		f.update(func() {
			revoked := *f.snapshot.Tables
			revoked.Organisations = []tables.Organisation{{Name: "one"}}
			f.snapshot = tables.NewSnapshot(2, &revoked)
		})
		return platformtest.Fault{Reset: true}
	}
	one.SetFaults(react)
	two.SetFaults(react)
	got := f.send(callerRequest{path: "/idempotent/"})
	assert.Equal(t, got.status, http.StatusUnauthorized)
	assert.Equal(t, countRuns(one, two), 1)
}

// The tokens of a request that has not run must return to the quota, or
// refusals by targets use it up.
func TestTokensOfRequestNotRunAreReturned(t *testing.T) {
	testTarget := startTarget(t, "i-1")
	testTarget.SetFaults(func(n int, _ string) platformtest.Fault { return platformtest.Fault{Refuse: n == 1} })
	f := newFixture(t, testTarget)
	f.update(func() { f.tokens = 10 })
	assert.Equal(t, f.send(callerRequest{path: "/once/"}).status, http.StatusServiceUnavailable)
	time.Sleep(300 * time.Millisecond) // longer than the backoff after a refusal, 250 ms
	assert.Equal(t, f.send(callerRequest{path: "/once/"}).status, http.StatusOK)
	assert.Equal(t, f.send(callerRequest{path: "/once/"}).status, http.StatusTooManyRequests)
}

// If another target has taken over a known address, it must not run requests
// for the former one, and the requests must go to the remaining target.
func TestRequestAvoidsReplacedTarget(t *testing.T) {
	one, two := startTarget(t, "i-1"), startTarget(t, "i-2")
	f := newFixture(t, one, two)
	f.update(func() {
		former := *f.targets[0]
		former.ID = "i-gone"
		f.targets = []*target.Target{&former, f.targets[1]}
	})
	for range 6 {
		assert.Equal(t, f.send(callerRequest{path: "/once/"}).status, http.StatusOK)
	}
	for _, seen := range one.Requests() {
		assert.Assert(t, !seen.Executed)
	}
}

// An operator must find the attempts, the target and the outcome of a failed
// request in the log, and never an API key.
func TestFailuresAreLogged(t *testing.T) {
	testTarget := startTarget(t, "i-1")
	testTarget.SetFaults(func(int, string) platformtest.Fault { return platformtest.Fault{Reset: true} })
	f := newFixture(t, testTarget)
	f.send(callerRequest{path: "/once/", id: "traced"})
	log := f.log.String()
	for _, want := range []string{"attempt failed", "request failed", "request_id=traced", "target=i-1", "may_have_run=true", "outcome=unknown", "code=target_failed"} {
		assert.Assert(t, strings.Contains(log, want), "no %q in the log:\n%s", want, log)
	}
	assert.Assert(t, !strings.Contains(log, testKey), "the log contains the API key of a caller")
}

// A caller that closes the connection before the response must be logged as
// such.
func TestCallerGoneIsLogged(t *testing.T) {
	testTarget := startTarget(t, "i-1")
	testTarget.SetFaults(func(int, string) platformtest.Fault { return platformtest.Fault{Delay: 300 * time.Millisecond} })
	f := newFixture(t, testTarget)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+"/once/", io.NopCloser(strings.NewReader("")))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Token "+testKey)
	request.Header.Set(platformtest.HeaderRequestID, "left")
	_, err = http.DefaultClient.Do(request)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	eventually(t, "no log line with code=caller_gone", func() bool {
		return strings.Contains(f.log.String(), "code=caller_gone")
	})
}

// docs/OPERATIONS.md describes how to find the cause of a failed request in the
// logs. For each of its examples the command that it names must print the line
// with the cause, and no lines of other requests.
func TestCausesOfTheOperatorsPage(t *testing.T) {
	cases := []struct {
		name     string
		path     string
		reaction platformtest.Fault
		change   func(f *fixture)
		cause    []string
	}{
		{"refused by the router", "/once/", platformtest.Fault{}, func(f *fixture) { f.proofAge = 5 * time.Second }, []string{"code=not_ready", "proof_age=5s"}},
		{"refused by the target", "/once/", platformtest.Fault{Refuse: true}, nil, []string{`reason="refused by the target"`, "may_have_run=false", "target=i-1"}},
		{"stream cut off", "/stream/once/", platformtest.Fault{Reset: true, ResetAfter: 2}, nil, []string{`reason="stream cut off"`, "target=i-1", "events=2"}},
		{"late", "/idempotent/", platformtest.Fault{Delay: 300 * time.Millisecond}, nil, []string{"request answered late", "first_event=3", "target=i-1", "objective=200ms"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			testTarget := startTarget(t, "i-1")
			testTarget.SetFaults(func(int, string) platformtest.Fault { return c.reaction })
			f := newFixture(t, testTarget)
			if c.change != nil {
				f.update(func() { c.change(f) })
			}
			f.send(callerRequest{path: c.path, id: "explained"})
			f.send(callerRequest{path: "/idempotent/", id: "another"})
			var explanation strings.Builder
			eventually(t, "explain finds no line of the request", func() bool {
				var logs explain.Logs
				assert.NilError(t, logs.AddLog("edge-1", strings.NewReader(f.log.String())))
				explanation.Reset()
				return logs.WriteRequest(&explanation, "explained") == nil
			})
			for _, want := range c.cause {
				assert.Assert(t, strings.Contains(explanation.String(), want), "no %q in:\n%s", want, explanation.String())
			}
			assert.Assert(t, !strings.Contains(explanation.String(), "another"))
		})
	}
}

// A stalled target that sent comments now and then kept its stream until the deadline,
// although another target could go on with it.
func TestCommentsDoNotKeepAStalledStream(t *testing.T) {
	stalled, other := startTarget(t, "i-1"), startTarget(t, "i-2")
	f := newFixture(t, stalled, other)
	f.avoid(1)
	stalled.SetFaults(func(int, string) platformtest.Fault {
		return platformtest.Fault{Respond: func(conn *net.TCPConn, head string) {
			_, err := fmt.Fprintf(conn, "%sContent-Type: text/event-stream\r\n\r\nid: 1\ndata: first\n\n", head)
			for err == nil {
				time.Sleep(20 * time.Millisecond)
				_, err = io.WriteString(conn, ": still here\n\n")
			}
		}}
	})
	start := time.Now()
	got := f.send(callerRequest{path: "/stream/resumable/"})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, len(other.Requests()), 1, "the stream did not go on at the other target")
	assert.Assert(t, time.Since(start) < time.Second, "the stalled stream was kept for %v", time.Since(start))
}
