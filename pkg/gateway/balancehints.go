package gateway

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// hintLife is how long a lender's answer is believed. It bounds how often an
	// organisation above its rate asks each lender in vain.
	hintLife = 200 * time.Millisecond
	// maxLenders bounds the instances considered for one request, so that its
	// cost does not grow with the fleet.
	maxLenders = 16
	// minLoan is the smallest balance worth a message.
	minLoan = 1.0
	// maxHints bounds the memory of an organisation against addresses of
	// instances that are gone. Hints live shortly, so dropping all costs little.
	maxHints = 64
)

// hint is what a lender said about its balance. The zero balance also stands
// for a lender that did not answer.
type hint struct {
	left float64
	rate float64
	at   time.Duration
}

// hints holds the last hint of each lender for each organisation.
type hints struct {
	organisations sync.Map // string to *organisationHints
	turn          atomic.Uint64
}

type organisationHints struct {
	mu       sync.Mutex
	byLender map[string]hint
}

func (h *hints) of(organisation string) *organisationHints {
	if found, ok := h.organisations.Load(organisation); ok {
		return found.(*organisationHints)
	}
	found, _ := h.organisations.LoadOrStore(organisation, &organisationHints{byLender: make(map[string]hint)})
	return found.(*organisationHints)
}

func (h *hints) note(organisation, lender string, said hint) {
	o := h.of(organisation)
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.byLender) >= maxHints {
		clear(o.byLender)
	}
	o.byLender[lender] = said
}

// add notes that a lender gets tokens back.
func (h *hints) add(organisation, lender string, tokens float64) {
	o := h.of(organisation)
	o.mu.Lock()
	defer o.mu.Unlock()
	if said, ok := o.byLender[lender]; ok {
		said.left += tokens
		o.byLender[lender] = said
	}
}

type lender struct {
	address string
	likely  float64
}

// ranking lists lenders, the most likely first, and what they may have together.
type ranking struct {
	list     [maxLenders]lender
	n        int
	expected float64
}

// rank considers up to maxLenders holders, others each time. A holder without a
// recent hint may have any balance.
func (h *hints) rank(organisation string, holders []string, now time.Duration) ranking {
	var r ranking
	if len(holders) == 0 {
		return r
	}
	start := int(h.turn.Add(1) % uint64(len(holders)))
	o := h.of(organisation)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.prune(holders, now)
	for i := range min(len(holders), maxLenders) {
		address := holders[(start+i)%len(holders)]
		likely := o.likely(address, now)
		r.expected += likely
		if likely >= minLoan {
			r.list[r.n] = lender{address, likely}
			r.n++
		}
	}
	slices.SortStableFunc(r.list[:r.n], func(a, b lender) int { return cmp.Compare(b.likely, a.likely) })
	return r
}

func (o *organisationHints) likely(address string, now time.Duration) float64 {
	said, ok := o.byLender[address]
	if !ok || now-said.at >= hintLife {
		return math.Inf(1)
	}
	return said.left + said.rate*(now-said.at).Seconds()
}

// prune forgets old hints once there are more than current holders.
func (o *organisationHints) prune(holders []string, now time.Duration) {
	if len(o.byLender) <= len(holders) {
		return
	}
	for address, said := range o.byLender {
		if now-said.at >= hintLife {
			delete(o.byLender, address)
		}
	}
}
