package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/cachedir"
	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/delivery"
	"lacewingwheel.example/lacewingwheel/pkg/memlimit"
	"lacewingwheel.example/lacewingwheel/pkg/placement"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
)

// TargetSource gives access to the known targets. Its methods may be called
// concurrently.
type TargetSource interface {
	// InPool returns the targets of a pool.
	InPool(name string) []*target.Target
	// ListState returns how current the list of targets is.
	ListState() target.ListState
	// NewestVersion returns the newest weight version of a model, or "" if none
	// is known.
	NewestVersion(model string) string
	// MarkReplaced records that another target responds at the address of t.
	MarkReplaced(t *target.Target)
	// RecordReportedVersion records the weight version that a target stated in a
	// response.
	RecordReportedVersion(t *target.Target, version string)
	// RecordNotice records what a target said about new work in a response.
	RecordNotice(t *target.Target, n target.Notice)
}

// LoadReporter distributes what this instance learns about the load of targets.
// Its methods may be called concurrently.
type LoadReporter interface {
	ReportLoad(targetKey string, load target.Load)
	ReportDown(targetKey string)
	ReportLeaving(targetKey string)
}

// ForwardFilter sends the request to a target and the response to the caller. A
// request that failed is sent to another target if it is repeatable or has
// certainly not run.
type ForwardFilter struct {
	Dialect          Dialect
	Targets          TargetSource
	Placer           *placement.Placer
	Conns            *targetconn.Pool
	CacheDirectories *cachedir.Set // directories of the cache stores
	RetryBudget      *RetryBudget
	LoadReporter     LoadReporter
	// Memory bounds what responses take until they are sent to callers, beyond a
	// small part of each; nil means no bound.
	Memory           *memlimit.Budget
	KeyFilter        *KeyFilter
	QuarantineFilter *QuarantineFilter
	RequestLog       *RequestLog
	Clock            clock.Clock
	// Admission holds back or refuses requests of pools under contention; nil means none.
	Admission *Admission
	// Drain refuses requests that wait for room when the instance begins to stop.
	Drain DrainFilter
	// RolloutDeadline is the time from the announcement of weights to the last
	// request that begins on older ones; zero means no deadline.
	RolloutDeadline time.Duration
	// Delivery selects the software versions that requests may go to; nil: all.
	Delivery *delivery.Controller
	// InstanceCount returns the number of instances that share the connections
	// that targets accept.
	InstanceCount func() int
}

const (
	// maxTargetTries bounds the targets that are tried for a request, including
	// those that refuse it or cannot be reached.
	maxTargetTries = 4
	// refusalBackoff is how long a target gets no requests after it refused one
	// because it is full or loads weights.
	refusalBackoff = 250 * time.Millisecond
	// minAttemptTime is the least time before the deadline at which an attempt
	// is started. It covers the work of the target and the return of the response.
	minAttemptTime = 20 * time.Millisecond
)

// failure is an attempt after which the caller has no complete response.
type failure struct {
	requestSent bool // bytes of the request may have reached the target
	mayHaveRun  bool // the target may have run the request or may still run it
	canTryOther bool // the request may be sent to another target
	retryAfter  time.Duration
	reason      string
	cause       error
	response    *bufferedResponse // error response of the target, sent to the caller if there is no further attempt
}

// Handle implements Filter.
func (f *ForwardFilter) Handle(ex *Exchange, next Handler) error {
	f.RetryBudget.RecordRequest(ex.Pool.Name)
	defer ex.releaseHeld()
	r := f.placementRequest(ex)
	ex.versions = f.Delivery.Begin(f.deliveryRequest(ex, r))
	tried := make(map[string]bool)
	var last *failure
	for tries := 0; tries < maxTargetTries; tries++ {
		if err := f.checkCanStart(ex); err != nil {
			return err
		}
		choice, err := f.admit(ex, r, tried)
		if err != nil {
			return err
		}
		if choice.Target == nil {
			break
		}
		if last != nil && last.requestSent && !f.RetryBudget.TakeRetry(ex.Pool.Name) {
			f.RequestLog.RecordDeniedRetry(ex, last, "retry budget used up")
			break
		}
		tried[choice.Target.Key()] = true
		ex.Target = choice.Target
		eventsBefore := ex.EventCount
		f.QuarantineFilter.startAttempt(ex)
		attemptStart := time.Now()
		last = f.attempt(ex, r, choice)
		f.recordForDelivery(ex, last, time.Since(attemptStart))
		f.QuarantineFilter.finishAttempt(ex, last, eventsBefore)
		if last == nil {
			return next(ex)
		}
		f.RequestLog.RecordFailedAttempt(ex, choice, last, f.Clock.Elapsed())
		if !f.canRetry(ex, last) || f.QuarantineFilter.stopsRetry(ex, last) {
			break
		}
	}
	return f.finishFailed(ex, last)
}

