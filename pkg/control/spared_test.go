package control

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards the platform against reads that grow with the fleet, and against a
// fleet in which nobody reads: of any number of instances that know each other,
// the same few are not spared.
func TestPlatformReadersAreBounded(t *testing.T) {
	for _, fleet := range []int{1, 8, 9, 410} {
		readers := 0
		for own := range fleet {
			c := &Instances{Self: Self{ID: fmt.Sprint("r", own)}}
			c.set.Store(peersOf(fleet, own))
			if !c.Spared() {
				readers++
			}
		}
		assert.Equal(t, readers, min(fleet, platformReaders))
	}
	cutOff := &Instances{Self: Self{ID: "r0"}}
	cutOff.set.Store(&PeerSet{Peers: []*Peer{{ID: "r1", Address: "a"}}})
	assert.Assert(t, !cutOff.Spared())
}

func peersOf(fleet, own int) *PeerSet {
	set := &PeerSet{}
	for n := range fleet {
		if n != own {
			set.Peers = append(set.Peers, &Peer{ID: fmt.Sprint("r", n), Address: fmt.Sprint(n), Incarnation: "i"})
		}
	}
	return set
}
