package relay

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/placement"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// RequestLog logs and counts the outcomes of requests and of their attempts.
// Its methods may be called concurrently.
type RequestLog struct {
	Log     hclog.Logger
	Metrics *expvar.Map
	// FirstEventLatency is the time from the start of a request to its first
	// event, or to the response if that is not a stream. TotalLatency is the
	// time to the end of the response.
	FirstEventLatency, TotalLatency LatencyHistograms

	doubtfulSendAt atomic.Int64 // boot time of the last line of RecordSend
}

// formatAge returns the time since t, or "never" if t is zero.
func formatAge(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return time.Since(t).Round(time.Millisecond).String()
}

// RecordSuccess counts a complete response. It logs the request if it was late,
// had a long gap between events, needed more than one attempt or has an error
// status.
func (l *RequestLog) RecordSuccess(ex *Exchange) {
	l.Metrics.Add("served", 1)
	took := time.Since(ex.Start)
	l.TotalLatency.Record(ex.RouteName(), took)
	if !ex.FirstEventAt.IsZero() {
		l.FirstEventLatency.Record(ex.RouteName(), ex.FirstEventAt.Sub(ex.Start))
	}
	late := ex.Route.Objective.FirstToken > 0 && !ex.FirstEventAt.IsZero() && ex.FirstEventAt.Sub(ex.Start) > ex.Route.Objective.FirstToken
	stalled := ex.Route.MaxEventGap > 0 && ex.LongestEventGap > ex.Route.MaxEventGap
	if !late && !stalled && ex.Attempts <= 1 && ex.Status < 400 {
		return
	}
	if late || stalled {
		l.Metrics.Add("late", 1)
	}
	l.Log.Info("request answered late or with trouble", "request_id", ex.Metadata.ID, "route", ex.RouteName(),
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

// RecordFailure logs and counts a request without a complete response.
func (l *RequestLog) RecordFailure(ex *Exchange, e *apierr.Error) {
	l.Metrics.Add("failed_"+string(e.Code), 1)
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
	l.Log.Warn("request failed", args...)
}

// RecordUnreadBody logs and counts a failed request whose body was not read to its
// end, so that the caller may not have received the response.
func (l *RequestLog) RecordUnreadBody(ex *Exchange, cause error) {
	l.Metrics.Add("bodies_unread", 1)
	l.Log.Info("body of the failed request not read to its end", "request_id", ex.Metadata.ID, "took", time.Since(ex.Start), "cause", cause)
}

// RecordFailedAttempt logs and counts an attempt without a complete response.
// now is the boot time.
func (l *RequestLog) RecordFailedAttempt(ex *Exchange, choice placement.Choice, last *failure, now time.Duration) {
	l.Metrics.Add("attempts_failed", 1)
	_, reported := choice.Target.NewestLoad()
	args := []any{"request_id", ex.Metadata.ID, "target", choice.Target.ID, "address", choice.Target.Address,
		"attempt", ex.Attempts, "reason", last.reason, "may_have_run", last.mayHaveRun, "cause", last.cause,
		"weights", choice.Target.WeightVersion, "in_flight", choice.Target.Live.InFlight.Load(), "load_age", formatAge(reported),
		"missing_tokens", choice.UncachedTokens, "expected_delay", choice.Cost}
	if choice.Target.WeightsUsableUntil > 0 {
		args = append(args, "weights_usable_for", choice.Target.WeightsUsableUntil-now)
	}
	l.Log.Info("attempt failed", args...)
}

// supersededStartLogLimit is the time before the end of use of superseded
// weights from which requests that begin on them are logged.
const supersededStartLogLimit = 2 * time.Second

// RecordSupersededStart counts a request that began on superseded weights and
// logs it if they are used for supersededStartLogLimit at most. sentAt and now
// are boot times.
func (l *RequestLog) RecordSupersededStart(ex *Exchange, t *target.Target, sentAt, now time.Duration) {
	l.Metrics.Add("superseded_starts", 1)
	left := t.WeightsUsableUntil - now
	if left > supersededStartLogLimit {
		return
	}
	if left < 0 {
		l.Metrics.Add("superseded_starts_late", 1)
	}
	l.Log.Info("request began on superseded weights", "request_id", ex.Metadata.ID, "target", t.ID, "weights", t.WeightVersion,
		"usable_for", left, "usable_for_when_sent", t.WeightsUsableUntil-sentAt, "waited", now-sentAt)
}

// doubtfulSendInterval is the least time between two lines of RecordSend.
const doubtfulSendInterval = 200 * time.Millisecond

// RecordSend counts requests that are sent to a target without an entry in the list, or by a
// list that is older than it should become, and logs some of them. now is the boot time.
func (l *RequestLog) RecordSend(ex *Exchange, t *target.Target, list target.ListState, now time.Duration) {
	if t == nil {
		return
	}
	isOld := list.MaxAge > 0 && list.Age > list.MaxAge
	if isOld {
		l.Metrics.Add("sent_by_old_list", 1)
	}
	if t.MissingSince > 0 {
		l.Metrics.Add("sent_to_missing_target", 1)
	}
	last := l.doubtfulSendAt.Load()
	if !isOld && t.MissingSince == 0 || last > 0 && now-time.Duration(last) < doubtfulSendInterval || !l.doubtfulSendAt.CompareAndSwap(last, int64(now)) {
		return
	}
	args := []any{"request_id", ex.Metadata.ID, "target", t.ID, "attempt", ex.Attempts, "list_age", list.Age, "list_revision", objectstore.FormatRevision(list.Revision), "list_from", list.From}
	if t.MissingSince > 0 {
		args = append(args, "missing_for", now-t.MissingSince)
	}
	l.Log.Info("request sent to a target that may have left", args...)
}

// RecordDeniedRetry logs and counts a request that is not sent again, with the
// reason.
func (l *RequestLog) RecordDeniedRetry(ex *Exchange, last *failure, reason string) {
	l.Metrics.Add("repeats_denied", 1)
	l.Log.Info("request not sent again", "request_id", ex.Metadata.ID, "reason", reason, "after", last.reason, "pool", ex.Pool.Name)
}

// RecordPlacement counts whether a request went to its home engine, and whether
// cached parts are fetched or saved.
func (l *RequestLog) RecordPlacement(choice placement.Choice, options *ForwardOptions) {
	if !choice.Target.IsEngine {
		return
	}
	count := func(name string, happened bool) {
		if happened {
			l.Metrics.Add(name, 1)
		}
	}
	count("placed_home", choice.IsHome)
	count("placed_away", !choice.IsHome)
	count("cache_fetches", options.FetchCacheFrom != "")
	count("cache_saves", options.SaveCacheTo != "")
}

// summaryInterval is the time between two summaries.
const summaryInterval = 5 * time.Second

// Run logs the increase of the counters every summaryInterval until ctx ends.
func (l *RequestLog) Run(ctx context.Context) {
	last := make(map[string]int64)
	for clock.Sleep(ctx, summaryInterval) {
		args := []any{"seconds", int(summaryInterval / time.Second)}
		l.Metrics.Do(func(v expvar.KeyValue) {
			counter, ok := v.Value.(*expvar.Int)
			if !ok {
				return
			}
			if n := counter.Value() - last[v.Key]; n != 0 {
				args = append(args, v.Key, n)
				last[v.Key] = counter.Value()
			}
		})
		l.Log.Info("summary", args...)
	}
}
