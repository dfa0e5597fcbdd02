package control

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// observersPerTarget is the number of instances that read a target each second.
// With two, the loss of one leaves the other.
const observersPerTarget = 2

// observers chooses the targets that one instance reads, by rendezvous hashing
// over the live instances. Instances with different views of who is live read
// more or fewer targets; those that nobody reads are found by their age.
type observers struct {
	instances uint64 // digest of the ids that the choice was made for
	targets   uint64
	own       map[string]bool
}

// choose returns the ids of the targets that self observes.
func (o *observers) choose(self string, peers, targets []string) map[string]bool {
	sort.Strings(peers)
	instancesDigest, targetsDigest := digestIDs(peers), digestIDs(targets)
	if o.own != nil && o.instances == instancesDigest && o.targets == targetsDigest {
		return o.own
	}
	o.instances, o.targets, o.own = instancesDigest, targetsDigest, make(map[string]bool)
	selfHash := xxhash.Sum64String(self)
	hashes := make([]uint64, len(peers))
	for i, id := range peers {
		hashes[i] = xxhash.Sum64String(id)
	}
	for _, id := range targets {
		if rank(selfHash, hashes, xxhash.Sum64String(id)) < observersPerTarget {
			o.own[id] = true
		}
	}
	return o.own
}

// rank counts the peers that come before self for a target.
func rank(self uint64, peers []uint64, target uint64) int {
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

// mix is the finalizer of SplitMix64. Without it, the order of two instances
// would be related between targets.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func digestIDs(ids []string) uint64 {
	d := xxhash.New()
	for _, id := range ids {
		_, _ = d.WriteString(id)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// LivePeerIDs returns the ids of the other instances that are not known to be gone or
// leaving. A listed one counts before the first contact: in a large fleet that
// takes minutes, in which a started instance would otherwise read all targets.
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
