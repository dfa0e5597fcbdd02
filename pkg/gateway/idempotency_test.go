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

// Guards against requests without protection on routes that need it, and
// against claims on routes that do not.
func TestIdempotencyKeyRequired(t *testing.T) {
	s := newTarget(t, "s", handleOK)
	r := newRouter(t, standin.NewPlatform(), s.Target)
	r.serve()
	r.post(pathBook, "", "b").want(t, 400, apierr.CodeMissingIdempotency, apierr.NotRun)
	r.post(pathBook, strings.Repeat("k", maxIdempotencyKeyBytes+1), "b").want(t, 400, apierr.CodeBadRequest, apierr.NotRun)
	assert.Equal(t, s.reads.Load(), int64(0))
	assert.Equal(t, r.post(pathLookup, "", "b").status, 200)
	assert.Equal(t, r.platform.Counts().Calls, int64(0))
}

// Guards against a second run, and against a duplicate that gets another
// response than the first request.
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
	other.post(pathBook, "k", "c").want(t, 422, apierr.CodeIdempotencyReuse, apierr.NotRun)
	assert.Equal(t, s.reads.Load(), int64(1))
}

// Guards against a response that is cut because it is too large to store.
func TestLargeResponsePassesAndIsNotReplayed(t *testing.T) {
	large := strings.Repeat("x", 3*claim.MaxResponseBytes)
	s := newTarget(t, "s", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(large)) })
	r := newRouter(t, standin.NewPlatform(), s.Target)
	r.serve()
	assert.Equal(t, r.post(pathBook, "k", "b").body, large)
	r.post(pathBook, "k", "b").want(t, 409, apierr.CodeOutcomeUnknown, apierr.Unknown)
	assert.Equal(t, s.reads.Load(), int64(1))
}

// Guards against a run without a claim, and against a claim that outlives a
// refusal of the platform.
func TestPlatformUnavailable(t *testing.T) {
	s := newTarget(t, "s", handleOK)
	r := newRouter(t, standin.NewPlatform(), s.Target)
	r.serve()
	r.platform.SetFaults(standin.PlatformFaults{Down: true})
	a := r.post(pathBook, "k", "b")
	a.want(t, 503, apierr.CodeClaimUnavailable, apierr.NotRun)
	assert.Equal(t, a.header.Get("Retry-After"), "1")
	assert.Equal(t, s.reads.Load(), int64(0))
	r.platform.SetFaults(standin.PlatformFaults{})
	assert.Equal(t, r.post(pathBook, "k", "b").status, 200)
}

// Guards against a wrong claim state and a wrong outcome after a later filter
// fails: only a refusal before anything was sent frees the key.
func TestLaterFilterFails(t *testing.T) {
	refusal := func() error {
		return &apierr.Error{Code: apierr.CodeRateLimited, Status: 429, Outcome: apierr.NotRun, Remedy: "wait"}
	}
	for _, tc := range []struct {
		name    string
		handle  filterFunc
		outcome apierr.Outcome // empty if the connection is cut
		again   apierr.Code    // of the same request sent again; empty if it runs
		reads   int64
	}{
		{"refused before the run", func(*Exchange, Handler) error { return refusal() }, apierr.NotRun, "", 1},
		{"untyped error", func(*Exchange, Handler) error { return context.Canceled }, apierr.Unknown, apierr.CodeOutcomeUnknown, 0},
		{"panic", func(*Exchange, Handler) error { panic(http.ErrAbortHandler) }, "", apierr.CodeOutcomeUnknown, 0},
		{"not_run claimed after a run that failed", func(ex *Exchange, next Handler) error {
			ex.Request.Header.Set("X-Cut", "1")
			_ = next(ex)
			return refusal()
		}, apierr.Unknown, apierr.CodeOutcomeUnknown, 1},
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

// blockedRouter has a target that answers only when it is told to.
func blockedRouter(t *testing.T) (r *testRouter, entered, release chan struct{}, caller chan context.Context) {
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

// Guards against a lost response when the caller disconnects during the run.
func TestCallerDisconnects(t *testing.T) {
	r, entered, release, caller := blockedRouter(t)
	ctx, disconnect := context.WithCancel(context.Background())
	ended := make(chan answer)
	go func() { ended <- r.postContext(ctx, pathBook, "k", "b") }()
	<-entered
	r.post(pathBook, "k", "b").want(t, 409, apierr.CodeInProgress, apierr.Unknown)
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

// Guards against a run for a caller that left while the claim was made, and
// against a key that stays blocked after it.
func TestCallerLeavesBeforeDispatch(t *testing.T) {
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
	r.post(pathBook, "k", "b").want(t, 504, apierr.CodeDeadline, apierr.NotRun)
	assert.Equal(t, s.reads.Load(), int64(0))
	gone = false
	assert.Equal(t, r.post(pathBook, "k", "b").status, 200)
}

// Guards against a run that goes on after its key was revoked.
func TestKeyRevokedDuringRun(t *testing.T) {
	r, entered, _, _ := blockedRouter(t)
	ended := make(chan answer)
	go func() { ended <- r.post(pathBook, "k", "b") }()
	<-entered
	assert.Equal(t, r.sessions.CancelRevoked(tables.NewSnapshot(2, &tables.Tables{})), 1)
	a := <-ended
	a.want(t, 401, apierr.CodeKeyRevoked, apierr.Unknown)
	r.post(pathBook, "k", "b").want(t, 409, apierr.CodeOutcomeUnknown, apierr.Unknown)
}
