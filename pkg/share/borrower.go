package share

import (
	"context"
	"sync"
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
	// depositInterval is the time between deposits. It is below 0.3 s, the
	// refill that a local bucket holds if the burst equals the refill of a
	// second.
	depositInterval = 240 * time.Millisecond
)

// Transferer exchanges tokens with other instances.
type Transferer interface {
	// Request borrows tokens of an organisation. The grant has all of them or
	// none.
	Request(ctx context.Context, address string, request quota.Request) (quota.Grant, error)
	// Deposit sends tokens, by organisation, to a broker. The caller has given
	// them up even if an error is returned.
	Deposit(ctx context.Context, address string, tokens map[string]float64) error
}

// Borrower spends tokens from the local buckets and borrows from the
// organisation's broker when they do not suffice. It implements relay.Quota and
// is safe for concurrent use.
type Borrower struct {
	Buckets *Buckets
	// Brokers returns the addresses of an organisation's broker and of its
	// substitutes, in order of failover. The address of this instance is empty.
	Brokers  func(organisation string) []string
	Transfer Transferer
	Clock    clock.Clock
	Log      hclog.Logger

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

// Run deposits surplus tokens with the brokers at each interval until ctx ends.
func (b *Borrower) Run(ctx context.Context) {
	for clock.Sleep(ctx, depositInterval) {
		if b.Buckets.lendingEnabled() {
			b.depositSurplus(ctx)
		}
	}
}

// depositSurplus moves the surplus of the local buckets to the brokers. Tokens
// whose deposit fails are lost.
func (b *Borrower) depositSurplus(ctx context.Context) {
	deposits := make(map[string]map[string]float64)
	for organisation, tokens := range b.Buckets.TakeSurplus() {
		brokers := b.availableBrokers(organisation)
		switch {
		case len(brokers) == 0:
			b.Buckets.Return(organisation, int64(tokens))
		case brokers[0] == "":
			b.Buckets.Deposit(organisation, tokens)
		default:
			if deposits[brokers[0]] == nil {
				deposits[brokers[0]] = make(map[string]float64)
			}
			deposits[brokers[0]][organisation] = tokens
		}
	}
	var group sync.WaitGroup
	defer group.Wait()
	for address, tokens := range deposits {
		group.Go(func() {
			call, cancel := context.WithTimeout(ctx, brokerTimeout)
			defer cancel()
			if err := b.Transfer.Deposit(call, address, tokens); err != nil && ctx.Err() == nil {
				b.recordFailure(address, err)
			}
		})
	}
}

// HandleDeposit adds tokens from another instance, by organisation, to the
// pools.
func (b *Borrower) HandleDeposit(tokens map[string]float64) {
	for organisation, amount := range tokens {
		b.Buckets.Deposit(organisation, amount)
	}
}
