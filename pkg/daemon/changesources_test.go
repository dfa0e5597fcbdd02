package daemon

import (
	"fmt"
	"slices"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/state"
)

// With readers in each zone the calls to the store grew with the zones: 12 instances of
// 295 read every change. All instances must agree on a few readers.
func TestFewInstancesReadTheStore(t *testing.T) {
	for _, c := range []struct{ instances, zones, readers, relays int }{{7, 4, 1, 0}, {30, 4, 1, 0}, {79, 4, 1, 4}, {295, 6, 2, 12}} {
		members := make([]state.Member, c.instances)
		for i := range members {
			members[i] = state.Member{Name: fmt.Sprintf("edge-%d", i), Zone: fmt.Sprintf("zone-%d", i%c.zones), ExchangeAddress: fmt.Sprintf("10.0.0.%d:1", i), Cores: 0.4}
		}
		readers, relays := 0, 0
		for _, self := range members {
			m := state.NewMembers(nil, clock.System{}, self, true, hclog.NewNullLogger())
			m.SetList(members)
			sources := (&dutyRanking{members: m}).changeSources()
			isReader := slices.Contains(sources.Addresses[:sources.Count], "")
			switch {
			case sources.IsRelay:
				assert.Assert(t, !isReader)
				relays++
			case isReader:
				readers++
			}
		}
		assert.Equal(t, readers, c.readers, "readers of %d instances", c.instances)
		assert.Assert(t, relays >= c.relays-2 && relays <= c.relays, "%d relays of %d instances", relays, c.instances)
	}
}
