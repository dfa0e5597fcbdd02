package share

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
	"lacewingwheel.example/lacewingwheel/pkg/quota"
)

const (
	// brokerTimeout bounds a call to a broker, for which a request waits.
	// Instances are milliseconds apart, and the first connection takes a small
	// instance some tens of milliseconds.
	brokerTimeout = 120 * time.Millisecond
	// maxBrokers is the number of brokers tried for a request. A second one is
	// needed because a broker that is gone is known as such only after seconds.
	maxBrokers = 2
	// minAssignInterval is the shortest time between assignments, and
	// assignIntervalPerInstance is multiplied by the number of instances to get it, so
	// that a broker receives about 80 assignments a second in a fleet of any size.
	minAssignInterval         = 500 * time.Millisecond
	assignIntervalPerInstance = 12 * time.Millisecond
	maxAssignInterval         = 5 * time.Second
	// firstAssignSpread is multiplied by the number of instances to get the time over
	// which the first assignments are spread at a first start, when no request is
	// expected yet: a broker accepts a connection from each instance.
	firstAssignSpread = 8 * time.Millisecond
	// assignmentFactor is the length of an assignment in intervals. The next one
	// replaces it; if that is late or lost, the refill goes on meanwhile.
	assignmentFactor = 1.4
	// maxAssignment is the longest time for which refill is assigned.
	maxAssignment = time.Duration(assignmentFactor * float64(maxAssignInterval))
	// connectRetryInterval replaces the interval while connections to brokers are being
	// opened, which takes a while when many instances start.
	connectRetryInterval = 250 * time.Millisecond
	// lendingCheckInterval is the time between checks at the start whether tokens can be
	// exchanged.
	lendingCheckInterval = 50 * time.Millisecond
)

// assignmentLength returns for how long refill is assigned.
func assignmentLength(interval time.Duration) time.Duration {
	return time.Duration(assignmentFactor * float64(interval))
}

// Transferer exchanges tokens with other instances.
type Transferer interface {
	// Request borrows tokens of an organisation. The grant has all of them or
	// none.
	Request(ctx context.Context, address string, request quota.Request) (quota.Grant, error)
	// Assign sends assignments, by organisation, to a broker. The error wraps
	// ErrNotSent or ErrNotAccepted if the broker certainly did not accept them.
	Assign(ctx context.Context, address string, assignments map[string]Assignment, duration time.Duration) error
}

// Errors of Transferer.Assign.
var (
	// ErrNotSent means that the connection to the broker is not open yet; try again.
	ErrNotSent = errors.New("assignment not sent")
	// ErrNotAccepted means that the broker refused the assignment; use another one.
	ErrNotAccepted = errors.New("assignment not accepted")
)

// Borrower spends tokens from the local buckets and borrows from the
// organisation's broker when they do not suffice. It implements relay.Quota and
// is safe for concurrent use.
type Borrower struct {
	Buckets *Buckets
	// Brokers returns the addresses of an organisation's broker and of its
	// substitutes, in order of failover. The address of this instance is empty.
	Brokers  func(organisation string) []string
	Transfer Transferer
	// FirstStart is set if all instances start together for the first time.
	FirstStart bool
	Clock      clock.Clock
	Log        hclog.Logger

	unresponsive peer.Backoff // brokers in backoff after a failed call
}

// Take spends tokens, all or none, from the local bucket or else from a broker.
// If it returns false, the duration is the estimated time until a retry may
// succeed.
func (b *Borrower) Take(ctx context.Context, organisation string, tokens int64) (bool, time.Duration) {
	amount := float64(tokens)
	if b.Buckets.Spend(organisation, amount) {
		return true, 0
	}
	if !b.Buckets.lendingEnabled() {
		return false, b.Buckets.EstimateWait(organisation, amount)
	}
	for _, address := range b.availableBrokers(organisation) {
		grant, err := b.borrow(ctx, address, organisation, amount)
		if err == nil {
			b.unresponsive.RecordSuccess(address)
			return grant.Amount >= amount, waitFor(amount-grant.Remaining, grant.Rate)
		}
		if ctx.Err() != nil {
			break
		}
		b.recordFailure(address, err)
	}
	return false, b.Buckets.EstimateWait(organisation, amount)
}

// Return puts unused tokens back into the local bucket.
func (b *Borrower) Return(organisation string, tokens int64) { b.Buckets.Return(organisation, tokens) }

