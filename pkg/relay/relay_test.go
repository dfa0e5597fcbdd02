package relay_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/explain"
	"lacewingwheel.example/lacewingwheel/pkg/relay"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// Guards against requests and answers that are changed on the way, keys that
// reach a target, and headers of the router that a caller sets.
func TestRequestPassesUnchanged(t *testing.T) {
	runner := startRunner(t, "i-1")
	f := newFixture(t, runner)
	got := f.call(call{path: "/once/x%2Fy/?q=a+b", body: "the body", header: map[string]string{
		"X-Other": "kept", platformtest.HeaderOrganisation: "forged", platformtest.HeaderHold: "forged", "Kv-From": "forged",
		platformtest.HeaderSalt: "forged", platformtest.HeaderInstance: "forged", platformtest.HeaderBackup: "forged",
	}})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "answer to id-1")
	assert.Equal(t, got.header.Get(platformtest.HeaderSignature), "i-1")
	seen := runner.Requests()[0]
	assert.Equal(t, seen.Method+" "+seen.Path, "POST /once/x%2Fy/?q=a+b")
	assert.Equal(t, seen.Body, "the body")
	assert.Equal(t, seen.Header.Get("X-Other"), "kept")
	assert.Equal(t, seen.Header.Get(platformtest.HeaderOrganisation), "one")
	assert.Equal(t, seen.Header.Get(platformtest.HeaderInstance), "i-1")
	for _, name := range []string{"Authorization", platformtest.HeaderHold, "Kv-From", platformtest.HeaderSalt, platformtest.HeaderBackup} {
		assert.Equal(t, seen.Header.Get(name), "", name)
	}
	left, err := strconv.Atoi(seen.Header.Get(platformtest.HeaderPatience))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 1500, "time left: %d ms", left)
}

// Guards against refusals with the wrong status or the wrong promise.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		change func(f *fixture)
		call   call
		status int
	}{
		{"no configuration", func(f *fixture) { f.snapshot = nil }, call{path: "/once/"}, http.StatusServiceUnavailable},
		{"configuration confirmed too long ago", func(f *fixture) { f.proofAge = 4100 * time.Millisecond }, call{path: "/once/"}, http.StatusServiceUnavailable},
		{"unknown key", nil, call{path: "/once/", key: "other"}, http.StatusUnauthorized},
		{"no route", nil, call{path: "/nowhere/"}, http.StatusNotFound},
		{"body too large", nil, call{path: "/once/", body: strings.Repeat("x", 65<<10)}, http.StatusRequestEntityTooLarge},
		{"header too large", nil, call{path: "/once/", header: map[string]string{"X-Big": strings.Repeat("x", 9<<10)}}, http.StatusRequestHeaderFieldsTooLarge},
		{"over the quota", func(f *fixture) { f.tokens = 9 }, call{path: "/once/"}, http.StatusTooManyRequests},
		{"no target", func(f *fixture) { f.targets = nil }, call{path: "/once/"}, http.StatusServiceUnavailable},
		{"only targets with too old weights", func(f *fixture) { f.targets[0].WeightsExpired = true }, call{path: "/once/"}, http.StatusServiceUnavailable},
		{"only leaving targets", func(f *fixture) { f.targets[0].Leaving = true }, call{path: "/once/"}, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runner := startRunner(t, "i-1")
			f := newFixture(t, runner)
			if c.change != nil {
				f.set(func() { c.change(f) })
			}
			got := f.call(c.call)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, len(runner.Requests()), 0)
			assert.Equal(t, got.header.Get("X-Outcome"), "not_run")
			if c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests {
				wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, wait > 0 && wait <= 0.5, "Retry-After %f is not usable within 1.5 s", wait)
			}
		})
	}
}

// Guards against open routes that stop with the age of the configuration.
func TestOpenRouteNeedsNoKey(t *testing.T) {
	runner := startRunner(t, "i-1")
	f := newFixture(t, runner)
	f.set(func() { f.proofAge = time.Hour })
	assert.Equal(t, f.call(call{path: "/open/", key: "none"}).status, http.StatusOK)
	assert.Equal(t, runner.Requests()[0].Header.Get(platformtest.HeaderOrganisation), "")
}

