package feed

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

func (f *fleet) waitForAll(name, value string, within time.Duration) {
	f.t.Helper()
	for _, x := range f.instances {
		x.waitForValue(name, value, within)
	}
}

// When a restored store returns, all instances that list at once overload it. The reader lists,
// and relays and the others get its list.
func TestRestoredStoreIsListedByItsReader(t *testing.T) {
	for _, start := range []struct {
		name  string
		fleet func(*testing.T, int) *fleet
	}{{"reader", startFleet}, {"reader and relays", startFleetWithRelays}} {
		t.Run(start.name, func(t *testing.T) {
			f := start.fleet(t, 12)
			f.store.put("kept", "1", false)
			f.waitForAll("kept", "1", testTimeout)
			for range 3 {
				time.Sleep(time.Second)
				f.store.put("lost", "1", false)
				f.waitForAll("lost", "1", testTimeout)
				before := f.store.lists.Load()
				f.store.restore(1)
				f.waitForAll("lost", "", 2*time.Second)
				f.store.put("later", "1", false)
				f.waitForAll("later", "1", 2*time.Second)
				lists := f.store.lists.Load() - before
				assert.Assert(t, lists <= 2, "%d lists by 12 instances", lists)
			}
		})
	}
}

// A reader that is cut off when the store is restored goes on to serve what it has. Instances
// that know of the restore must not take it, and the others must learn of the restore in time.
func TestReaderThatMissesARestore(t *testing.T) {
	f := startFleet(t, 3)
	f.store.put("kept", "1", false)
	f.store.put("lost", "1", false)
	f.waitForAll("lost", "1", testTimeout)
	f.instances[0].store.cut.Store(true)
	time.Sleep(300 * time.Millisecond) // longer than a watch of the store waits
	f.store.restore(1)
	f.store.put("later", "1", false)
	for _, x := range f.instances[1:] {
		x.waitForValue("lost", "", maxAge+2*time.Second)
		x.waitForValue("later", "1", maxAge+2*time.Second)
	}
	time.Sleep(500 * time.Millisecond)
	for _, x := range f.instances[1:] {
		x.waitForValue("lost", "", 0)
	}
	f.instances[0].store.cut.Store(false)
	f.instances[0].waitForValue("lost", "", testTimeout)
}

// configurationInstance is an instance with a configuration and the client of one other.
type configurationInstance struct {
	mu         sync.Mutex
	other      *configurationInstance
	generation uint64
	revision   uint64
	asked      int
	weights    map[string]string
}

func (x *configurationInstance) exchange() *ConfigurationExchange {
	return &ConfigurationExchange{Keeper: x, Client: x, Log: discardLog, Sources: func() Sources { return Sources{Addresses: []string{"", "other"}} },
		NewestVersions: func() map[string]string { return x.weights }, OnNewestVersions: func(weights map[string]string) { x.weights = weights }}
}

func (x *configurationInstance) NewerThan(generation uint64) (objectstore.Object, uint64, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return objectstore.Object{Version: x.revision, Value: []byte{byte(x.generation)}}, x.generation, x.generation > generation
}

func (x *configurationInstance) MergeNewer(revision uint64, value []byte) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.revision, x.generation = revision, uint64(value[0])
}

func (x *configurationInstance) FetchConfiguration(ctx context.Context, address string, body peer.ConfigurationBody) (peer.ConfigurationResponse, error) {
	x.asked++
	if address != "other" {
		return peer.ConfigurationResponse{}, errors.New("unknown address")
	}
	return x.other.exchange().Serve(ctx, body)
}

// silentClient answers for one address only.
type silentClient struct{ *configurationInstance }

func (c silentClient) FetchConfiguration(ctx context.Context, address string, body peer.ConfigurationBody) (peer.ConfigurationResponse, error) {
	if address == "other" {
		return c.configurationInstance.FetchConfiguration(ctx, address, body)
	}
	<-ctx.Done()
	return peer.ConfigurationResponse{}, ctx.Err()
}

// An instance that has ended is still listed for a while. A process that starts must not wait for
// its answer when others have answered.
func TestSilentInstanceDoesNotDelayAStart(t *testing.T) {
	x := &configurationInstance{other: &configurationInstance{generation: 8, revision: objectstore.Revision(1, 100)}, generation: 7}
	exchange := x.exchange()
	exchange.Client, exchange.Sources = silentClient{x}, func() Sources { return Sources{Addresses: []string{"gone", "", "other"}} }
	startedAt := time.Now()
	exchange.AskOthers(t.Context())
	assert.Equal(t, x.generation, uint64(8))
	assert.Assert(t, time.Since(startedAt) < askTimeout)
}

// A process that has only the configuration of a restored store must get a newer one from an
// instance that has it, and must not ask when it has the same.
func TestNewerConfigurationComesFromAnotherInstance(t *testing.T) {
	other := &configurationInstance{generation: 8, revision: objectstore.Revision(1, 100), weights: map[string]string{"m": "2"}}
	x := &configurationInstance{other: other, generation: 7, revision: objectstore.Revision(2, 95)}
	exchange := x.exchange()
	exchange.AskOthers(t.Context())
	assert.Equal(t, x.generation, uint64(8))
	assert.Equal(t, x.revision, other.revision)
	assert.Equal(t, x.weights["m"], "2")

	x.generation, x.asked = 7, 0
	response := peer.StoreChangesResponse{ConfigurationRevision: other.revision, ConfigurationGeneration: 8}
	exchange.fetchIfNewer(t.Context(), "other", response)
	exchange.fetchIfNewer(t.Context(), "other", response)
	assert.Equal(t, x.generation, uint64(8))
	assert.Equal(t, x.asked, 1)
}
