package cachedir

import (
	"context"
	"errors"
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
	address := "store-1"
	d := &Directory{Client: client, Address: func() string { return address }, Clock: fake, Log: hclog.NewNullLogger()}
	assert.Equal(t, d.Store(), "", "a store that was never reached is used")
	d.round(t.Context())
	assert.Equal(t, d.Store(), "store-1")
	assert.Equal(t, d.Kept(keys("a", "b", "c")), 2)
	assert.Equal(t, d.Kept([]Key{{"other", "a"}}), 0, "a part under another salt counts as kept")

	// A part that was asked to be saved counts for a while only.
	d.Saving(keys("a", "b", "c"))
	assert.Equal(t, d.Kept(keys("a", "b", "c")), 3)
	fake.Advance(savingFor + time.Millisecond)
	assert.Equal(t, d.Kept(keys("a", "b", "c")), 2)

	// Later changes go on where the last ones ended.
	client.changes = Changes{Epoch: 1, Next: 4, Changes: []Change{{Key{"s", "a"}, false}}}
	d.round(t.Context())
	assert.DeepEqual(t, client.since, []int64{0, 3})
	assert.Equal(t, d.Kept(keys("a", "b")), 0)

	// A restart empties the store.
	client.changes = Changes{Epoch: 2, Next: 1}
	d.round(t.Context())
	assert.Equal(t, d.Kept(keys("b")), 0)

	// A store that does not answer is not used.
	client.err = errors.New("down")
	fake.Advance(time.Second)
	d.round(t.Context())
	assert.Equal(t, d.Store(), "")
	client.err = nil
	d.round(t.Context())
	assert.Equal(t, d.Store(), "store-1")

	// Another store starts anew.
	address = "store-2"
	client.since = nil
	d.round(t.Context())
	assert.DeepEqual(t, client.since, []int64{0})
}
