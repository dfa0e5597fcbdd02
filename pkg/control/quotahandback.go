package control

import (
	"context"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
)

// handOverExcessShare hands back one share if this instance has held at least
// two more than another for handOverDelay, so that the other can acquire it. It
// gives up the share with the lowest rendezvous hash.
func (c *QuotaLeaseController) handOverExcessShare(ctx context.Context) {
	counts := c.countSharesByHolder()
	own, fewest := counts[c.Self.ID], len(c.views)
	for _, n := range counts {
		fewest = min(fewest, n)
	}
	now := c.Clock.Elapsed()
	if own < fewest+2 {
		c.unevenSince = 0
		return
	}
	if c.unevenSince == 0 {
		c.unevenSince = now
	}
	c.handOverDelay = max(c.handOverDelay, minHandOverDelay)
	if now-c.unevenSince < c.handOverDelay {
		return
	}
	lowest := -1
	for share := range c.views {
		if !c.isOwn(c.views[share].record) || c.views[share].handBackRecord != nil {
			continue
		}
		if lowest < 0 || rendezvousHash(c.Self.ID, share) < rendezvousHash(c.Self.ID, lowest) {
			lowest = share
		}
	}
	if lowest < 0 {
		return
	}
	c.handOverDelay = min(2*c.handOverDelay, maxHandOverDelay)
	c.unevenSince = 0
	if err := c.handBack(ctx, lowest); err == nil {
		c.Log.Info("quota share handed over", "share", lowest)
	}
}

// handBack removes the tokens of a share from the ledger and writes them to a
// record without a holder. It repeats an earlier hand-back whose result is
// unknown.
func (c *QuotaLeaseController) handBack(ctx context.Context, share int) error {
	v := &c.views[share]
	if v.handBackRecord == nil {
		now := c.Clock.Elapsed()
		record := *v.record
		record.Holder, record.Incarnation, record.HeldFrom = "", "", 0
		record.Tokens = c.Ledger.ReleaseShare(share, now)
		if c.stopping {
			record.StoppedInstance = c.Self.ID
		}
		v.handBackRecord = &record
	}
	return c.write(ctx, share, v.handBackRecord)
}

// HandBack hands back all shares of this instance with their tokens and stops
// further reconciliation. Call it when the running requests are done. It
// retries until all are written, or until ctx ends and then returns the last
// error. A share that is not handed back is taken over without its tokens.
func (c *QuotaLeaseController) HandBack(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	c.rereadShares(ctx) // a lease whose write had no response may be held
	wait := minRetryWait
	for {
		err := c.handBackAll(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		clock.Sleep(ctx, clock.Jitter(wait))
		wait = min(2*wait, maxRetryWait)
		c.rereadShares(ctx)
	}
}

// rereadShares updates the views from the store, so that writes without a
// response are taken into account. A failed read changes nothing.
func (c *QuotaLeaseController) rereadShares(ctx context.Context) {
	if objects, _, err := c.Store.List(ctx, KindQuotaShare); err == nil && len(c.views) > 0 {
		c.observeAll(objects, len(c.views))
	}
}

// handBackAll hands back each share of this instance once and returns the last
// error.
func (c *QuotaLeaseController) handBackAll(ctx context.Context) error {
	var lastErr error
	for share := range c.views {
		if !c.isOwn(c.views[share].record) {
			continue
		}
		if err := c.handBack(ctx, share); err != nil {
			lastErr = err
		}
	}
	return lastErr
}
