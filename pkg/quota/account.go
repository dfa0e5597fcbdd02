package quota

import (
	"sync"
	"time"
)

// account is the balance of one organisation on this instance. The shares that
// the instance holds are pooled in it.
type account struct {
	mu       sync.Mutex
	rate     float64 // of one share
	burst    float64 // of one share
	shares   []heldShare
	balance  float64
	lent     float64 // open loans, and parts of own reservations that wait for loans
	expected float64 // capacity kept free for the move that is on its way
	debt     float64 // used beyond what was reserved; the next refills pay it
	move     TransferID
	moveEnd  time.Duration // a move that comes later is dropped
	last     time.Duration
	history  history
	loans    loans
}

// heldShare is a share's state within one account. A share whose lease has
// expired is frozen: its tokens are set apart until the lease is renewed under
// the same fence, which proves that nobody else held it in between.
type heldShare struct {
	lease  Lease
	from   time.Duration // refilled from then on
	frozen bool
	tokens float64 // of a frozen share
}

func (a *account) active() int {
	n := 0
	for i := range a.shares {
		if !a.shares[i].frozen {
			n++
		}
	}
	return n
}

func (a *account) capacity() float64 { return float64(a.active()) * a.burst }

func (a *account) headroom() float64 {
	return a.capacity() - a.lent - a.expected - a.balance
}

// advance refills up to now, releases loans that can no longer be spent, and
// freezes shares whose lease is over. Time never goes back.
func (a *account) advance(now time.Duration) time.Duration {
	now = max(now, a.last)
	for loan := a.loans.due(now); loan != nil; loan = a.loans.due(now) {
		a.refill(max(a.last, loan.until))
		a.release(loan)
	}
	a.refill(now)
	a.freezeExpired(now)
	return now
}

// refill adds what the active shares gained since the last refill, as far as
// there is room.
func (a *account) refill(now time.Duration) {
	var gained float64
	for i := range a.shares {
		share := &a.shares[i]
		if share.frozen {
			continue
		}
		gained += a.rate * seconds(max(a.last, share.from), min(now, share.lease.ExpiresAt))
	}
	paid := min(gained, a.debt)
	a.debt -= paid
	a.balance += max(0, min(gained-paid, a.headroom()))
	a.last = now
}

func seconds(from, to time.Duration) float64 {
	return max(0, (to - from).Seconds())
}

func (a *account) release(l *loan) {
	a.history.note(a.headroom())
	a.lent = max(0, a.lent-l.amount)
	l.held = false
	l.position = a.history.position
}

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

// takePortion removes one active share's part of the balance.
func (a *account) takePortion() float64 {
	portion := min(a.balance/float64(a.active()), a.burst)
	a.balance -= portion
	return portion
}

// spend takes up to amount and returns what it took.
func (a *account) spend(amount float64) float64 {
	taken := min(amount, a.balance)
	if taken <= 0 {
		return 0
	}
	a.history.note(a.headroom())
	a.balance -= taken
	return taken
}

// validUntil returns the earliest end of the leases that back the balance.
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

func (a *account) giveBack(position uint64, amount float64) {
	a.balance += a.history.credit(position, amount, a.headroom())
}

func (a *account) setLimit(rate, burst float64, now time.Duration) {
	a.advance(now)
	a.history.note(a.headroom())
	a.rate, a.burst = rate, burst
	a.clamp()
}

// clamp drops what no longer fits the capacity.
func (a *account) clamp() {
	a.balance = max(0, min(a.balance, a.capacity()-a.lent-a.expected))
	for i := range a.shares {
		a.shares[i].tokens = min(a.shares[i].tokens, a.burst)
	}
}

// hold adds a share or renews it.
func (a *account) hold(lease Lease, tokens float64, now time.Duration) {
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
		a.remove(i)
		break
	}
	if now >= lease.ExpiresAt {
		return
	}
	a.history.note(a.headroom())
	// The previous holder's loans may still be spent for LoanHold.
	a.shares = append(a.shares, heldShare{lease: lease, from: now + LoanHold})
	a.balance += max(0, min(tokens, a.burst, a.headroom()))
}

func (a *account) renew(share *heldShare, lease Lease, now time.Duration) {
	expired := share.lease.ExpiresAt
	share.lease.ExpiresAt = max(share.lease.ExpiresAt, lease.ExpiresAt)
	if !share.frozen || now >= share.lease.ExpiresAt {
		return
	}
	a.history.note(a.headroom())
	tokens := share.tokens + a.rate*seconds(max(expired, share.from), now)
	share.frozen, share.tokens = false, 0
	a.balance += max(0, min(tokens, a.burst, a.headroom()))
}

// remove gives up the share at index i and returns its tokens.
func (a *account) remove(i int) float64 {
	share := &a.shares[i]
	tokens := share.tokens
	if !share.frozen {
		tokens = a.takePortion()
	}
	a.shares = append(a.shares[:i], a.shares[i+1:]...)
	a.clamp()
	return tokens
}

func (a *account) drop(index int, now time.Duration) float64 {
	a.advance(now)
	for i := range a.shares {
		if a.shares[i].lease.Share == index {
			return a.remove(i)
		}
	}
	return 0
}
