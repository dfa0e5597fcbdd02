package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/cachedir"
	"lacewingwheel.example/lacewingwheel/pkg/placement"
	"lacewingwheel.example/lacewingwheel/pkg/target"
	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
)

// errTargetSilent ends an attempt whose target sends nothing, if another target
// can take over the request.
var errTargetSilent = errors.New("the target sent nothing for too long")

const (
	// firstEventTimeoutFactor is the number of first-token objectives after
	// which a repeatable request without a first event moves to another target.
	// Callers abandon a stream after four times the objective, so half of that
	// leaves time for one more attempt.
	firstEventTimeoutFactor = 2
	// eventGapTimeoutFactor is the number of the event gaps of the route after
	// which a stream without a further event moves to another target. Callers
	// abandon a stream after eight gaps.
	eventGapTimeoutFactor = 4
	// defaultFirstTokenObjective is used for routes that state no objective.
	defaultFirstTokenObjective = time.Second
)

// attempt sends the request to one target. It returns nil if the caller got a
// complete response.
func (f *ForwardFilter) attempt(ex *Exchange, r *placement.Request, choice placement.Choice) *failure {
	t := choice.Target
	ctx, cancel := context.WithCancelCause(ex.Context())
	defer cancel(nil)
	idle := f.startIdleTimer(ex, t, cancel)
	defer idle.stop()
	weights := f.watchWeights(ctx, ex, t, cancel)
	defer weights.stop()

	now, sentAt := time.Now(), f.Clock.Elapsed()
	t.Live.InFlight.Add(1)
	t.Live.InFlightTokens.Add(int64(r.PromptTokens + r.MaxOutputTokens))
	f.Placer.RecordSent(t, r, choice.UncachedTokens, now)
	f.Admission.recordStart(ex)
	started := false
	markStarted := func() {
		if !started {
			started = true
			f.Placer.RecordFirstEvent(t, choice.UncachedTokens)
		}
	}
	onFirstEvent := func() {
		weights.stop()
		if !started {
			f.Placer.RecordPrefill(t, choice.UncachedTokens, time.Since(now), time.Now())
		}
		if !started && t.WeightsUsableUntil > 0 {
			f.RequestLog.RecordSupersededStart(ex, t, sentAt, f.Clock.Elapsed())
		}
		markStarted()
		f.Admission.recordFirstEvent(ex, time.Since(now))
	}
	defer func() {
		markStarted()
		t.Live.InFlight.Add(-1)
		t.Live.InFlightTokens.Add(-int64(r.PromptTokens + r.MaxOutputTokens))
	}()

	mayHaveRunBefore := ex.MayHaveRun
	ex.MayHaveRun = true
	ex.Attempts++
	response, err := f.Conns.Do(ctx, f.destination(ex, t), f.targetRequest(ex, choice))
	if err != nil {
		failed := f.classifyConnError(t, err)
		if !failed.requestSent {
			ex.MayHaveRun = mayHaveRunBefore
			ex.Attempts--
			f.Admission.recordNotRun(ex)
		}
		return failed
	}
	defer response.Release()
	metadata := f.Dialect.ParseResponseHeader(response.StatusCode, response.Header)
	f.recordResponse(t, metadata)
	if metadata.NotRun {
		ex.MayHaveRun = mayHaveRunBefore
		f.Admission.recordNotRun(ex)
		return f.classifyRefusal(ex, t, response, metadata)
	}
	if !metadata.FromTarget || response.Header.Get("Content-Encoding") != "" {
		f.Placer.RecordFailure(t, time.Now())
		return &failure{requestSent: true, mayHaveRun: true, canTryOther: true, reason: "response without the target's signature"}
	}
	var failed *failure
	if ex.HeaderSent && !isEventStream(response.Header) {
		failed = notResumed(errors.New("status " + strconv.Itoa(response.StatusCode) + ", content type " + strconv.Quote(response.Header.Get("Content-Type"))))
	} else if ex.Route.StreamsEvents && response.StatusCode == http.StatusOK {
		failed = f.relayEvents(ex, response, idle, func() {
			onFirstEvent()
			f.QuarantineFilter.recordSuccess(ex)
		})
	} else {
		failed = f.relayBuffered(ex, response)
	}
	if failed == nil {
		f.Placer.RecordSuccess(t)
	} else {
		f.Placer.RecordFailure(t, time.Now())
	}
	return failed
}

// destination returns the connection key and limit of a target. The limit is
// the share of this instance in the connections that the target accepts from
// all instances.
func (f *ForwardFilter) destination(ex *Exchange, t *target.Target) targetconn.Destination {
	limit := 0
	if ex.Pool.MaxConnections > 0 {
		limit = max(1, ex.Pool.MaxConnections/max(1, f.InstanceCount()))
	}
	return targetconn.Destination{Key: t.Key(), Address: t.Address, MaxConns: limit}
}

