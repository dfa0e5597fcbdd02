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

// watchCounter counts the watches of a store.
type watchCounter struct {
	objectstore.Store
	watches atomic.Int64
}

func (s *watchCounter) Watch(ctx context.Context, kind string, after uint64) ([]objectstore.Event, uint64, error) {
	s.watches.Add(1)
	return s.Store.Watch(ctx, kind, after)
}

// Guards against an instance that watches although others do, and against one
// that misses a change because the others are gone.
func TestSparedInstanceWatchesWhenReadersAreGone(t *testing.T) {
	store := &watchCounter{Store: standin.NewStore()}
	put := func(generation uint64, version uint64) uint64 {
		a := accepted(generation, "test")
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
	var spared atomic.Bool
	spared.Store(true)
	c := &ConfigurationController{Store: store, Log: hclog.NewNullLogger(), PeersReadPlatform: spared.Load}
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
	spared.Store(false)
	waitFor(t, 5*time.Second, "the change was missed", func() bool { return c.Generation() == 2 })
}
