// Package quota keeps the token balances of organisations. Each organisation's
// rate and burst are divided into shares. An instance refills only the shares
// whose lease it holds. The package does no I/O; the caller passes the time in,
// as the time since boot of pkg/clock.
//
// Invariant: for each organisation and instance, balance + lent + expected is
// at most the capacity of the held shares. The exception is a capacity that
// shrank while loans were open; it lasts until these expire. Tokens in transit
// are counted in lent (a loan, for one request of the borrower) or in expected
// (a move into free capacity of the receiver). So all instances together never
// have more than burst tokens at one instant, and gain at most rate tokens per
// second.
package quota

import "time"

const (
	// LoanLifetime is the time in which a borrower may spend a loan, measured
	// from before it sent the request.
	LoanLifetime = 500 * time.Millisecond
	// LoanHold is the time for which a lender counts a loan against its
	// capacity. It exceeds LoanLifetime by more than two clocks can drift apart
	// in that time.
	LoanHold = 600 * time.Millisecond
)

// Limit is the rate and burst of an organisation over all instances.
type Limit struct {
	Organisation string
	Rate         float64 // tokens per second
	Burst        float64 // tokens
}

// Lease is the right to refill one share of every organisation.
type Lease struct {
	Share     int           // index of the share
	Fence     uint64        // fencing token; rises with each new holder
	ExpiresAt time.Duration // on the boot-time clock of the holder
}
