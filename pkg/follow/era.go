package follow

import "time"

// eraHistory is what a process knows of the eras of the store.
type eraHistory struct {
	isKnown       bool
	first, newest uint64
	newestSeenAt  time.Duration // on the clock of StoreHealth
	restores      int           // rises that this process has seen
}

// RecordEra records an era of the store that an answer or another instance stated. A rise
// means that the store was restored from a copy. It counts as the end of an outage: entries
// that the copy does not have are written again within seconds.
func (h *StoreHealth) RecordEra(era uint64) {
	if h.recordEra(era) && h.OnNewEra != nil {
		h.OnNewEra()
	}
}

func (h *StoreHealth) recordEra(era uint64) (isRestored bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.eras.newest
	switch {
	case !h.eras.isKnown:
		h.eras = eraHistory{isKnown: true, first: era, newest: era, newestSeenAt: h.Clock.Elapsed()}
		return false
	case era <= before:
		return false
	}
	h.eras.newest = era
	h.eras.restores++
	h.eras.newestSeenAt = h.Clock.Elapsed()
	h.recoveredAt = h.eras.newestSeenAt
	h.Log.Warn("the store was restored from a copy; what it acknowledged since the copy is lost", "era", era, "before", before)
	return true
}

// Era returns the newest era of the store that is known, and whether any is.
func (h *StoreHealth) Era() (era uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.eras.newest, h.eras.isKnown
}

// EraSeenAt returns when this process first knew that an era had begun, and whether it does.
func (h *StoreHealth) EraSeenAt(era uint64) (at time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.eras.newestSeenAt, h.eras.isKnown && h.eras.newest == era
}

// FirstEra returns the era of the store at the start of this process, and whether it is
// known.
func (h *StoreHealth) FirstEra() (era uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.eras.first, h.eras.isKnown
}

// Restores returns how many times this process has found the store restored.
func (h *StoreHealth) Restores() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.eras.restores
}
