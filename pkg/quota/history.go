package quota

// historySize bounds the remembered minima. When it is full the two oldest are
// merged, which can only make a later return smaller.
const historySize = 64

// history remembers how little free capacity an account had since a past
// position. A returned token may be credited only if it would have fitted all
// the time since it was reserved; otherwise an organisation could refill to its
// burst while a reservation is open and then spend both within one window.
type history struct {
	position uint64
	minima   [historySize]minimum // rising in position and in headroom
	n        int
}

type minimum struct {
	position uint64
	headroom float64
}

// note records the headroom just before it rises.
func (h *history) note(headroom float64) {
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

// credit returns how much of amount fitted at every instant since the position,
// and counts it as present since then.
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
	h.drop(first)
	return credited
}

// drop removes minima before index first that are no longer below it.
func (h *history) drop(first int) {
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
