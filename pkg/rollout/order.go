package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// parallelShare is the part of a pool's targets that load at the same time, as
// a divisor. Source: the engines' sheets; more at a time load more slowly.
const parallelShare = 5

// MaxParallelLoads returns how many of a pool's targets load weights at the same time.
func MaxParallelLoads(engines int) int { return max(1, engines/parallelShare) }

// SortByLoadOrder sorts the targets that are behind into the order in which they are
// brought to the newest weights: the oldest weights first, then by a hash. It
// is the same on every instance, so all can keep new requests away from the
// targets that are next without a word from the one that gives the orders.
func SortByLoadOrder(behind []*target.Target) {
	slices.SortFunc(behind, func(a, b *target.Target) int {
		return cmp.Or(
			cmp.Compare(len(a.WeightVersion), len(b.WeightVersion)), // versions are whole numbers
			cmp.Compare(a.WeightVersion, b.WeightVersion),
			cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)),
		)
	})
}
