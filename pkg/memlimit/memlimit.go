// Package memlimit bounds the memory that what other processes send takes in this one
// until it is used, over all connections together. A bound for each message does not do
// that: one faulty sender can fill many connections at once.
package memlimit

import "sync"

// ownerDivisor is the part of a budget that one owner can take, so that a faulty one leaves
// the rest to others.
const ownerDivisor = 4

// Budget is a number of bytes that reservations share. A nil Budget has no bound. It is
// safe for concurrent use.
type Budget struct {
	total int64

	mu      sync.Mutex
	used    int64
	byOwner map[string]int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(total int64) *Budget {
	return &Budget{total: total, byOwner: make(map[string]int64)}
}

// Reservation is what one holder has taken of a budget for an owner. It is used by one
// goroutine at a time. The zero value has no bound.
type Reservation struct {
	budget *Budget
	owner  string
	bytes  int64
}

// For returns an empty reservation for an owner.
func (b *Budget) For(owner string) Reservation { return Reservation{budget: b, owner: owner} }

// Grow adds bytes to the reservation and reports whether they are left in the budget and in
// the owner's part of it. Otherwise the reservation stays as it is.
func (r *Reservation) Grow(bytes int64) bool {
	b := r.budget
	if b == nil || bytes <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+bytes > b.total || b.byOwner[r.owner]+bytes > b.total/ownerDivisor {
		return false
	}
	b.used += bytes
	b.byOwner[r.owner] += bytes
	r.bytes += bytes
	return true
}

// Release returns all of the reservation to the budget.
func (r *Reservation) Release() {
	b := r.budget
	if b == nil || r.bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= r.bytes
	if b.byOwner[r.owner] -= r.bytes; b.byOwner[r.owner] <= 0 {
		delete(b.byOwner, r.owner)
	}
	r.bytes = 0
}

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
