package quota

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Ledger holds the balances of all organisations on one instance. It is safe
// for concurrent use. Reservations lock only the account of their organisation.
// A time before that of an earlier call counts as the time of that call.
type Ledger struct {
	accounts atomic.Pointer[map[string]*account]

	mu         sync.Mutex    // guards the fields below; not locked by reservations
	generation uint64        // of the limits in force
	shares     int           // per organisation, over all instances
	leases     map[int]Lease // held, by share
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

// Configure applies the limits of a configuration. A generation that is not
// higher than the one in force is ignored. The first call fixes the number of
// shares, since shares of different sizes could sum to more than the burst.
// Each share changes from the old to the new limit in one step, so shares on
// different instances never sum to more than the larger limit. A new
// organisation starts with an empty balance, because it may have been removed,
// with its tokens spent, just before.
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

// newAccount returns an empty account with all held shares.
func (l *Ledger) newAccount(now time.Duration) *account {
	a := &account{refilledAt: now}
	for _, lease := range l.leases {
		a.applyLease(lease, 0, now)
	}
	return a
}

// Shares returns the number of shares of each organisation over all instances.
// It is zero before the first Configure.
func (l *Ledger) Shares() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares
}

// ApplyLease adds the share of a new lease, or renews the lease of a held
// share. tokens are those that the previous holder left, by organisation; they
// are credited only if the fence is new.
func (l *Ledger) ApplyLease(lease Lease, tokens map[string]float64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leases[lease.Share] = lease
	for name, a := range *l.accounts.Load() {
		a.mu.Lock()
		a.applyLease(lease, tokens[name], now)
		a.mu.Unlock()
	}
}

// ReleaseShare removes a share and returns its tokens by organisation. They are
// lost if the caller fails to store them for the next holder.
func (l *Ledger) ReleaseShare(share int, now time.Duration) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.leases, share)
	tokens := make(map[string]float64)
	for name, a := range *l.accounts.Load() {
		a.mu.Lock()
		if left := a.removeShare(share, now); left > 0 {
			tokens[name] = left
		}
		a.mu.Unlock()
	}
	return tokens
}

// Balance returns the tokens that an organisation can spend on this instance
// without a loan. It is zero for an unknown organisation.
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

// BurstPerShare returns the burst of one share, in tokens by organisation.
func (l *Ledger) BurstPerShare() map[string]float64 {
	tokens := make(map[string]float64)
	for name, a := range *l.accounts.Load() {
		a.mu.Lock()
		tokens[name] = a.burst
		a.mu.Unlock()
	}
	return tokens
}

// Organisations returns the names of all organisations in alphabetical order.
func (l *Ledger) Organisations() []string {
	return slices.Sorted(maps.Keys(*l.accounts.Load()))
}
