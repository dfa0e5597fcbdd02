package gateway

import (
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// TargetSource returns the known targets.
type TargetSource interface {
	Set() *target.Set
}

// CanServe reports whether a target can take the request, or the rest of it if
// the caller already has a part.
func CanServe(t *target.Target, ex *Exchange) bool {
	return Usable(t, ex.Pool) && (ex.Position == 0 || t.CanResume)
}

// Usable reports whether a target can take a request of the pool.
func Usable(t *target.Target, pool *tables.Pool) bool {
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