// targetRequest returns the request as it is sent to the target.
func (f *ForwardFilter) targetRequest(ex *Exchange, choice placement.Choice) *targetconn.Request {
	t := choice.Target
	options := &ForwardOptions{
		InstanceID:  t.ID,
		LastEventID: ex.Metadata.LastEventID,
	}
	if ex.Organisation != nil {
		options.Organisation = ex.Organisation.Name
	}
	if t.IsEngine && t.WeightVersion != "" && ex.Metadata.Model == t.Model {
		options.WeightVersion = t.WeightVersion
		options.EnginePriority = f.enginePriority(ex)
	}
	path := ex.Request.RequestURI
	if path == "" || path[0] != '/' {
		path = ex.Request.URL.RequestURI()
	}
	id := ex.Metadata.ID
	return &targetconn.Request{
		Method: ex.Request.Method, Path: path, Host: ex.Request.Host,
		Body: ex.Body,
		Prepare: func() (http.Header, error) {
			if err := f.checkCanSend(ex, t); err != nil {
				return nil, err
			}
			f.RequestLog.RecordSend(ex, f.current(ex.Pool.Name, t), f.Targets.ListState(), f.Clock.Elapsed())
			options.Timeout = f.timeAtTarget(ex, t)
			f.setCacheOptions(ex, choice, options)
			f.RequestLog.RecordPlacement(choice, options)
			return f.Dialect.TargetHeader(ex.Request.Header, options), nil
		},
		MatchesResponse: func(h http.Header) bool {
			return f.Dialect.ParseResponseHeader(0, h).RequestID == id
		},
	}
}

// setCacheOptions sets the cache salt, which consists of the weights, if they are known for
// the model, and the cache namespace. Without a salt all organisations would share parts.
// Parts of unknown weights are neither fetched nor saved.
func (f *ForwardFilter) setCacheOptions(ex *Exchange, choice placement.Choice, options *ForwardOptions) {
	if !choice.Target.IsEngine && len(ex.Metadata.PromptParts) == 0 {
		return
	}
	options.CacheSalt = options.WeightVersion + "." + f.cacheNamespace(ex)
	if options.WeightVersion != "" {
		f.setCacheTransfer(ex, choice, options)
	}
}

// setCacheTransfer tells the target from where to fetch cached parts of the
// prompt and whether to save them in the cache store.
func (f *ForwardFilter) setCacheTransfer(ex *Exchange, choice placement.Choice, options *ForwardOptions) {
	if len(ex.Metadata.PromptParts) < 2 {
		return
	}
	if choice.CacheSource != nil {
		options.FetchCacheFrom = choice.CacheSource.Address
	}
	shared := ex.Metadata.PromptParts[:len(ex.Metadata.PromptParts)-1]
	directory := f.CacheDirectories.DirectoryFor(shared[len(shared)-1].ID)
	if directory == nil {
		return
	}
	store := directory.StoreAddress()
	if store == "" {
		return
	}
	keys := make([]cachedir.Key, len(shared))
	for n, part := range shared {
		keys[n] = cachedir.Key{Salt: options.CacheSalt, Part: part.ID}
	}
	fetch, save := useStore(shared, directory.CachedPrefixLen(keys), choice)
	if fetch {
		options.FetchCacheFrom = store
	}
	if save {
		options.SaveCacheTo = store
		directory.MarkSaving(keys)
	}
}

// useStore decides whether a target fetches shared parts of a prompt from the cache
// store, instead of the source of the choice, and whether it saves them there. stored
// is the number of leading shared parts that the store is known to have.
//
// Load: after a restart or new weights every engine lacks the parts that many prompts
// begin with, and the store has them but not yet the rest of each prompt. The source of
// the choice is kept if it is the home, or if the store is not known to have anything.
// Parts are only saved if the store lacks shared ones, because the last part, which is
// not shared, is saved with them and takes space.
func useStore(shared []placement.Part, stored int, choice placement.Choice) (fetch, save bool) {
	if stored == len(shared) {
		return choice.IsHome || choice.CacheSource == nil, false
	}
	save = countTokens(shared) >= minSavedTokens
	fetch = save && !choice.SourceIsHome && (stored > 0 || choice.CacheSource == nil)
	return fetch, save
}

