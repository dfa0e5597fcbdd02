package callerconn

import (
	"expvar"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// The requests of one organisation, each small and waiting for its answer until its deadline, took all memory for
// callers, so that no other organisation was served meanwhile.
func TestOneOrganisationLeavesMemoryToOthers(t *testing.T) {
	l := New(Limits{Memory: testMemory}, hclog.NewNullLogger(), func(string, expvar.Var) {})
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	var releases []func()
	hold := func(owner string) bool {
		reservation := l.budget.For(causeHead)
		if !reservation.Grow(headCost(r)) {
			return false
		}
		holding, err := l.HoldFor(owner, r)
		if err != nil {
			reservation.Release()
			return false
		}
		releases = append(releases, func() { holding.Release(); reservation.Release() })
		return true
	}
	for hold("large") {
	}
	assert.Assert(t, l.budget.Used() > l.budget.Total()/ownerDivisor, "refused in calm")
	for range 10 {
		assert.Assert(t, hold("small"))
	}
	assert.Assert(t, !hold("large"))
	for _, release := range releases {
		release()
	}
	assert.Equal(t, l.budget.Used(), int64(0))
	assert.Equal(t, len(l.byOwner), 0)
}