func (f *ForwardFilter) placementRequest(ex *Exchange) *placement.Request {
	r := &placement.Request{
		Parts: ex.Metadata.PromptParts, PromptTokens: ex.Metadata.PromptTokens, MaxOutputTokens: ex.Metadata.MaxOutputTokens,
		BodyBytes: len(ex.Body), SpreadKey: ex.Metadata.ID,
	}
	if ex.Pool.Kind == tables.PoolEngine && ex.Metadata.Model != "" {
		r.NewestVersion = f.Targets.NewestVersion(ex.Metadata.Model)
	}
	return r
}

// cacheNamespace returns the namespace of the request's cached parts in the newest
// configuration. The request may have been accepted under an older one.
func (f *ForwardFilter) cacheNamespace(ex *Exchange) string {
	snapshot := ex.Snapshot
	if f.KeyFilter != nil {
		snapshot = f.KeyFilter.Configuration.Snapshot()
	}
	return snapshot.CacheNamespace(ex.OrganisationName())
}

// checkCanStart returns an error if no attempt may start: the caller is gone,
// the deadline is too close, or the key can no longer be accepted.
func (f *ForwardFilter) checkCanStart(ex *Exchange) error {
	ctx := ex.Context()
	if ctx.Err() != nil {
		return f.contextError(ex, context.Cause(ctx))
	}
	if time.Until(ex.Deadline) < minAttemptTime {
		return f.contextError(ex, context.DeadlineExceeded)
	}
	if err := f.QuarantineFilter.check(ex); err != nil {
		return err
	}
	if ex.Attempts == 0 || f.KeyFilter == nil {
		return nil
	}
	return f.KeyFilter.Revalidate(ex)
}

// contextError returns the error of a request whose context has ended.
func (f *ForwardFilter) contextError(ex *Exchange, cause error) error {
	if errors.Is(cause, ErrStopping) {
		return errStopping(ex)
	}
	if !errors.Is(cause, context.DeadlineExceeded) {
		return errCallerGone(ex, cause)
	}
	if !ex.MayHaveRun {
		return errNotRun(ex, apierr.CodeDeadlineExceeded, http.StatusServiceUnavailable,
			"no target took the request before its deadline", remedyRetry, 0)
	}
	return &apierr.Error{
		Code: apierr.CodeDeadlineExceeded, Status: http.StatusGatewayTimeout, Outcome: apierr.OutcomeUnknown,
		Message: "the target's answer was not complete at the deadline",
		Remedy:  "check whether the request took effect before you send it again", Cause: cause,
	}
}

// canRetry reports whether a request may be sent to another target after a
// failed attempt.
func (f *ForwardFilter) canRetry(ex *Exchange, last *failure) bool {
	if !last.canTryOther {
		return false
	}
	if last.mayHaveRun && !ex.Repeatable() {
		return false
	}
	limit := ex.Route.MaxAttempts
	return limit == 0 || ex.Attempts < limit
}

// finishFailed sends the error response of the target to the caller, or returns
// an error, after the last attempt has failed.
func (f *ForwardFilter) finishFailed(ex *Exchange, last *failure) error {
	if ctx := ex.Context(); ctx.Err() != nil {
		return f.contextError(ex, context.Cause(ctx))
	}
	if last == nil {
		return errNotRun(ex, apierr.CodeNoTarget, http.StatusServiceUnavailable,
			"no target of the pool can take the request", remedyRetry, max(f.timeUntilIntake(ex), refusalBackoff))
	}
	if last.response != nil && !ex.HeaderSent {
		last.response.write(ex)
		return nil
	}
	if !ex.MayHaveRun {
		return errNotRun(ex, apierr.CodeNoTarget, http.StatusServiceUnavailable,
			"the targets that were tried refused the request or could not be reached", remedyRetry, max(last.retryAfter, f.timeUntilIntake(ex), refusalBackoff))
	}
	return &apierr.Error{
		Code: apierr.CodeTargetFailed, Status: http.StatusBadGateway, Outcome: apierr.OutcomeUnknown,
		Message: "the target did not give a whole answer",
		Remedy:  "check whether the request took effect before you send it again", Cause: last.cause,
	}
}
