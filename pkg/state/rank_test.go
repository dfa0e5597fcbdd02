package state

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// A duty must not move when another instance joins or leaves, must not go to an
// instance that serves no requests of others, and must go to instances in
// proportion to their cores.
func TestRendezvousRank(t *testing.T) {
	var members []Member
	for i := range 40 {
		m := Member{Name: fmt.Sprintf("edge-%d", i), ExchangeAddress: fmt.Sprintf("10.0.0.%d:1", i), Cores: 0.2}
		if i < 4 {
			m.Cores = 0.8
		}
		members = append(members, m)
	}
	members[5].ExchangeAddress = ""
	large := 0
	for duty := range 400 {
		name := fmt.Sprint(duty)
		order := RendezvousRank(name, members)
		assert.Equal(t, len(order), 39)
		if order[0].Cores > 0.5 {
			large++
		}
		var fewer []Member
		for _, m := range members {
			if m.Name != order[1].Name {
				fewer = append(fewer, m)
			}
		}
		assert.Equal(t, RendezvousRank(name, fewer)[0], order[0])
		assert.Equal(t, RendezvousRank(name, fewer)[1], order[2])
	}
	// Four of forty have 31% of the processors.
	assert.Assert(t, large > 80 && large < 170, "large instances came first %d of 400 times", large)
}

// authorityStore holds one object and can lose the response to its creation.
type authorityStore struct {
	objectstore.Store
	mu     sync.Mutex
	object *objectstore.Object
	lose   bool
}

func (s *authorityStore) Get(context.Context, string, string) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.object == nil {
		return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindNotFound, Cause: errors.New("none")}
	}
	return *s.object, nil
}

func (s *authorityStore) Create(_ context.Context, kind, name string, value []byte) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.object != nil {
		return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindExists, Cause: errors.New("exists")}
	}
	s.object = &objectstore.Object{Kind: kind, Name: name, Version: 1, Value: value}
	if s.lose {
		s.lose = false
		return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindUnknown, Cause: errors.New("lost")}
	}
	return *s.object, nil
}

// Instances that start together, or lose the response to the create, must all use
// the stored authority. Otherwise they reject each other's certificates.
func TestInstancesShareOneAuthority(t *testing.T) {
	store := &authorityStore{lose: true}
	const instances = 8
	texts := make([]string, instances)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var group sync.WaitGroup
	for i := range instances {
		group.Go(func() {
			ca, err := LoadOrCreateInstanceCA(ctx, store, true, nullLog)
			if err != nil {
				return
			}
			text, err := ca.Encode()
			if err == nil {
				texts[i] = string(text)
			}
		})
	}
	group.Wait()
	for i := range texts {
		assert.Assert(t, texts[i] != "", "instance %d has no authority", i)
		assert.Equal(t, texts[i], texts[0])
	}
}
