package state

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// defaultCores stands for instances that do not say what they may use.
const defaultCores = 0.25

// RendezvousRank sorts instances into the order in which they take on a duty of the
// given name: by a rendezvous hash in which an instance with twice the processor
// comes first twice as often. It is the same on all instances that know of the
// same ones. Instances that answer no requests are left out.
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
		// A uniform number above zero and at most one.
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
