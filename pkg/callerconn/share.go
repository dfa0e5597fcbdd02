package callerconn

import "net/http"

const (
	// shortDivisor: memory is short while less than that part of the budget is left.
	shortDivisor = 4
	// ownerDivisor is the part of the budget that one owner can hold while memory is short.
	ownerDivisor = 2
)

// Holding is what a request counts for its owner until Release. A nil Holding counts for none.
type Holding struct {
	limiter *Limiter
	owner   string
	bytes   int64
}

// HoldFor counts a request for its owner, such as an organisation. It returns ErrOutOfMemory if
// memory is short and the owner holds most of it, so that others find some. Bodies count once they
// are complete: others give way. Load pattern: one owner sends more than the process can hold, and
// its requests stay until their deadlines.
func (l *Limiter) HoldFor(owner string, r *http.Request) (*Holding, error) {
	if l == nil {
		return nil, nil
	}
	h := &Holding{limiter: l, owner: owner}
	total := l.budget.Total()
	isShort := l.budget.Used() > total-total/shortDivisor
	if held := h.add(headCost(r)); isShort && held > total/ownerDivisor {
		h.Release()
		l.recordEvent(l.refused, causeHead, "request refused; its organisation holds most of the memory for callers", "organisation", owner, "held", held)
		return nil, ErrOutOfMemory
	}
	return h, nil
}

// AddBody counts a complete body.
func (h *Holding) AddBody(body []byte) {
	if h != nil {
		h.add(int64(len(body)))
	}
}

// Release ends the counting.
func (h *Holding) Release() {
	if h != nil {
		h.add(-h.bytes)
	}
}

// add counts bytes and returns those of the owner.
func (h *Holding) add(bytes int64) int64 {
	l := h.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	h.bytes += bytes
	held := l.byOwner[h.owner] + bytes
	if held > 0 {
		l.byOwner[h.owner] = held
	} else {
		delete(l.byOwner, h.owner)
	}
	return held
}
