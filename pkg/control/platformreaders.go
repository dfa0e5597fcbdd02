package control

import "github.com/cespare/xxhash/v2"

// platformReadersPerZone is the number of instances of each zone that read
// shared state from the platform, so that its load does not grow with the
// fleet. They are elected per zone, so that a zone that is cut off from the
// others still has readers.
const platformReadersPerZone = 3

// PeersReadPlatform reports whether at least platformReadersPerZone peers of
// this zone come before this instance by the hash of their IDs, so that it need
// not read from the platform itself. Only peers that have been in contact and
// do not fail count, so that an instance that is cut off from its peers reads
// itself.
func (c *PeerTracker) PeersReadPlatform() bool {
	own, before := mix(xxhash.Sum64String(c.Self.ID)), 0
	for _, p := range c.PeerSet().Peers {
		if p.Incarnation == "" || p.Leaving || !p.FailedSince.IsZero() || p.Zone != c.Self.Zone {
			continue
		}
		if mix(xxhash.Sum64String(p.ID)) > own {
			before++
		}
	}
	return before >= platformReadersPerZone
}
