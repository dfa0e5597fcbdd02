package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/claim"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// On a non-repeatable route a request without a valid idempotency key must be
// refused before it reaches a target. A repeatable route needs no key, and its
// requests must not cost calls to the platform.
func TestIdempotencyKeyRequired(t *testing.T) {
	s := newTarget(t, "s", handleOK)
	r := newRouter(t, standin.NewPlatform(), s.Target)
	r.serve()
	r.post(pathBook, "", "b").assertError(t, 400, apierr.CodeMissingIdempotencyKey, apierr.OutcomeNotRun)
	r.post(pathBook, strings.Repeat("k", maxIdempotencyKeyBytes+1), "b").assertError(t, 400, apierr.CodeBadRequest, apierr.OutcomeNotRun)
	assert.Equal(t, s.reads.Load(), int64(0))
	assert.Equal(t, r.post(pathLookup, "", "b").status, 200)
	assert.Equal(t, r.platform.Counts().Calls, int64(0))
}

// A duplicate must get the stored response of the first request, also from
// another instance, and must not run.
func TestDuplicateGetsFirstResponse(t *testing.T) {
	s := newTarget(t, "s", handleOK)
	p := standin.NewPlatform()
	r, other := newRouter(t, p, s.Target), newRouter(t, p, s.Target)
	r.serve()
	other.serve()
	first := r.post(pathBook, "k", "b")
	assert.Equal(t, first.body, "booked")
	assert.Equal(t, first.header.Get(headerReplayed), "")
	for _, instance := range []*testRouter{r, other} {
		again := instance.post(pathBook, "k", "b")
		assert.Equal(t, again.status, 200)
		assert.Equal(t, again.body, "booked")
		assert.Equal(t, again.header.Get("X-Booking"), "7")
		assert.Equal(t, again.header.Get(headerReplayed), "true")
		assert.Assert(t, again.header.Get("X-Request-Id") != first.header.Get("X-Request-Id"))
	}
	other.post(pathBook, "k", "c").assertError(t, 422, apierr.CodeIdempotencyKeyReused, apierr.OutcomeNotRun)
	assert.Equal(t, s.reads.Load(), int64(1))
}

// A response that is too large to store must still reach the caller whole. A
// duplicate is refused, because there is nothing to replay.
func TestLargeResponsePassesAndIsNotReplayed(t *testing.T) {
	large := strings.Repeat("x", 3*claim.MaxResponseBytes)
	s := newTarget(t, "s", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(large)) })
	r := newRouter(t, standin.NewPlatform(), s.Target)
	r.serve()
	assert.Equal(t, r.post(pathBook, "k", "b").body, large)
	r.post(pathBook, "k", "b").assertError(t, 409, apierr.CodeOutcomeUnknown, apierr.OutcomeUnknown)
	assert.Equal(t, s.reads.Load(), int64(1))
}

// If the platform is down, a request must be refused, because without a claim it
// could run twice. The same key must work once the platform is back.
func TestPlatformUnavailable(t *testing.T) {
	s := newTarget(t, "s", handleOK)
	r := newRouter(t, standin.NewPlatform(), s.Target)
	r.serve()
	r.platform.SetFaults(standin.PlatformFaults{Down: true})
	a := r.post(pathBook, "k", "b")
	a.assertError(t, 503, apierr.CodeClaimUnavailable, apierr.OutcomeNotRun)
	assert.Equal(t, a.header.Get("Retry-After"), "1")
	assert.Equal(t, s.reads.Load(), int64(0))
	r.platform.SetFaults(standin.PlatformFaults{})
	assert.Equal(t, r.post(pathBook, "k", "b").status, 200)
}