// borrow requests tokens from the broker at an address; empty is this instance.
func (b *Borrower) borrow(ctx context.Context, address, organisation string, amount float64) (quota.Grant, error) {
	request := quota.Request{Organisation: organisation, Amount: amount}
	if address == "" {
		return b.HandleRequest(request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, brokerTimeout)
	defer cancel()
	return b.Transfer.Request(ctx, address, request)
}

// HandleRequest lends tokens to another instance. The grant has all of the
// requested tokens or none.
func (b *Borrower) HandleRequest(request quota.Request) quota.Grant {
	ok, left, rate := b.Buckets.Lend(request.Organisation, request.Amount)
	grant := quota.Grant{ID: request.ID, Remaining: left, Rate: rate}
	if ok {
		grant.Amount = request.Amount
	}
	return grant
}

// availableBrokers returns up to maxBrokers brokers that are not in backoff.
func (b *Borrower) availableBrokers(organisation string) []string {
	now := b.Clock.Elapsed()
	var addresses []string
	for _, address := range b.Brokers(organisation) {
		if !b.unresponsive.MayCall(address, now) {
			continue
		}
		if addresses = append(addresses, address); len(addresses) == maxBrokers {
			break
		}
	}
	return addresses
}

// recordFailure starts or prolongs the backoff of a broker.
func (b *Borrower) recordFailure(address string, err error) {
	if d := b.unresponsive.RecordFailure(address, b.Clock.Elapsed()); d > 0 {
		b.Log.Info("broker of limits does not answer; another one is used", "address", address, "for", d, "cause", err)
	}
}

// Run assigns the refill that this instance does not need to the brokers, at
// intervals, until ctx ends.
func (b *Borrower) Run(ctx context.Context) {
	for !b.Buckets.lendingEnabled() && clock.Sleep(ctx, lendingCheckInterval) {
	}
	if b.FirstStart {
		clock.Sleep(ctx, rand.N(firstAssignSpread*time.Duration(max(1, b.Buckets.Instances()))))
	}
	for ctx.Err() == nil {
		interval := assignInterval(b.Buckets.Instances())
		if b.Buckets.lendingEnabled() && !b.assign(ctx, interval) {
			interval = connectRetryInterval
		}
		clock.Sleep(ctx, interval*3/4+clock.Jitter(interval)/4)
	}
}

// assignInterval returns the time between two assignments of each instance to each
// broker.
func assignInterval(instances int) time.Duration {
	return min(max(minAssignInterval, time.Duration(instances)*assignIntervalPerInstance), maxAssignInterval)
}

// assign passes refill and surplus tokens to the brokers for the time until the
// next assignment and a little longer. It returns false if connections to some of them
// are not open yet.
func (b *Borrower) assign(ctx context.Context, interval time.Duration) bool {
	duration := assignmentLength(interval)
	byBroker := make(map[string]map[string]Assignment)
	for organisation, a := range b.Buckets.TakeAssignments(duration) {
		brokers := b.availableBrokers(organisation)
		switch {
		case len(brokers) == 0:
			b.Buckets.Revoke(organisation, a)
		case brokers[0] == "":
			b.Buckets.AcceptAssignment("", organisation, a, duration)
			b.Buckets.Confirm(organisation)
		default:
			if byBroker[brokers[0]] == nil {
				byBroker[brokers[0]] = make(map[string]Assignment)
			}
			byBroker[brokers[0]][organisation] = a
		}
	}
	var group sync.WaitGroup
	var unsent atomic.Bool
	for address, assignments := range byBroker {
		group.Go(func() {
			if errors.Is(b.send(ctx, address, assignments, duration), ErrNotSent) {
				unsent.Store(true)
			}
		})
	}
	group.Wait()
	return !unsent.Load()
}

// send passes assignments to one broker.
func (b *Borrower) send(ctx context.Context, address string, assignments map[string]Assignment, duration time.Duration) error {
	call, cancel := context.WithTimeout(ctx, brokerTimeout)
	defer cancel()
	err := b.Transfer.Assign(call, address, assignments, duration)
	for organisation, a := range assignments {
		switch {
		case err == nil:
			b.Buckets.Confirm(organisation)
		case errors.Is(err, ErrNotSent) || errors.Is(err, ErrNotAccepted):
			b.Buckets.Revoke(organisation, a)
		}
	}
	// While a connection is being opened its broker is not avoided: all instances
	// should use the same one. The pool of connections gives a dead one up.
	if err != nil && ctx.Err() == nil && !(errors.Is(err, ErrNotSent) && call.Err() != nil) {
		b.recordFailure(address, err)
	}
	return err
}

// HandleAssignments adds what another instance gave up, by organisation, to the
// pools.
func (b *Borrower) HandleAssignments(instance string, assignments map[string]Assignment, duration time.Duration) {
	for organisation, a := range assignments {
		b.Buckets.AcceptAssignment(instance, organisation, a, duration)
	}
}
