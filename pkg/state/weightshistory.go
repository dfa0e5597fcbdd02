package state

import (
	"maps"
	"slices"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/gossip"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// weightsHistory tracks the newest announced version of each model, and up to when
// each earlier version is known to have been the newest. A deadline that counts
// from that time never ends too late, however late an instance learns of an
// announcement; what other instances know can only make it more precise.
type weightsHistory struct {
	models map[string]*modelHistory
}

// modelHistory is the history of one model's versions. Times are boot times.
type modelHistory struct {
	newest string
	// superseded has the earlier versions that were the newest.
	superseded map[string]supersession
	// earlier is used for versions without an entry: those before the first one that
	// this process learned of. It is known, not assumed, if the store had named none
	// until then.
	earlier      time.Duration
	earlierKnown bool
}

// supersession tells that a version was superseded after a boot time.
type supersession struct {
	after  time.Duration
	logged time.Duration // value of after that was logged last
}

const (
	// maxSupersessions is the number of earlier versions that are kept per model.
	maxSupersessions = 16
	// loggedCorrection is the least change of a time that is logged. After a
	// suspension many small ones may follow each other.
	loggedCorrection = time.Second
)

// recordNewest records the newest version of a model. The version before it was
// the newest until at least before. It reports whether the version is new.
func (h *weightsHistory) recordNewest(model, version string, before time.Duration, isAssumed bool) bool {
	m := h.models[model]
	if m == nil {
		if h.models == nil {
			h.models = make(map[string]*modelHistory)
		}
		h.models[model] = &modelHistory{newest: version, superseded: make(map[string]supersession), earlier: before, earlierKnown: !isAssumed}
		return true
	}
	if !target.IsNewerVersion(version, m.newest) {
		return false
	}
	if !isAssumed {
		m.set(m.newest, supersession{after: before, logged: before})
	}
	m.newest = version
	return true
}

// recordSupersession records what another instance knows. It has no effect on the
// newest version: only the store tells which one that is. It returns the time that
// counted before, and whether the new one replaces it.
func (h *weightsHistory) recordSupersession(model, version string, after time.Duration) (before time.Duration, replaces bool) {
	m := h.models[model]
	if m == nil || !target.IsNewerVersion(m.newest, version) {
		return 0, false
	}
	known, found := m.superseded[version]
	if found && after <= known.after {
		return 0, false
	}
	before = m.earlier
	if found {
		before = known.logged
	}
	next := supersession{after: after, logged: before}
	if (after - before).Abs() >= loggedCorrection {
		next.logged = after
	}
	m.set(version, next)
	return before, true
}

// set adds an entry and removes the one of the oldest version if there are too many.
func (m *modelHistory) set(version string, s supersession) {
	m.superseded[version] = s
	if len(m.superseded) > maxSupersessions {
		delete(m.superseded, slices.MinFunc(slices.Collect(maps.Keys(m.superseded)), target.CompareVersions))
	}
}

// supersededAfter returns the time up to which a version is known to have been the
// newest, and whether that is only assumed. It returns false if it still is.
func (h *weightsHistory) supersededAfter(model, version string) (after time.Duration, isAssumed, superseded bool) {
	m := h.models[model]
	if m == nil || !target.IsNewerVersion(m.newest, version) {
		return 0, false, false
	}
	if s, ok := m.superseded[version]; ok {
		return s.after, false, true
	}
	return m.earlier, !m.earlierKnown, true
}

// RecordNewestVersion records the newest version of a model's weights that the
// store names. The version before it is known, or assumed, to have been the newest
// until the boot time before.
func (t *Targets) RecordNewestVersion(model, version string, before time.Duration, isAssumed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.weights.recordNewest(model, version, before, isAssumed) {
		return
	}
	t.Log.Info("weights named", "model", model, "weights", version, "age_at_most", t.Clock.Elapsed()-before, "assumed", isAssumed)
	if t.current.Load() != nil {
		t.publish()
	}
}

// RecordSupersession records that another instance knows that a version was still
// the newest at a time.
func (t *Targets) RecordSupersession(s gossip.Supersession) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, replaces := t.weights.recordSupersession(s.Model, s.Version, s.After)
	if !replaces {
		return
	}
	if (s.After - before).Abs() >= loggedCorrection {
		t.Log.Info("another instance knows better when weights were superseded", "model", s.Model, "weights", s.Version,
			"age_at_most", t.Clock.Elapsed()-s.After, "before", t.Clock.Elapsed()-before)
	}
	if t.current.Load() != nil {
		t.publish()
	}
}

// Supersessions returns what this instance knows of versions that were the newest
// at most maxAge ago. What is assumed is not returned.
func (t *Targets) Supersessions(maxAge time.Duration) []gossip.Supersession {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []gossip.Supersession
	for model, m := range t.weights.models {
		for version, s := range m.superseded {
			if t.Clock.Elapsed()-s.after <= maxAge {
				out = append(out, gossip.Supersession{Model: model, Version: version, After: s.after})
			}
		}
	}
	return out
}
