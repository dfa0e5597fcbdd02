package control

import (
	"strconv"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/quota"
)

// observeAll notes all records. It reports whether a share of another size is
// still held: shares of two sizes could sum to more than the burst.
func (c *QuotaLeaseController) observeAll(objects []objectstore.Object, shares int) (blocked bool) {
	if c.views == nil {
		c.views = make([]shareView, shares)
	}
	now := c.Clock.Elapsed()
	present := make([]bool, shares)
	for _, object := range objects {
		share, err := strconv.Atoi(object.Name)
		if err != nil {
			continue
		}
		record, err := DecodeQuotaShareRecord(object.Value)
		if err != nil {
			c.Log.Error("quota share is not readable; delete the object if no instance runs", "share", object.Name, "cause", err)
			blocked = true
			continue
		}
		blocked = blocked || (record.ShareCount != shares && record.Holder != "")
		if share >= 0 && share < shares {
			present[share] = true
			c.observe(share, object.Version, record, now)
		}
	}
	for share, ok := range present {
		if !ok {
			c.observe(share, 0, nil, now)
		}
	}
	return blocked
}

// observe notes one version of a record that exists or existed by now.
func (c *QuotaLeaseController) observe(share int, version uint64, record *QuotaShareRecord, now time.Duration) {
	v := &c.views[share]
	if v.known && version == v.version {
		return
	}
	v.known = true
	wasMine := c.mine(v.record)
	if record == nil && v.record != nil {
		v.heldUntil = v.leaseOver()
	}
	v.version, v.record = version, record
	v.seen, v.free = now, false
	if record != nil && record.StoppedInstance != "" {
		c.noteGone(record.StoppedInstance, record.Address)
	}
	if !c.mine(record) {
		v.returning = nil
		if wasMine {
			c.Ledger.ReleaseShare(share, now)
		}
		return
	}
	if v.returning == nil {
		lease := quota.Lease{Share: share, Fence: record.Fence, ExpiresAt: record.HeldFrom + record.LeaseDuration}
		c.Ledger.ApplyLease(lease, record.Tokens, now)
	}
}

// leaseOver is when the holder of the record seen has stopped by any clock.
func (v *shareView) leaseOver() time.Duration {
	return v.seen + v.record.LeaseDuration + max(minLeaseGuard, v.record.LeaseDuration/leaseGuardPart)
}

func (c *QuotaLeaseController) mine(r *QuotaShareRecord) bool {
	return r != nil && r.Holder == c.Self.ID && r.Incarnation == c.Self.Incarnation
}