// Guards against a request that may not be repeated and is, and against a
// promise that it has not run.
func TestRequestThatMayNotBeRepeated(t *testing.T) {
	cases := []struct {
		name     string
		reaction platformtest.Reaction
		status   int
		ran      int
	}{
		{"connection lost after it was sent", platformtest.Reaction{Reset: true}, http.StatusBadGateway, 1},
		{"refused by the target", platformtest.Reaction{Refuse: true}, http.StatusServiceUnavailable, 0},
		{"failed by the target", platformtest.Reaction{Status: http.StatusInternalServerError}, http.StatusInternalServerError, 1},
		{"answer without signature", platformtest.Reaction{Unsigned: true}, http.StatusBadGateway, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			one, two := startRunner(t, "i-1"), startRunner(t, "i-2")
			react := func(int, string) platformtest.Reaction { return c.reaction }
			one.React(react)
			two.React(react)
			f := newFixture(t, one, two)
			got := f.call(call{path: "/once/"})
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, ran(one, two), c.ran)
			assert.Equal(t, len(one.Requests())+len(two.Requests()), 1)
		})
	}
}

// Guards against a request that is given up although another target could
// take it, and against more attempts than the route allows.
func TestRepeatableRequestGoesElsewhere(t *testing.T) {
	cases := map[string]platformtest.Reaction{
		"connection lost": {Reset: true},
		"failed":          {Status: http.StatusInternalServerError},
		"unsigned":        {Unsigned: true},
		"silent":          {Delay: time.Second},
	}
	for name, reaction := range cases {
		t.Run(name, func(t *testing.T) {
			one, two := startRunner(t, "i-1"), startRunner(t, "i-2")
			var broken first
			react := func(id string) func(int, string) platformtest.Reaction {
				return func(int, string) platformtest.Reaction {
					if broken.is(id) {
						return reaction
					}
					return platformtest.Reaction{}
				}
			}
			one.React(react("i-1"))
			two.React(react("i-2"))
			f := newFixture(t, one, two)
			got := f.call(call{path: "/idempotent/"})
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, "answer to id-1")
		})
	}
	one, two, three := startRunner(t, "i-1"), startRunner(t, "i-2"), startRunner(t, "i-3")
	for _, r := range []*platformtest.Runner{one, two, three} {
		r.React(func(int, string) platformtest.Reaction { return platformtest.Reaction{Reset: true} })
	}
	f := newFixture(t, one, two, three)
	assert.Equal(t, f.call(call{path: "/idempotent/"}).status, http.StatusBadGateway)
	assert.Equal(t, ran(one, two, three), 2)
}

// Guards against requests that are taken from a busy target and sent to the
// next, which makes an overload worse. Load: a target that answers others, late.
func TestBusyTargetKeepsItsRequests(t *testing.T) {
	one, two := startRunner(t, "i-1"), startRunner(t, "i-2")
	slow := func(int, string) platformtest.Reaction { return platformtest.Reaction{Delay: 700 * time.Millisecond} }
	one.React(slow)
	two.React(slow)
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
	got := f.call(call{path: "/idempotent/"})
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, ran(one, two), 1)
}

// Guards against a target that is down and takes the request's only attempt.
func TestUnreachableTargetIsNoAttempt(t *testing.T) {
	one, two := startRunner(t, "i-1"), startRunner(t, "i-2")
	one.Stop()
	f := newFixture(t, one, two)
	for range 6 {
		assert.Equal(t, f.call(call{path: "/once/"}).status, http.StatusOK)
	}
}

// Guards against repeats that multiply the load of a failing pool.
func TestRetryBudget(t *testing.T) {
	one, two := startRunner(t, "i-1"), startRunner(t, "i-2")
	for _, r := range []*platformtest.Runner{one, two} {
		r.React(func(int, string) platformtest.Reaction { return platformtest.Reaction{Reset: true} })
	}
	f := newFixture(t, one, two)
	f.limits = relay.RetryLimits{Ratio: 0.2, ExtraRetries: 2, Window: time.Minute}
	const requests = 20
	for range requests {
		f.call(call{path: "/idempotent/"})
	}
	repeats := ran(one, two) - requests
	assert.Assert(t, repeats > 0 && repeats <= 2+requests/5, "%d repeats", repeats)
}

