package gateway

import "lacewingwheel.example/lacewingwheel/pkg/target"

// leastLoaded picks the target with the fewest requests in flight. It keeps no
// state, so that its picks are predictable in tests of other filters.
type leastLoaded struct {
	Targets TargetSource
}

// Pick implements TargetPicker.
func (p *leastLoaded) Pick(ex *Exchange, exclude map[string]bool) *target.Target {
	var best *target.Target
	var bestWork int64
	for _, t := range p.Targets.TargetSet().Targets {
		if exclude[t.ID] || !canServeRequest(t, ex) {
			continue
		}
		work := t.Live.InFlight.Load()
		if best == nil || work < bestWork {
			best, bestWork = t, work
		}
	}
	return best
}
