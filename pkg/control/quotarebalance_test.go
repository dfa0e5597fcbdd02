package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/quota"
)

// levelPeer lends from a ledger and can lose its answers.
type levelPeer struct {
	ledger *quota.Ledger
	clock  *clock.Fake
	lose   bool
	asked  int
}

func (p *levelPeer) Request(_ context.Context, _ string, request quota.Request) (quota.Grant, error) {
	p.asked++
	grant := p.ledger.HandleRequest(request, p.clock.Elapsed())
	if p.lose {
		return quota.Grant{}, errFault
	}
	return grant, nil
}

func (p *levelPeer) Return(_ context.Context, _ string, ret quota.Return) error {
	p.ledger.HandleReturn(ret, p.clock.Elapsed())
	return nil
}

func levelLedger(share int, tokens float64) *quota.Ledger {
	l := quota.NewLedger()
	l.Configure(1, 2, []quota.Limit{{Organisation: "org", Rate: 0, Burst: 200}}, 0)
	l.ApplyLease(quota.Lease{Share: share, Fence: 1, ExpiresAt: time.Hour}, map[string]float64{"org": tokens}, 0)
	return l
}

// Guards against shares that overflow while another is empty, against tokens
// that a lost answer destroys, and against asking in vain again and again.
func TestLevelMovesHalfTheDifference(t *testing.T) {
	c := clock.NewFake(time.Unix(0, 0))
	peer := &levelPeer{ledger: levelLedger(0, 100), clock: c, lose: true}
	own := levelLedger(1, 20)
	level := &QuotaRebalancer{Ledger: own, Clock: c, Transfer: peer}
	level.RequestSurplus(context.Background(), "peer")
	assert.Equal(t, own.Balance("org", 0), 20.0)
	assert.Equal(t, peer.ledger.Balance("org", 0), 100.0)
	peer.lose = false
	level.RequestSurplus(context.Background(), "peer")
	assert.Equal(t, own.Balance("org", 0), 60.0)
	assert.Equal(t, peer.ledger.Balance("org", 0), 60.0)
	peer.asked = 0
	for range 20 {
		level.RequestSurplus(context.Background(), "peer")
	}
	assert.Assert(t, peer.asked <= 6, "asked %d times", peer.asked)
}
