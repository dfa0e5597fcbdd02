package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards the platform against reads that grow with the fleet, and against a
// fleet or a zone in which nobody reads: of any number of instances that know
// each other, the same few of each zone are not spared.
func TestPlatformReadersAreBounded(t *testing.T) {
	const zones = 4
	for _, fleet := range []int{1, 8, 16, 410} {
		readers := make(map[string]int)
		for own := range fleet {
			c := &PeerTracker{Self: InstanceIdentity{ID: fmt.Sprint("r", own), Zone: zoneOf(own, zones)}}
			c.set.Store(peersOf(fleet, own, zones))
			if !c.PeersReadPlatform() {
				readers[c.Self.Zone]++
			}
		}
		assert.Equal(t, len(readers), min(fleet, zones))
		for zone, n := range readers {
			assert.Assert(t, n <= platformReaders && n >= min(platformReaders, fleet/zones), "zone %s of %d: %d", zone, fleet, n)
		}
	}
}

// Guards against an instance that relies on readers it has never heard of, or
// that do not answer, or that are in another zone.
func TestUnreachableReadersDoNotSpare(t *testing.T) {
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

func peersOf(fleet, own, zones int) *PeerSet {
	set := &PeerSet{}
	for n := range fleet {
		if n != own {
			set.Peers = append(set.Peers, &Peer{ID: fmt.Sprint("r", n), Address: fmt.Sprint(n), Incarnation: "i", Zone: zoneOf(n, zones)})
		}
	}
	return set
}
