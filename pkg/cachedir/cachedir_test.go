package cachedir

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
)

type script struct {
	changes Changes
	err     error
	since   []int64
}

func (s *script) Changes(_ context.Context, _ string, since int64) (Changes, error) {
	s.since = append(s.since, since)
	return s.changes, s.err
}

// idle is a store without changes.
type idle struct{}

func (idle) Changes(context.Context, string, int64) (Changes, error) { return Changes{Epoch: 1}, nil }

func keys(parts ...string) []Key {
	var out []Key
	for _, part := range parts {
		out = append(out, Key{"s", part})
	}
	return out
}

func TestDirectory(t *testing.T) {
	fake := clock.NewFake(time.Now())
	client := &script{changes: Changes{Epoch: 1, Next: 3, Changes: []Change{{Key{"s", "a"}, true}, {Key{"s", "b"}, true}}}}
	d := &Directory{Client: client, Address: "store-1", Clock: fake, Log: hclog.NewNullLogger()}
	assert.Equal(t, d.StoreAddress(), "", "a store that was never reached is used")
	d.round(t.Context())
	assert.Equal(t, d.StoreAddress(), "store-1")
	assert.Equal(t, d.CachedPrefixLen(keys("a", "b", "c")), 2)
	assert.Equal(t, d.CachedPrefixLen([]Key{{"other", "a"}}), 0, "a part under another salt counts as kept")

	// A part that was asked to be saved counts for a while only.
	d.MarkSaving(keys("a", "b", "c"))
	assert.Equal(t, d.CachedPrefixLen(keys("a", "b", "c")), 3)
	fake.Advance(savingFor + time.Millisecond)
	assert.Equal(t, d.CachedPrefixLen(keys("a", "b", "c")), 2)

	// Later changes go on where the last ones ended.
	client.changes = Changes{Epoch: 1, Next: 4, Changes: []Change{{Key{"s", "a"}, false}}}
	d.round(t.Context())
	assert.DeepEqual(t, client.since, []int64{0, 3})
	assert.Equal(t, d.CachedPrefixLen(keys("a", "b")), 0)

	// A restart empties the store.
	client.changes = Changes{Epoch: 2, Next: 1}
	d.round(t.Context())
	assert.Equal(t, d.CachedPrefixLen(keys("b")), 0)

	// A store that does not answer is not used.
	client.err = errors.New("down")
	fake.Advance(time.Second)
	d.round(t.Context())
	assert.Equal(t, d.StoreAddress(), "")
	client.err = nil
	d.round(t.Context())
	assert.Equal(t, d.StoreAddress(), "store-1")
}

// Guards against instances that look for the same prompt in different stores,
// and against stores that are followed after they were taken away.
func TestSet(t *testing.T) {
	addresses := []string{"a", "b", "c"}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	newSet := func() *Set {
		return &Set{Client: idle{}, Addresses: func() []string { return addresses }, InstanceCount: func() int { return 1 }, Clock: clock.System{}, Log: hclog.NewNullLogger()}
	}
	var group sync.WaitGroup
	one, two := newSet(), newSet()
	assert.Assert(t, one.DirectoryFor("x") == nil)
	one.sync(ctx, &group)
	two.sync(ctx, &group)
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
	one.sync(ctx, &group)
	assert.Equal(t, one.DirectoryFor("x").Address, "a")
	cancel()
	group.Wait()
}

// Guards against changes that get lost or come twice between two instances, and
// against those of a store that has restarted meanwhile.
func TestChangesPassBetweenInstances(t *testing.T) {
	fake := clock.NewFake(time.Now())
	newDirectory := func() *Directory { return &Directory{Clock: fake, Log: hclog.NewNullLogger()} }
	key := func(n int) Key { return Key{Salt: "1.", Part: fmt.Sprint(n)} }
	reader, other := newDirectory(), newDirectory()
	pass := func() {
		changes, age, up := reader.ChangesSince(other.Position())
		assert.Assert(t, up)
		other.Merge(changes, fake.Elapsed()-age)
	}
	for n := range 10 {
		reader.take(Changes{Epoch: 7, Next: int64(n + 1), Changes: []Change{{Key: key(n), Added: true}}}, fake.Elapsed())
		if n%3 == 0 {
			pass()
			pass()
		}
	}
	pass()
	for n := range 10 {
		assert.Equal(t, other.CachedPrefixLen([]Key{key(n)}), 1, "part %d", n)
	}
	reader.take(Changes{Epoch: 7, Next: 11, Changes: []Change{{Key: key(3)}}}, fake.Elapsed())
	pass()
	assert.Equal(t, other.CachedPrefixLen([]Key{key(3)}), 0)
	reader.take(Changes{Epoch: 8, Next: 2, Changes: []Change{{Key: key(50), Added: true}}}, fake.Elapsed())
	pass()
	assert.Equal(t, other.CachedPrefixLen([]Key{key(1)}), 0, "a part of the store before its restart is left")
	assert.Equal(t, other.CachedPrefixLen([]Key{key(50)}), 1)
	assert.Equal(t, other.Position(), reader.Position())
}
