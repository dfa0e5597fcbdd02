package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The load on the platform grows with the fleet if too many instances read from
// it. If no instance of a zone does, the zone misses changes. Of any number of
// instances that know each other, the same few of each zone must read.
func TestPlatformReadersAreBounded(t *testing.T) {
	const zones = 4
	for _, fleet := range []int{1, 8, 16, 410} {
		readers := make(map[string]int)
		for own := range fleet {
			c := &PeerTracker{Self: InstanceIdentity{ID: fmt.Sprint("r", own), Zone: zoneOf(own, zones)}}
			c.set.Store(peerSetWithout(fleet, own, zones))
			if !c.PeersReadPlatform() {
				readers[c.Self.Zone]++
			}
		}
		assert.Equal(t, len(readers), min(fleet, zones))
		for zone, n := range readers {
			assert.Assert(t, n <= platformReadersPerZone && n >= min(platformReadersPerZone, fleet/zones), "zone %s in a fleet of %d has %d readers", zone, fleet, n)
		}
	}
}

// An instance misses changes of the platform if it relies on readers that it
// was never in contact with, that do not answer, that are leaving, or that are
// in another zone.
func TestOnlyReachablePeersOfZoneCountAsReaders(t *testing.T) {
	reachable := Peer{Incarnation: "i", Zone: "a"}
	for name, change := range map[string]func(*Peer){
		"reachable":  func(*Peer) {},
		"unknown":    func(p *Peer) { p.Incarnation = "" },
		"failing":    func(p *Peer) { p.FailedSince = time.Unix(1, 0) },
		"leaving":    func(p *Peer) { p.Leaving = true },
		"other zone": func(p *Peer) { p.Zone = "b" },
	} {
		set := &PeerSet{}
		for n := range 100 {
			p := reachable
			p.ID = fmt.Sprint("r", n)
			change(&p)
			set.Peers = append(set.Peers, &p)
		}
		c := &PeerTracker{Self: InstanceIdentity{ID: "own", Zone: "a"}}
		c.set.Store(set)
		assert.Equal(t, c.PeersReadPlatform(), name == "reachable", name)
	}
}

func zoneOf(n, zones int) string { return fmt.Sprint("z", n%zones) }

// peerSetWithout returns a fleet as seen by the instance number own.
func peerSetWithout(fleet, own, zones int) *PeerSet {
	set := &PeerSet{}
	for n := range fleet {
		if n != own {
			set.Peers = append(set.Peers, &Peer{ID: fmt.Sprint("r", n), Address: fmt.Sprint(n), Incarnation: "i", Zone: zoneOf(n, zones)})
		}
	}
	return set
}
