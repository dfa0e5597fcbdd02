package quota

import "time"

// Reservation holds the tokens reserved for one request. Its methods must not
// be called concurrently.
type Reservation struct {
	Organisation string
	Cost         float64       // tokens
	account      *account      // nil if the organisation is unknown
	local        float64       // tokens from the local balance
	waiting      bool          // local is counted as lent until Commit or Abort
	waitingUntil time.Duration // end of the time in which local can be used
	position     uint64        // of the account's history when local was spent
	expiresAt    time.Duration // earliest expiry of its leases and loans
	loans        []borrowedLoan
}

// borrowedLoan is a loan that was requested. Its grant is applied once.
type borrowedLoan struct {
	id            TransferID
	lender        string
	granted       float64       // tokens
	used          float64       // granted tokens that the reservation needs
	deadline      time.Duration // end of LoanLifetime
	grantReceived bool
}

// PeerReturn is a return of tokens and the address of the lender to send it to.
type PeerReturn struct {
	Address       string
	Return        Return
	GrantReceived bool // the lender's grant was received; otherwise it may not have granted anything
}

// roundingError bounds the relative error of a sum of a few floating-point
// balances.
const roundingError = 1e-9

// Reserve reserves cost tokens, or the whole balance if it is less. A
// reservation with missing tokens must end with a successful Commit or with
// Abort. For an unknown organisation all tokens are missing.
func (l *Ledger) Reserve(organisation string, cost float64, now time.Duration) Reservation {
	r := Reservation{Organisation: organisation, Cost: cost, account: l.account(organisation)}
	a := r.account
	if a == nil {
		return r
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now = a.advance(now)
	r.local = min(cost, a.balance)
	if r.local > 0 {
		r.expiresAt = a.validUntil()
	}
	r.waiting = r.MissingTokens() > 0
	if r.waiting {
		a.balance -= r.local
		a.lent += r.local
		// These tokens expire like those of a loan: after LoanHold another
		// instance may use the capacity that they came from.
		r.waitingUntil = min(r.expiresAt, now+LoanLifetime)
		r.expiresAt = r.waitingUntil
		return r
	}
	a.spend(r.local)
	r.position = a.history.position
	return r
}

// MissingTokens returns the number of tokens that the reservation still lacks.
func (r *Reservation) MissingTokens() float64 {
	missing := r.Cost - r.local
	for i := range r.loans {
		missing -= r.loans[i].used
	}
	if missing < roundingError*r.Cost {
		return 0
	}
	return missing
}

// NewLoanRequest returns the request for a loan of the missing tokens from the
// lender at an address. now must be read before the request is sent, since the
// lifetime of the loan starts then.
func (r *Reservation) NewLoanRequest(lender string, id TransferID, now time.Duration) Request {
	r.loans = append(r.loans, borrowedLoan{id: id, lender: lender, deadline: now + LoanLifetime})
	return Request{ID: id, Organisation: r.Organisation, Amount: r.MissingTokens()}
}

// ApplyGrant adds the tokens of a grant to the reservation. A grant that is
// repeated, that arrives after LoanLifetime, or that was not requested has no
// effect.
func (r *Reservation) ApplyGrant(grant Grant, now time.Duration) {
	for i := range r.loans {
		b := &r.loans[i]
		if b.id != grant.ID || b.grantReceived {
			continue
		}
		b.grantReceived = true
		b.granted = max(0, grant.Amount)
		if now >= b.deadline || b.granted == 0 {
			return
		}
		b.used = min(b.granted, r.MissingTokens())
		if r.expiresAt == 0 || b.deadline < r.expiresAt {
			r.expiresAt = b.deadline
		}
		return
	}
}

// Commit reports whether the request may run: no tokens are missing, and no
// lease or loan that they came from has expired.
func (r *Reservation) Commit(now time.Duration) bool {
	if r.MissingTokens() > 0 || (r.Cost > 0 && now >= r.expiresAt) {
		return false
	}
	if !r.waiting {
		return true
	}
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.advance(now) >= r.expiresAt {
		return false // a concurrent call has advanced the account beyond now
	}
	a.history.record(a.headroom())
	a.lent = max(0, a.lent-r.local)
	r.position = a.history.position
	r.waiting = false
	return true
}

// Settle gives unused tokens back, first to the local balance and then to
// lenders by the returned messages, which the caller has to send. A second call
// has no effect.
func (r *Reservation) Settle(unused float64, now time.Duration) []PeerReturn {
	unused = max(0, min(unused, r.Cost))
	local := min(unused, r.local)
	r.returnLocal(local, now)
	rest := unused - local
	var returns []PeerReturn
	for _, b := range r.loans {
		unusedPart := min(rest, b.used)
		rest -= unusedPart
		amount := b.granted - b.used + unusedPart
		if !b.grantReceived {
			amount = r.Cost // no grant received: return at least what was requested
		}
		if amount > 0 {
			returns = append(returns, PeerReturn{b.lender, Return{b.id, r.Organisation, amount}, b.grantReceived})
		}
	}
	r.local, r.loans, r.Cost, r.waiting = 0, nil, 0, false
	return returns
}

// returnLocal gives unused tokens back to the local balance.
func (r *Reservation) returnLocal(amount float64, now time.Duration) {
	if r.account == nil || (amount <= 0 && !r.waiting) {
		return
	}
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	now = a.advance(now)
	if r.waiting && now >= r.waitingUntil {
		a.lent = max(0, a.lent-amount)
		return
	}
	if r.waiting {
		a.returnLent(amount)
		return
	}
	a.giveBack(r.position, amount)
}

// Charge takes tokens that a request used beyond its reservation. If the
// balance does not suffice, the rest is deducted from the next refills, up to
// the burst of one share. So estimates that are too low do not raise the
// long-term rate.
func (l *Ledger) Charge(organisation string, amount float64, now time.Duration) {
	a := l.account(organisation)
	if a == nil || amount <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	a.debt = min(a.debt+amount-a.spend(amount), a.burst)
}

// Abort gives all tokens back, including those of loans whose grant was not
// received. The caller has to send the returned messages.
func (r *Reservation) Abort(now time.Duration) []PeerReturn {
	return r.Settle(r.Cost, now)
}
