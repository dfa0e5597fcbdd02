package relay

import (
	"context"
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
)

// Quota decides whether an organisation may spend tokens now.
type Quota interface {
	// Take spends tokens, or returns the time after which they may be available.
	// It may ask other instances meanwhile.
	Take(ctx context.Context, organisation string, tokens int64) (ok bool, wait time.Duration)
	// Return gives back tokens of a request that has not run.
	Return(organisation string, tokens int64)
}

// QuotaFilter holds organisations to their rate and burst.
type QuotaFilter struct {
	Quota Quota
}

// Handle implements Filter.
func (f *QuotaFilter) Handle(ex *Exchange, next Handler) error {
	if ex.Organisation == nil || ex.Organisation.Rate <= 0 {
		return next(ex)
	}
	ex.ChargedTokens = cost(ex)
	ok, wait := f.Quota.Take(ex.Context(), ex.Organisation.Name, ex.ChargedTokens)
	if !ok {
		return notRun(ex, apierr.CodeRateLimited, http.StatusTooManyRequests,
			"the organisation is over its rate", "send fewer tokens per second, or ask the operators for a higher rate", wait)
	}
	err := next(ex)
	if err != nil && !ex.MayHaveRun {
		f.Quota.Return(ex.Organisation.Name, ex.ChargedTokens)
	}
	return err
}

func cost(ex *Exchange) int64 {
	if ex.Metadata.HasTokenCount {
		return int64(ex.Metadata.PromptTokens + ex.Metadata.MaxOutputTokens)
	}
	return ex.Organisation.DefaultCost
}
