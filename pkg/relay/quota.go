package relay

import (
	"context"
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// Quota holds the token buckets of organisations. Its methods may be called
// concurrently.
type Quota interface {
	// Take takes tokens from the quota of an organisation. If there are too few
	// it takes none and returns the time after which they may be available. It
	// may wait for other instances until ctx ends.
	Take(ctx context.Context, organisation string, tokens int64) (ok bool, wait time.Duration)
	// Return gives back the tokens of a request that has not run.
	Return(organisation string, tokens int64)
}

// QuotaFilter refuses requests of organisations that exceed their quota.
// Organisations without a rate are not limited.
type QuotaFilter struct {
	Quota Quota
	// ReturnAfter returns when a caller that was refused should come back, from the time
	// after which its tokens may be available; nil means that time.
	ReturnAfter func(o *tables.Organisation, tokens int64, wait time.Duration) time.Duration
}

// Handle implements Filter.
func (f *QuotaFilter) Handle(ex *Exchange, next Handler) error {
	if ex.Organisation == nil || ex.Organisation.Rate <= 0 {
		return next(ex)
	}
	ex.ChargedTokens = requestTokens(ex)
	ok, wait := f.Quota.Take(ex.Context(), ex.Organisation.Name, ex.ChargedTokens)
	if !ok && f.ReturnAfter != nil {
		wait = f.ReturnAfter(ex.Organisation, ex.ChargedTokens, wait)
	}
	if !ok {
		return errNotRun(ex, apierr.CodeRateLimited, http.StatusTooManyRequests,
			"the organisation is over its rate", "send fewer tokens per second, or ask the operators for a higher rate", wait)
	}
	err := next(ex)
	if err != nil && !ex.MayHaveRun {
		f.Quota.Return(ex.Organisation.Name, ex.ChargedTokens)
	}
	return err
}

// requestTokens returns the tokens to charge: the prompt and the longest output
// if the header states them, and the default of the organisation otherwise.
func requestTokens(ex *Exchange) int64 {
	if ex.Metadata.HasTokenCount {
		return int64(ex.Metadata.PromptTokens + ex.Metadata.MaxOutputTokens)
	}
	return ex.Organisation.DefaultCost
}
