package quota

import (
	"context"
	"time"
)

// TransferID identifies a transfer across the fleet (a random UUID).
type TransferID [16]byte

// Request asks another instance for tokens of an organisation. A loan is for
// one request of the borrower and must be spent within LoanLifetime. A move
// goes into free capacity of the receiver, which says how full it is.
type Request struct {
	ID           TransferID `cbor:"1,keyasint"`
	Organisation string     `cbor:"2,keyasint"`
	Amount       float64    `cbor:"3,keyasint"`
	IsMove       bool       `cbor:"4,keyasint,omitempty"`
	Balance      float64    `cbor:"5,keyasint,omitempty"` // receiver of a move
	Capacity     float64    `cbor:"6,keyasint,omitempty"` // receiver of a move
}

// Grant answers a Request. Left and Rate tell the lender's remaining balance
// and refill, so that the borrower does not ask again in vain.
type Grant struct {
	ID        TransferID `cbor:"1,keyasint"`
	Amount    float64    `cbor:"2,keyasint"`
	Remaining float64    `cbor:"3,keyasint"`
	Rate      float64    `cbor:"4,keyasint"`
	// Holders are addresses of instances that hold shares, from a lender that
	// could not lend all. A borrower that has not read the share records yet,
	// because the platform is down, learns of them in this way.
	Holders []string `cbor:"5,keyasint,omitempty"`
}

// MaxGrantHolders bounds Grant.Holders.
const MaxGrantHolders = 4

// Return gives back the part of a transfer that was not spent. A transfer whose
// grant did not arrive in time is returned whole.
type Return struct {
	ID           TransferID `cbor:"1,keyasint"`
	Organisation string     `cbor:"2,keyasint"`
	Amount       float64    `cbor:"3,keyasint"`
}

// Transferer carries transfers to other instances. Request must end with its
// context; any message may be lost or repeated.
type Transferer interface {
	Request(ctx context.Context, address string, request Request) (Grant, error)
	Return(ctx context.Context, address string, ret Return) error
}

// minMoveFraction of the lender's capacity is the smallest move, so that nearly
// equal instances do not exchange messages for nothing.
const minMoveFraction = 0.02

// HandleRequest debits a transfer. A repeated request gets the same answer.
func (l *Ledger) HandleRequest(request Request, now time.Duration) Grant {
	a := l.account(request.Organisation)
	if a == nil {
		return Grant{ID: request.ID}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now = a.advance(now)
	grant := Grant{ID: request.ID, Rate: float64(a.active()) * a.rate}
	grant.Amount = a.lend(request, now)
	grant.Remaining = a.balance
	return grant
}

func (a *account) lend(request Request, now time.Duration) float64 {
	if known := a.loans.byID[request.ID]; known != nil {
		if known.returned {
			return 0
		}
		return known.amount
	}
	amount := min(request.Amount, a.balance)
	if request.IsMove {
		amount = min(amount, a.surplus(request))
	}
	if !(amount > 0) {
		return 0
	}
	entry := &loan{id: request.ID, amount: amount, until: now + LoanHold, held: !request.IsMove}
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

// surplus is the move after which both instances are equally full.
func (a *account) surplus(request Request) float64 {
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

// HandleReturn credits the unspent part of a transfer once. A return that
// overtakes its request cancels the request.
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
	a.unlend(amount)
}

// unlend turns lent tokens back into balance.
func (a *account) unlend(amount float64) {
	a.lent = max(0, a.lent-amount)
	a.balance += max(0, min(amount, a.headroom()))
}

// PrepareMove reserves free capacity for a move and returns the request to send. It
// reports false if the balance is not below fill times the capacity.
func (l *Ledger) PrepareMove(organisation string, id TransferID, fill float64, now time.Duration) (Request, bool) {
	a := l.account(organisation)
	if a == nil {
		return Request{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now = a.advance(now)
	// Half of the room suffices to become as full as an equal peer, and leaves
	// the other half to the own refill while the move is on its way.
	capacity, room := a.capacity(), a.headroom()/2
	if room <= 0 || a.balance >= fill*capacity || a.expected > 0 {
		return Request{}, false
	}
	a.move, a.expected = id, room
	a.moveEnd = min(a.validUntil(), now+LoanLifetime)
	return Request{ID: id, Organisation: organisation, Amount: room, IsMove: true, Balance: a.balance, Capacity: capacity}, true
}

// CompleteMove adds a move to the balance and frees the capacity reserved for it. A
// grant that is repeated, or that comes after the move was given up by a credit
// of zero, has no effect.
func (l *Ledger) CompleteMove(organisation string, id TransferID, amount float64, now time.Duration) {
	a := l.account(organisation)
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now = a.advance(now)
	if a.move != id || a.expected == 0 {
		return
	}
	if now >= a.moveEnd {
		amount = 0 // another instance may have the room by now
	}
	moved := max(0, min(amount, a.expected))
	// Of the reserved room only the moved tokens were on their way.
	a.expected = moved
	a.history.note(a.headroom())
	a.expected = 0
	a.balance += max(0, min(moved, a.headroom()))
}
