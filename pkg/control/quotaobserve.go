package control

import (
	"strconv"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/quota"
)

// observeAll updates the views from all records. blocked reports whether a
// record cannot be decoded, or a share of another division is still held:
// shares of two divisions could sum to more than the burst.
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
			c.Log.Error("quota share record cannot be decoded; free shares are not acquired; delete the object if no instance runs", "share", object.Name, "cause", err)
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

// observe updates the view of a share to a version of its record, nil if there
// is no object, and passes the effect on to the ledger. now is not earlier than
// the write of that version.
func (c *QuotaLeaseController) observe(share int, version uint64, record *QuotaShareRecord, now time.Duration) {
	v := &c.views[share]
	if v.observed && version == v.version {
		return
	}
	v.observed = true
	wasOwn := c.isOwn(v.record)
	if record == nil && v.record != nil {
		v.heldUntil = v.safelyExpiredAt()
	}
	v.version, v.record = version, record
	v.firstSeen, v.free = now, false
	if record != nil && record.StoppedInstance != "" {
		c.markGone(record.StoppedInstance, record.Address)
	}
	if !c.isOwn(record) {
		v.handBackRecord = nil
		if wasOwn {
			c.Ledger.ReleaseShare(share, now)
		}
		return
	}
	if v.handBackRecord == nil {
		lease := quota.Lease{Share: share, Fence: record.Fence, ExpiresAt: record.HeldFrom + record.LeaseDuration}
		c.Ledger.ApplyLease(lease, record.Tokens, now)
	}
}

// safelyExpiredAt returns when the lease of the observed record has expired on
// the holder's clock too.
func (v *shareView) safelyExpiredAt() time.Duration {
	return v.firstSeen + v.record.LeaseDuration + max(minLeaseGuard, v.record.LeaseDuration/leaseGuardDivisor)
}

// isOwn reports whether this incarnation of this instance holds the share.
func (c *QuotaLeaseController) isOwn(r *QuotaShareRecord) bool {
	return r != nil && r.Holder == c.Self.ID && r.Incarnation == c.Self.Incarnation
}
