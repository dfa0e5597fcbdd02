package gateway

import (
	"net/http"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// TargetPicker chooses targets for requests. It must be safe for concurrent use.
type TargetPicker interface {
	// Pick returns a target for the request, or nil if there is none. exclude
	// holds the IDs of targets on which the request has already failed.
	Pick(ex *Exchange, exclude map[string]bool) *target.Target
}

// ResultObserver is implemented by a TargetPicker that adapts to the results of
// requests.
type ResultObserver interface {
	// ObserveResult is called once for each request with a target. ex.Target is
	// the last target that the request was sent to; err is nil on success.
	ObserveResult(ex *Exchange, err error)
}

// TargetSelection sets the target of the first attempt. Forwarder picks the
// targets of retries.
type TargetSelection struct {
	Picker TargetPicker
}

// Name implements Filter.
func (f *TargetSelection) Name() string { return "target_choice" }

// Handle implements Filter.
func (f *TargetSelection) Handle(ex *Exchange, next Handler) error {
	ex.Target = f.Picker.Pick(ex, nil)
	if ex.Target == nil {
		return errNoTarget()
	}
	err := next(ex)
	if observer, ok := f.Picker.(ResultObserver); ok {
		observer.ObserveResult(ex, err)
	}
	return err
}

func errNoTarget() error {
	return &apierr.Error{
		Code: apierr.CodeNoTarget, Status: http.StatusServiceUnavailable, Outcome: apierr.OutcomeNotRun,
		Message:    "no target of the pool can take the request",
		Remedy:     "send the request again after the time in Retry-After; operators: check the pool's selector and its targets on the status page",
		RetryAfter: apierr.DefaultRetryAfter,
	}
}
