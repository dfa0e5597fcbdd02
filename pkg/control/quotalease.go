package control

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/platform"
	"lacewingwheel.example/lacewingwheel/pkg/quota"
)

const (
	// DefaultQuotaLease lets limits work through a platform outage of 40 minutes
	// at least, since leases are renewed at a third.
	DefaultQuotaLease = time.Hour
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

// QuotaLease acquires, renews, takes over and hands back share leases. It only
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
type QuotaLease struct {
	Store  platform.Store
	List   platform.InstanceList
	Prober Prober
	Ledger *quota.Ledger
	Clock  clock.Clock
	Log    hclog.Logger
	Self   Self
	Lease  time.Duration // DefaultQuotaLease if zero
	// Fallback lists the addresses of other instances until the records were
	// read, so that an instance that restarts in an outage can serve from loans.
	Fallback func() []string

	mu       sync.Mutex
	views    []shareView
	listed   []platform.Instance
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
	known     bool         // the record, or its absence, was read
	version   uint64       // zero while there is no object
	record    *ShareRecord // nil while there is no object
	seen      time.Duration
	free      bool
	freeSince time.Duration
	// heldUntil is when the last known holder stops, if its record was deleted.
	heldUntil time.Duration
	// returning is the record by which this process hands the share back. The
	// tokens in it are out of the ledger, so the share is never used again under
	// the same fence.
	returning *ShareRecord
}

// Holders returns the addresses of the other instances that hold shares.
func (c *QuotaLease) Holders() []string {
	if h := c.holders.Load(); h != nil {
		return *h
	}
	if c.Fallback != nil {
		return c.Fallback()
	}
	return nil
}

// Ready reports whether this instance has tried to get its shares. If the
// platform did not answer, it serves from loans.
func (c *QuotaLease) Ready() bool { return c.tried.Load() }

// Run reconciles until ctx ends. It does not hand back.
func (c *QuotaLease) Run(ctx context.Context) {
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
func (c *QuotaLease) Reconcile(ctx context.Context) error {
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
func (c *QuotaLease) readInstances(ctx context.Context) {
	rows, err := c.List.Instances(ctx)
	if err == nil {
		c.listed = rows
	}
	c.live = []string{c.Self.ID}
	for _, row := range c.listed {
		if row.Role == platform.RoleRouter && !row.Leaving && row.ID != c.Self.ID && !c.isGone(ctx, row.ID) {
			c.live = append(c.live, row.ID)
		}
	}
}

// isGone reports whether an instance was gone when it was last probed.
func (c *QuotaLease) isGone(ctx context.Context, id string) bool {
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

func (c *QuotaLease) probe(ctx context.Context, address string) (incarnation string, refused bool) {
	ctx, cancel := context.WithTimeout(ctx, shareProbeTimeout)
	defer cancel()
	return c.Prober.Probe(ctx, address)
}

// observeAll notes all records. It reports whether a share of another size is
// still held: shares of two sizes could sum to more than the burst.
func (c *QuotaLease) observeAll(objects []platform.Object, shares int) (blocked bool) {
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
		record, err := DecodeShareRecord(object.Value)
		if err != nil {
			c.Log.Error("quota share is not readable; delete the object if no instance runs", "share", object.Name, "cause", err)
			blocked = true
			continue
		}
		blocked = blocked || (record.Shares != shares && record.Holder != "")
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
func (c *QuotaLease) observe(share int, version uint64, record *ShareRecord, now time.Duration) {
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
	if record != nil && record.Stopped != "" {
		c.noteGone(record.Stopped, record.Address)
	}
	if !c.mine(record) {
		v.returning = nil
		if wasMine {
			c.Ledger.Release(share, now)
		}
		return
	}
	if v.returning == nil {
		lease := quota.Lease{Share: share, Fence: record.Fence, Until: record.HeldFrom + record.Lease}
		c.Ledger.Hold(lease, record.Tokens, now)
	}
}

// leaseOver is when the holder of the record seen has stopped by any clock.
func (v *shareView) leaseOver() time.Duration {
	return v.seen + v.record.Lease + max(minLeaseGuard, v.record.Lease/leaseGuardPart)
}

func (c *QuotaLease) mine(r *ShareRecord) bool {
	return r != nil && r.Holder == c.Self.ID && r.Incarnation == c.Self.Incarnation
}

func (c *QuotaLease) lease() time.Duration {
	if c.Lease > 0 {
		return c.Lease
	}
	return DefaultQuotaLease
}

// renew extends an own lease once a third of it is over, or finishes a hand-back.
// It also renews a lease that has ended: if the write succeeds, nobody else held
// the share in between.
func (c *QuotaLease) renew(ctx context.Context, share int) {
	v := &c.views[share]
	if !c.mine(v.record) {
		return
	}
	if v.returning != nil {
		c.write(ctx, share, v.returning)
		return
	}
	now := c.Clock.Elapsed()
	if now < v.record.HeldFrom+v.record.Lease/3 {
		return
	}
	record := *v.record
	record.HeldFrom, record.Lease, record.Tokens = now, c.lease(), nil
	c.write(ctx, share, &record)
}

// write makes one conditional write and notes the result if it is certain.
func (c *QuotaLease) write(ctx context.Context, share int, record *ShareRecord) error {
	value, err := record.Encode()
	if err != nil {
		return err
	}
	v := &c.views[share]
	name := strconv.Itoa(share)
	var object platform.Object
	if v.version == 0 {
		object, err = c.Store.Create(ctx, KindQuotaShare, name, value)
	} else {
		object, err = c.Store.Update(ctx, KindQuotaShare, name, value, v.version)
	}
	if err != nil {
		c.Log.Debug("quota share not written", "share", share, "kind", platform.KindOf(err))
		return err
	}
	c.observe(share, object.Version, record, c.Clock.Elapsed())
	return nil
}

// acquireFree takes the free shares for which this instance is the candidate.
func (c *QuotaLease) acquireFree(ctx context.Context) {
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

func (c *QuotaLease) acquire(ctx context.Context, share int) {
	v := &c.views[share]
	record := &ShareRecord{
		Shares: len(c.views), Holder: c.Self.ID, Incarnation: c.Self.Incarnation, Address: c.Self.Address,
		Fence: 1, Lease: c.lease(), HeldFrom: c.Clock.Elapsed(),
	}
	if v.record == nil && v.heldUntil == 0 {
		record.Tokens = c.Ledger.Full() // nobody has ever spent from it
	}
	if v.record != nil {
		record.Fence = v.record.Fence + 1
		if v.record.Holder == "" && v.record.Shares == len(c.views) {
			record.Tokens = v.record.Tokens
		}
	}
	if c.write(ctx, share, record) == nil {
		c.Log.Info("quota share acquired", "share", share, "fence", record.Fence)
	}
}

// isFree reports whether nobody can spend from the share any more.
func (c *QuotaLease) isFree(ctx context.Context, v *shareView, rank int, probed map[string]bool) bool {
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

func (c *QuotaLease) noteGone(id, address string) {
	if c.gone == nil {
		c.gone = make(map[string]goneInstance)
	}
	c.gone[id] = goneInstance{address, c.Clock.Elapsed()}
	c.live = slices.DeleteFunc(c.live, func(live string) bool { return live == id && id != c.Self.ID })
}

// counts returns the number of shares per live instance.
func (c *QuotaLease) counts() map[string]int {
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
func (c *QuotaLease) candidates(share int, counts map[string]int) []string {
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

// evenOut hands one share back when this instance has had more than its part for
// a while and another has less than its own.
func (c *QuotaLease) evenOut(ctx context.Context) {
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
func (c *QuotaLease) handBack(ctx context.Context, share int) error {
	v := &c.views[share]
	if v.returning == nil {
		now := c.Clock.Elapsed()
		record := *v.record
		record.Holder, record.Incarnation, record.HeldFrom = "", "", 0
		record.Tokens = c.Ledger.Release(share, now)
		if c.stopping {
			record.Stopped = c.Self.ID
		}
		v.returning = &record
	}
	return c.write(ctx, share, v.returning)
}

// HandBack writes all own shares back with their tokens. Call it when the running
// requests are done. It ends when all are written or with ctx; a share that is
// not written back is taken over empty.
func (c *QuotaLease) HandBack(ctx context.Context) error {
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

func (c *QuotaLease) readBack(ctx context.Context) {
	if objects, _, err := c.Store.List(ctx, KindQuotaShare); err == nil && len(c.views) > 0 {
		c.observeAll(objects, len(c.views))
	}
}

func (c *QuotaLease) handBackAll(ctx context.Context) error {
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

func (c *QuotaLease) publishHolders() {
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
