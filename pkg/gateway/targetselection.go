package gateway

import (
	"net/http"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// TargetPicker chooses a target for a request. Targets in exclude have already
// failed it. It returns nil if no target is left.
type TargetPicker interface {
	Pick(ex *Exchange, exclude map[string]bool) *target.Target
}

// ResultObserver is a TargetPicker that learns from how requests end.
type ResultObserver interface {
	// ObserveResult is called once per request that got a target. ex.Target is the last
	// target that the request was sent to.
	ObserveResult(ex *Exchange, err error)
}

// TargetSelection picks the first target.
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
		Code: apierr.CodeNoTarget, Status: http.StatusServiceUnavailable, Outcome: apierr.NotRun,
		Message:    "no target of the pool can take the request",
		Remedy:     "send the request again after the time in Retry-After; operators: check the pool's selector and its targets on the status page",
		RetryAfter: apierr.DefaultRetryAfter,
	}
}
