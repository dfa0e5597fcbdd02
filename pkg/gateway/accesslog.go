package gateway

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
)

// Recorder counts finished requests. The error is nil for a whole answer.
type Recorder interface {
	Record(ex *Exchange, failure *apierr.Error)
}

// AccessLog logs and counts each request. It runs around the filters after it, so
// that refusals count too.
type AccessLog struct {
	Log      hclog.Logger
	Recorder Recorder
}

// Name implements Filter.
func (f *AccessLog) Name() string { return "account" }

// Handle implements Filter.
func (f *AccessLog) Handle(ex *Exchange, next Handler) error {
	err := next(ex)
	ex.Timing.End = time.Now()
	var failure *apierr.Error
	if err != nil {
		failure = ex.failure(err)
	}
	f.Recorder.Record(ex, failure)
	f.logRequest(ex, failure)
	return err
}

func (f *AccessLog) logRequest(ex *Exchange, failure *apierr.Error) {
	args := []any{
		"request_id", ex.ID,
		"organisation", ex.OrganisationName(),
		"duration_ms", ex.Timing.End.Sub(ex.Timing.Start).Milliseconds(),
		"attempts", ex.Attempts,
	}
	if ex.Route != nil {
		args = append(args, "route", ex.Route.Name)
	}
	if ex.Target != nil {
		args = append(args, "target", ex.Target.ID)
	}
	if !ex.Timing.FirstToken.IsZero() {
		args = append(args, "first_token_ms", ex.Timing.FirstToken.Sub(ex.Timing.Start).Milliseconds())
	}
	if failure != nil {
		args = append(args, "code", failure.Code, "outcome", failure.Outcome)
	}
	f.Log.Info("request", args...)
}
