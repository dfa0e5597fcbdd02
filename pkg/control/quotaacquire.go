package control

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// acquireFree acquires the free shares for which this instance is the
// candidate. A candidate of rank n waits n times candidateDelay. lost reports whether
// another instance has changed one of the records since they were read.
func (c *QuotaLeaseController) acquireFree(ctx context.Context) (lost bool) {
	counts := c.countSharesByHolder()
	probed := make(map[string]bool)
	for share := range c.views {
		v := &c.views[share]
		if c.isOwn(v.record) {
			continue
		}
		candidates := c.rankCandidates(share, counts)
		rank := slices.Index(candidates, c.Self.ID)
		if !c.isFree(ctx, v, rank, probed) {
			continue
		}
		candidates = c.rankCandidates(share, counts) // without a holder that was found gone
		if len(candidates) == 0 {
			continue
		}
		rank = slices.Index(candidates, c.Self.ID)
		counts[candidates[0]]++
		if rank >= 0 && c.Clock.Elapsed()-v.freeSince >= time.Duration(rank)*candidateDelay {
			err := c.acquireShare(ctx, share)
			lost = lost || objectstore.IsKind(err, objectstore.KindExists) || objectstore.IsKind(err, objectstore.KindConflict)
		}
	}
	return lost
}

// acquireShare writes a record with this instance as the holder. Tokens that a
// previous holder handed back go to this instance.
func (c *QuotaLeaseController) acquireShare(ctx context.Context, share int) error {
	v := &c.views[share]
	record := &QuotaShareRecord{
		ShareCount: len(c.views), Holder: c.Self.ID, Incarnation: c.Self.Incarnation, Address: c.Self.Address,
		Fence: 1, LeaseDuration: c.leaseDuration(), HeldFrom: c.Clock.Elapsed(),
	}
	if v.record == nil && v.heldUntil == 0 {
		record.Tokens = c.Ledger.BurstPerShare() // the share was never held, so nothing was spent
	}
	if v.record != nil {
		record.Fence = v.record.Fence + 1
		if v.record.Holder == "" && v.record.ShareCount == len(c.views) {
			record.Tokens = v.record.Tokens
		}
	}
	err := c.write(ctx, share, record)
	if err == nil {
		c.Log.Info("quota share acquired", "share", share, "fence", record.Fence)
	}
	return err
}

// isFree reports whether no instance can spend from the share any more. If this
// instance is among the first probingCandidates candidates, it probes the
// holder; probed caches the results of this round.
func (c *QuotaLeaseController) isFree(ctx context.Context, v *shareView, rank int, probed map[string]bool) bool {
	if v.free {
		return true
	}
	now := c.Clock.Elapsed()
	switch r := v.record; {
	case r == nil:
		v.free = now >= v.heldUntil
	case r.Holder == "":
		v.free = true
	case r.Address != "" && r.Address == c.Self.Address && r.Incarnation != c.Self.Incarnation:
		v.free = true // this instance now listens at the holder's address
	case now >= v.safelyExpiredAt():
		v.free = true
		c.markGone(r.Holder, r.Address)
		// Leaves a holder that returns from the same outage time to renew, so
		// that it keeps its tokens.
		now += candidateDelay
	case rank >= 0 && rank < probingCandidates:
		gone, done := probed[r.Address+r.Incarnation]
		if !done {
			incarnation, refused := c.probe(ctx, r.Address)
			gone = refused || (incarnation != "" && incarnation != r.Incarnation)
			probed[r.Address+r.Incarnation] = gone
		}
		v.free = gone
		if gone {
			c.markGone(r.Holder, r.Address)
		}
	}
	if v.free {
		v.freeSince = now
	}
	return v.free
}

// markGone records that an instance has crashed, stopped or let a lease expire,
// and removes it from the live instances.
func (c *QuotaLeaseController) markGone(id, address string) {
	if c.goneInstances == nil {
		c.goneInstances = make(map[string]goneInstance)
	}
	c.goneInstances[id] = goneInstance{address, c.Clock.Elapsed()}
	c.liveIDs = slices.DeleteFunc(c.liveIDs, func(live string) bool { return live == id && id != c.Self.ID })
}

// countSharesByHolder returns the number of shares of each live instance.
func (c *QuotaLeaseController) countSharesByHolder() map[string]int {
	counts := make(map[string]int, len(c.liveIDs))
	for _, id := range c.liveIDs {
		counts[id] = 0
	}
	for i := range c.views {
		v := &c.views[i]
		if v.record == nil || v.free {
			continue
		}
		if _, ok := counts[v.record.Holder]; ok {
			counts[v.record.Holder]++
		}
	}
	return counts
}

// rankCandidates returns the live instances other than the share's holder in
// the order in which they may acquire the share, by rendezvous hash. Instances
// that already hold an even part of the shares are candidates only if there is
// no other.
func (c *QuotaLeaseController) rankCandidates(share int, counts map[string]int) []string {
	evenPart := (len(c.views) + len(c.liveIDs) - 1) / len(c.liveIDs)
	var holder string
	if r := c.views[share].record; r != nil && r.Holder != c.Self.ID {
		holder = r.Holder
	}
	var ids, atEvenPart []string
	for _, id := range c.liveIDs {
		switch {
		case id == holder:
		case counts[id] < evenPart:
			ids = append(ids, id)
		default:
			atEvenPart = append(atEvenPart, id)
		}
	}
	if len(ids) == 0 {
		ids = atEvenPart
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousHash(b, share), rendezvousHash(a, share)), cmp.Compare(a, b))
	})
	return ids
}

// rendezvousHash returns the weight of an instance for a share.
func rendezvousHash(id string, share int) uint64 {
	return xxhash.Sum64String(id + "/" + strconv.Itoa(share))
}
