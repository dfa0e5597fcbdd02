package cachedir

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
)

// fakeClient returns set changes and records the positions asked for.
type fakeClient struct {
	changes Changes
	err     error
	since   []int64
}

func (s *fakeClient) Changes(_ context.Context, _ string, since int64) (Changes, error) {
	s.since = append(s.since, since)
	return s.changes, s.err
}

// emptyStore is a client of stores without changes.
type emptyStore struct{}

func (emptyStore) Changes(context.Context, string, int64) (Changes, error) {
	return Changes{Epoch: 1}, nil
}

func keys(parts ...string) []Key {
	var out []Key
	for _, part := range parts {
		out = append(out, Key{"s", part})
	}
	return out
}

// A directory that misses changes, keeps parts over a restart of the store or uses
// a store that is down makes requests fetch parts that do not come.
func TestDirectory(t *testing.T) {
	fake := clock.NewFake(time.Now())
	client := &fakeClient{changes: Changes{Epoch: 1, Next: 3, Changes: []Change{{Key{"s", "a"}, true}, {Key{"s", "b"}, true}}}}
	d := &Directory{Client: client, Address: "store-1", Clock: fake, Log: hclog.NewNullLogger()}
	assert.Equal(t, d.StoreAddress(), "", "a store that was never reached counts as up")
	d.poll(t.Context())
	assert.Equal(t, d.StoreAddress(), "store-1")
	assert.Equal(t, d.CachedPrefixLen(keys("a", "b", "c")), 2)
	assert.Equal(t, d.CachedPrefixLen([]Key{{"other", "a"}}), 0, "a part with another salt counts as stored")

	// A part that a target was asked to save counts only within savingTimeout.
	d.MarkSaving(keys("a", "b", "c"))
	assert.Equal(t, d.CachedPrefixLen(keys("a", "b", "c")), 3)
	fake.Advance(savingTimeout + time.Millisecond)
	assert.Equal(t, d.CachedPrefixLen(keys("a", "b", "c")), 2)

	// The next poll continues where the last one ended.
	client.changes = Changes{Epoch: 1, Next: 4, Changes: []Change{{Key{"s", "a"}, false}}}
	d.poll(t.Context())
	assert.DeepEqual(t, client.since, []int64{0, 3})
	assert.Equal(t, d.CachedPrefixLen(keys("a", "b")), 0)

	// A restart empties the store.
	client.changes = Changes{Epoch: 2, Next: 1}
	d.poll(t.Context())
	assert.Equal(t, d.CachedPrefixLen(keys("b")), 0)

	// A store that does not answer counts as down until it answers again.
	client.err = errors.New("down")
	fake.Advance(time.Second)
	d.poll(t.Context())
	assert.Equal(t, d.StoreAddress(), "")
	client.err = nil
	d.poll(t.Context())
	assert.Equal(t, d.StoreAddress(), "store-1")
}

// If two instances assign a prompt to different stores, neither finds what the
// other saved. A store that was removed from the configuration must not be polled
// or used.
func TestSet(t *testing.T) {
	addresses := []string{"a", "b", "c"}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	newSet := func() *Set {
		return &Set{Client: emptyStore{}, Addresses: func() []string { return addresses }, InstanceCount: func() int { return 1 }, Clock: clock.System{}, Log: hclog.NewNullLogger()}
	}
	var group sync.WaitGroup
	one, two := newSet(), newSet()
	assert.Assert(t, one.DirectoryFor("x") == nil)
	one.reconcile(ctx, &group)
	two.reconcile(ctx, &group)
	used := make(map[string]int)
	for i := range 300 {
		name := fmt.Sprint(i)
		assert.Equal(t, one.DirectoryFor(name).Address, two.DirectoryFor(name).Address)
		used[one.DirectoryFor(name).Address]++
	}
	for _, address := range addresses {
		assert.Assert(t, used[address] > 50, "%v", used)
	}
	addresses = addresses[:1]
	one.reconcile(ctx, &group)
	assert.Equal(t, one.DirectoryFor("x").Address, "a")
	cancel()
	group.Wait()
}

// Changes relayed between two instances must not be lost or applied out of order,
// also when the store restarts. Otherwise requests fetch parts that do not exist
// or parts are saved again.
func TestChangesRelayedBetweenInstances(t *testing.T) {
	fake := clock.NewFake(time.Now())
	newDirectory := func() *Directory { return &Directory{Clock: fake, Log: hclog.NewNullLogger()} }
	key := func(n int) Key { return Key{Salt: "1.", Part: fmt.Sprint(n)} }
	reader, other := newDirectory(), newDirectory()
	relayChanges := func() {
		changes, age, up := reader.ChangesSince(other.Position())
		assert.Assert(t, up)
		other.Merge(changes, fake.Elapsed()-age)
	}
	for n := range 10 {
		reader.apply(Changes{Epoch: 7, Next: int64(n + 1), Changes: []Change{{Key: key(n), Added: true}}}, fake.Elapsed())
		if n%3 == 0 {
			relayChanges()
			relayChanges()
		}
	}
	relayChanges()
	for n := range 10 {
		assert.Equal(t, other.CachedPrefixLen([]Key{key(n)}), 1, "part %d", n)
	}
	reader.apply(Changes{Epoch: 7, Next: 11, Changes: []Change{{Key: key(3)}}}, fake.Elapsed())
	relayChanges()
	assert.Equal(t, other.CachedPrefixLen([]Key{key(3)}), 0)
	reader.apply(Changes{Epoch: 8, Next: 2, Changes: []Change{{Key: key(50), Added: true}}}, fake.Elapsed())
	relayChanges()
	assert.Equal(t, other.CachedPrefixLen([]Key{key(1)}), 0, "a part from before the restart of the store is still listed")
	assert.Equal(t, other.CachedPrefixLen([]Key{key(50)}), 1)
	assert.Equal(t, other.Position(), reader.Position())
}

// Callers choose the names of parts. Long names, and names that hold the header which they were
// cut from, filled the memory, and so did many that were marked while the store was not read.
func TestNamesOfPartsTakeLittleMemory(t *testing.T) {
	d := &Directory{Clock: clock.NewFake(time.Now()), Log: hclog.NewNullLogger()}
	long := strings.Repeat("x", maxKeyBytes+1)
	d.apply(Changes{Epoch: 1, Changes: []Change{{Key{"s", long}, true}, {Key{"s", "a"}, true}}}, 0)
	d.MarkSaving(keys(long))
	assert.Equal(t, len(d.parts), 1)
	assert.Equal(t, len(d.recent), 1)

	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for n := range 3 * maxParts {
		header := fmt.Sprintf("%08x:%s", n, strings.Repeat("1", 4<<10))
		d.MarkSaving(keys(header[:8]))
	}
	runtime.GC()
	runtime.ReadMemStats(&now)
	assert.Assert(t, len(d.parts) <= maxParts)
	const most = maxParts * 1024
	assert.Assert(t, int64(now.HeapAlloc)-int64(before.HeapAlloc) < most, "%d bytes", now.HeapAlloc-before.HeapAlloc)
	runtime.KeepAlive(d)
}
