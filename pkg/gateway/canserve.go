package gateway

import (
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// TargetSource returns the known targets.
type TargetSource interface {
	Set() *target.Set
}

// canServeRequest reports whether a target can take the request, or the rest of it if
// the caller already has a part.
func canServeRequest(t *target.Target, ex *Exchange) bool {
	return canServePool(t, ex.Pool) && (ex.DeliveredPosition == 0 || t.CanResume)
}

// canServePool reports whether a target can take a request of the pool.
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
