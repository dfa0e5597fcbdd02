package quota

import "time"

// Reservation holds the tokens of one request. Its methods must not be called
// concurrently.
type Reservation struct {
	Organisation string
	Cost         float64
	account      *account
	local        float64
	waiting      bool // local counts as lent until Commit or Abort
	waitingUntil time.Duration
	position     uint64
	until        time.Duration // end of the earliest lease or loan in it
	loans        []borrowed
}

// borrowed is a loan that was asked for. It is credited once.
type borrowed struct {
	id       TransferID
	lender   string
	granted  float64
	used     float64
	deadline time.Duration
	answered bool
}

// PeerReturn is a return and the address to send it to.
type PeerReturn struct {
	Address       string
	Return        Return
	GrantReceived bool // the lender granted what is returned
}

// roundingError is the relative error of sums of a few floating-point balances.
const roundingError = 1e-9

// Reserve takes the cost from the balance, or as much of it as there is. A
// reservation that lacks tokens must end with Commit or Abort.
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
		r.until = a.validUntil()
	}
	r.waiting = r.MissingTokens() > 0
	if r.waiting {
		a.balance -= r.local
		a.lent += r.local
		// Like a loan: after LoanHold another instance may use the capacity that
		// the tokens came from.
		r.waitingUntil = min(r.until, now+LoanLifetime)
		r.until = r.waitingUntil
		return r
	}
	a.spend(r.local)
	r.position = a.history.position
	return r
}

// MissingTokens returns the tokens that the reservation still lacks.
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

// NewLoanRequest returns the request for a loan of the missing tokens. now is read before
// the request is sent.
func (r *Reservation) NewLoanRequest(lender string, id TransferID, now time.Duration) Request {
	r.loans = append(r.loans, borrowed{id: id, lender: lender, deadline: now + LoanLifetime})
	return Request{ID: id, Organisation: r.Organisation, Amount: r.MissingTokens()}
}

// ApplyGrant credits a grant once. A grant that comes too late to be spent, or that
// was not asked for, counts for nothing.
func (r *Reservation) ApplyGrant(grant Grant, now time.Duration) {
	for i := range r.loans {
		b := &r.loans[i]
		if b.id != grant.ID || b.answered {
			continue
		}
		b.answered = true
		b.granted = max(0, grant.Amount)
		if now >= b.deadline || b.granted == 0 {
			return
		}
		b.used = min(b.granted, r.MissingTokens())
		if r.until == 0 || b.deadline < r.until {
			r.until = b.deadline
		}
		return
	}
}

// Commit reports whether the request may run: all tokens are there, and all
// leases and loans that they came from are still valid.
func (r *Reservation) Commit(now time.Duration) bool {
	if r.MissingTokens() > 0 || (r.Cost > 0 && now >= r.until) {
		return false
	}
	if !r.waiting {
		return true
	}
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.advance(now) >= r.until {
		return false // the caller's now is older than another's
	}
	a.history.note(a.headroom())
	a.lent = max(0, a.lent-r.local)
	r.position = a.history.position
	r.waiting = false
	return true
}

// Settle gives the unused part back: first to the own balance, then to lenders
// by the returns that it yields. A second call has no effect.
func (r *Reservation) Settle(unused float64, now time.Duration) []PeerReturn {
	unused = max(0, min(unused, r.Cost))
	local := min(unused, r.local)
	r.settleLocal(local, now)
	rest := unused - local
	var returns []PeerReturn
	for _, b := range r.loans {
		part := min(rest, b.used)
		rest -= part
		amount := b.granted - b.used + part
		if !b.answered {
			amount = r.Cost // more than was asked for: the grant never came
		}
		if amount > 0 {
			returns = append(returns, PeerReturn{b.lender, Return{b.id, r.Organisation, amount}, b.answered})
		}
	}
	r.local, r.loans, r.Cost, r.waiting = 0, nil, 0, false
	return returns
}

func (r *Reservation) settleLocal(amount float64, now time.Duration) {
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
		a.unlend(amount)
		return
	}
	a.giveBack(r.position, amount)
}

// Charge takes tokens that were used beyond a reservation. What the balance
// lacks is taken from the next refills, so that estimates that are too low do
// not raise the rate in the long run.
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

// Abort gives everything back, including loans whose grant never came.
func (r *Reservation) Abort(now time.Duration) []PeerReturn {
	return r.Settle(r.Cost, now)
}
