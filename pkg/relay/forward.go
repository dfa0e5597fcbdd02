package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/cachedir"
	"lacewingwheel.example/lacewingwheel/pkg/placement"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
)

// TargetSource returns the targets of a pool and the weights that they should run.
type TargetSource interface {
	InPool(name string) []*target.Target
	// NewestVersion returns the newest weights of a model, or "".
	NewestVersion(model string) string
	// MarkReplaced notes that another instance has the target's address.
	MarkReplaced(t *target.Target)
	// RunsVersion notes the weights that a target states in a response.
	RunsVersion(t *target.Target, version string)
}

// LoadReporter passes on what this instance learns of targets.
type LoadReporter interface {
	ReportLoad(targetKey string, load target.Load)
	ReportDown(targetKey string)
}

// ForwardFilter sends the request to a target and its response to the caller. A
// request that failed is sent to another target if it may be repeated, or if it
// surely has not run.
type ForwardFilter struct {
	Dialect          Dialect
	Targets          TargetSource
	Placer           *placement.Placer
	Conns            *targetconn.Pool
	CacheDirectories *cachedir.Set // the stores of cached parts
	RetryBudget      *RetryBudget
	LoadReporter     LoadReporter
	KeyFilter        *KeyFilter
	RequestLog       *RequestLog
	// InstanceCount is the number of instances that share the targets' connections.
	InstanceCount func() int
}

const (
	// maxSends bounds how often a request is offered to targets, refusals and
	// failed connections included.
	maxSends = 4
	// busyPause is how long a target that refused a request for lack of room,
	// or while it loads weights, is passed over.
	busyPause = 250 * time.Millisecond
	// minAttempt is the least time that is left for an attempt. Targets and the
	// way back take some of it.
	minAttempt = 20 * time.Millisecond
)

// failure is an attempt that gave the caller no whole answer.
type failure struct {
	sent      bool // bytes of the request may have reached the target
	ran       bool // the target may have run it, or may yet
	elsewhere bool // another target may be tried
	wait      time.Duration
	reason    string
	cause     error
	answer    *buffered // the target's own failure, to be passed on if nothing better comes
}

// Handle implements Filter.
func (f *ForwardFilter) Handle(ex *Exchange, next Handler) error {
	f.RetryBudget.RecordRequest(ex.Pool.Name)
	r := f.placementRequest(ex)
	tried := make(map[string]bool)
	var last *failure
	for sends := 0; sends < maxSends; sends++ {
		if err := f.mayStart(ex); err != nil {
			return err
		}
		choice := f.Placer.Pick(f.Targets.InPool(ex.Pool.Name), r, func(t *target.Target) bool { return t.WeightsExpired || tried[t.Key()] }, time.Now())
		if choice.Target == nil {
			break
		}
		if last != nil && last.sent && !f.RetryBudget.TakeRetry(ex.Pool.Name) {
			f.RequestLog.RecordDeniedRetry(ex, last, "retry budget used up")
			break
		}
		tried[choice.Target.Key()] = true
		ex.Target = choice.Target
		last = f.attempt(ex, r, choice)
		if last == nil {
			return next(ex)
		}
		f.RequestLog.RecordFailedAttempt(ex, choice, last)
		if !f.mayRepeat(ex, last) {
			break
		}
	}
	return f.finish(ex, last)
}

func (f *ForwardFilter) placementRequest(ex *Exchange) *placement.Request {
	r := &placement.Request{
		Parts: ex.Metadata.PromptParts, PromptTokens: ex.Metadata.PromptTokens, MaxOutputTokens: ex.Metadata.MaxOutputTokens,
		BodyBytes: len(ex.Body), SpreadKey: ex.Metadata.ID, CacheSalt: isolation(ex),
	}
	if ex.Pool.Kind == tables.PoolEngine && ex.Metadata.Model != "" {
		r.NewestVersion = f.Targets.NewestVersion(ex.Metadata.Model)
	}
	return r
}

// isolation names the organisation whose cached parts are kept apart.
func isolation(ex *Exchange) string {
	if ex.Organisation != nil && ex.Organisation.Isolated {
		return ex.Organisation.Name
	}
	return ""
}

// mayStart reports why no attempt can start: the caller is gone, the time is
// over, or the key is no longer valid.
func (f *ForwardFilter) mayStart(ex *Exchange) error {
	ctx := ex.Context()
	if ctx.Err() != nil {
		return f.ended(ex, context.Cause(ctx))
	}
	if time.Until(ex.Deadline) < minAttempt {
		return f.ended(ex, context.DeadlineExceeded)
	}
	if ex.Attempts == 0 || f.KeyFilter == nil {
		return nil
	}
	return f.KeyFilter.Revalidate(ex)
}

// ended is the error of a request whose context is over.
func (f *ForwardFilter) ended(ex *Exchange, cause error) error {
	if !errors.Is(cause, context.DeadlineExceeded) {
		return callerGone(ex, cause)
	}
	if !ex.MayHaveRun {
		return notRun(ex, apierr.CodeDeadline, http.StatusServiceUnavailable,
			"no target took the request before its deadline", remedyRetry, 0)
	}
	return &apierr.Error{
		Code: apierr.CodeDeadline, Status: http.StatusGatewayTimeout, Outcome: apierr.Unknown,
		Message: "the target's answer was not complete at the deadline",
		Remedy:  "check whether the request took effect before you send it again", Cause: cause,
	}
}

// mayRepeat reports whether a request may be offered to another target.
func (f *ForwardFilter) mayRepeat(ex *Exchange, last *failure) bool {
	if !last.elsewhere {
		return false
	}
	if last.ran && !ex.Repeatable() {
		return false
	}
	limit := ex.Route.MaxAttempts
	return limit == 0 || ex.Attempts < limit
}

// finish answers the caller after the last attempt has failed.
func (f *ForwardFilter) finish(ex *Exchange, last *failure) error {
	if ctx := ex.Context(); ctx.Err() != nil {
		return f.ended(ex, context.Cause(ctx))
	}
	if last == nil {
		return notRun(ex, apierr.CodeNoTarget, http.StatusServiceUnavailable,
			"no target of the pool can take the request", remedyRetry, busyPause)
	}
	if last.answer != nil && !ex.HeaderSent {
		last.answer.write(ex)
		return nil
	}
	if !ex.MayHaveRun {
		return notRun(ex, apierr.CodeNoTarget, http.StatusServiceUnavailable,
			"the targets that were tried refused the request or could not be reached", remedyRetry, max(last.wait, busyPause))
	}
	return &apierr.Error{
		Code: apierr.CodeTargetFailed, Status: http.StatusBadGateway, Outcome: apierr.Unknown,
		Message: "the target did not give a whole answer",
		Remedy:  "check whether the request took effect before you send it again", Cause: last.cause,
	}
}
