package relay

import (
	"context"
	"expvar"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/placement"
)

// RequestLog writes a line for each decision about a request and counts them.
type RequestLog struct {
	Log     hclog.Logger
	Metrics *expvar.Map
	// FirstEventLatency and TotalLatency are the times from a request to its first event or
	// whole answer, and to its end.
	FirstEventLatency, TotalLatency LatencyHistograms
}

func age(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return time.Since(t).Round(time.Millisecond).String()
}

// RecordSuccess notes a whole answer.
func (j *RequestLog) RecordSuccess(ex *Exchange) {
	j.Metrics.Add("served", 1)
	took := time.Since(ex.Start)
	j.TotalLatency.Record(ex.RouteName(), took)
	if !ex.FirstEventAt.IsZero() {
		j.FirstEventLatency.Record(ex.RouteName(), ex.FirstEventAt.Sub(ex.Start))
	}
	late := ex.Route.Objective.FirstToken > 0 && !ex.FirstEventAt.IsZero() && ex.FirstEventAt.Sub(ex.Start) > ex.Route.Objective.FirstToken
	paused := ex.Route.EventGap > 0 && ex.LongestEventGap > ex.Route.EventGap
	if !late && !paused && ex.Attempts <= 1 && ex.Status < 400 {
		return
	}
	if late || paused {
		j.Metrics.Add("late", 1)
	}
	j.Log.Info("request answered late or with trouble", "request_id", ex.Metadata.ID, "route", ex.RouteName(),
		"organisation", ex.OrganisationName(), "status", ex.Status, "target", targetID(ex), "attempts", ex.Attempts,
		"first_event", ex.FirstEventAt.Sub(ex.Start), "took", took, "events", ex.EventCount, "worst_gap", ex.LongestEventGap,
		"objective", ex.Route.Objective.FirstToken)
}

func targetID(ex *Exchange) string {
	if ex.Target == nil {
		return ""
	}
	return ex.Target.ID
}

// RecordFailure notes a request that ended without a whole answer.
func (j *RequestLog) RecordFailure(ex *Exchange, e *apierr.Error) {
	j.Metrics.Add("failed_"+string(e.Code), 1)
	args := []any{"request_id", ex.Metadata.ID, "route", ex.RouteName(), "organisation", ex.OrganisationName(),
		"code", e.Code, "status", e.Status, "outcome", e.Outcome, "attempts", ex.Attempts, "target", targetID(ex),
		"took", time.Since(ex.Start), "retry_after", e.RetryAfter, "events", ex.EventCount, "proof_age", ex.ProofAge}
	if ex.Snapshot != nil {
		args = append(args, "configuration", ex.Snapshot.Generation)
	}
	if ex.Organisation != nil {
		args = append(args, "tokens", ex.ChargedTokens)
	}
	if e.Cause != nil {
		args = append(args, "cause", e.Cause)
	}
	j.Log.Warn("request failed", args...)
}

// RecordFailedAttempt notes an attempt that gave no whole answer.
func (j *RequestLog) RecordFailedAttempt(ex *Exchange, choice placement.Choice, last *failure) {
	j.Metrics.Add("attempts_failed", 1)
	_, reported := choice.Target.NewestLoad()
	j.Log.Info("attempt failed", "request_id", ex.Metadata.ID, "target", choice.Target.ID, "address", choice.Target.Address,
		"attempt", ex.Attempts, "reason", last.reason, "may_have_run", last.ran, "cause", last.cause,
		"weights", choice.Target.WeightVersion, "in_flight", choice.Target.Live.InFlight.Load(), "load_age", age(reported),
		"missing_tokens", choice.UncachedTokens, "expected_delay", choice.Cost)
}

// RecordDeniedRetry notes why a request was not sent once more.
func (j *RequestLog) RecordDeniedRetry(ex *Exchange, last *failure, reason string) {
	j.Metrics.Add("repeats_denied", 1)
	j.Log.Info("request not sent again", "request_id", ex.Metadata.ID, "reason", reason, "after", last.reason, "pool", ex.Pool.Name)
}

// RecordPlacement counts where a request was sent and where its cached parts come from.
func (j *RequestLog) RecordPlacement(choice placement.Choice, i *ForwardOptions) {
	if !choice.Target.IsEngine {
		return
	}
	count := func(name string, on bool) {
		if on {
			j.Metrics.Add(name, 1)
		}
	}
	count("placed_home", choice.IsHome)
	count("placed_away", !choice.IsHome)
	count("cache_fetches", i.FetchCacheFrom != "")
	count("cache_saves", i.SaveCacheTo != "")
}

// summaryInterval is the time between lines that sum up what got no line of its own.
const summaryInterval = 5 * time.Second

// Run writes a summary of the counters from time to time until ctx ends.
func (j *RequestLog) Run(ctx context.Context) {
	last := make(map[string]int64)
	for clock.Sleep(ctx, summaryInterval) {
		args := []any{"seconds", int(summaryInterval / time.Second)}
		j.Metrics.Do(func(v expvar.KeyValue) {
			counter, ok := v.Value.(*expvar.Int)
			if !ok {
				return
			}
			if n := counter.Value() - last[v.Key]; n != 0 {
				args = append(args, v.Key, n)
				last[v.Key] = counter.Value()
			}
		})
		j.Log.Info("summary", args...)
	}
}
