package control

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/quota"
)

const (
	// DefaultQuotaLeaseDuration keeps limits working through a platform outage
	// of at least 40 minutes, because leases are renewed when a third of them
	// is over.
	DefaultQuotaLeaseDuration = time.Hour
	// shareReconcileInterval is the least time between two reads of the share
	// records. The time grows with the number of instances, so that the fleet's
	// total read rate does not.
	shareReconcileInterval            = 5 * time.Second
	shareReconcileIntervalPerInstance = 50 * time.Millisecond
	// configurationPollInterval is the time between two checks whether a
	// starting instance has its first configuration.
	configurationPollInterval = 20 * time.Millisecond
	// The guard added to a lease is the lease divided by leaseGuardDivisor, but
	// at least minLeaseGuard. It allows for boot-time clocks that run at
	// different speeds (1 percent is far more than crystals drift) and for a
	// holder that is paused between checking its lease and spending.
	minLeaseGuard     = 2 * time.Second
	leaseGuardDivisor = 100
	// candidateDelay is how long each candidate for a free share waits for the
	// one before it.
	candidateDelay = 15 * time.Second
	// minHandOverDelay is how long shares may be unevenly distributed before a
	// holder hands one over. A restarting instance should get its former shares
	// back.
	minHandOverDelay = time.Minute
	// maxHandOverDelay bounds the delay, which doubles with each share handed
	// over, so that a crashed instance in the list does not cause writes for
	// ever.
	maxHandOverDelay = 10 * time.Minute
	// goneReprobeInterval is the time between two probes of an instance that
	// was found gone but is still in the lagging instance list.
	goneReprobeInterval = 30 * time.Second
	// reconcileTimeout and shareProbeTimeout keep an unresponsive platform or
	// peer from delaying a hand-back.
	reconcileTimeout  = 10 * time.Second
	shareProbeTimeout = 2 * time.Second // longer than probeTimeout
	// probingCandidates is the number of candidates that probe the holder of a
	// share.
	probingCandidates = 2
)

// Prober probes which process listens at an address. The incarnation is empty
// if none responds; refused is true only if the host refused the connection. A
// holder is gone if another incarnation responds at its address or the
// connection is refused. A missing response proves nothing, because a paused
// process does not respond either.
type Prober interface {
	Probe(ctx context.Context, address string) (incarnation string, refused bool)
}

// QuotaLeaseController acquires, renews, takes over and hands back the leases
// of quota shares. All its writes are conditional on the version that was read.
// A write whose response was lost has no effect here until the record is read
// again.
//
// A holder measures its lease on its own boot-time clock from before it sent
// the write. Others wait for the whole lease and a guard on their own boot-time
// clock from when they first saw that version of the record, which is later
// than the write. So clocks of two machines are never compared.
//
// A holder that cannot renew stops spending at the end of its lease even if the
// platform is down for all: it cannot distinguish that from a disconnection of
// its own, during which another instance may take over the share.
//
// Run, HandBack, Reconcile, HolderAddresses and Ready are safe for concurrent use.
type QuotaLeaseController struct {
	Store         objectstore.Store
	List          objectstore.InstanceList
	Prober        Prober
	Ledger        *quota.Ledger
	Clock         clock.Clock
	Log           hclog.Logger
	Self          InstanceIdentity
	LeaseDuration time.Duration // DefaultQuotaLeaseDuration if zero
	// FallbackHolders returns the addresses of other instances until the
	// records have been read, so that an instance that restarts in an outage
	// can borrow tokens. It may be nil.
	FallbackHolders func() []string

	mu              sync.Mutex
	views           []shareView
	listedInstances []objectstore.Instance
	liveIDs         []string                // IDs of the live instances, this one included
	goneInstances   map[string]goneInstance // by ID
	handOverDelay   time.Duration           // current delay, see maxHandOverDelay
	unevenSince     time.Duration           // zero while the shares are evenly distributed
	stopping        bool                    // set by HandBack; nothing is acquired or renewed any more
	shareHolders    atomic.Pointer[[]string]
	attempted       atomic.Bool // the share records have been read, or could not be read, once
}

// goneInstance is an instance that has crashed, stopped, or let a lease expire.
// foundAt is when that was last found.
type goneInstance struct {
	address string
	foundAt time.Duration
}

// shareView is the last observed state of one share. Times are on Clock.
type shareView struct {
	observed  bool              // the record, or its absence, has been read
	version   uint64            // zero if there is no object
	record    *QuotaShareRecord // nil if there is no object
	firstSeen time.Duration     // when this version was first seen
	free      bool              // no instance can spend from the share
	freeSince time.Duration
	// heldUntil is when the last holder has stopped spending, if its record was
	// deleted.
	heldUntil time.Duration
	// handBackRecord is the record with which this instance hands the share
	// back, nil if it does not. The tokens in it have left the ledger, so the
	// share must not be used again under the same fencing token.
	handBackRecord *QuotaShareRecord
}

// HolderAddresses returns the addresses of the other instances that hold shares.
func (c *QuotaLeaseController) HolderAddresses() []string {
	if h := c.shareHolders.Load(); h != nil {
		return *h
	}
	if c.FallbackHolders != nil {
		return c.FallbackHolders()
	}
	return nil
}

// Ready reports whether this instance has tried to acquire its shares. If the
// platform did not respond, it borrows tokens from others.
func (c *QuotaLeaseController) Ready() bool { return c.attempted.Load() }

