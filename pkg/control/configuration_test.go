package control

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
)

// watchCountingStore counts the calls of Watch.
type watchCountingStore struct {
	objectstore.Store
	watches atomic.Int64
}

func (s *watchCountingStore) Watch(ctx context.Context, kind string, after uint64) ([]objectstore.Event, uint64, error) {
	s.watches.Add(1)
	return s.Store.Watch(ctx, kind, after)
}

// The load on the platform grows with the fleet if instances watch although
// enough peers do. A new configuration is missed if an instance still relies on
// those peers when they are gone.
func TestInstanceWatchesPlatformWhenReadersAreGone(t *testing.T) {
	store := &watchCountingStore{Store: standin.NewStore()}
	put := func(generation uint64, version uint64) uint64 {
		a := testConfiguration(generation, "test")
		value, err := a.Encode()
		assert.NilError(t, err)
		var object objectstore.Object
		if version == 0 {
			object, err = store.Create(t.Context(), KindConfiguration, NameAccepted, value)
		} else {
			object, err = store.Update(t.Context(), KindConfiguration, NameAccepted, value, version)
		}
		assert.NilError(t, err)
		return object.Version
	}
	var peersRead atomic.Bool
	peersRead.Store(true)
	c := &ConfigurationController{Store: store, Log: hclog.NewNullLogger(), PeersReadPlatform: peersRead.Load}
	version := put(1, 0)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		c.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	waitFor(t, 5*time.Second, "the first configuration is not in force", func() bool { return c.Generation() == 1 })
	put(2, version)
	assert.Equal(t, store.watches.Load(), int64(0))
	assert.Equal(t, c.Generation(), uint64(1))
	peersRead.Store(false)
	waitFor(t, 5*time.Second, "the change was missed", func() bool { return c.Generation() == 2 })
}
