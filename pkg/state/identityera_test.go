package state

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// Create implements objectstore.Store for an authority, whose value matters.
func (s *eraAuthorityStore) Create(ctx context.Context, kind, name string, value []byte) (objectstore.Object, error) {
	if o, ok := s.objects[name]; ok {
		return o, &objectstore.Error{Kind: objectstore.KindExists, Era: s.era}
	}
	o, err := s.entryStore.Create(ctx, kind, name, nil)
	o.Value = value
	s.objects[name] = o
	return o, err
}

type eraAuthorityStore struct{ *entryStore }

// A restore can undo the authority of a system that has just started. An instance that starts
// then must not create another one, which none of the others accepts, before they have written
// theirs again.
func TestAuthorityLostByARestoreIsWrittenAgain(t *testing.T) {
	store := &eraAuthorityStore{&entryStore{era: 1, objects: make(map[string]objectstore.Object)}}
	ca, err := LoadOrCreateInstanceCA(t.Context(), store, true, nullLog)
	assert.NilError(t, err)
	isRestored, err := RestoreInstanceCA(t.Context(), store, ca)
	assert.NilError(t, err)
	assert.Assert(t, !isRestored)

	store.restore(0, nameAuthority)
	ctx, cancel := context.WithTimeout(t.Context(), authorityRetryInterval/4)
	defer cancel()
	_, err = LoadOrCreateInstanceCA(ctx, store, false, nullLog)
	assert.Assert(t, err != nil, "another authority was created at once")
	isRestored, err = RestoreInstanceCA(t.Context(), store, ca)
	assert.NilError(t, err)
	assert.Assert(t, isRestored)
	ctx, cancel = context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	again, err := LoadOrCreateInstanceCA(ctx, store, false, nullLog)
	assert.NilError(t, err)
	one, err := ca.Encode()
	assert.NilError(t, err)
	two, err := again.Encode()
	assert.NilError(t, err)
	assert.Assert(t, string(one) == string(two))
}
