package state

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// defaultCores is assumed for instances that do not state their cores.
const defaultCores = 0.25

// RendezvousRank returns the instances in the order in which they take on a duty,
// such as that of a broker of limits or a reader of the store. duty is its name. It
// uses weighted rendezvous hashing: an instance with twice the cores comes first
// about twice as often. Instances with the same list compute
// the same order. Instances without an exchange address are left out.
func RendezvousRank(duty string, members []Member) []Member {
	type ranked struct {
		member Member
		score  float64
	}
	order := make([]ranked, 0, len(members))
	for _, m := range members {
		if m.ExchangeAddress == "" {
			continue
		}
		cores := m.Cores
		if cores <= 0 {
			cores = defaultCores
		}
		// Uniformly distributed in (0, 1].
		u := (float64(xxhash.Sum64String(duty+"\x00"+m.Name)>>11) + 1) / (1 << 53)
		order = append(order, ranked{m, -math.Log(u) / cores})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		switch {
		case a.score < b.score:
			return -1
		case a.score > b.score:
			return 1
		}
		return 0
	})
	out := make([]Member, len(order))
	for i, r := range order {
		out[i] = r.member
	}
	return out
}
