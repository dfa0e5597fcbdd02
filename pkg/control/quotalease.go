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
	// DefaultQuotaLeaseDuration lets limits work through a platform outage of 40 minutes
	// at least, since leases are renewed at a third.
	DefaultQuotaLeaseDuration = time.Hour
	// leaseInterval is the time between two reads of the share records. It grows
	// with the number of instances, so that the fleet's reads do not.
	leaseInterval    = 5 * time.Second
	leaseIntervalPer = 50 * time.Millisecond // per instance
	// configurationWait is the time between two looks for the first
	// configuration, which a starting instance waits for.
	configurationWait = 20 * time.Millisecond
	// minLeaseGuard and leaseGuardPart allow for boot-time clocks of different
	// speed (1 percent is far more than crystals drift) and for a holder that is
	// stopped between its lease check and its spend.
	minLeaseGuard  = 2 * time.Second
	leaseGuardPart = 100
	// leasePatience is how long the first candidate for a free share may leave it
	// before the next candidate takes it.
	leasePatience = 15 * time.Second
	// evenAfter is how long shares may be unevenly spread before a holder hands
	// one over. A restarting instance should find its old spread.
	evenAfter = time.Minute
	// maxEvenAfter bounds the wait, which doubles with each share handed over, so
	// that a dead instance in the list does not cause writes for ever.
	maxEvenAfter = 10 * time.Minute
	// probeGoneAfter is the time after which an instance that was gone, but that
	// the lagging instance list still shows, is probed again.
	probeGoneAfter = 30 * time.Second
	// reconcileTimeout and shareProbeTimeout keep a platform or a peer that hangs from
	// holding up a hand-back.
	reconcileTimeout  = 10 * time.Second
	shareProbeTimeout = 2 * time.Second // more than a probe of a peer takes
	// probeRanks is the number of candidates that probe a share's holder.
	probeRanks = 2
)

// Prober asks an address which incarnation answers there. The incarnation is
// empty if none answers; refused is true only if the machine itself refused the
// connection. A holder is gone if another incarnation answers at its address or
// the connection is refused. Silence proves nothing, since a paused process is
// silent too.
type Prober interface {
	Probe(ctx context.Context, address string) (incarnation string, refused bool)
}

// QuotaLeaseController acquires, renews, takes over and hands back share leases. It only
// makes conditional writes. A write whose answer was lost changes nothing here
// until the record is read again.
//
// A holder judges its lease by its own boot-time clock from before it sent the
// write. Others wait for the whole lease and a guard on their own boot-time clock
// from when they first saw that version of the record, which is later than the
// write. So no two clocks are ever compared.
//
// A holder that cannot renew stops at the end of its lease even when nobody else
// can reach the platform either: it cannot tell an outage from its own
// disconnection, during which another instance may take the share.
type QuotaLeaseController struct {
	Store         objectstore.Store
	List          objectstore.InstanceList
	Prober        Prober
	Ledger        *quota.Ledger
	Clock         clock.Clock
	Log           hclog.Logger
	Self          InstanceIdentity
	LeaseDuration time.Duration // DefaultQuotaLease if zero
	// FallbackHolders lists the addresses of other instances until the records were
	// read, so that an instance that restarts in an outage can serve from loans.
	FallbackHolders func() []string

	mu       sync.Mutex
	views    []shareView
	listed   []objectstore.Instance
	live     []string                // ids, this instance included
	gone     map[string]goneInstance // by id
	evenWait time.Duration
	uneven   time.Duration
	stopping bool
	holders  atomic.Pointer[[]string]
	tried    atomic.Bool // to read the share records, once there is a configuration
}

// goneInstance is one that has crashed, stopped, or let a lease end.
type goneInstance struct {
	address string
	at      time.Duration
}

// shareView is what this instance knows of one share.
type shareView struct {
	known     bool              // the record, or its absence, was read
	version   uint64            // zero while there is no object
	record    *QuotaShareRecord // nil while there is no object
	seen      time.Duration
	free      bool
	freeSince time.Duration
	// heldUntil is when the last known holder stops, if its record was deleted.
	heldUntil time.Duration
	// returning is the record by which this process hands the share back. The
	// tokens in it are out of the ledger, so the share is never used again under
	// the same fence.
	returning *QuotaShareRecord
}

