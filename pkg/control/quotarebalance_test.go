package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/quota"
)

// lendingPeer lends tokens from a ledger and can lose its responses.
type lendingPeer struct {
	ledger      *quota.Ledger
	clock       *clock.Fake
	loseAnswers bool
	asked       int
}

func (p *lendingPeer) Request(_ context.Context, _ string, request quota.Request) (quota.Grant, error) {
	p.asked++
	grant := p.ledger.HandleRequest(request, p.clock.Elapsed())
	if p.loseAnswers {
		return quota.Grant{}, errInjected
	}
	return grant, nil
}

func (p *lendingPeer) Return(_ context.Context, _ string, ret quota.Return) error {
	p.ledger.HandleReturn(ret, p.clock.Elapsed())
	return nil
}

// newShareLedger returns a ledger that holds one of two shares with some
// tokens.
func newShareLedger(share int, tokens float64) *quota.Ledger {
	l := quota.NewLedger()
	l.Configure(1, 2, []quota.Limit{{Organisation: "org", Rate: 0, Burst: 200}}, 0)
	l.ApplyLease(quota.Lease{Share: share, Fence: 1, ExpiresAt: time.Hour}, map[string]float64{"org": tokens}, 0)
	return l
}

// Callers are refused below their limit if tokens overflow in one share while
// another is empty, or if a lost response destroys tokens. An instance that
// keeps asking without success wastes messages.
func TestRebalanceMovesHalfTheDifference(t *testing.T) {
	c := clock.NewFake(time.Unix(0, 0))
	peer := &lendingPeer{ledger: newShareLedger(0, 100), clock: c, loseAnswers: true}
	own := newShareLedger(1, 20)
	rebalancer := &QuotaRebalancer{Ledger: own, Clock: c, Transfer: peer}
	rebalancer.RequestSurplus(context.Background(), "peer")
	assert.Equal(t, own.Balance("org", 0), 20.0)
	assert.Equal(t, peer.ledger.Balance("org", 0), 100.0)
	peer.loseAnswers = false
	rebalancer.RequestSurplus(context.Background(), "peer")
	assert.Equal(t, own.Balance("org", 0), 60.0)
	assert.Equal(t, peer.ledger.Balance("org", 0), 60.0)
	peer.asked = 0
	for range 20 {
		rebalancer.RequestSurplus(context.Background(), "peer")
	}
	assert.Assert(t, peer.asked <= 6, "asked %d times", peer.asked)
}
