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
	// hintLifetime is how long a lender's answer is used. An organisation above its
	// rate sends a request in vain to each lender at most once in this time.
	hintLifetime = 200 * time.Millisecond
	// maxLenders bounds the lenders considered for one request, so that its cost
	// does not grow with the fleet.
	maxLenders = 16
	// minLoanTokens is the smallest expected balance worth a message.
	minLoanTokens = 1.0
	// maxHints bounds the hints of an organisation, which may include instances
	// that no longer exist. All are dropped at the bound: they expire soon anyway.
	maxHints = 64
)

// balanceHint is the balance of a lender at its last answer. The balance is 0 if the
// lender did not answer.
type balanceHint struct {
	tokens     float64
	rate       float64       // tokens per second
	receivedAt time.Duration // clock.Clock.Elapsed
}

// balanceHints holds the last hint of each lender for each organisation. It is safe for
// concurrent use.
type balanceHints struct {
	organisations sync.Map      // string to *organisationHints
	rotation      atomic.Uint64 // moves the first lender that rank considers
}

type organisationHints struct {
	mu       sync.Mutex
	byLender map[string]balanceHint
}

// forOrganisation returns the hints of an organisation and creates them on
// first use.
func (h *balanceHints) forOrganisation(organisation string) *organisationHints {
	if found, ok := h.organisations.Load(organisation); ok {
		return found.(*organisationHints)
	}
	found, _ := h.organisations.LoadOrStore(organisation, &organisationHints{byLender: make(map[string]balanceHint)})
	return found.(*organisationHints)
}

// record replaces the hint of a lender.
func (h *balanceHints) record(organisation, lender string, latest balanceHint) {
	o := h.forOrganisation(organisation)
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.byLender) >= maxHints {
		clear(o.byLender)
	}
	o.byLender[lender] = latest
}

// addReturned adds tokens that are being returned to a lender to its hint, if
// there is one.
func (h *balanceHints) addReturned(organisation, lender string, tokens float64) {
	o := h.forOrganisation(organisation)
	o.mu.Lock()
	defer o.mu.Unlock()
	if last, ok := o.byLender[lender]; ok {
		last.tokens += tokens
		o.byLender[lender] = last
	}
}

type lender struct {
	address string
	balance float64 // expected tokens
}

// lenderRanking lists lenders in descending order of their expected balances.
type lenderRanking struct {
	list     [maxLenders]lender
	n        int     // used part of list
	expected float64 // sum of the expected balances of all lenders considered
}

// rank considers up to maxLenders holders and starts at another one on each call.
// The balance of a holder without a recent hint counts as infinite.
func (h *balanceHints) rank(organisation string, holders []string, now time.Duration) lenderRanking {
	var r lenderRanking
	if len(holders) == 0 {
		return r
	}
	start := int(h.rotation.Add(1) % uint64(len(holders)))
	o := h.forOrganisation(organisation)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.prune(holders, now)
	for i := range min(len(holders), maxLenders) {
		address := holders[(start+i)%len(holders)]
		balance := o.expectedBalance(address, now)
		r.expected += balance
		if balance >= minLoanTokens {
			r.list[r.n] = lender{address, balance}
			r.n++
		}
	}
	slices.SortStableFunc(r.list[:r.n], func(a, b lender) int { return cmp.Compare(b.balance, a.balance) })
	return r
}

// expectedBalance returns the tokens that a lender should have now: those of its
// last hint plus refills, or infinity without a recent hint.
func (o *organisationHints) expectedBalance(address string, now time.Duration) float64 {
	last, ok := o.byLender[address]
	if !ok || now-last.receivedAt >= hintLifetime {
		return math.Inf(1)
	}
	return last.tokens + last.rate*(now-last.receivedAt).Seconds()
}

// prune removes expired hints if there are more hints than holders.
func (o *organisationHints) prune(holders []string, now time.Duration) {
	if len(o.byLender) <= len(holders) {
		return
	}
	for address, last := range o.byLender {
		if now-last.receivedAt >= hintLifetime {
			delete(o.byLender, address)
		}
	}
}
