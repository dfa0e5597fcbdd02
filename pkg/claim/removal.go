package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

const (
	// removalInterval is the time between two lists of old claims by one
	// instance. With eight instances each kind is listed about every two hours.
	removalInterval = time.Minute
	// removalBusyInterval replaces it while a kind has more old claims than one
	// batch.
	removalBusyInterval = 5 * time.Second
	// removalBatch bounds the deletes after one list.
	removalBatch = 128
	// abandonedTime is how long the object of a refused request is looked for. A
	// lost create is taken to have no effect after it; one that comes later
	// blocks its key until it expires, which is safe.
	abandonedTime = 2 * time.Minute
	// abandonedInterval is the time between two looks.
	abandonedInterval = 2 * time.Second
	// abandonedBatch bounds the objects looked for at once. Lost answers come in
	// numbers when the platform is in trouble, which reads must not add to.
	abandonedBatch = 32
	// maxAbandoned bounds the memory for refused requests. Beyond it their
	// objects stay until they expire, which blocks their keys and is safe.
	maxAbandoned = 1024
)

// errAbandoned means that the object found is that of a refused request.
var errAbandoned = errors.New("an earlier request with this key was refused and its claim is not removed yet")

// abandoned is an object that may exist and under which nothing ran.
type abandoned struct {
	kind, name string
	until      time.Time
}

func (m *Manager) abandon(c *Claim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.refused) < maxAbandoned {
		m.refused[c.nonce] = abandoned{kind: c.kind, name: c.name, until: m.options.Clock.Now().Add(abandonedTime)}
	}
}

func (m *Manager) isAbandoned(nonce string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.refused[nonce]
	return ok
}

// Run removes old claims and those of refused requests until ctx ends. Any
// number of instances may do so: all deletes are conditional.
func (m *Manager) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for clock.Sleep(ctx, clock.Jitter(abandonedInterval)) {
			m.RemoveAbandoned(ctx)
		}
	}()
	m.removeOld(ctx)
	<-done
}

func (m *Manager) removeOld(ctx context.Context) {
	kind := rand.IntN(kindCount)
	interval := removalInterval
	for clock.Sleep(ctx, clock.Jitter(interval)) {
		removed, err := m.RemoveExpired(ctx, kind)
		if err != nil && ctx.Err() == nil {
			m.options.Log.Warn("old claims were not removed; the next pass tries again", "kind", kindName(kind), "cause", err)
		}
		if removed == removalBatch {
			interval = removalBusyInterval
			continue
		}
		interval = removalInterval
		kind = (kind + 1) % kindCount
	}
}

// RemoveExpired removes at most one batch of expired claims of a kind and
// returns their number.
func (m *Manager) RemoveExpired(ctx context.Context, kind int) (int, error) {
	objects, _, err := m.options.Store.List(ctx, kindName(kind))
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, object := range objects {
		r, err := decodeRecord(object.Value)
		if err != nil || m.options.Clock.Now().Before(r.Expires) {
			continue
		}
		if removed == removalBatch {
			break
		}
		err = m.options.Store.Delete(ctx, object.Kind, object.Name, object.Version)
		if err != nil && !objectstore.IsKind(err, objectstore.KindNotFound) && !objectstore.IsKind(err, objectstore.KindConflict) {
			return removed, err
		}
		removed++
	}
	return removed, nil
}

// RemoveAbandoned looks for the objects of some refused requests and removes
// those that exist by now.
func (m *Manager) RemoveAbandoned(ctx context.Context) {
	for nonce, entry := range m.abandonedEntries() {
		if !m.settleAbandoned(ctx, nonce, entry) {
			continue
		}
		m.mu.Lock()
		delete(m.refused, nonce)
		m.mu.Unlock()
	}
}

func (m *Manager) abandonedEntries() map[string]abandoned {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := make(map[string]abandoned, abandonedBatch)
	for nonce, entry := range m.refused { // in random order
		if len(entries) == abandonedBatch {
			break
		}
		entries[nonce] = entry
	}
	return entries
}

// settleAbandoned reports whether the object has been removed or will not
// appear any more. An object that is not there may still appear for a while,
// and one that cannot be read may be there.
func (m *Manager) settleAbandoned(ctx context.Context, nonce string, entry abandoned) bool {
	object, err := m.options.Store.Get(ctx, entry.kind, entry.name)
	if err != nil && !objectstore.IsKind(err, objectstore.KindNotFound) {
		return false
	}
	if err == nil {
		found, decodeErr := decodeRecord(object.Value)
		if decodeErr == nil && found.Nonce == nonce {
			return m.options.Store.Delete(ctx, entry.kind, entry.name, object.Version) == nil
		}
	}
	return !m.options.Clock.Now().Before(entry.until)
}
