package control

import (
	"context"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
)

// evenOut hands one share back when this instance has had more than its part for
// a while and another has less than its own.
func (c *QuotaLeaseController) evenOut(ctx context.Context) {
	counts := c.counts()
	mine, fewest := counts[c.Self.ID], len(c.views)
	for _, n := range counts {
		fewest = min(fewest, n)
	}
	now := c.Clock.Elapsed()
	if mine < fewest+2 {
		c.uneven = 0
		return
	}
	if c.uneven == 0 {
		c.uneven = now
	}
	c.evenWait = max(c.evenWait, evenAfter)
	if now-c.uneven < c.evenWait {
		return
	}
	worst := -1
	for share := range c.views {
		if !c.mine(c.views[share].record) || c.views[share].returning != nil {
			continue
		}
		if worst < 0 || rendezvous(c.Self.ID, share) < rendezvous(c.Self.ID, worst) {
			worst = share
		}
	}
	if worst < 0 {
		return
	}
	c.evenWait = min(2*c.evenWait, maxEvenAfter)
	c.uneven = 0
	if err := c.handBack(ctx, worst); err == nil {
		c.Log.Info("quota share handed over", "share", worst)
	}
}

// handBack takes the tokens out of the ledger and writes them to the record.
func (c *QuotaLeaseController) handBack(ctx context.Context, share int) error {
	v := &c.views[share]
	if v.returning == nil {
		now := c.Clock.Elapsed()
		record := *v.record
		record.Holder, record.Incarnation, record.HeldFrom = "", "", 0
		record.Tokens = c.Ledger.ReleaseShare(share, now)
		if c.stopping {
			record.StoppedInstance = c.Self.ID
		}
		v.returning = &record
	}
	return c.write(ctx, share, v.returning)
}

// HandBack writes all own shares back with their tokens. Call it when the running
// requests are done. It ends when all are written or with ctx; a share that is
// not written back is taken over empty.
func (c *QuotaLeaseController) HandBack(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	c.readBack(ctx) // a lease whose write had no answer may be ours
	wait := retryMin
	for {
		err := c.handBackAll(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		clock.Sleep(ctx, clock.Jitter(wait))
		wait = min(2*wait, retryMax)
		c.readBack(ctx)
	}
}

func (c *QuotaLeaseController) readBack(ctx context.Context) {
	if objects, _, err := c.Store.List(ctx, KindQuotaShare); err == nil && len(c.views) > 0 {
		c.observeAll(objects, len(c.views))
	}
}

func (c *QuotaLeaseController) handBackAll(ctx context.Context) error {
	var failed error
	for share := range c.views {
		if !c.mine(c.views[share].record) {
			continue
		}
		if err := c.handBack(ctx, share); err != nil {
			failed = err
		}
	}
	return failed
}
