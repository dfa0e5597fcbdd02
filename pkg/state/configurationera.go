package state

import (
	"bytes"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// A store that was restored from a copy may show an older configuration than instances have in
// force, under a newer revision, until the operators have written theirs again. Revisions
// therefore order configurations within an era of the store only. Between eras the generation
// does, which the operators state and only raise.

const (
	// heldCheckInterval is the time between checks whether a configuration is still held.
	heldCheckInterval = 20 * time.Millisecond
)

// generation returns the generation in force, or 0 if there is none.
func (c *Configuration) generation() uint64 {
	if snapshot := c.snapshot.Load(); snapshot != nil {
		return snapshot.Generation
	}
	return 0
}

// isProvenBy reports whether the configuration in force is the newest if another instance has
// the given one in force as the newest. The caller holds mu.
func (c *Configuration) isProvenBy(revision, generation uint64) bool {
	era, own := objectstore.Era(revision), objectstore.Era(c.revision)
	switch {
	case era == own:
		return c.revision >= revision
	case generation == 0 || generation > c.generation():
		return false
	case generation < c.generation() && era > own:
		c.olderEra = era
	}
	return true
}

// replacesAcrossEras reports whether a configuration of another era replaces the one in force.
// With the same generation, what is in the store now holds. The caller holds mu.
func (c *Configuration) replacesAcrossEras(object objectstore.Object, generation uint64) bool {
	if generation != c.generation() {
		return generation > c.generation()
	}
	return object.Version > c.revision && !bytes.Equal(object.Value, c.value)
}

// compareEras records a configuration of another era that is not newer than the one in force.
// The caller holds mu.
func (c *Configuration) compareEras(object objectstore.Object, generation uint64) {
	era := objectstore.Era(object.Version)
	switch {
	case era < objectstore.Era(c.revision):
	case generation == c.generation():
		c.Log.Info("the store has the configuration in force again", "version", generation, "revision", objectstore.FormatRevision(object.Version), "revision_before", objectstore.FormatRevision(c.revision))
		c.revision, c.olderEra = object.Version, 0
	case c.olderEra != era:
		c.olderEra = era
		c.Log.Warn("the restored store has an older configuration; the newer one stays in force", "version", c.generation(), "stored", generation, "revision", objectstore.FormatRevision(object.Version))
	}
}

// IsNewerThanStore reports whether the store has lost the configuration in force.
func (c *Configuration) IsNewerThanStore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.olderEra > 0
}

// NewerThan returns the configuration in force if its generation is above the given one.
func (c *Configuration) NewerThan(generation uint64) (object objectstore.Object, newer uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if newer = c.generation(); newer <= generation {
		return objectstore.Object{}, 0, false
	}
	return objectstore.Object{Kind: c.Kind, Name: c.Name, Version: c.revision, Value: c.value}, newer, true
}

// MergeNewer puts a configuration in force that another instance has, if it is newer.
func (c *Configuration) MergeNewer(revision uint64, value []byte) {
	c.mu.Lock()
	c.compared = true // nothing is held back for an answer any more
	c.mu.Unlock()
	c.applyIfNewer(objectstore.Object{Kind: c.Kind, Name: c.Name, Version: revision, Value: value})
}

// mustHold reports whether a first configuration is held back. The caller holds mu.
func (c *Configuration) mustHold(object objectstore.Object) bool {
	return c.AwaitsOthers && !c.compared && c.snapshot.Load() == nil && objectstore.Era(object.Version) > 0
}

// IsHeld reports whether a configuration of the store is held back.
func (c *Configuration) IsHeld() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held.Version > 0 && !c.compared
}

// ComparedWithOthers puts the configuration that was held back in force, unless another
// instance had a newer one.
func (c *Configuration) ComparedWithOthers() {
	c.mu.Lock()
	held := c.held
	c.compared, c.held = true, objectstore.Object{}
	c.mu.Unlock()
	if held.Version > 0 {
		c.applyIfNewer(held)
	}
}
