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

// PrefixPicker picks the target that should answer first, given what it is
// expected to have cached and to have queued.
type PrefixPicker struct {
	Targets TargetSource
	Chooser *choice.Chooser
	// InstanceCount returns how many instances share the traffic; nil means one.
	InstanceCount func() int

	mu    sync.Mutex
	set   *target.Set
	views map[viewKey]*choice.View
	// digests holds slices that are reused between requests.
	digests sync.Pool
}

// viewKey names a view: the targets of a pool, or those of them that can
// resume a stream.
type viewKey struct {
	pool   *tables.Pool
	resume bool
}

// Pick implements TargetPicker. Targets in exclude have failed the request; the last
// of them, which is still set in ex, is reported to the circuit breaker here,
// unless no other target is left: the request then ends and ObserveResult reports it.
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
	p.Chooser.RecordResult(ex.Target, resultOf(ex, err), time.Now())
}

func resultOf(ex *Exchange, err error) choice.Result {
	var failure *apierr.Error
	switch {
	case err == nil:
		return choice.Succeeded
	case errors.Is(context.Cause(ex.Context()), context.Canceled):
		return choice.Inconclusive // the caller has gone
	case errors.As(err, &failure) && failure.Code == apierr.CodeTargetFailed:
		return choice.Failed
	}
	return choice.Inconclusive
}

// choiceRequest cuts the prompt. The digests are valid until buf is reused.
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

// view returns the targets of a pool. Views last until the set of targets
// changes. A pool of an older snapshot has another address, and its view goes
// with the next change of the set.
func (p *PrefixPicker) view(ex *Exchange, now time.Time) *choice.View {
	if set := p.Targets.Set(); set != p.set || p.views == nil {
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
