package relay_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

// promptHeader names a prompt with a shared part and one of its own.
var promptHeader = map[string]string{
	platformtest.HeaderModel: "model", platformtest.HeaderTokenCounts: "300,10", platformtest.HeaderPromptParts: "5c1e07a2:200,91bd3f06:100",
}

// newIsolationFixture returns a fixture with an engine and two organisations, whose keys are
// testKey and "key-of-two".
func newIsolationFixture(t *testing.T) (*fixture, *platformtest.Target) {
	testTarget := startTarget(t, "i-1")
	f := newFixture(t, testTarget)
	f.targets[0].IsEngine, f.targets[0].Model, f.targets[0].WeightVersion = true, "model", "1"
	f.isolate()
	return f, testTarget
}

// isolate puts a configuration in force that isolates the named organisations only.
func (f *fixture) isolate(names ...string) {
	next := f.withIsolated(names...)
	f.update(func() { f.snapshot = next })
}

// withIsolated returns the next configuration, which isolates the named organisations only.
func (f *fixture) withIsolated(names ...string) *tables.Snapshot {
	before := f.Snapshot()
	changed := *before.Tables
	changed.Organisations = []tables.Organisation{
		{Name: "one", DefaultCost: 10, Keys: []tables.APIKey{{Digest: tables.HashKey(testKey)}}},
		{Name: "two", DefaultCost: 10, Keys: []tables.APIKey{{Digest: tables.HashKey("key-of-two")}}},
	}
	for i := range changed.Organisations {
		changed.Organisations[i].HasIsolatedCache = slices.Contains(names, changed.Organisations[i].Name)
	}
	return tables.NewSnapshot(before.Generation+1, &changed)
}

// saltOf sends a request with the key and returns the cache salt that the target received.
func (f *fixture) saltOf(testTarget *platformtest.Target, key string) string {
	f.t.Helper()
	assert.Equal(f.t, f.send(callerRequest{path: "/stream/once/", key: key, header: promptHeader}).status, 200)
	all := testTarget.Requests()
	return all[len(all)-1].Header.Get(platformtest.HeaderSalt)
}

// After an organisation was isolated, requests of the others used the prompt parts that
// its requests had left at engines.
func TestPartsOfAnOrganisationThatIsIsolatedLaterStayUnused(t *testing.T) {
	f, testTarget := newIsolationFixture(t)
	common := f.saltOf(testTarget, testKey)
	assert.Equal(t, f.saltOf(testTarget, "key-of-two"), common)
	f.isolate("one")
	alone, others := f.saltOf(testTarget, testKey), f.saltOf(testTarget, "key-of-two")
	assert.Assert(t, alone != common && others != common && alone != others, "salts %q and %q after %q", alone, others, common)
	f.isolate()
	assert.Equal(t, f.saltOf(testTarget, testKey), f.saltOf(testTarget, "key-of-two"))
	f.isolate("one")
	assert.Equal(t, f.saltOf(testTarget, testKey), alone)
	assert.Equal(t, f.saltOf(testTarget, "key-of-two"), others)
}

// A request that was accepted before its organisation was isolated, and is sent afterwards,
// used the parts of other organisations.
func TestRequestAcceptedBeforeTheIsolationIsSentInItsOwnNamespace(t *testing.T) {
	f, testTarget := newIsolationFixture(t)
	before, isolated := f.saltOf(testTarget, testKey), f.withIsolated("one")
	f.update(func() {
		f.onList = func() { f.snapshot = isolated } // the target is chosen after the request was accepted
	})
	after := f.saltOf(testTarget, testKey)
	assert.Assert(t, after != before, "salt %q before and after", before)
	assert.Equal(t, f.saltOf(testTarget, testKey), after)
}

// Requests for a model other than the one that the list states for an engine carried no
// salt, which is one salt for all organisations.
func TestRequestForAnotherModelOfTheEngineIsIsolated(t *testing.T) {
	f, testTarget := newIsolationFixture(t)
	f.targets[0].Model = "first-model"
	f.isolate("one")
	alone, others := f.saltOf(testTarget, testKey), f.saltOf(testTarget, "key-of-two")
	assert.Assert(t, alone != "" && others != "" && alone != others, "salts %q and %q", alone, others)
	f.targets[0].IsEngine = false // the list states no model at all
	assert.Equal(t, f.saltOf(testTarget, testKey), alone)
	assert.Equal(t, f.saltOf(testTarget, "key-of-two"), others)
}