func countTokens(parts []placement.Part) int {
	sum := 0
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

// minSavedTokens is the number of tokens in the shared parts below which they
// are not saved: computing them again is faster than fetching them.
const minSavedTokens = 600

// classifyConnError records at the target that a request got no response
// header, and returns the failure. The target has certainly not run the request
// only if no connection was opened.
func (f *ForwardFilter) classifyConnError(t *target.Target, err error) *failure {
	var failed *targetconn.Error
	if errors.As(err, &failed) && failed.Stage == targetconn.StageConnect {
		wait := time.Duration(0)
		if errors.Is(err, errTargetLeft) || errors.Is(err, errTargetPaused) || errors.Is(err, errVersionWithdrawn) || errors.Is(err, errWeightsExpired) {
			return &failure{canTryOther: true, reason: "the target may not be used any more", cause: err}
		}
		if !errors.Is(err, targetconn.ErrTooManyConnections) && !errors.Is(err, context.Canceled) {
			wait = f.Placer.RecordConnectFailure(t, time.Now())
			f.LoadReporter.ReportDown(t.Key())
		}
		return &failure{canTryOther: true, reason: "no connection", cause: err, retryAfter: wait}
	}
	switch {
	case failed != nil && failed.IsAckTimeout():
		f.Placer.RecordConnectFailure(t, time.Now())
		f.LoadReporter.ReportDown(t.Key())
	case !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded):
		f.Placer.RecordFailure(t, time.Now())
	}
	return &failure{requestSent: true, mayHaveRun: true, canTryOther: true, reason: "no response", cause: err}
}

// classifyRefusal handles a response which states that the target did not run
// the request. Status 421 (Misdirected Request) means that the target has
// another identity or other weights; it does not count as an attempt. Status
// 400 is final.
func (f *ForwardFilter) classifyRefusal(ex *Exchange, t *target.Target, response *targetconn.Response, metadata ResponseMetadata) *failure {
	response.Drain(maxDrainBytes, maxDrainTime)
	failed := &failure{requestSent: true, canTryOther: true, retryAfter: refusalBackoff, reason: "refused by the target"}
	if response.StatusCode == http.StatusMisdirectedRequest {
		ex.Attempts--
		failed.reason = "the target has other weights"
		if metadata.InstanceID != "" && metadata.InstanceID != t.ID {
			failed.reason = "another target has the address"
			f.Targets.MarkReplaced(t)
		}
		f.Placer.RecordBusy(t, refusalBackoff, time.Now())
		return failed
	}
	if response.StatusCode == http.StatusBadRequest {
		failed.canTryOther = false
		return failed
	}
	f.Placer.RecordBusy(t, refusalBackoff, time.Now())
	return failed
}

// recordResponse records the load, the weight version and the notice about new work
// that a response states.
func (f *ForwardFilter) recordResponse(t *target.Target, metadata ResponseMetadata) {
	if metadata.InstanceID != "" && metadata.InstanceID != t.ID {
		return // another target at the address
	}
	f.Targets.RecordNotice(t, metadata.Notice)
	if metadata.Notice.Leaving {
		f.LoadReporter.ReportLeaving(t.Key())
	}
	if metadata.Load != nil {
		t.Live.RecordLoad(*metadata.Load, time.Now())
		f.LoadReporter.ReportLoad(t.Key(), *metadata.Load)
	}
	if metadata.WeightVersion != "" && t.IsEngine {
		f.Targets.RecordReportedVersion(t, metadata.WeightVersion)
	}
}

// idleTimer cancels an attempt whose target sends nothing.
type idleTimer struct {
	timer  *time.Timer
	gap    time.Duration
	target *target.Target
}

// startIdleTimer starts the idle timer of an attempt. An attempt that no other
// target may take over gets no timer and waits until its deadline. A target
// that responds to other requests meanwhile is busy and will get to this one,
// so the timer starts again.
func (f *ForwardFilter) startIdleTimer(ex *Exchange, t *target.Target, cancel context.CancelCauseFunc) *idleTimer {
	s := &idleTimer{gap: eventGapTimeoutFactor * ex.Route.MaxEventGap, target: t}
	limit := ex.Route.MaxAttempts
	if !ex.Repeatable() || limit != 0 && ex.Attempts+1 >= limit {
		return s
	}
	objective := ex.Route.Objective.FirstToken
	if objective <= 0 {
		objective = defaultFirstTokenObjective
	}
	since, wait := time.Now(), firstEventTimeoutFactor*objective
	// The function uses s.timer, so the first timeout is set only after s.timer is
	// assigned.
	s.timer = time.AfterFunc(time.Until(ex.Deadline)+wait, func() {
		if !t.Live.SeenSince(since) {
			cancel(errTargetSilent)
			return
		}
		since = time.Now()
		s.timer.Reset(wait)
	})
	s.timer.Reset(wait)
	return s
}

// reset marks the target as responding and restarts the timer after an event.
func (s *idleTimer) reset() {
	s.target.Live.MarkSeen(time.Now())
	if s.timer != nil && s.gap > 0 {
		s.timer.Reset(s.gap)
	}
}

func (s *idleTimer) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