// After an error of a later filter the key may be used again only if nothing was
// sent to a target. Otherwise the caller must get the outcome unknown and a
// duplicate must be refused, or the request runs twice.
func TestOutcomeAfterLaterFilterFails(t *testing.T) {
	refusal := func() error {
		return &apierr.Error{Code: apierr.CodeRateLimited, Status: 429, Outcome: apierr.OutcomeNotRun, Remedy: "wait"}
	}
	for _, tc := range []struct {
		name    string
		handle  filterFunc
		outcome apierr.Outcome // empty if the connection is closed without a response
		again   apierr.Code    // error of a duplicate; empty if the duplicate runs
		reads   int64
	}{
		{"refused before the run", func(*Exchange, Handler) error { return refusal() }, apierr.OutcomeNotRun, "", 1},
		{"untyped error", func(*Exchange, Handler) error { return context.Canceled }, apierr.OutcomeUnknown, apierr.CodeOutcomeUnknown, 0},
		{"panic", func(*Exchange, Handler) error { panic(http.ErrAbortHandler) }, "", apierr.CodeOutcomeUnknown, 0},
		{"not_run claimed after a run that failed", func(ex *Exchange, next Handler) error {
			ex.Request.Header.Set("X-Cut", "1")
			_ = next(ex)
			return refusal()
		}, apierr.OutcomeUnknown, apierr.CodeOutcomeUnknown, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTarget(t, "s", func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("X-Cut") != "" {
					panic(http.ErrAbortHandler)
				}
				handleOK(w, r)
			})
			r := newRouter(t, standin.NewPlatform(), s.Target)
			fail := true
			r.after = []Filter{filterFunc(func(ex *Exchange, next Handler) error {
				if !fail {
					return next(ex)
				}
				fail = false
				return tc.handle(ex, next)
			})}
			r.serve()
			assert.Equal(t, r.post(pathBook, "k", "b").detail.Outcome, tc.outcome)
			assert.Equal(t, r.post(pathBook, "k", "b").detail.Code, tc.again)
			assert.Equal(t, s.reads.Load(), tc.reads)
		})
	}
}

// newBlockedRouter returns a router whose target waits before it responds. entered
// is closed when the target has the request; closing release lets it respond.
// caller receives the context of the first request.
func newBlockedRouter(t *testing.T) (r *testRouter, entered, release chan struct{}, caller chan context.Context) {
	entered, release = make(chan struct{}), make(chan struct{})
	caller = make(chan context.Context, 1)
	s := newTarget(t, "s", func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		select {
		case <-release:
		case <-r.Context().Done():
		}
		handleOK(w, r)
	})
	r = newRouter(t, standin.NewPlatform(), s.Target)
	r.before = []Filter{filterFunc(func(ex *Exchange, next Handler) error {
		select {
		case caller <- ex.Context():
		default:
		}
		return next(ex)
	})}
	r.serve()
	return r, entered, release, caller
}

// If the caller disconnects while the request runs, the response must be stored,
// so that the caller gets it when it sends the request again.
func TestCallerDisconnects(t *testing.T) {
	r, entered, release, caller := newBlockedRouter(t)
	ctx, disconnect := context.WithCancel(context.Background())
	ended := make(chan answer)
	go func() { ended <- r.postContext(ctx, pathBook, "k", "b") }()
	<-entered
	r.post(pathBook, "k", "b").assertError(t, 409, apierr.CodeInProgress, apierr.OutcomeUnknown)
	<-r.recorded
	disconnect()
	assert.Assert(t, (<-ended).err != nil)
	<-(<-caller).Done()
	close(release)
	assert.Assert(t, <-r.recorded == nil)
	again := r.post(pathBook, "k", "b")
	assert.Equal(t, again.body, "booked")
	assert.Equal(t, again.header.Get(headerReplayed), "true")
}

// If the caller disconnects while the claim is made, the request must not be sent
// to a target, and the key must be usable again.
func TestCallerDisconnectsBeforeDispatch(t *testing.T) {
	s := newTarget(t, "s", handleOK)
	r := newRouter(t, standin.NewPlatform(), s.Target)
	gone := true
	r.before = []Filter{filterFunc(func(ex *Exchange, next Handler) error {
		ctx, cancel := context.WithCancel(ex.Context())
		defer cancel()
		if gone {
			cancel()
		}
		ex.Request = ex.Request.WithContext(ctx)
		return next(ex)
	})}
	r.serve()
	r.post(pathBook, "k", "b").assertError(t, 504, apierr.CodeDeadlineExceeded, apierr.OutcomeNotRun)
	assert.Equal(t, s.reads.Load(), int64(0))
	gone = false
	assert.Equal(t, r.post(pathBook, "k", "b").status, 200)
}

// A non-repeatable request is detached from its caller's context. It must
// nevertheless be cancelled when its key is revoked.
func TestKeyRevokedDuringRun(t *testing.T) {
	r, entered, _, _ := newBlockedRouter(t)
	ended := make(chan answer)
	go func() { ended <- r.post(pathBook, "k", "b") }()
	<-entered
	assert.Equal(t, r.runningRequests.CancelRevoked(tables.NewSnapshot(2, &tables.Tables{})), 1)
	a := <-ended
	a.assertError(t, 401, apierr.CodeKeyRevoked, apierr.OutcomeUnknown)
	r.post(pathBook, "k", "b").assertError(t, 409, apierr.CodeOutcomeUnknown, apierr.OutcomeUnknown)
}
