package quota

// historySize is the number of minima kept. When it is exceeded the two oldest
// are merged, which can only make a later credit smaller.
const historySize = 64

// history keeps the smallest headroom of an account since each past position. A
// returned token may be credited only if it would have fitted into the capacity
// at every instant since it was reserved. Otherwise an organisation could
// refill to its burst while a reservation is open, and then spend both within
// one window.
type history struct {
	position uint64               // current; rises with each recorded minimum
	minima   [historySize]minimum // sorted by position and by headroom, both rising
	n        int                  // minima in use
}

// minimum is the headroom at a position.
type minimum struct {
	position uint64
	headroom float64
}

// record adds the current headroom. It must be called before each rise of the
// headroom.
func (h *history) record(headroom float64) {
	for h.n > 0 && h.minima[h.n-1].headroom >= headroom {
		h.n--
	}
	if h.n == historySize {
		h.minima[1].headroom = h.minima[0].headroom
		copy(h.minima[:], h.minima[1:])
		h.n--
	}
	h.minima[h.n] = minimum{h.position, headroom}
	h.n++
	h.position++
}

// credit returns the part of amount that fitted at every instant since a
// position, and counts that part as present since then. headroom is the current
// one.
func (h *history) credit(since uint64, amount, headroom float64) float64 {
	first := h.n
	for first > 0 && h.minima[first-1].position >= since {
		first--
	}
	if first < h.n {
		headroom = min(headroom, h.minima[first].headroom)
	}
	credited := max(0, min(amount, headroom))
	for i := first; i < h.n; i++ {
		h.minima[i].headroom -= credited
	}
	h.removeDominated(first)
	return credited
}

// removeDominated removes the minima before index first that are no longer
// below the one at that index.
func (h *history) removeDominated(first int) {
	if first == h.n {
		return
	}
	keep := first
	for keep > 0 && h.minima[keep-1].headroom >= h.minima[first].headroom {
		keep--
	}
	copy(h.minima[keep:], h.minima[first:h.n])
	h.n -= first - keep
}
