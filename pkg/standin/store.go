package standin

import (
	"context"
	"errors"
	"sort"
	"sync"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// maxHistoryEvents bounds the events that watches can read. Older ones are compacted,
// as in a real object store.
const maxHistoryEvents = 4096

// Store is an in-memory object store. It implements objectstore.Store and is safe for
// concurrent use.
type Store struct {
	mu       sync.Mutex
	objects  map[objectKey]objectstore.Object
	events   []objectstore.Event
	revision uint64
	changed  chan struct{} // closed and replaced at each change
}

type objectKey struct{ kind, name string }

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: make(map[objectKey]objectstore.Object), changed: make(chan struct{})}
}

// Get implements objectstore.Store.
func (s *Store) Get(_ context.Context, kind, name string) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[objectKey{kind, name}]
	if !ok {
		return objectstore.Object{}, storeError("get", objectstore.KindNotFound)
	}
	return object, nil
}

// List implements objectstore.Store.
func (s *Store) List(_ context.Context, kind string) ([]objectstore.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := []objectstore.Object{}
	for key, object := range s.objects {
		if key.kind == kind {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	return objects, s.revision, nil
}

// Create implements objectstore.Store.
func (s *Store) Create(_ context.Context, kind, name string, value []byte) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[objectKey{kind, name}]; ok {
		return objectstore.Object{}, storeError("create", objectstore.KindExists)
	}
	return s.put(kind, name, value)
}

// Update implements objectstore.Store.
func (s *Store) Update(_ context.Context, kind, name string, value []byte, version uint64) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[objectKey{kind, name}]
	if !ok {
		return objectstore.Object{}, storeError("update", objectstore.KindNotFound)
	}
	if object.Version != version {
		return objectstore.Object{}, storeError("update", objectstore.KindConflict)
	}
	return s.put(kind, name, value)
}

// UpdateStatus implements objectstore.Store.
func (s *Store) UpdateStatus(_ context.Context, kind, name string, status []byte, version uint64) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[objectKey{kind, name}]
	if !ok {
		return objectstore.Object{}, storeError("update status", objectstore.KindNotFound)
	}
	if object.Version != version {
		return objectstore.Object{}, storeError("update status", objectstore.KindConflict)
	}
	return s.putObject(objectstore.Object{Kind: kind, Name: name, Value: object.Value, Status: append([]byte(nil), status...)})
}

// Delete implements objectstore.Store.
func (s *Store) Delete(_ context.Context, kind, name string, version uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := objectKey{kind, name}
	object, ok := s.objects[key]
	if !ok {
		return storeError("delete", objectstore.KindNotFound)
	}
	if object.Version != version {
		return storeError("delete", objectstore.KindConflict)
	}
	delete(s.objects, key)
	s.publish(objectstore.Event{Object: objectstore.Object{Kind: kind, Name: name, Version: version}, Deleted: true})
	return nil
}

// Watch implements objectstore.Store. When ctx ends, it returns no events and no
// error.
func (s *Store) Watch(ctx context.Context, kind string, after uint64) ([]objectstore.Event, uint64, error) {
	for {
		events, revision, changed, err := s.eventsSince(kind, after)
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

// eventsSince returns the events of a kind after a revision, the current revision, and
// a channel that is closed at the next change.
func (s *Store) eventsSince(kind string, after uint64) ([]objectstore.Event, uint64, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.events) == maxHistoryEvents && after+1 < s.events[0].Revision {
		return nil, 0, nil, storeError("watch", objectstore.KindCompacted)
	}
	var events []objectstore.Event
	for _, event := range s.events {
		if event.Revision > after && event.Object.Kind == kind {
			events = append(events, event)
		}
	}
	return events, s.revision, s.changed, nil
}

// put stores an object under a new version. The caller holds mu.
func (s *Store) put(kind, name string, value []byte) (objectstore.Object, error) {
	if len(value) > objectstore.MaxValueBytes {
		return objectstore.Object{}, storeError("put", objectstore.KindTooLarge)
	}
	status := s.objects[objectKey{kind, name}].Status
	return s.putObject(objectstore.Object{Kind: kind, Name: name, Value: append([]byte(nil), value...), Status: status})
}

// putObject stores an object under the next version. The caller holds mu.
func (s *Store) putObject(object objectstore.Object) (objectstore.Object, error) {
	object.Version = s.revision + 1
	s.objects[objectKey{object.Kind, object.Name}] = object
	s.publish(objectstore.Event{Object: object})
	return object, nil
}

// publish adds an event under the next revision and wakes the watches. The caller
// holds mu.
func (s *Store) publish(event objectstore.Event) {
	s.revision++
	event.Revision = s.revision
	s.events = append(s.events, event)
	if len(s.events) > maxHistoryEvents {
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func storeError(call string, kind objectstore.ErrorKind) error {
	return &objectstore.Error{Kind: kind, Call: call, Cause: errors.New(string(kind))}
}