// Guards against events that are lost, doubled or torn when a stream goes on
// at another target.
func TestStreamGoesOnElsewhere(t *testing.T) {
	for after := range 4 {
		one, two := startRunner(t, "i-1"), startRunner(t, "i-2")
		var broken first
		for _, r := range []*platformtest.Runner{one, two} {
			r.React(func(int, string) platformtest.Reaction {
				return platformtest.Reaction{Reset: broken.is(r.ID), After: after}
			})
		}
		f := newFixture(t, one, two)
		got := f.call(call{path: "/stream/resumable/"})
		assert.NilError(t, got.err)
		want := ""
		for n := 1; n <= 4; n++ {
			want += "id: " + strconv.Itoa(n) + "\ndata: id-1 event " + strconv.Itoa(n) + "\n\n"
		}
		assert.Equal(t, got.body, want, "broken after %d events", after)
	}
}

// Guards against a stream that cannot be completed and looks complete.
func TestBrokenStreamIsNotComplete(t *testing.T) {
	runner := startRunner(t, "i-1")
	runner.React(func(int, string) platformtest.Reaction { return platformtest.Reaction{Reset: true, After: 2} })
	f := newFixture(t, runner)
	got := f.call(call{path: "/stream/once/"})
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, got.err != nil, "the stream ended as if it were complete: %q", got.body)
	assert.Equal(t, ran(runner), 1)
}

// Guards against events that wait for later ones.
func TestEventsPassAsTheyCome(t *testing.T) {
	runner := startRunner(t, "i-1")
	runner.SetStream(3, 300*time.Millisecond)
	f := newFixture(t, runner)
	started := time.Now()
	conn, reader := f.rawCall("/stream/once/", "id-1")
	defer conn.Close()
	for line := ""; !strings.HasPrefix(line, "data:"); {
		var err error
		line, err = reader.ReadString('\n')
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(started) < 300*time.Millisecond, "the first event came after %v", time.Since(started))
}

// Guards against targets that work for callers that have left.
func TestCallerThatLeavesCancelsItsRequest(t *testing.T) {
	runner := startRunner(t, "i-1")
	runner.SetStream(1000, 10*time.Millisecond)
	f := newFixture(t, runner)
	conn, reader := f.rawCall("/stream/once/", "id-1")
	_, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	eventually(t, "the target still works on the request", func() bool { return runner.Active() == 0 })
}

// Guards against requests that are held past their deadline.
func TestDeadlineEndsARequest(t *testing.T) {
	runner := startRunner(t, "i-1")
	runner.React(func(int, string) platformtest.Reaction { return platformtest.Reaction{Delay: 3 * time.Second} })
	f := newFixture(t, runner)
	started := time.Now()
	got := f.call(call{path: "/once/", patience: 200 * time.Millisecond})
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Equal(t, got.header.Get("X-Outcome"), "unknown")
	assert.Assert(t, time.Since(started) < time.Second)
}

// Guards against a key that is withdrawn while a request waits for another
// attempt.
func TestWithdrawnKeyEndsRepeats(t *testing.T) {
	one, two := startRunner(t, "i-1"), startRunner(t, "i-2")
	f := newFixture(t, one, two)
	react := func(int, string) platformtest.Reaction {
		f.set(func() {
			withdrawn := *f.snapshot.Tables
			withdrawn.Organisations = []tables.Organisation{{Name: "one"}}
			f.snapshot = tables.NewSnapshot(2, &withdrawn)
		})
		return platformtest.Reaction{Reset: true}
	}
	one.React(react)
	two.React(react)
	got := f.call(call{path: "/idempotent/"})
	assert.Equal(t, got.status, http.StatusUnauthorized)
	assert.Equal(t, ran(one, two), 1)
}

// Guards against tokens that are lost by requests that have not run.
func TestTokensComeBackIfNotRun(t *testing.T) {
	runner := startRunner(t, "i-1")
	runner.React(func(n int, _ string) platformtest.Reaction { return platformtest.Reaction{Refuse: n == 1} })
	f := newFixture(t, runner)
	f.set(func() { f.tokens = 10 })
	assert.Equal(t, f.call(call{path: "/once/"}).status, http.StatusServiceUnavailable)
	time.Sleep(300 * time.Millisecond) // the target is passed over for a while after a refusal
	assert.Equal(t, f.call(call{path: "/once/"}).status, http.StatusOK)
	assert.Equal(t, f.call(call{path: "/once/"}).status, http.StatusTooManyRequests)
}

