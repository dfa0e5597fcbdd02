package standin

import (
	"context"
	"errors"
	"sort"
	"sync"

	"lacewingwheel.example/lacewingwheel/pkg/platform"
)

// maxEvents bounds the history that watches can read. Older revisions are
// compacted, as in a real object API.
const maxEvents = 4096

// Store is an object store in memory. It implements platform.Store.
type Store struct {
	mu       sync.Mutex
	objects  map[objectKey]platform.Object
	events   []platform.Event
	revision uint64
	changed  chan struct{} // closed and replaced at each change
}

type objectKey struct{ kind, name string }

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: make(map[objectKey]platform.Object), changed: make(chan struct{})}
}

// Get implements platform.Store.
func (s *Store) Get(_ context.Context, kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[objectKey{kind, name}]
	if !ok {
		return platform.Object{}, storeError("get", platform.KindNotFound)
	}
	return object, nil
}

// List implements platform.Store.
func (s *Store) List(_ context.Context, kind string) ([]platform.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := []platform.Object{}
	for key, object := range s.objects {
		if key.kind == kind {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	return objects, s.revision, nil
}

// Create implements platform.Store.
func (s *Store) Create(_ context.Context, kind, name string, value []byte) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[objectKey{kind, name}]; ok {
		return platform.Object{}, storeError("create", platform.KindExists)
	}
	return s.put(kind, name, value)
}

// Update implements platform.Store.
func (s *Store) Update(_ context.Context, kind, name string, value []byte, version uint64) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[objectKey{kind, name}]
	if !ok {
		return platform.Object{}, storeError("update", platform.KindNotFound)
	}
	if object.Version != version {
		return platform.Object{}, storeError("update", platform.KindConflict)
	}
	return s.put(kind, name, value)
}

// Delete implements platform.Store.
func (s *Store) Delete(_ context.Context, kind, name string, version uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := objectKey{kind, name}
	object, ok := s.objects[key]
	if !ok {
		return storeError("delete", platform.KindNotFound)
	}
	if object.Version != version {
		return storeError("delete", platform.KindConflict)
	}
	delete(s.objects, key)
	s.publish(platform.Event{Object: platform.Object{Kind: kind, Name: name, Version: version}, Deleted: true})
	return nil
}

// Watch implements platform.Store. It returns when ctx ends, without events.
func (s *Store) Watch(ctx context.Context, kind string, after uint64) ([]platform.Event, uint64, error) {
	for {
		events, revision, changed, err := s.since(kind, after)
		if err != nil || len(events) > 0 {
			return events, revision, err
		}
		select {
		case <-ctx.Done():
			return nil, revision, nil
		case <-changed:
		}
	}
}

func (s *Store) since(kind string, after uint64) ([]platform.Event, uint64, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.events) == maxEvents && after+1 < s.events[0].Revision {
		return nil, 0, nil, storeError("watch", platform.KindCompacted)
	}
	var events []platform.Event
	for _, event := range s.events {
		if event.Revision > after && event.Object.Kind == kind {
			events = append(events, event)
		}
	}
	return events, s.revision, s.changed, nil
}

func (s *Store) put(kind, name string, value []byte) (platform.Object, error) {
	if len(value) > platform.MaxValueBytes {
		return platform.Object{}, storeError("put", platform.KindTooLarge)
	}
	object := platform.Object{Kind: kind, Name: name, Version: s.revision + 1, Value: append([]byte(nil), value...)}
	s.objects[objectKey{kind, name}] = object
	s.publish(platform.Event{Object: object})
	return object, nil
}

func (s *Store) publish(event platform.Event) {
	s.revision++
	event.Revision = s.revision
	s.events = append(s.events, event)
	if len(s.events) > maxEvents {
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func storeError(call string, kind platform.ErrorKind) error {
	return &platform.Error{Kind: kind, Call: call, Cause: errors.New(string(kind))}
}
