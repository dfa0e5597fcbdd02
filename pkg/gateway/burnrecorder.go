package gateway

import (
	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/burn"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// BurnRecorder counts finished requests against the service-level objectives of
// their routes.
type BurnRecorder struct {
	Recorder *burn.Recorder
}

// Record implements Recorder.
func (r *BurnRecorder) Record(ex *Exchange, failure *apierr.Error) {
	sample := burn.Sample{
		Organisation: ex.OrganisationName(),
		Class:        classify(failure),
		PromptTokens: ex.Usage.PromptTokens,
		CachedTokens: ex.Usage.CachedTokens,
		OutputTokens: ex.Usage.OutputTokens,
	}
	if ex.Route != nil {
		sample.Route = ex.Route.Name
		sample.Objective = burn.Objective(ex.Route.Objective)
	}
	// An engine sends a response that is not streamed only after its last token,
	// so the time of its first byte is not the time to first token.
	buffered := ex.Pool != nil && ex.Pool.Kind == tables.PoolEngine && !ex.StreamStarted
	if !ex.Timing.FirstToken.IsZero() && !buffered {
		sample.FirstToken = ex.Timing.FirstToken.Sub(ex.Timing.Start)
	}
	r.Recorder.Record(sample)
}

// classify maps the error of a request to its class in the burn report. Errors
// that are not listed are the caller's.
func classify(failure *apierr.Error) burn.RequestClass {
	if failure == nil {
		return burn.ClassServed
	}
	switch failure.Code {
	case apierr.CodeRateLimited, apierr.CodeCostExceedsBurst:
		return burn.ClassOverRate
	case apierr.CodeQueueFull, apierr.CodeNoTarget, apierr.CodeNotReady, apierr.CodeClaimUnavailable:
		return burn.ClassRefused
	case apierr.CodeTargetFailed, apierr.CodeDeadlineExceeded, apierr.CodeInternal, apierr.CodeOutcomeUnknown:
		return burn.ClassFailed
	}
	return burn.ClassCallerError
}
