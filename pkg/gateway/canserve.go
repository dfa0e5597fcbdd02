package gateway

import (
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// TargetSource provides the known targets. It must be safe for concurrent use.
type TargetSource interface {
	// TargetSet returns the current targets. A changed set is returned as a new pointer.
	TargetSet() *target.Set
}

// canServeRequest reports whether a target can serve the request or, if a part of
// the stream was already sent, resume it.
func canServeRequest(t *target.Target, ex *Exchange) bool {
	return canServePool(t, ex.Pool) && (ex.DeliveredPosition == 0 || t.CanResume)
}

// canServePool reports whether a target can serve requests of the pool: it is
// reachable, matches the selector and runs the pool's model, weight version and
// adapter.
func canServePool(t *target.Target, pool *tables.Pool) bool {
	if t.Leaving || !t.Reachable || !t.Matches(pool.Selector) {
		return false
	}
	if pool.Kind == tables.PoolService {
		return true
	}
	return (pool.Model == "" || t.Model == pool.Model) &&
		(pool.WeightVersion == "" || t.WeightVersion == pool.WeightVersion) &&
		(pool.Adapter == "" || t.Adapter == pool.Adapter)
}
