package gateway

import (
	"net/http"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// Picker chooses a target for a request. Targets in exclude have already
// failed it. It returns nil if no target is left.
type Picker interface {
	Pick(ex *Exchange, exclude map[string]bool) *target.Target
}

// Choose picks the first target.
type Choose struct {
	Picker Picker
}

// Name implements Filter.
func (f *Choose) Name() string { return "target_choice" }

// Handle implements Filter.
func (f *Choose) Handle(ex *Exchange, next Handler) error {
	ex.Target = f.Picker.Pick(ex, nil)
	if ex.Target == nil {
		return errNoTarget()
	}
	return next(ex)
}

func errNoTarget() error {
	return &apierr.Error{
		Code: apierr.CodeNoTarget, Status: http.StatusServiceUnavailable, Outcome: apierr.NotRun,
		Message:    "no target of the pool can take the request",
		Remedy:     "send the request again after the time in Retry-After; operators: check the pool's selector and its targets on the status page",
		RetryAfter: apierr.DefaultRetryAfter,
	}
}
