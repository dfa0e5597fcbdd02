package gateway

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
)

// Recorder receives the result of each finished request. Implementations must
// be safe for concurrent use.
type Recorder interface {
	// Record is called once per request. failure is nil if the request succeeded.
	Record(ex *Exchange, failure *apierr.Error)
}

// AccessLog writes one log line per request and passes the result to Recorder.
// It must come before all filters that can refuse a request, so that refusals
// are logged too.
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
		failure = ex.callerError(err)
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
