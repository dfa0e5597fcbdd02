package gateway

import (
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/claim"
)

// Quarantine refuses requests that have crashed targets. It comes after
// Idempotency: a duplicate of a request that may have run must get the outcome
// unknown and not the not_run of the quarantine.
type Quarantine struct {
	PoisonDetector *claim.PoisonDetector
}

// Name implements Filter.
func (f *Quarantine) Name() string { return "quarantine" }

// Handle implements Filter.
func (f *Quarantine) Handle(ex *Exchange, next Handler) error {
	if err := checkQuarantine(f.PoisonDetector, ex); err != nil {
		return err
	}
	return next(ex)
}

// checkQuarantine returns an error with status 422 if the request is
// quarantined. poison may be nil.
func checkQuarantine(poison *claim.PoisonDetector, ex *Exchange) error {
	if poison == nil || poison.IsQuarantineEmpty() {
		return nil
	}
	now := time.Now()
	expiry, quarantined := poison.QuarantinedUntil(ex.Digest(), now)
	if !quarantined {
		return nil
	}
	return &apierr.Error{
		Code: apierr.CodeQuarantined, Status: http.StatusUnprocessableEntity, Outcome: overallOutcome(ex),
		Message:    "targets crashed while they ran this request, so it is not sent to another one",
		Remedy:     "change the request, or send it again after the time in Retry-After; report the request id to the operators",
		RetryAfter: expiry.Sub(now),
	}
}
