package state

import (
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

const (
	// removedPeriod is how long removed entries are remembered: longer than the time that a
	// restore of the store undoes.
	removedPeriod = time.Minute
	// withheldPeriod is how long a target is not used whose removed entry a restored store
	// shows again. Without a target behind it the entry is removed again within three of
	// its heartbeats.
	withheldPeriod = 15 * time.Second
)

// removedEntry is an entry that was removed from the list, or replaced by that of another
// incarnation.
type removedEntry struct {
	era uint64        // of the store that did not have it any more
	at  time.Duration // boot time of the removal
}

// withheldEntry is an entry that a restored store shows again and whose target is not used.
type withheldEntry struct {
	object objectstore.Object
	key    string // of the target
	since  time.Duration
}

// remove removes an entry and remembers it. The caller holds mu.
func (t *Targets) remove(id string, e *entry) {
	delete(t.entries, id)
	if e.target != nil {
		t.rememberRemoved(e.target.Key())
	}
}

// rememberRemoved records that the store has a target's entry no more. The caller holds mu.
func (t *Targets) rememberRemoved(key string) {
	now := t.Clock.Elapsed()
	for known, r := range t.removed {
		if now-r.at > removedPeriod {
			delete(t.removed, known)
		}
	}
	if len(t.removed) >= maxLeft {
		return
	}
	if t.removed == nil {
		t.removed = make(map[string]removedEntry)
	}
	era, _ := t.StoreHealth.Era()
	t.removed[key] = removedEntry{era: era, at: now}
}

// isFromCopy reports whether an entry is one that was removed or replaced before the store was
// restored from a copy that still has it. Its target has gone. In the era in which the entry
// was missing it has been written again. The caller holds mu.
func (t *Targets) isFromCopy(o objectstore.Object, key string) bool {
	r, ok := t.removed[key]
	return ok && t.Clock.Elapsed()-r.at <= removedPeriod && objectstore.Era(o.Version) > r.era
}

// withhold adds an entry whose target is not used until the entry is written again, or for
// withheldPeriod. The caller holds mu.
func (t *Targets) withhold(o objectstore.Object, key string) {
	t.entries[o.Name] = &entry{revision: o.Version, withheld: &withheldEntry{object: o, key: key, since: t.Clock.Elapsed()}}
	t.Log.Info("the restored store shows a target again that was gone; it is not used until its entry is written again", "target", o.Name, "revision", objectstore.FormatRevision(o.Version), "at_most", withheldPeriod)
}

// releaseWithheld uses the targets whose entries are still listed after withheldPeriod. The
// caller holds mu.
func (t *Targets) releaseWithheld() {
	released := false
	for id, e := range t.entries {
		if e.withheld == nil || t.Clock.Elapsed()-e.withheld.since <= withheldPeriod {
			continue
		}
		delete(t.entries, id)
		delete(t.removed, e.withheld.key)
		t.applyEntry(e.withheld.object)
		released = true
	}
	if released {
		t.publish()
	}
}
