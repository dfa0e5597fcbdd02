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
	// levelInterval is the time between two moves. A full share loses what it
	// would refill, so moves must be much faster than a share fills up.
	levelInterval = 250 * time.Millisecond
	levelTimeout  = 100 * time.Millisecond
	// levelFill is the part of its capacity below which an instance asks for
	// tokens that another could not keep much longer.
	levelFill = 0.9
	// maxLevelPause bounds the rounds that an organisation without spare tokens
	// sits out.
	maxLevelPause = 8
)

// QuotaRebalancer moves tokens to this instance from fuller ones, so that no share
// overflows while another is empty. Each round asks one other holder, chosen at
// random: pairwise averaging levels the fleet in a number of rounds that grows
// with the logarithm of its size, and needs no instance that all depend on.
type QuotaRebalancer struct {
	Ledger       *quota.Ledger
	Clock        clock.Clock
	HolderSource interface{ Holders() []string }
	Transfer     quota.Transferer

	pauses map[string]levelPause
}

type levelPause struct{ left, next int }

// Run moves tokens until ctx ends.
func (c *QuotaRebalancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if holders := c.HolderSource.Holders(); len(holders) > 0 {
			c.RequestSurplus(ctx, holders[rand.IntN(len(holders))])
		}
		clock.Sleep(ctx, clock.Jitter(levelInterval))
	}
}

// RequestSurplus asks one instance for its surplus of each organisation that is low here.
func (c *QuotaRebalancer) RequestSurplus(ctx context.Context, lender string) {
	if c.pauses == nil {
		c.pauses = make(map[string]levelPause)
	}
	organisations := c.Ledger.Organisations()
	if len(c.pauses) > 2*len(organisations) {
		clear(c.pauses)
	}
	for _, organisation := range organisations {
		pause := c.pauses[organisation]
		if pause.left > 0 {
			c.pauses[organisation] = levelPause{pause.left - 1, pause.next}
			continue
		}
		asked, moved, err := c.level(ctx, lender, organisation)
		if err != nil {
			return
		}
		next := min(2*pause.next+1, maxLevelPause)
		if moved > 0 || !asked {
			next = 0
		}
		c.pauses[organisation] = levelPause{next, next}
	}
}

func (c *QuotaRebalancer) level(ctx context.Context, lender, organisation string) (asked bool, moved float64, err error) {
	request, ok := c.Ledger.PrepareMove(organisation, quota.TransferID(uuid.New()), levelFill, c.Clock.Elapsed())
	if !ok {
		return false, 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, levelTimeout)
	defer cancel()
	grant, err := c.Transfer.Request(ctx, lender, request)
	if err != nil {
		c.Ledger.CompleteMove(organisation, request.ID, 0, c.Clock.Elapsed())
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), levelTimeout)
		defer cancel()
		_ = c.Transfer.Return(ctx, lender, quota.Return{ID: request.ID, Organisation: organisation, Amount: request.Amount})
		return true, 0, err
	}
	c.Ledger.CompleteMove(organisation, request.ID, grant.Amount, c.Clock.Elapsed())
	return true, grant.Amount, nil
}
