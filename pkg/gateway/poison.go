package gateway

import (
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/claim"
)

// Quarantine refuses requests that have crashed their targets. It runs after
// Idempotency: a duplicate of a request that may have run must learn that, and
// not that this copy of it did not run.
type Quarantine struct {
	Poison *claim.PoisonDetector
}

// Name implements Filter.
func (f *Quarantine) Name() string { return "quarantine" }

// Handle implements Filter.
func (f *Quarantine) Handle(ex *Exchange, next Handler) error {
	if err := checkQuarantine(f.Poison, ex); err != nil {
		return err
	}
	return next(ex)
}

// checkQuarantine returns an error if the request is quarantined.
func checkQuarantine(poison *claim.PoisonDetector, ex *Exchange) error {
	if poison == nil || poison.IsQuarantineEmpty() {
		return nil
	}
	now := time.Now()
	expiry, held := poison.QuarantinedUntil(ex.Digest(), now)
	if !held {
		return nil
	}
	return &apierr.Error{
		Code: apierr.CodeQuarantined, Status: http.StatusUnprocessableEntity, Outcome: outcomeOf(ex),
		Message:    "targets crashed while they ran this request, so it is not sent to another one",
		Remedy:     "change the request, or send it again after the time in Retry-After; report the request id to the operators",
		RetryAfter: expiry.Sub(now),
	}
}
