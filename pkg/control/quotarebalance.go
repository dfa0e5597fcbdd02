package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/quota"
)

const (
	// rebalanceInterval is the time between two rounds. A full share loses what
	// it would refill, so rounds must be much shorter than the time in which a
	// share fills up.
	rebalanceInterval = 250 * time.Millisecond
	transferTimeout   = 100 * time.Millisecond // for one message
	// minFillRatio is the part of its capacity below which an instance asks for
	// tokens that the lender would soon lose to overflow.
	minFillRatio = 0.9
	// maxBackoffRounds bounds the rounds in which an organisation is skipped
	// after its lenders had no surplus.
	maxBackoffRounds = 8
)

// QuotaRebalancer moves tokens to this instance from fuller ones, so that no
// share overflows while another is empty. Each round asks one other holder,
// chosen at random: with pairwise averaging the balances converge in a number
// of rounds that grows with the logarithm of the number of instances, and there
// is no single coordinator. A QuotaRebalancer is not safe for concurrent use.
type QuotaRebalancer struct {
	Ledger       *quota.Ledger
	Clock        clock.Clock
	HolderSource interface{ HolderAddresses() []string } // addresses of instances that hold shares
	Transfer     quota.Transferer

	backoffs map[string]roundBackoff // by organisation
}

// roundBackoff counts rounds: those still to skip, and the length of the
// current backoff.
type roundBackoff struct{ remaining, length int }

// Run asks a random holder each rebalanceInterval until ctx ends.
func (c *QuotaRebalancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if holders := c.HolderSource.HolderAddresses(); len(holders) > 0 {
			c.RequestSurplus(ctx, holders[rand.IntN(len(holders))])
		}
		clock.Sleep(ctx, clock.Jitter(rebalanceInterval))
	}
}

// RequestSurplus asks one instance for its surplus of each organisation that is
// low here. It stops at the first failed transfer.
func (c *QuotaRebalancer) RequestSurplus(ctx context.Context, lender string) {
	if c.backoffs == nil {
		c.backoffs = make(map[string]roundBackoff)
	}
	organisations := c.Ledger.Organisations()
	if len(c.backoffs) > 2*len(organisations) {
		clear(c.backoffs)
	}
	for _, organisation := range organisations {
		backoff := c.backoffs[organisation]
		if backoff.remaining > 0 {
			c.backoffs[organisation] = roundBackoff{backoff.remaining - 1, backoff.length}
			continue
		}
		asked, moved, err := c.requestTransfer(ctx, lender, organisation)
		if err != nil {
			return
		}
		next := min(2*backoff.length+1, maxBackoffRounds)
		if moved > 0 || !asked {
			next = 0
		}
		c.backoffs[organisation] = roundBackoff{next, next}
	}
}

// requestTransfer asks for tokens of one organisation. asked is false if none
// are needed. After an error the outcome is unknown, so the lender is asked to
// take the amount back.
func (c *QuotaRebalancer) requestTransfer(ctx context.Context, lender, organisation string) (asked bool, moved float64, err error) {
	request, ok := c.Ledger.PrepareMove(organisation, quota.TransferID(uuid.New()), minFillRatio, c.Clock.Elapsed())
	if !ok {
		return false, 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	grant, err := c.Transfer.Request(ctx, lender, request)
	if err != nil {
		c.Ledger.CompleteMove(organisation, request.ID, 0, c.Clock.Elapsed())
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), transferTimeout)
		defer cancel()
		_ = c.Transfer.Return(ctx, lender, quota.Return{ID: request.ID, Organisation: organisation, Amount: request.Amount})
		return true, 0, err
	}
	c.Ledger.CompleteMove(organisation, request.ID, grant.Amount, c.Clock.Elapsed())
	return true, grant.Amount, nil
}
