// Package memlimit bounds the memory that what other processes send takes in this one
// until it is used, over all connections together. A bound for each message does not do
// that: one faulty sender can fill many connections at once.
package memlimit

import "sync"

// ownerDivisor is the part of a budget that one owner can take, so that a faulty one leaves
// the rest to others.
const ownerDivisor = 4

const (
	// SmallBytes is the size up to which a reservation of a budget for callers is small.
	SmallBytes = 64 << 10
	// smallDivisor is the part of a budget for callers that is left to small reservations.
	smallDivisor = 4
	// reservationDivisor is the part of a budget for callers that one reservation can take.
	reservationDivisor = 2
)

// Budget is a number of bytes that reservations share. A nil Budget has no bound. It is
// safe for concurrent use.
type Budget struct {
	total          int64
	maxOwner       int64 // bytes that one owner can take
	maxReservation int64 // bytes that one reservation can take
	forLarge       int64 // bytes in use up to which a reservation above SmallBytes can grow

	mu      sync.Mutex
	used    int64
	byOwner map[string]int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(total int64) *Budget {
	return &Budget{total: total, maxOwner: total / ownerDivisor, maxReservation: total, forLarge: total, byOwner: make(map[string]int64)}
}

// NewCallerBudget returns a budget for what callers send. Its owners are the causes for which
// memory is held, which have no bound of their own. Large reservations leave a part to small
// ones, so that ordinary requests find room beside them.
func NewCallerBudget(total int64) *Budget {
	return &Budget{
		total: total, maxOwner: total, maxReservation: total / reservationDivisor, forLarge: total - total/smallDivisor, byOwner: make(map[string]int64),
	}
}

// Total returns the bytes of the budget.
func (b *Budget) Total() int64 { return b.total }

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
	limit := b.total
	if r.bytes+bytes > SmallBytes {
		limit = b.forLarge
	}
	if b.used+bytes > limit || b.byOwner[r.owner]+bytes > b.maxOwner || r.bytes+bytes > b.maxReservation {
		return false
	}
	b.used += bytes
	b.byOwner[r.owner] += bytes
	r.bytes += bytes
	return true
}

// CanEverGrow reports whether Grow could add the bytes if nothing else were reserved.
func (r *Reservation) CanEverGrow(bytes int64) bool {
	b := r.budget
	return b == nil || r.bytes+bytes <= min(b.maxReservation, b.forLarge)
}

// Bytes returns the bytes that are reserved.
func (r *Reservation) Bytes() int64 { return r.bytes }

// Release returns all of the reservation to the budget.
func (r *Reservation) Release() { r.Shrink(r.bytes) }

// Shrink returns a part of the reservation to the budget.
func (r *Reservation) Shrink(bytes int64) {
	b := r.budget
	if b == nil || bytes <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
	if b.byOwner[r.owner] -= bytes; b.byOwner[r.owner] <= 0 {
		delete(b.byOwner, r.owner)
	}
	r.bytes -= bytes
}

// UsedBy returns the bytes that are reserved for an owner.
func (b *Budget) UsedBy(owner string) int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byOwner[owner]
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
