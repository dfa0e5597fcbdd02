package control

import "github.com/cespare/xxhash/v2"

// platformReaders is the number of instances that read from the platform what
// all need: the platform's rates grow more slowly than the fleet.
const platformReaders = 8

// Spared reports whether at least platformReaders other instances come before
// this one by the hash of their ids. Each of them must have been heard of
// lately, so that an instance that is cut off from its peers reads itself.
func (c *Instances) Spared() bool {
	own, before := mix(xxhash.Sum64String(c.Self.ID)), 0
	for _, p := range c.Set().Peers {
		if p.Incarnation == "" || p.Leaving || !p.FailedSince.IsZero() {
			continue
		}
		if mix(xxhash.Sum64String(p.ID)) > own {
			before++
		}
	}
	return before >= platformReaders
}
