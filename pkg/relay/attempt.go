package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/cachedir"
	"lacewingwheel.example/lacewingwheel/pkg/placement"
	"lacewingwheel.example/lacewingwheel/pkg/target"
	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
)

// errSilent ends an attempt whose target sends nothing, where another target
// can take the request over.
var errSilent = errors.New("the target sent nothing for too long")

const (
	// silenceFactor is the number of objectives after which a repeatable
	// request is taken to another target. Source: callers abandon a stream
	// after four times the objective, so half of that leaves time for one more.
	silenceFactor = 2
	// gapFactor is the number of the route's longest pauses after which a
	// stream that has begun is taken to another target. Source: callers
	// abandon a stream after eight such pauses.
	gapFactor = 4
	// defaultObjective stands for routes that state none.
	defaultObjective = time.Second
)

// attempt sends the request to one target. It returns nil once the caller has a
// whole answer.
func (f *ForwardFilter) attempt(ex *Exchange, r *placement.Request, choice placement.Choice) *failure {
	t := choice.Target
	ctx, cancel := context.WithCancelCause(ex.Context())
	defer cancel(nil)
	silence := f.silenceTimer(ex, t, cancel)
	defer silence.stop()

	now := time.Now()
	t.Live.InFlight.Add(1)
	t.Live.InFlightTokens.Add(int64(r.PromptTokens + r.MaxOutputTokens))
	f.Placer.RecordSent(t, r, choice.UncachedTokens, now)
	started := false
	start := func() {
		if !started {
			started = true
			f.Placer.RecordFirstEvent(t, choice.UncachedTokens)
		}
	}
	defer func() {
		start()
		t.Live.InFlight.Add(-1)
		t.Live.InFlightTokens.Add(-int64(r.PromptTokens + r.MaxOutputTokens))
	}()

	before := ex.MayHaveRun
	ex.MayHaveRun = true
	ex.Attempts++
	response, err := f.Conns.Do(ctx, f.destination(ex, t), f.outgoing(ex, choice))
	if err != nil {
		failed := f.connectionFailed(t, err)
		if !failed.sent {
			ex.MayHaveRun = before
			ex.Attempts--
		}
		return failed
	}
	defer response.Release()
	answer := f.Dialect.ParseResponseHeader(response.StatusCode, response.Header)
	f.learn(t, answer)
	if answer.NotRun {
		ex.MayHaveRun = before
		return f.refused(ex, t, response, answer)
	}
	if !answer.FromTarget || response.Header.Get("Content-Encoding") != "" {
		f.Placer.RecordFailure(t, time.Now())
		return &failure{sent: true, ran: true, elsewhere: true, reason: "response without the target's signature"}
	}
	var failed *failure
	if ex.Route.Streaming && response.StatusCode == http.StatusOK {
		failed = f.relayEvents(ex, response, silence, start)
	} else {
		failed = f.relayWhole(ex, response)
	}
	if failed == nil {
		f.Placer.RecordSuccess(t)
	} else {
		f.Placer.RecordFailure(t, time.Now())
	}
	return failed
}

// destination gives this instance its part of the connections that the target
// accepts from all instances.
func (f *ForwardFilter) destination(ex *Exchange, t *target.Target) targetconn.Destination {
	limit := 0
	if ex.Pool.MaxConnections > 0 {
		limit = max(1, ex.Pool.MaxConnections/max(1, f.InstanceCount()))
	}
	return targetconn.Destination{Key: t.Key(), Address: t.Address, MaxConns: limit}
}

func (f *ForwardFilter) outgoing(ex *Exchange, choice placement.Choice) *targetconn.Request {
	t := choice.Target
	i := &ForwardOptions{
		Timeout:     time.Until(ex.Deadline),
		InstanceID:  t.ID,
		LastEventID: ex.Metadata.LastEventID,
	}
	if ex.Organisation != nil {
		i.Organisation = ex.Organisation.Name
	}
	if t.IsEngine && t.WeightVersion != "" && ex.Metadata.Model == t.Model {
		i.WeightVersion = t.WeightVersion
		i.EnginePriority = urgency(ex)
		i.CacheSalt = t.WeightVersion + "." + isolation(ex)
		f.useCaches(ex, choice, i)
	}
	f.RequestLog.RecordPlacement(choice, i)
	path := ex.Request.RequestURI
	if path == "" || path[0] != '/' {
		path = ex.Request.URL.RequestURI()
	}
	id := ex.Metadata.ID
	return &targetconn.Request{
		Method: ex.Request.Method, Path: path, Host: ex.Request.Host,
		Header: f.Dialect.TargetHeader(ex.Request.Header, i), Body: ex.Body,
		MatchesResponse: func(h http.Header) bool {
			return f.Dialect.ParseResponseHeader(0, h).RequestID == id
		},
	}
}

