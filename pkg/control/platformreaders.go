package control

import "github.com/cespare/xxhash/v2"

// platformReaders is the number of instances of each zone that read from the
// platform what all need: its rates grow more slowly than the fleet. They are
// chosen per zone, so that a zone or region that is cut off still has some.
const platformReaders = 3

// PeersReadPlatform reports whether at least platformReaders other instances of the zone
// come before this one by the hash of their ids. Each of them must have been heard of
// lately, so that an instance that is cut off from its peers reads itself.
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
	return before >= platformReaders
}