// Holders returns the addresses of the other instances that hold shares.
func (c *QuotaLeaseController) Holders() []string {
	if h := c.holders.Load(); h != nil {
		return *h
	}
	if c.FallbackHolders != nil {
		return c.FallbackHolders()
	}
	return nil
}

// Ready reports whether this instance has tried to get its shares. If the
// platform did not answer, it serves from loans.
func (c *QuotaLeaseController) Ready() bool { return c.tried.Load() }

// Run reconciles until ctx ends. It does not hand back.
func (c *QuotaLeaseController) Run(ctx context.Context) {
	for c.Ledger.Shares() == 0 && ctx.Err() == nil {
		clock.Sleep(ctx, clock.Jitter(configurationWait))
	}
	failing := false
	for ctx.Err() == nil {
		err := c.Reconcile(ctx)
		// One line for each outage, not one for each attempt.
		if err != nil && !failing && ctx.Err() == nil {
			c.Log.Warn("quota shares are not reconciled; leases in force go on until they end", "cause", err)
		}
		failing = err != nil
		c.tried.Store(true)
		c.mu.Lock()
		wait := max(leaseInterval, time.Duration(len(c.live))*leaseIntervalPer)
		c.mu.Unlock()
		clock.Sleep(ctx, clock.Jitter(wait))
	}
}

// Reconcile reads all share records once and acts on them.
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
		c.acquireFree(ctx)
		c.evenOut(ctx)
	}
	c.publishHolders()
	return nil
}

// readInstances keeps the last list while the platform does not answer.
func (c *QuotaLeaseController) readInstances(ctx context.Context) {
	rows, err := c.List.Instances(ctx)
	if err == nil {
		c.listed = rows
	}
	c.live = []string{c.Self.ID}
	for _, row := range c.listed {
		if row.Role == objectstore.RoleRouter && !row.Leaving && row.ID != c.Self.ID && !c.isGone(ctx, row.ID) {
			c.live = append(c.live, row.ID)
		}
	}
}

// isGone reports whether an instance was gone when it was last probed.
func (c *QuotaLeaseController) isGone(ctx context.Context, id string) bool {
	g, ok := c.gone[id]
	if !ok {
		return false
	}
	if c.Clock.Elapsed()-g.at < probeGoneAfter {
		return true
	}
	if incarnation, _ := c.probe(ctx, g.address); incarnation != "" {
		delete(c.gone, id)
		return false
	}
	c.noteGone(id, g.address)
	return true
}

func (c *QuotaLeaseController) probe(ctx context.Context, address string) (incarnation string, refused bool) {
	ctx, cancel := context.WithTimeout(ctx, shareProbeTimeout)
	defer cancel()
	return c.Prober.Probe(ctx, address)
}

func (c *QuotaLeaseController) lease() time.Duration {
	if c.LeaseDuration > 0 {
		return c.LeaseDuration
	}
	return DefaultQuotaLeaseDuration
}

// renew extends an own lease once a third of it is over, or finishes a hand-back.
// It also renews a lease that has ended: if the write succeeds, nobody else held
// the share in between.
func (c *QuotaLeaseController) renew(ctx context.Context, share int) {
	v := &c.views[share]
	if !c.mine(v.record) {
		return
	}
	if v.returning != nil {
		c.write(ctx, share, v.returning)
		return
	}
	now := c.Clock.Elapsed()
	if now < v.record.HeldFrom+v.record.LeaseDuration/3 {
		return
	}
	record := *v.record
	record.HeldFrom, record.LeaseDuration, record.Tokens = now, c.lease(), nil
	c.write(ctx, share, &record)
}

// write makes one conditional write and notes the result if it is certain.
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
		c.Log.Debug("quota share not written", "share", share, "kind", objectstore.KindOf(err))
		return err
	}
	c.observe(share, object.Version, record, c.Clock.Elapsed())
	return nil
}

func (c *QuotaLeaseController) publishHolders() {
	holders := []string{}
	for i := range c.views {
		r := c.views[i].record
		if r == nil || r.Holder == "" || c.mine(r) || slices.Contains(holders, r.Address) {
			continue
		}
		holders = append(holders, r.Address)
	}
	c.holders.Store(&holders)
}
