package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/choice"
	"lacewingwheel.example/lacewingwheel/pkg/prefix"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// PrefixPicker picks the target with the shortest expected time to first token,
// given the prefixes that it probably has cached and its queue.
type PrefixPicker struct {
	Targets TargetSource
	Chooser *choice.Chooser
	// InstanceCount returns how many instances share the traffic; nil means one.
	InstanceCount func() int

	mu    sync.Mutex
	set   *target.Set
	views map[viewKey]*choice.View
	// digests pools *[]uint64 buffers for the digests of prompts.
	digests sync.Pool
}

// viewKey identifies a view: the targets of a pool, or only those of them that
// can resume a stream.
type viewKey struct {
	pool   *tables.Pool
	resume bool
}

// Pick implements TargetPicker. On a retry it reports the failure of the last
// target, ex.Target, to the circuit breaker. If no target is left, the request
// ends and ObserveResult reports that failure instead.
func (p *PrefixPicker) Pick(ex *Exchange, exclude map[string]bool) *target.Target {
	buf, _ := p.digests.Get().(*[]uint64)
	if buf == nil {
		buf = new([]uint64)
	}
	defer p.digests.Put(buf)
	request := choiceRequest(ex, buf)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	picked := p.Chooser.Choose(p.view(ex, now), &request, exclude, now)
	if picked != nil && ex.Target != nil && exclude[ex.Target.ID] {
		p.Chooser.RecordResult(ex.Target, choice.Failed, now)
	}
	return picked
}

// ObserveResult implements ResultObserver.
func (p *PrefixPicker) ObserveResult(ex *Exchange, err error) {
	p.Chooser.RecordResult(ex.Target, classifyResult(ex, err), time.Now())
}

// classifyResult maps the end of a request to a result for the circuit breaker.
// Only failures of the target count against it.
func classifyResult(ex *Exchange, err error) choice.Result {
	var failure *apierr.Error
	switch {
	case err == nil:
		return choice.Succeeded
	case errors.Is(context.Cause(ex.Context()), context.Canceled):
		return choice.Inconclusive // the caller has disconnected
	case errors.As(err, &failure) && failure.Code == apierr.CodeTargetFailed:
		return choice.Failed
	}
	return choice.Inconclusive
}

// choiceRequest returns the input of the chooser. For an engine it includes the
// digests of the prompt's prefixes, which are stored in buf and valid until buf
// is reused.
func choiceRequest(ex *Exchange, buf *[]uint64) choice.Request {
	pool := ex.Pool
	request := choice.Request{TargetLimit: pool.TargetLimit, QueueWeight: pool.QueueWeight}
	if pool.Kind != tables.PoolEngine {
		return request
	}
	salt := prefix.Salt{
		Organisation: ex.OrganisationName(), Model: pool.Model,
		Adapter: pool.Adapter, WeightVersion: pool.WeightVersion,
	}
	if salt.Model == "" {
		salt.Model = ex.Generation.Model
	}
	*buf = prefix.AppendDigests((*buf)[:0], salt, ex.Generation.Prompt, prefix.PieceBytes(pool.PieceTokens, pool.BytesPerToken))
	request.Digests = *buf
	request.PieceTokens = pool.PieceTokens
	request.PromptTokens = int(float64(len(ex.Generation.Prompt)) / max(pool.BytesPerToken, 1e-3))
	return request
}

// view returns the usable targets of the request's pool. Views are cached until
// the set of targets changes. The key holds the pointer to the pool, so that a new
// configuration gets new views; the old ones are dropped with the next set. The
// caller must hold p.mu.
func (p *PrefixPicker) view(ex *Exchange, now time.Time) *choice.View {
	if set := p.Targets.TargetSet(); set != p.set || p.views == nil {
		p.Chooser.Sync(set, now)
		if p.InstanceCount != nil {
			p.Chooser.SetInstances(p.InstanceCount())
		}
		p.set, p.views = set, make(map[viewKey]*choice.View)
	}
	key := viewKey{pool: ex.Pool, resume: ex.DeliveredPosition > 0}
	view := p.views[key]
	if view == nil {
		view = p.Chooser.NewView(p.set, func(t *target.Target) bool { return canServeRequest(t, ex) })
		p.views[key] = view
	}
	return view
}
