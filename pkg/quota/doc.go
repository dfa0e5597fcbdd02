// Package quota keeps the token balances of organisations. Each organisation's
// rate and burst are divided into shares; an instance refills only the shares
// whose lease it holds. The package does no I/O, and time is passed in as the
// time since boot of pkg/clock.
//
// The bound. For each organisation and instance, balance + lent + expected is
// at most the capacity of the held shares, except while a shrinking capacity
// waits for open loans to expire. Tokens in flight are covered by lent (a loan,
// for one request of the borrower) or by expected (a move into free capacity of
// the receiver), so the fleet never has more than burst tokens at one instant
// and gains at most rate tokens a second.
package quota

import "time"

const (
	// LoanLifetime is the time, from before the request was sent, in which a
	// borrower may spend a loan.
	LoanLifetime = 500 * time.Millisecond
	// LoanHold is the time for which a lender counts a loan against its own
	// capacity. It exceeds LoanLifetime by more than two clocks can drift apart.
	LoanHold = 600 * time.Millisecond
)

// Limit is the rate and burst of an organisation over the whole fleet.
type Limit struct {
	Organisation string
	Rate         float64 // tokens per second
	Burst        float64 // tokens
}

// Lease is the right to refill one share of every organisation.
type Lease struct {
	Share     int
	Fence     uint64        // rises with each new holder
	ExpiresAt time.Duration // on the holder's boot-time clock
}