// Guards against another target at a known address that gets the request.
func TestOtherTargetAtTheAddress(t *testing.T) {
	one, two := startRunner(t, "i-1"), startRunner(t, "i-2")
	f := newFixture(t, one, two)
	f.set(func() {
		moved := *f.targets[0]
		moved.ID = "i-gone"
		f.targets = []*target.Target{&moved, f.targets[1]}
	})
	for range 6 {
		assert.Equal(t, f.call(call{path: "/once/"}).status, http.StatusOK)
	}
	for _, seen := range one.Requests() {
		assert.Assert(t, !seen.Ran)
	}
}

// Guards against failures that cannot be traced from the log.
func TestFailuresAreLogged(t *testing.T) {
	runner := startRunner(t, "i-1")
	runner.React(func(int, string) platformtest.Reaction { return platformtest.Reaction{Reset: true} })
	f := newFixture(t, runner)
	f.call(call{path: "/once/", id: "traced"})
	log := f.log.String()
	for _, want := range []string{"attempt failed", "request failed", "request_id=traced", "target=i-1", "may_have_run=true", "outcome=unknown", "code=target_failed"} {
		assert.Assert(t, strings.Contains(log, want), "no %q in the log:\n%s", want, log)
	}
	assert.Assert(t, !strings.Contains(log, testKey), "the log has a caller's key")
}

// Guards against a long answer that is held whole or cut.
func TestContextEndsWithTheCaller(t *testing.T) {
	runner := startRunner(t, "i-1")
	runner.React(func(int, string) platformtest.Reaction { return platformtest.Reaction{Delay: 300 * time.Millisecond} })
	f := newFixture(t, runner)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+"/once/", io.NopCloser(strings.NewReader("")))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Token "+testKey)
	request.Header.Set(platformtest.HeaderRequestID, "left")
	_, err = http.DefaultClient.Do(request)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	eventually(t, "no line for the caller that left", func() bool {
		return strings.Contains(f.log.String(), "code=caller_gone")
	})
}

// Guards against the walks of docs/OPERATIONS.md that do not reach the cause:
// given the lines of a request that failed under an injected fault, the command
// that the page names prints the line with the cause.
func TestWalksOfTheOperatorsPage(t *testing.T) {
	cases := []struct {
		name     string
		path     string
		reaction platformtest.Reaction
		change   func(f *fixture)
		cause    []string
	}{
		{"refused", "/once/", platformtest.Reaction{}, func(f *fixture) { f.proofAge = 5 * time.Second }, []string{"code=not_ready", "proof_age=5s"}},
		{"refused by the target", "/once/", platformtest.Reaction{Refuse: true}, nil, []string{`reason="refused by the target"`, "may_have_run=false", "target=i-1"}},
		{"broken off", "/stream/once/", platformtest.Reaction{Reset: true, After: 2}, nil, []string{`reason="stream cut off"`, "target=i-1", "events=2"}},
		{"late", "/idempotent/", platformtest.Reaction{Delay: 300 * time.Millisecond}, nil, []string{"request answered late", "first_event=3", "target=i-1", "objective=200ms"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runner := startRunner(t, "i-1")
			runner.React(func(int, string) platformtest.Reaction { return c.reaction })
			f := newFixture(t, runner)
			if c.change != nil {
				f.set(func() { c.change(f) })
			}
			f.call(call{path: c.path, id: "walked"})
			f.call(call{path: "/idempotent/", id: "another"})
			var story strings.Builder
			eventually(t, "no line of the request", func() bool {
				var logs explain.Logs
				assert.NilError(t, logs.Read("edge-1", strings.NewReader(f.log.String())))
				story.Reset()
				return logs.Request(&story, "walked") == nil
			})
			for _, want := range c.cause {
				assert.Assert(t, strings.Contains(story.String(), want), "no %q in:\n%s", want, story.String())
			}
			assert.Assert(t, !strings.Contains(story.String(), "another"))
		})
	}
}
