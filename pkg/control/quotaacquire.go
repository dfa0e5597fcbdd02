package control

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// acquireFree takes the free shares for which this instance is the candidate.
func (c *QuotaLeaseController) acquireFree(ctx context.Context) {
	counts := c.counts()
	probed := make(map[string]bool)
	for share := range c.views {
		v := &c.views[share]
		if c.mine(v.record) {
			continue
		}
		candidates := c.candidates(share, counts)
		rank := slices.Index(candidates, c.Self.ID)
		if !c.isFree(ctx, v, rank, probed) {
			continue
		}
		candidates = c.candidates(share, counts) // a crash found above leaves room
		if len(candidates) == 0 {
			continue
		}
		rank = slices.Index(candidates, c.Self.ID)
		counts[candidates[0]]++
		if rank >= 0 && c.Clock.Elapsed()-v.freeSince >= time.Duration(rank)*leasePatience {
			c.acquire(ctx, share)
		}
	}
}

func (c *QuotaLeaseController) acquire(ctx context.Context, share int) {
	v := &c.views[share]
	record := &QuotaShareRecord{
		ShareCount: len(c.views), Holder: c.Self.ID, Incarnation: c.Self.Incarnation, Address: c.Self.Address,
		Fence: 1, LeaseDuration: c.lease(), HeldFrom: c.Clock.Elapsed(),
	}
	if v.record == nil && v.heldUntil == 0 {
		record.Tokens = c.Ledger.BurstPerShare() // nobody has ever spent from it
	}
	if v.record != nil {
		record.Fence = v.record.Fence + 1
		if v.record.Holder == "" && v.record.ShareCount == len(c.views) {
			record.Tokens = v.record.Tokens
		}
	}
	if c.write(ctx, share, record) == nil {
		c.Log.Info("quota share acquired", "share", share, "fence", record.Fence)
	}
}

// isFree reports whether nobody can spend from the share any more.
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
		v.free = true // the holder's address is ours now
	case now >= v.leaseOver():
		v.free = true
		c.noteGone(r.Holder, r.Address)
		// A holder that comes back from the same outage renews first and keeps
		// its tokens.
		now += leasePatience
	case rank >= 0 && rank < probeRanks:
		gone, done := probed[r.Address+r.Incarnation]
		if !done {
			answered, refused := c.probe(ctx, r.Address)
			gone = refused || (answered != "" && answered != r.Incarnation)
			probed[r.Address+r.Incarnation] = gone
		}
		v.free = gone
		if gone {
			c.noteGone(r.Holder, r.Address)
		}
	}
	if v.free {
		v.freeSince = now
	}
	return v.free
}

func (c *QuotaLeaseController) noteGone(id, address string) {
	if c.gone == nil {
		c.gone = make(map[string]goneInstance)
	}
	c.gone[id] = goneInstance{address, c.Clock.Elapsed()}
	c.live = slices.DeleteFunc(c.live, func(live string) bool { return live == id && id != c.Self.ID })
}

// counts returns the number of shares per live instance.
func (c *QuotaLeaseController) counts() map[string]int {
	counts := make(map[string]int, len(c.live))
	for _, id := range c.live {
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

// candidates ranks live instances other than the share's holder by rendezvous
// hash. Instances that have their part of the shares already come in only when
// no other is left.
func (c *QuotaLeaseController) candidates(share int, counts map[string]int) []string {
	room := (len(c.views) + len(c.live) - 1) / len(c.live)
	var holder string
	if r := c.views[share].record; r != nil && r.Holder != c.Self.ID {
		holder = r.Holder
	}
	var ids, full []string
	for _, id := range c.live {
		switch {
		case id == holder:
		case counts[id] < room:
			ids = append(ids, id)
		default:
			full = append(full, id)
		}
	}
	if len(ids) == 0 {
		ids = full
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous(b, share), rendezvous(a, share)), cmp.Compare(a, b))
	})
	return ids
}

func rendezvous(id string, share int) uint64 {
	return xxhash.Sum64String(id + "/" + strconv.Itoa(share))
}
