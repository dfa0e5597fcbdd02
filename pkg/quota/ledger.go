package quota

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Ledger holds the balances of all organisations on one instance. Reservations
// lock only the account of their organisation.
type Ledger struct {
	accounts atomic.Pointer[map[string]*account]

	mu         sync.Mutex // guards the fields below; never taken by a reservation
	generation uint64
	shares     int
	leases     map[int]Lease
}

// NewLedger returns a ledger without shares and organisations.
func NewLedger() *Ledger {
	l := &Ledger{leases: make(map[int]Lease)}
	l.accounts.Store(&map[string]*account{})
	return l
}

func (l *Ledger) account(organisation string) *account {
	return (*l.accounts.Load())[organisation]
}

// Configure puts limits in force. A generation that is not higher than the one
// in force is ignored. The number of shares is fixed by the first call, since
// shares of different sizes could sum to more than the burst. Each share
// changes from the old to the new limit at once, so shares that have changed
// and shares that have not never sum to more than the larger limit. A new
// organisation starts empty, because it may have been removed a moment ago.
func (l *Ledger) Configure(generation uint64, shares int, limits []Limit, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if generation <= l.generation || shares <= 0 {
		return
	}
	l.generation = generation
	if l.shares == 0 {
		l.shares = shares
	}
	old := *l.accounts.Load()
	accounts := make(map[string]*account, len(limits))
	for _, limit := range limits {
		a := old[limit.Organisation]
		if a == nil {
			a = l.newAccount(now)
		}
		a.mu.Lock()
		a.setLimit(limit.Rate/float64(l.shares), limit.Burst/float64(l.shares), now)
		a.mu.Unlock()
		accounts[limit.Organisation] = a
	}
	l.accounts.Store(&accounts)
}

func (l *Ledger) newAccount(now time.Duration) *account {
	a := &account{last: now}
	for _, lease := range l.leases {
		a.hold(lease, 0, now)
	}
	return a
}

// Shares returns the number of shares, zero before the first Configure.
func (l *Ledger) Shares() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares
}

// ApplyLease adds a share with the tokens that its last holder handed back, or renews
// its lease. The tokens are credited only when the fence is new.
func (l *Ledger) ApplyLease(lease Lease, tokens map[string]float64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leases[lease.Share] = lease
	for name, a := range *l.accounts.Load() {
		a.mu.Lock()
		a.hold(lease, tokens[name], now)
		a.mu.Unlock()
	}
}

// ReleaseShare gives up a share and returns its tokens per organisation. They can be
// spent no more, whatever becomes of the write that hands them back.
func (l *Ledger) ReleaseShare(share int, now time.Duration) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.leases, share)
	tokens := make(map[string]float64)
	for name, a := range *l.accounts.Load() {
		a.mu.Lock()
		if left := a.drop(share, now); left > 0 {
			tokens[name] = left
		}
		a.mu.Unlock()
	}
	return tokens
}

// Balance returns the balance, without loans that could still be asked for.
func (l *Ledger) Balance(organisation string, now time.Duration) float64 {
	a := l.account(organisation)
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	return a.balance
}

// BurstPerShare returns one share's part of each organisation's burst.
func (l *Ledger) BurstPerShare() map[string]float64 {
	tokens := make(map[string]float64)
	for name, a := range *l.accounts.Load() {
		a.mu.Lock()
		tokens[name] = a.burst
		a.mu.Unlock()
	}
	return tokens
}

// Organisations returns the names of all organisations in order.
func (l *Ledger) Organisations() []string {
	return slices.Sorted(maps.Keys(*l.accounts.Load()))
}
