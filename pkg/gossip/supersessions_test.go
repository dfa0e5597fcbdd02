package gossip

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// An instance that does not know when weights were superseded must learn it from a
// single datagram of another instance, and must still read load reports.
func TestSupersessionsReachOtherInstances(t *testing.T) {
	want := Supersession{Model: "m", Version: "3", Age: 6500 * time.Millisecond}
	sender := &Gossip{Supersessions: func(maxAge time.Duration) []Supersession {
		assert.Equal(t, maxAge, MaxSupersessionAge)
		return []Supersession{want}
	}, Log: hclog.NewNullLogger()}
	payloads := sender.datagrams(time.Now())
	assert.Equal(t, len(payloads), 1)
	payload := payloads[0]
	var got []Supersession
	receiver := &Gossip{OnSupersession: func(a Supersession) { got = append(got, a) }, Log: hclog.NewNullLogger()}
	receiver.handleDatagram(payload, time.Now())
	assert.DeepEqual(t, got, []Supersession{want})

	var old datagram
	assert.Assert(t, !receiver.handleSupersessions([]byte("garbage")))
	assert.Assert(t, cborUnmarshalFails(payload, &old), "an instance without supersessions would read them as load reports")
}

func cborUnmarshalFails(payload []byte, into *datagram) bool {
	return cbor.Unmarshal(payload, into) != nil || into.Version != version
}
