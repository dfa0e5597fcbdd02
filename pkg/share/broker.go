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
	// askTimeout bounds one question to a broker, which a request waits for.
	// Source: instances are milliseconds apart, and a first connection takes a
	// small instance some tens of them.
	askTimeout = 120 * time.Millisecond
	// brokersAsked is the number of brokers that are asked at most: the first
	// may be gone for some seconds before the others know.
	brokersAsked = 2
	// depositInterval is the time between deposits. Source: an own bucket holds
	// the refill of 0.3 s where the burst is that of a second.
	depositInterval = 240 * time.Millisecond
)

// Transferer carries tokens between instances.
type Transferer interface {
	// Request asks for tokens of an organisation, all or none.
	Request(ctx context.Context, address string, request quota.Request) (quota.Grant, error)
	// Deposit hands tokens to a broker. They are given up in any case.
	Deposit(ctx context.Context, address string, tokens map[string]float64) error
}

// Borrower spends tokens of the own buckets, and borrows from the organisation's
// broker where they are short. It implements relay.Quota.
type Borrower struct {
	Buckets *Buckets
	// Brokers returns the addresses of an organisation's broker and of those
	// that take its place, in order. The own address is empty.
	Brokers  func(organisation string) []string
	Transfer Transferer
	Clock    clock.Clock
	Log      hclog.Logger

	silent peer.Avoided // brokers that did not answer
}

// Take implements relay.Quota.
func (b *Borrower) Take(ctx context.Context, organisation string, tokens int64) (bool, time.Duration) {
	amount := float64(tokens)
	if b.Buckets.Spend(organisation, amount) {
		return true, 0
	}
	if !b.Buckets.lending() {
		return false, b.Buckets.EstimateWait(organisation, amount)
	}
	for _, address := range b.usable(organisation) {
		grant, err := b.ask(ctx, address, organisation, amount)
		if err == nil {
			b.silent.Answered(address)
			return grant.Amount >= amount, waitFor(amount-grant.Remaining, grant.Rate)
		}
		if ctx.Err() != nil {
			break
		}
		b.lost(address, err)
	}
	return false, b.Buckets.EstimateWait(organisation, amount)
}

// Return implements relay.Quota.
func (b *Borrower) Return(organisation string, tokens int64) { b.Buckets.Return(organisation, tokens) }

func (b *Borrower) ask(ctx context.Context, address, organisation string, amount float64) (quota.Grant, error) {
	request := quota.Request{Organisation: organisation, Amount: amount}
	if address == "" {
		return b.HandleRequest(request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return b.Transfer.Request(ctx, address, request)
}

// HandleRequest lends tokens to another instance.
func (b *Borrower) HandleRequest(request quota.Request) quota.Grant {
	ok, left, rate := b.Buckets.Lend(request.Organisation, request.Amount)
	grant := quota.Grant{ID: request.ID, Remaining: left, Rate: rate}
	if ok {
		grant.Amount = request.Amount
	}
	return grant
}

// usable returns the brokers to ask.
func (b *Borrower) usable(organisation string) []string {
	now := b.Clock.Elapsed()
	var addresses []string
	for _, address := range b.Brokers(organisation) {
		if !b.silent.Usable(address, now) {
			continue
		}
		if addresses = append(addresses, address); len(addresses) == brokersAsked {
			break
		}
	}
	return addresses
}

func (b *Borrower) lost(address string, err error) {
	if d := b.silent.Failed(address, b.Clock.Elapsed()); d > 0 {
		b.Log.Info("broker of limits does not answer; another one is asked", "address", address, "for", d, "cause", err)
	}
}

// Run hands surplus tokens to the brokers until ctx ends.
func (b *Borrower) Run(ctx context.Context) {
	for clock.Sleep(ctx, depositInterval) {
		if b.Buckets.lending() {
			b.deposit(ctx)
		}
	}
}

func (b *Borrower) deposit(ctx context.Context) {
	deposits := make(map[string]map[string]float64)
	for organisation, tokens := range b.Buckets.TakeSurplus() {
		brokers := b.usable(organisation)
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
			call, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			if err := b.Transfer.Deposit(call, address, tokens); err != nil && ctx.Err() == nil {
				b.lost(address, err)
			}
		})
	}
}

// HandleDeposit takes in a deposit of another instance.
func (b *Borrower) HandleDeposit(tokens map[string]float64) {
	for organisation, amount := range tokens {
		b.Buckets.Deposit(organisation, amount)
	}
}
