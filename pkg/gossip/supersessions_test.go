package gossip

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
)

// supersessionPair returns an instance that asks and one that knows that version 2
// was the newest until 6.5 s ago. Their boot clocks differ.
func supersessionPair(got *[]Supersession) (asking, knowing *Gossip, askingClock, knowingClock *clock.Fake) {
	askingClock, knowingClock = clock.NewFake(time.Now()), clock.NewFake(time.Now())
	askingClock.Advance(time.Hour)
	knowingClock.Advance(50 * time.Hour)
	log := hclog.NewNullLogger()
	asking = &Gossip{AsksSupersessions: func() bool { return true }, OnSupersession: func(s Supersession) { *got = append(*got, s) }, Clock: askingClock, Log: log}
	after := knowingClock.Elapsed() - 6500*time.Millisecond
	knowing = &Gossip{Supersessions: func(time.Duration) []Supersession { return []Supersession{{Model: "m", Version: "2", After: after}} }, Clock: knowingClock, Log: log}
	return asking, knowing, askingClock, knowingClock
}

// A datagram may wait at a stopped instance. What it says must not seem younger by
// that time, or superseded weights are used for too long.
func TestSupersessionDoesNotAgeOnTheWay(t *testing.T) {
	for _, c := range []struct {
		name                  string
		queryWaits, replyWait time.Duration
		want                  time.Duration // age of the supersession at the query, as the asking instance sees it
	}{
		{"at once", 0, 0, 6500 * time.Millisecond},
		{"reply waits at the stopped asking instance", 0, 6 * time.Second, 6500 * time.Millisecond},
		{"query waits at the stopped knowing instance", 5 * time.Second, 0, 11500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got []Supersession
			asking, knowing, askingClock, knowingClock := supersessionPair(&got)
			advance := func(d time.Duration) { askingClock.Advance(d); knowingClock.Advance(d) }
			payloads := asking.datagrams(time.Now())
			assert.Equal(t, len(payloads), 1)
			askedAt := askingClock.Elapsed()
			advance(c.queryWaits)
			var reply []byte
			assert.Assert(t, knowing.handleSupersessions(payloads[0], func(payload []byte) { reply = payload }))
			advance(c.replyWait)
			assert.Assert(t, asking.handleSupersessions(reply, nil))
			assert.DeepEqual(t, got, []Supersession{{Model: "m", Version: "2", After: askedAt - c.want}})
		})
	}
}

// Replies to queries of a process before its restart, and other datagrams, must not
// be taken for supersessions, nor these for load reports.
func TestForeignDatagramsAreNotSupersessions(t *testing.T) {
	var got []Supersession
	asking, knowing, askingClock, _ := supersessionPair(&got)
	for _, stamp := range []time.Duration{askingClock.Elapsed() + time.Second, askingClock.Elapsed() - MaxSupersessionAge - time.Second} {
		reply := knowing.replyToQuery(supersessionQuery{StampUS: stamp.Microseconds()})
		assert.Assert(t, asking.handleSupersessions(reply, nil))
	}
	assert.Equal(t, len(got), 0)
	assert.Assert(t, !asking.handleSupersessions([]byte("garbage"), nil))
	for _, payload := range [][]byte{asking.datagrams(time.Now())[0], knowing.replyToQuery(supersessionQuery{StampUS: 1})} {
		var d datagram
		assert.Assert(t, cbor.Unmarshal(payload, &d) != nil || d.Version != version, "an older instance would read it as load reports")
	}
}