// useCaches says where the target finds cached parts of the prompt, and whether
// it shall save them. Only prompts whose shared parts the store lacks are
// saved: their last part is saved with them and takes room.
func (f *ForwardFilter) useCaches(ex *Exchange, choice placement.Choice, i *ForwardOptions) {
	if len(ex.Metadata.PromptParts) < 2 {
		return
	}
	if choice.CacheSource != nil {
		i.FetchCacheFrom = choice.CacheSource.Address
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
	tokens := 0
	for n, part := range shared {
		keys[n] = cachedir.Key{Salt: i.CacheSalt, Part: part.ID}
		tokens += part.Tokens
	}
	switch kept := directory.CachedPrefixLen(keys); {
	case kept == len(keys):
		if choice.IsHome || choice.CacheSource == nil {
			i.FetchCacheFrom = store
		}
	case tokens >= minSavedTokens:
		i.SaveCacheTo = store
		directory.MarkSaving(keys)
	}
}

// minSavedTokens is the size of the shared parts from which they are saved:
// smaller ones are read again faster than they are fetched.
const minSavedTokens = 600

// connectionFailed judges a request that got no response header.
func (f *ForwardFilter) connectionFailed(t *target.Target, err error) *failure {
	var failed *targetconn.Error
	if errors.As(err, &failed) && failed.Stage == targetconn.StageConnect {
		wait := time.Duration(0)
		if !errors.Is(err, targetconn.ErrTooManyConnections) && !errors.Is(err, context.Canceled) {
			wait = f.Placer.RecordConnectFailure(t, time.Now())
			f.LoadReporter.ReportDown(t.Key())
		}
		return &failure{elsewhere: true, reason: "no connection", cause: err, wait: wait}
	}
	switch {
	case failed != nil && failed.IsAckTimeout():
		f.Placer.RecordConnectFailure(t, time.Now())
		f.LoadReporter.ReportDown(t.Key())
	case !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded):
		f.Placer.RecordFailure(t, time.Now())
	}
	return &failure{sent: true, ran: true, elsewhere: true, reason: "no response", cause: err}
}

// refused judges a response that states that the request has not run.
func (f *ForwardFilter) refused(ex *Exchange, t *target.Target, response *targetconn.Response, answer ResponseMetadata) *failure {
	drain(response)
	failed := &failure{sent: true, elsewhere: true, wait: busyPause, reason: "refused by the target"}
	if response.StatusCode == http.StatusMisdirectedRequest {
		ex.Attempts--
		failed.reason = "the target has other weights"
		if answer.InstanceID != "" && answer.InstanceID != t.ID {
			failed.reason = "another target has the address"
			f.Targets.MarkReplaced(t)
		}
		f.Placer.RecordBusy(t, busyPause, time.Now())
		return failed
	}
	if response.StatusCode == http.StatusBadRequest {
		failed.elsewhere = false
		return failed
	}
	f.Placer.RecordBusy(t, busyPause, time.Now())
	return failed
}

// learn takes in what every response says about its target.
func (f *ForwardFilter) learn(t *target.Target, answer ResponseMetadata) {
	if answer.Load != nil {
		t.Live.RecordLoad(*answer.Load, time.Now())
		f.LoadReporter.ReportLoad(t.Key(), *answer.Load)
	}
	if answer.WeightVersion != "" && t.IsEngine {
		f.Targets.RunsVersion(t, answer.WeightVersion)
	}
}

// silence ends an attempt whose target sends nothing.
type silence struct {
	timer  *time.Timer
	gap    time.Duration
	target *target.Target
}

// silenceTimer returns the timer of an attempt. Requests that no other target
// may take over wait until their deadline. So do requests to a target that
// answers others meanwhile: it is busy, and reads the prompt in its turn.
func (f *ForwardFilter) silenceTimer(ex *Exchange, t *target.Target, cancel context.CancelCauseFunc) *silence {
	s := &silence{gap: gapFactor * ex.Route.EventGap, target: t}
	limit := ex.Route.MaxAttempts
	if !ex.Repeatable() || limit != 0 && ex.Attempts+1 >= limit {
		return s
	}
	objective := ex.Route.Objective.FirstToken
	if objective <= 0 {
		objective = defaultObjective
	}
	since, wait := time.Now(), silenceFactor*objective
	// Set before it runs: the function refers to the timer itself.
	s.timer = time.AfterFunc(time.Until(ex.Deadline)+wait, func() {
		if !t.Live.SeenSince(since) {
			cancel(errSilent)
			return
		}
		since = time.Now()
		s.timer.Reset(wait)
	})
	s.timer.Reset(wait)
	return s
}

// heard restarts the timer for the next event.
func (s *silence) heard() {
	s.target.Live.MarkSeen(time.Now())
	if s.timer != nil && s.gap > 0 {
		s.timer.Reset(s.gap)
	}
}

func (s *silence) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
