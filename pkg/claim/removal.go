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
	// removalInterval is the time between two removals of expired claims by one
	// instance. With eight instances, each kind is listed about every two hours.
	removalInterval = time.Minute
	// removalBacklogInterval replaces removalInterval while a kind has a full
	// batch of expired claims.
	removalBacklogInterval = 5 * time.Second
	// removalBatchSize bounds the deletes per removal.
	removalBatchSize = 128
	// abandonedTimeout is how long the manager looks for an abandoned claim. A
	// create that takes effect even later blocks its key until the claim expires,
	// which is safe.
	abandonedTimeout = 2 * time.Minute
	// abandonedCheckInterval is the time between two checks of abandoned claims.
	abandonedCheckInterval = 2 * time.Second
	// abandonedBatchSize bounds the reads per check. Many responses are lost at
	// once when the store is overloaded, and the reads must not add to that.
	abandonedBatchSize = 32
	// maxAbandoned bounds the abandoned claims kept in memory. Further ones block
	// their keys until they expire, which is safe.
	maxAbandoned = 1024
)

// errAbandoned is returned when the stored claim is one that this instance has
// yet to remove.
var errAbandoned = errors.New("an earlier request with this key was refused and its claim is not removed yet")

// abandonedClaim identifies an object that may exist although its request never
// ran.
type abandonedClaim struct {
	kind, name string
	until      time.Time
}

func (m *Manager) markAbandoned(c *Claim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.abandoned) < maxAbandoned {
		m.abandoned[c.nonce] = abandonedClaim{kind: c.kind, name: c.name, until: m.options.Clock.Now().Add(abandonedTimeout)}
	}
}

func (m *Manager) isAbandoned(nonce string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.abandoned[nonce]
	return ok
}

// Run removes expired and abandoned claims until ctx ends. Any number of
// instances may run it at the same time: all deletes are conditional.
func (m *Manager) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for clock.Sleep(ctx, clock.Jitter(abandonedCheckInterval)) {
			m.RemoveAbandoned(ctx)
		}
	}()
	m.removeExpiredPeriodically(ctx)
	<-done
}

func (m *Manager) removeExpiredPeriodically(ctx context.Context) {
	kind := rand.IntN(kindCount)
	interval := removalInterval
	for clock.Sleep(ctx, clock.Jitter(interval)) {
		removed, err := m.RemoveExpired(ctx, kind)
		if err != nil && ctx.Err() == nil {
			m.options.Log.Warn("expired claims were not removed; the next pass tries again", "kind", kindName(kind), "cause", err)
		}
		if removed == removalBatchSize {
			interval = removalBacklogInterval
			continue
		}
		interval = removalInterval
		kind = (kind + 1) % kindCount
	}
}

// RemoveExpired removes at most removalBatchSize expired claims of one kind, a
// number below kindCount. It returns how many it removed, and the first error of
// the object store other than a conflict.
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
		if removed == removalBatchSize {
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

// RemoveAbandoned checks up to abandonedBatchSize abandoned claims and deletes
// the objects that exist.
func (m *Manager) RemoveAbandoned(ctx context.Context) {
	for nonce, entry := range m.sampleAbandoned() {
		if !m.resolveAbandoned(ctx, nonce, entry) {
			continue
		}
		m.mu.Lock()
		delete(m.abandoned, nonce)
		m.mu.Unlock()
	}
}

func (m *Manager) sampleAbandoned() map[string]abandonedClaim {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := make(map[string]abandonedClaim, abandonedBatchSize)
	for nonce, entry := range m.abandoned { // in random order
		if len(entries) == abandonedBatchSize {
			break
		}
		entries[nonce] = entry
	}
	return entries
}

// resolveAbandoned deletes the object of an abandoned claim. It reports whether
// the claim needs no further check: the object was deleted, or did not appear
// before entry.until. An object whose read fails may exist.
func (m *Manager) resolveAbandoned(ctx context.Context, nonce string, entry abandonedClaim) bool {
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
