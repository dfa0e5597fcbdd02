package quota

import (
	"context"
	"time"
)

// TransferID identifies a transfer on all instances (a random UUID).
type TransferID [16]byte

// Request requests tokens of an organisation from another instance, as a loan
// or a move. A loan is for one request of the borrower and must be spent within
// LoanLifetime. A move goes into free capacity of the receiver.
type Request struct {
	ID           TransferID `cbor:"1,keyasint"`
	Organisation string     `cbor:"2,keyasint"`
	Amount       float64    `cbor:"3,keyasint"`
	IsMove       bool       `cbor:"4,keyasint,omitempty"`
	Balance      float64    `cbor:"5,keyasint,omitempty"` // of the receiver of a move
	Capacity     float64    `cbor:"6,keyasint,omitempty"` // of the receiver of a move
}

// Grant is the response to a Request. Remaining is the lender's balance after
// it and Rate its refill in tokens per second; the borrower derives its retry
// time from them.
type Grant struct {
	ID        TransferID `cbor:"1,keyasint"`
	Amount    float64    `cbor:"2,keyasint"`
	Remaining float64    `cbor:"3,keyasint"`
	Rate      float64    `cbor:"4,keyasint"`
	// Holders are addresses of instances that hold shares. A lender that could
	// not lend all tokens sets it, for borrowers that have not read the share
	// records because the platform is down.
	Holders []string `cbor:"5,keyasint,omitempty"`
}

// MaxGrantHolders is the largest number of addresses in Grant.Holders.
const MaxGrantHolders = 4

// Return gives back the unspent part of a transfer. It gives back all of a
// transfer whose grant did not arrive in time.
type Return struct {
	ID           TransferID `cbor:"1,keyasint"`
	Organisation string     `cbor:"2,keyasint"`
	Amount       float64    `cbor:"3,keyasint"`
}

// Transferer sends transfers to other instances. Request must return when its
// context ends. Messages may be lost or repeated.
type Transferer interface {
	Request(ctx context.Context, address string, request Request) (Grant, error)
	Return(ctx context.Context, address string, ret Return) error
}

// minMoveFraction is the smallest move as a fraction of the lender's capacity,
// to avoid messages between instances that are almost equally full.
const minMoveFraction = 0.02

// HandleRequest debits a transfer from the balance and returns its grant. A
// repeated request gets the same amount without another debit, and zero after a
// return.
func (l *Ledger) HandleRequest(request Request, now time.Duration) Grant {
	a := l.account(request.Organisation)
	if a == nil {
		return Grant{ID: request.ID}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now = a.advance(now)
	grant := Grant{ID: request.ID, Rate: float64(a.activeShares()) * a.rate}
	grant.Amount = a.lend(request, now)
	grant.Remaining = a.balance
	return grant
}

// lend debits a transfer and returns its amount.
func (a *account) lend(request Request, now time.Duration) float64 {
	if known := a.loans.byID[request.ID]; known != nil {
		if known.returned {
			return 0
		}
		return known.amount
	}
	amount := min(request.Amount, a.balance)
	if request.IsMove {
		amount = min(amount, a.moveAmount(request))
	}
	if !(amount > 0) {
		return 0
	}
	entry := &loan{id: request.ID, amount: amount, heldUntil: now + LoanHold, held: !request.IsMove}
	if !a.loans.add(entry) {
		return 0
	}
	if request.IsMove {
		a.spend(amount)
		entry.position = a.history.position
		return amount
	}
	a.balance -= amount
	a.lent += amount
	return amount
}

// moveAmount returns the size of the move after which both instances are filled
// to the same fraction. It is zero if that is below minMoveFraction.
func (a *account) moveAmount(request Request) float64 {
	capacity := a.capacity()
	if capacity <= 0 || request.Capacity <= 0 {
		return 0
	}
	amount := (a.balance*request.Capacity - request.Balance*capacity) / (capacity + request.Capacity)
	if amount < minMoveFraction*capacity {
		return 0
	}
	return amount
}

// HandleReturn credits the unspent part of a transfer. A repeated return has no
// effect. A return that arrives before its request cancels the request.
func (l *Ledger) HandleReturn(ret Return, now time.Duration) {
	a := l.account(ret.Organisation)
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	entry := a.loans.byID[ret.ID]
	if entry == nil {
		a.loans.add(&loan{id: ret.ID, returned: true})
		return
	}
	if entry.returned {
		return
	}
	entry.returned = true
	amount := max(0, min(ret.Amount, entry.amount))
	if !entry.held {
		a.giveBack(entry.position, amount)
		return
	}
	entry.amount -= amount
	a.returnLent(amount)
}

// returnLent moves lent tokens back to the balance.
func (a *account) returnLent(amount float64) {
	a.lent = max(0, a.lent-amount)
	a.balance += max(0, min(amount, a.headroom()))
}

// PrepareMove reserves free capacity for a move and returns the request to
// send. CompleteMove ends the reservation. PrepareMove returns false if the
// balance is not below fill times the capacity, if there is no free capacity,
// or if a move is pending.
func (l *Ledger) PrepareMove(organisation string, id TransferID, fill float64, now time.Duration) (Request, bool) {
	a := l.account(organisation)
	if a == nil {
		return Request{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now = a.advance(now)
	// Half of the free capacity suffices to become as full as a peer of equal
	// size. The other half is left for refills while the move is pending.
	capacity, room := a.capacity(), a.headroom()/2
	if room <= 0 || a.balance >= fill*capacity || a.expected > 0 {
		return Request{}, false
	}
	a.moveID, a.expected = id, room
	a.moveDeadline = min(a.validUntil(), now+LoanLifetime)
	return Request{ID: id, Organisation: organisation, Amount: room, IsMove: true, Balance: a.balance, Capacity: capacity}, true
}

// CompleteMove adds the granted amount of a move to the balance and ends the
// reservation of capacity. An amount of zero abandons the move. Calls for a
// move that is no longer pending have no effect.
func (l *Ledger) CompleteMove(organisation string, id TransferID, amount float64, now time.Duration) {
	a := l.account(organisation)
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now = a.advance(now)
	if a.moveID != id || a.expected == 0 {
		return
	}
	if now >= a.moveDeadline {
		amount = 0 // another instance may use the capacity by now
	}
	moved := max(0, min(amount, a.expected))
	// Only the moved tokens occupied reserved capacity; the rest was free.
	a.expected = moved
	a.history.record(a.headroom())
	a.expected = 0
	a.balance += max(0, min(moved, a.headroom()))
}