// Run reconciles until ctx ends. It does not hand shares back.
func (c *QuotaLeaseController) Run(ctx context.Context) {
	for c.Ledger.Shares() == 0 && ctx.Err() == nil {
		clock.Sleep(ctx, clock.Jitter(configurationPollInterval))
	}
	failing := false
	for ctx.Err() == nil {
		err := c.Reconcile(ctx)
		// Log once per outage, not once per attempt.
		if err != nil && !failing && ctx.Err() == nil {
			c.Log.Warn("quota shares are not reconciled; leases in force go on until they end", "cause", err)
		}
		failing = err != nil
		c.attempted.Store(true)
		c.mu.Lock()
		wait := max(shareReconcileInterval, time.Duration(len(c.liveIDs))*shareReconcileIntervalPerInstance)
		c.mu.Unlock()
		clock.Sleep(ctx, clock.Jitter(wait))
	}
}

// Reconcile reads all share records once, renews the leases of this instance,
// acquires free shares and hands over an excess one. It returns an error if the
// records cannot be read.
func (c *QuotaLeaseController) Reconcile(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	shares := c.Ledger.Shares()
	if shares == 0 || c.stopping {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	c.readInstances(ctx)
	objects, _, err := c.Store.List(ctx, KindQuotaShare)
	if err != nil {
		return err
	}
	blocked := c.observeAll(objects, shares)
	for share := range c.views {
		c.renew(ctx, share)
	}
	if !blocked {
		lost := c.acquireFree(ctx)
		c.handOverExcessShare(ctx)
		if lost {
			// The new holders are those to borrow from.
			if objects, _, err = c.Store.List(ctx, KindQuotaShare); err == nil {
				c.observeAll(objects, shares)
			}
		}
	}
	c.publishHolders()
	return err
}

// readInstances updates the live instances. It uses the last list while the
// instance list cannot be read.
func (c *QuotaLeaseController) readInstances(ctx context.Context) {
	rows, err := c.List.Instances(ctx)
	if err == nil {
		c.listedInstances = rows
	}
	c.liveIDs = []string{c.Self.ID}
	for _, row := range c.listedInstances {
		if row.Role == objectstore.RoleRouter && !row.Leaving && row.ID != c.Self.ID && !c.isGone(ctx, row.ID) {
			c.liveIDs = append(c.liveIDs, row.ID)
		}
	}
}

// isGone reports whether an instance was found gone. It probes the instance
// again every goneReprobeInterval.
func (c *QuotaLeaseController) isGone(ctx context.Context, id string) bool {
	g, ok := c.goneInstances[id]
	if !ok {
		return false
	}
	if c.Clock.Elapsed()-g.foundAt < goneReprobeInterval {
		return true
	}
	if incarnation, _ := c.probe(ctx, g.address); incarnation != "" {
		delete(c.goneInstances, id)
		return false
	}
	c.markGone(id, g.address)
	return true
}

func (c *QuotaLeaseController) probe(ctx context.Context, address string) (incarnation string, refused bool) {
	ctx, cancel := context.WithTimeout(ctx, shareProbeTimeout)
	defer cancel()
	return c.Prober.Probe(ctx, address)
}

func (c *QuotaLeaseController) leaseDuration() time.Duration {
	if c.LeaseDuration > 0 {
		return c.LeaseDuration
	}
	return DefaultQuotaLeaseDuration
}

// renew extends a lease of this instance once a third of it is over, or retries
// a hand-back. It also renews an expired lease: if the write succeeds, no other
// instance held the share in between.
func (c *QuotaLeaseController) renew(ctx context.Context, share int) {
	v := &c.views[share]
	if !c.isOwn(v.record) {
		return
	}
	if v.handBackRecord != nil {
		c.write(ctx, share, v.handBackRecord)
		return
	}
	now := c.Clock.Elapsed()
	if now < v.record.HeldFrom+v.record.LeaseDuration/3 {
		return
	}
	record := *v.record
	record.HeldFrom, record.LeaseDuration, record.Tokens = now, c.leaseDuration(), nil
	c.write(ctx, share, &record)
}

// write makes one conditional write. It updates the view only if the write
// certainly took effect.
func (c *QuotaLeaseController) write(ctx context.Context, share int, record *QuotaShareRecord) error {
	value, err := record.Encode()
	if err != nil {
		return err
	}
	v := &c.views[share]
	name := strconv.Itoa(share)
	var object objectstore.Object
	if v.version == 0 {
		object, err = c.Store.Create(ctx, KindQuotaShare, name, value)
	} else {
		object, err = c.Store.Update(ctx, KindQuotaShare, name, value, v.version)
	}
	if err != nil {
		c.Log.Debug("quota share record not written; next round reads it again", "share", share, "kind", objectstore.KindOf(err))
		return err
	}
	c.observe(share, object.Version, record, c.Clock.Elapsed())
	return nil
}

// publishHolders updates the result of HolderAddresses.
func (c *QuotaLeaseController) publishHolders() {
	holders := []string{}
	for i := range c.views {
		r := c.views[i].record
		if r == nil || r.Holder == "" || c.isOwn(r) || slices.Contains(holders, r.Address) {
			continue
		}
		holders = append(holders, r.Address)
	}
	c.shareHolders.Store(&holders)
}
