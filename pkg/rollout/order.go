package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// parallelDivisor is the number of engines in a pool per concurrent load. Engines
// load more slowly when more of them load at the same time.
const parallelDivisor = 5

// MaxParallelLoads returns how many engines of a pool with the given number of
// engines may load weights at the same time, at least 1.
func MaxParallelLoads(engines int) int { return max(1, engines/parallelDivisor) }

// SortByLoadOrder sorts outdated targets in place into the order in which they
// load the newest weights: oldest weights first, then by a hash of the ID. All
// instances compute the same order, so each can keep new requests away from the
// next targets without messages from the lease holder.
func SortByLoadOrder(outdated []*target.Target) {
	slices.SortFunc(outdated, func(a, b *target.Target) int {
		return cmp.Or(
			target.CompareVersions(a.WeightVersion, b.WeightVersion),
			cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)),
		)
	})
}
