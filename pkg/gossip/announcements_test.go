package gossip

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// An instance that does not know when weights were announced must learn it from a
// single datagram of another instance, and must still read load reports.
func TestAnnouncementsReachOtherInstances(t *testing.T) {
	want := Announcement{Model: "m", Version: "3", Age: 6500 * time.Millisecond}
	sender := &Gossip{Announcements: func(maxAge time.Duration) []Announcement {
		assert.Equal(t, maxAge, MaxAnnouncementAge)
		return []Announcement{want}
	}, Log: hclog.NewNullLogger()}
	payload, err := sender.announcementPayload()
	assert.NilError(t, err)
	var got []Announcement
	receiver := &Gossip{OnAnnouncement: func(a Announcement) { got = append(got, a) }, Log: hclog.NewNullLogger()}
	receiver.handleDatagram(payload, time.Now())
	assert.DeepEqual(t, got, []Announcement{want})

	var old datagram
	assert.Assert(t, !receiver.handleAnnouncements([]byte("garbage")))
	assert.Assert(t, cborUnmarshalFails(payload, &old), "an instance without announcements would read them as load reports")
}

func cborUnmarshalFails(payload []byte, into *datagram) bool {
	return cbor.Unmarshal(payload, into) != nil || into.Version != version
}
