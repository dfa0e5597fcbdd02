package quota

import (
	"sync"
	"time"
)

// account is the balance of one organisation on this instance, for all shares
// that the instance holds. Methods are called with mu held.
type account struct {
	mu           sync.Mutex
	rate         float64 // of one share
	burst        float64 // of one share
	shares       []heldShare
	balance      float64       // tokens that can be spent or lent
	lent         float64       // tokens of open loans, and of own reservations that wait for loans
	expected     float64       // capacity reserved for the pending move
	debt         float64       // tokens used beyond reservations; deducted from the next refills
	moveID       TransferID    // of the pending move
	moveDeadline time.Duration // a grant for the move is dropped from then on
	refilledAt   time.Duration
	history      history
	loans        loans
}

// heldShare is the state of a share within an account. A share whose lease has
// expired is frozen: its tokens are removed from the balance until the lease is
// renewed with the same fence, which proves that there was no other holder
// since.
type heldShare struct {
	lease      Lease
	refillFrom time.Duration // no refill before
	frozen     bool
	tokens     float64 // of a frozen share
}

// activeShares returns the number of shares that are not frozen.
func (a *account) activeShares() int {
	n := 0
	for i := range a.shares {
		if !a.shares[i].frozen {
			n++
		}
	}
	return n
}

// capacity returns the burst of all active shares.
func (a *account) capacity() float64 { return float64(a.activeShares()) * a.burst }

// headroom returns the free capacity. It is negative after the capacity shrank.
func (a *account) headroom() float64 {
	return a.capacity() - a.lent - a.expected - a.balance
}

// advance applies refills, ends of loans and ends of leases up to now. It
// returns now, or the time of the last refill if that is later.
func (a *account) advance(now time.Duration) time.Duration {
	now = max(now, a.refilledAt)
	for loan := a.loans.nextExpired(now); loan != nil; loan = a.loans.nextExpired(now) {
		a.refill(max(a.refilledAt, loan.heldUntil))
		a.endLoan(loan)
	}
	a.refill(now)
	a.freezeExpired(now)
	return now
}

// refill adds the tokens that active shares gained since the last refill, after
// deducting debt, and drops those that exceed the capacity.
func (a *account) refill(now time.Duration) {
	var gained float64
	for i := range a.shares {
		share := &a.shares[i]
		if share.frozen {
			continue
		}
		gained += a.rate * seconds(max(a.refilledAt, share.refillFrom), min(now, share.lease.ExpiresAt))
	}
	paid := min(gained, a.debt)
	a.debt -= paid
	a.balance += max(0, min(gained-paid, a.headroom()))
	a.refilledAt = now
}

// seconds returns the length of an interval; zero if it ends before it starts.
func seconds(from, to time.Duration) float64 {
	return max(0, (to - from).Seconds())
}

// endLoan frees the capacity of a loan that can no longer be spent.
func (a *account) endLoan(l *loan) {
	a.history.record(a.headroom())
	a.lent = max(0, a.lent-l.amount)
	l.held = false
	l.position = a.history.position
}

// freezeExpired freezes shares whose lease has expired.
func (a *account) freezeExpired(now time.Duration) {
	for i := range a.shares {
		share := &a.shares[i]
		if share.frozen || now < share.lease.ExpiresAt {
			continue
		}
		share.tokens = a.takePortion()
		share.frozen = true
	}
}

// takePortion removes one active share's part of the balance and returns it.
func (a *account) takePortion() float64 {
	portion := min(a.balance/float64(a.activeShares()), a.burst)
	a.balance -= portion
	return portion
}

// spend removes up to amount from the balance and returns the number removed.
func (a *account) spend(amount float64) float64 {
	taken := min(amount, a.balance)
	if taken <= 0 {
		return 0
	}
	a.history.record(a.headroom())
	a.balance -= taken
	return taken
}

// validUntil returns the earliest expiry of the active leases, or zero if there
// are none.
func (a *account) validUntil() time.Duration {
	var until time.Duration
	for i := range a.shares {
		share := &a.shares[i]
		if !share.frozen && (until == 0 || share.lease.ExpiresAt < until) {
			until = share.lease.ExpiresAt
		}
	}
	return until
}

// giveBack credits unspent tokens that were removed at a position of the
// history.
func (a *account) giveBack(position uint64, amount float64) {
	a.balance += a.history.credit(position, amount, a.headroom())
}

// setLimit sets the rate and burst of one share.
func (a *account) setLimit(rate, burst float64, now time.Duration) {
	a.advance(now)
	a.history.record(a.headroom())
	a.rate, a.burst = rate, burst
	a.clamp()
}

// clamp drops tokens that exceed the capacity.
func (a *account) clamp() {
	a.balance = max(0, min(a.balance, a.capacity()-a.lent-a.expected))
	for i := range a.shares {
		a.shares[i].tokens = min(a.shares[i].tokens, a.burst)
	}
}

// applyLease adds a share with the given tokens, or renews the share if the
// fence is unchanged. tokens is ignored for a renewal.
func (a *account) applyLease(lease Lease, tokens float64, now time.Duration) {
	now = a.advance(now)
	for i := range a.shares {
		share := &a.shares[i]
		if share.lease.Share != lease.Share {
			continue
		}
		if share.lease.Fence == lease.Fence {
			a.renew(share, lease, now)
			return
		}
		a.removeAt(i)
		break
	}
	if now >= lease.ExpiresAt {
		return
	}
	a.history.record(a.headroom())
	// Loans of the previous holder may still be spent for LoanHold.
	a.shares = append(a.shares, heldShare{lease: lease, refillFrom: now + LoanHold})
	a.balance += max(0, min(tokens, a.burst, a.headroom()))
}

// renew extends the lease of a share and thaws the share if it was frozen.
func (a *account) renew(share *heldShare, lease Lease, now time.Duration) {
	expired := share.lease.ExpiresAt
	share.lease.ExpiresAt = max(share.lease.ExpiresAt, lease.ExpiresAt)
	if !share.frozen || now >= share.lease.ExpiresAt {
		return
	}
	a.history.record(a.headroom())
	tokens := share.tokens + a.rate*seconds(max(expired, share.refillFrom), now)
	share.frozen, share.tokens = false, 0
	a.balance += max(0, min(tokens, a.burst, a.headroom()))
}

// removeAt removes the share at index i of a.shares and returns its tokens.
func (a *account) removeAt(i int) float64 {
	share := &a.shares[i]
	tokens := share.tokens
	if !share.frozen {
		tokens = a.takePortion()
	}
	a.shares = append(a.shares[:i], a.shares[i+1:]...)
	a.clamp()
	return tokens
}

// removeShare removes a share, if held, and returns its tokens.
func (a *account) removeShare(index int, now time.Duration) float64 {
	a.advance(now)
	for i := range a.shares {
		if a.shares[i].lease.Share == index {
			return a.removeAt(i)
		}
	}
	return 0
}
