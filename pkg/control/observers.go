package control

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// observersPerTarget is the number of instances that read the state of a target
// each second. If one is lost, the other still reads it.
const observersPerTarget = 2

// observerAssignment selects the targets that one instance observes, by
// rendezvous hashing over the live instances. Instances that disagree on who is
// live may leave a target without an observer; other instances then read it
// once its last confirmation is stale. It is not safe for concurrent use.
type observerAssignment struct {
	peersDigest   uint64 // of the IDs for which assigned was computed
	targetsDigest uint64
	assigned      map[string]bool
}

// assign returns the IDs of the targets that self observes. It sorts peers in
// place and caches the result until the IDs change.
func (o *observerAssignment) assign(self string, peers, targets []string) map[string]bool {
	sort.Strings(peers)
	peersDigest, targetsDigest := digestIDs(peers), digestIDs(targets)
	if o.assigned != nil && o.peersDigest == peersDigest && o.targetsDigest == targetsDigest {
		return o.assigned
	}
	o.peersDigest, o.targetsDigest, o.assigned = peersDigest, targetsDigest, make(map[string]bool)
	selfHash := xxhash.Sum64String(self)
	hashes := make([]uint64, len(peers))
	for i, id := range peers {
		hashes[i] = xxhash.Sum64String(id)
	}
	for _, id := range targets {
		if rankForTarget(selfHash, hashes, xxhash.Sum64String(id)) < observersPerTarget {
			o.assigned[id] = true
		}
	}
	return o.assigned
}

// rankForTarget returns the number of peers with a higher hash than self for a
// target, up to observersPerTarget.
func rankForTarget(self uint64, peers []uint64, target uint64) int {
	own, before := mix(self^target), 0
	for _, p := range peers {
		if mix(p^target) > own {
			before++
			if before == observersPerTarget {
				break
			}
		}
	}
	return before
}

// mix is the finaliser of SplitMix64. Without it, the order of two instances
// would be correlated between targets.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// digestIDs returns a hash of ids in their order.
func digestIDs(ids []string) uint64 {
	d := xxhash.New()
	for _, id := range ids {
		_, _ = d.WriteString(id)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// LivePeerIDs returns the IDs of the peers that are neither failing nor
// leaving. A listed peer counts before its first contact: in a large fleet
// contact with all takes minutes, in which a started instance would otherwise
// read all targets.
func (c *PeerTracker) LivePeerIDs() []string {
	seen := map[string]bool{c.Self.ID: true}
	var ids []string
	for _, p := range c.PeerSet().Peers {
		if p.ID == "" || p.Leaving || !p.FailedSince.IsZero() || seen[p.ID] {
			continue
		}
		seen[p.ID] = true
		ids = append(ids, p.ID)
	}
	return ids
}
