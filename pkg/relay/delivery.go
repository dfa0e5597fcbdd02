package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/delivery"
	"lacewingwheel.example/lacewingwheel/pkg/placement"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// deliveryRequest describes a request for the selection of software versions. Requests
// with the same last shared part of the prompt go to the same version, so that its cached
// part is used.
func (f *ForwardFilter) deliveryRequest(ex *Exchange, r *placement.Request) delivery.Request {
	out := delivery.Request{Pool: ex.Pool.Name, Route: ex.Route.Name, Key: r.SpreadKey, IsResumed: ex.Metadata.LastEventID != ""}
	if shared := len(r.Parts) - 1; shared > 0 {
		out.Key = r.Parts[shared-1].ID
		for _, part := range r.Parts[:shared] {
			out.ColdAllowance += time.Duration(part.Tokens) * f.Placer.Params.PrefillPerToken
		}
	}
	if ex.Pool.Kind == tables.PoolEngine {
		own := r.PromptTokens
		for _, part := range r.Parts[:max(0, len(r.Parts)-1)] {
			own -= part.Tokens
		}
		out.Work = minEngineTime + time.Duration(max(0, own))*f.Placer.Params.PrefillPerToken + time.Duration(r.MaxOutputTokens)*decodeTimePerToken
	}
	return out
}

const (
	// minEngineTime and decodeTimePerToken are about what an engine with few requests takes
	// for the first token and for each further one.
	minEngineTime      = 20 * time.Millisecond
	decodeTimePerToken = 4 * time.Millisecond
)

// recordForDelivery records the end of an attempt as evidence about the target's version.
func (f *ForwardFilter) recordForDelivery(ex *Exchange, last *failure, took time.Duration) {
	if ex.versions == nil {
		return
	}
	ex.versions.Finish(deliveryOutcome(ex, last), last == nil || last.requestSent, took)
}

// deliveryOutcome returns what the end of an attempt says about the target's version.
func deliveryOutcome(ex *Exchange, last *failure) delivery.Outcome {
	cause := context.Cause(ex.Context())
	switch {
	case last == nil && ex.Status >= http.StatusInternalServerError:
		return delivery.OutcomeFailed
	case last == nil:
		return delivery.OutcomeAnswered
	case !last.requestSent, !last.mayHaveRun:
		return delivery.OutcomeNone
	case last.response != nil && last.response.status == http.StatusGatewayTimeout:
		return delivery.OutcomeTimedOut // the target's answer at the deadline
	case last.response != nil:
		return delivery.OutcomeFailed
	case errors.Is(cause, context.DeadlineExceeded), errors.Is(last.cause, errTargetSilent):
		return delivery.OutcomeTimedOut
	case cause != nil, !last.canTryOther:
		return delivery.OutcomeNone // the caller left, or does not read
	}
	return delivery.OutcomeBroken
}
