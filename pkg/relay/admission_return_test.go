package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/admission"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// All callers that an organisation over its rate was refused came back after 20 ms, when
// there were tokens for one of them.
func TestCallersBeyondTheRateReturnOneAfterAnother(t *testing.T) {
	a := &Admission{Usage: admission.NewUsage(), InstanceCount: func() int { return 10 }}
	hot, other := &tables.Organisation{Name: "hot", Rate: 100_000}, &tables.Organisation{Name: "other", Rate: 100_000}
	previous := time.Duration(0)
	for n := range 5 {
		after := a.QuotaReturnAfter(hot, 10_000, 10*time.Millisecond) // a second of this instance's part
		assert.Assert(t, n == 0 && after < time.Second || after > previous+900*time.Millisecond, "%v after %v", after, previous)
		previous = after
	}
	assert.Assert(t, a.QuotaReturnAfter(other, 10_000, 10*time.Millisecond) < 100*time.Millisecond)
}
