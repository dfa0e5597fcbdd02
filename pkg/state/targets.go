package state

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/follow"
	"lacewingwheel.example/lacewingwheel/pkg/gossip"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/rollout"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// returnTime is how long a target whose entry is missing is still used after
// the store came back: entries that lapsed meanwhile are written again within
// about two seconds. Source: the platform's service discovery.
const returnTime = 2200 * time.Millisecond

// Targets holds the targets as the store lists them.
type Targets struct {
	Store       objectstore.Store
	Kind        string
	Parse       func(id string, value []byte) (*target.Target, error)
	Clock       clock.Clock
	StoreHealth *follow.StoreHealth
	Log         hclog.Logger
	// WatchPause returns the time between reads of changes; nil means none.
	WatchPause func() time.Duration
	// FedByPeer reports whether other instances pass on the changes; nil means never.
	FedByPeer func() bool
	// MaxViewAge is the age from which an instance reads changes itself all the same.
	MaxViewAge time.Duration
	// OnChange is called after each change of the list.
	OnChange func()
	// RolloutDeadline is the time from named weights to the last request on older
	// ones; zero means no bound.
	RolloutDeadline time.Duration

	once     sync.Once
	follower *follow.Follower

	mu      sync.Mutex
	entries map[string]*entry
	named   map[string][]named // weights by model, in the order of their names
	set     atomic.Pointer[view]
}

// named is one version of a model's weights and when its name was seen.
type named struct {
	version string
	at      time.Duration
}

// entry is one target with what was learned about it beside the list.
type entry struct {
	target   *target.Target // nil while the entry names no usable target
	revision uint64
	gone     bool          // no longer listed; kept because the store was away
	unused   bool          // another target has its address
	stated   string        // weights that a response stated since the last change of the entry
	lapsedAt time.Duration // when it was first missing
}

// view is an immutable list of targets by pool.
type view struct {
	pools    map[string][]*target.Target
	keys     map[string]bool
	hashes   map[uint64]*target.Target
	versions map[string]string
}

// InPool returns the targets of a pool.
func (t *Targets) InPool(name string) []*target.Target {
	if v := t.set.Load(); v != nil {
		return v.pools[name]
	}
	return nil
}

// IsListed reports whether a target with the key is listed.
func (t *Targets) IsListed(key string) bool {
	v := t.set.Load()
	return v != nil && v.keys[key]
}

// ByHash returns the target that messages between instances name, or nil.
func (t *Targets) ByHash(hash uint64) *target.Target {
	if v := t.set.Load(); v != nil {
		return v.hashes[hash]
	}
	return nil
}

// HasSynced reports whether the list has been read.
func (t *Targets) HasSynced() bool { return t.set.Load() != nil }

// ForEachPool calls f for each pool that has targets.
func (t *Targets) ForEachPool(f func(pool string, targets []*target.Target)) {
	if v := t.set.Load(); v != nil {
		for pool, targets := range v.pools {
			f(pool, targets)
		}
	}
}

// NewestVersion returns the newest weights named for a model, or "".
func (t *Targets) NewestVersion(model string) string {
	if v := t.set.Load(); v != nil {
		return v.versions[model]
	}
	return ""
}

// Run follows the list until ctx ends.
func (t *Targets) Run(ctx context.Context) {
	t.Follower().Run(ctx)
}

// Follower returns what follows the list.
func (t *Targets) Follower() *follow.Follower {
	t.once.Do(func() {
		t.entries = make(map[string]*entry)
		t.follower = &follow.Follower{
			Store: t.Store, Kind: t.Kind, Replace: t.replace, Apply: t.apply, WatchPause: t.WatchPause,
			FedByPeer: t.FedByPeer, MaxViewAge: t.MaxViewAge, OnChange: t.OnChange, Clock: t.Clock, StoreHealth: t.StoreHealth, Log: t.Log,
		}
	})
	return t.follower
}

func (t *Targets) replace(objects []objectstore.Object) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
		t.take(o)
	}
	for id, e := range t.entries {
		if !listed[id] && !e.gone {
			t.remove(id, e)
		}
	}
	t.publish()
}

func (t *Targets) apply(events []objectstore.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, event := range events {
		e := t.entries[event.Object.Name]
		switch {
		case !event.Deleted:
			t.take(event.Object)
		case e != nil && event.Object.Version >= e.revision:
			t.remove(event.Object.Name, e)
		}
	}
	t.publish()
}

// take takes in a listed entry if it is newer than the known one.
func (t *Targets) take(o objectstore.Object) {
	e := t.entries[o.Name]
	if e != nil && o.Version <= e.revision {
		e.gone = e.gone && o.Version < e.revision
		return
	}
	parsed, err := t.Parse(o.Name, o.Value)
	if err != nil {
		t.Log.Warn("entry of the target list cannot be used", "entry", o.Name, "revision", o.Version, "cause", err)
		t.entries[o.Name] = &entry{revision: o.Version}
		return
	}
	next := &entry{target: parsed, revision: o.Version}
	if e != nil && e.target != nil && e.target.Incarnation == parsed.Incarnation {
		parsed.Live = e.target.Live
		next.unused = e.unused && e.target.Address == parsed.Address
		// A restart keeps the id; within one incarnation a target that is
		// leaving does not come back.
		parsed.Leaving = parsed.Leaving || e.target.Leaving
		if e.stated != "" && newer(e.stated, parsed.WeightVersion) {
			next.stated = e.stated
		}
		t.logChange(e.target, parsed)
	} else {
		parsed.Live = &target.LiveState{}
		t.Log.Info("target listed", "target", o.Name, "incarnation", parsed.Incarnation, "address", parsed.Address,
			"pool", parsed.Pool, "zone", parsed.Zone, "leaving", parsed.Leaving, "weights", parsed.WeightVersion)
	}
	t.entries[o.Name] = next
}

func (t *Targets) logChange(old, now *target.Target) {
	if old.Leaving != now.Leaving || old.WeightVersion != now.WeightVersion || old.Address != now.Address {
		t.Log.Info("target changed", "target", now.ID, "leaving", now.Leaving, "weights", now.WeightVersion,
			"weights_before", old.WeightVersion, "address", now.Address)
	}
}

// newer reports whether weight version a is newer than b. Versions are whole
// numbers, so the longer one is the larger.
func newer(a, b string) bool {
	if len(a) != len(b) {
		return len(a) > len(b)
	}
	return a > b
}

// remove drops a target that is no longer listed. While the store is away, and
// shortly after, entries lapse that are only late.
func (t *Targets) remove(id string, e *entry) {
	if e.target != nil && t.StoreHealth.UnavailableWithin(returnTime) {
		e.gone, e.lapsedAt = true, t.Clock.Elapsed()
		t.Log.Info("target missing after the store was away; kept for now", "target", id)
		return
	}
	delete(t.entries, id)
	t.Log.Info("target gone", "target", id)
}

// ReconcileExpired takes in what changes with time alone: targets whose entries did not
// come back, and weights that have become too old. Call it from time to time.
func (t *Targets) ReconcileExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	dropped := t.set.Load() != nil && len(t.named) > 0
	if t.StoreHealth.UnavailableWithin(returnTime) {
		if dropped {
			t.publish()
		}
		return
	}
	for id, e := range t.entries {
		if e.gone {
			delete(t.entries, id)
			dropped = true
			t.Log.Info("target gone", "target", id, "missing_for", t.Clock.Elapsed()-e.lapsedAt)
		}
	}
	if dropped {
		t.publish()
	}
}

// MarkReplaced notes that another target has the address of this one.
func (t *Targets) MarkReplaced(known *target.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[known.ID]
	if e == nil || e.target == nil || e.unused || e.target.Key() != known.Key() {
		return
	}
	e.unused = true
	t.Log.Info("another target has the address; the target is not used until its entry changes", "target", known.ID, "address", known.Address)
	t.publish()
}

// RunsVersion notes the weights that a target stated itself.
func (t *Targets) RunsVersion(known *target.Target, version string) {
	if known.WeightVersion == version {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[known.ID]
	if e == nil || e.target == nil || e.target.Key() != known.Key() || !newer(version, e.target.WeightVersion) {
		return
	}
	if e.stated != "" && !newer(version, e.stated) {
		return
	}
	e.stated = version
	t.Log.Info("target states newer weights than its entry", "target", known.ID, "weights", version, "entry", e.target.WeightVersion)
	t.publish()
}

// RecordAnnouncedVersion notes that weights were named for a model. The age is how long
// ago that may have been.
func (t *Targets) RecordAnnouncedVersion(model, version string, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.named[model]
	before := ""
	if len(known) > 0 {
		before = known[len(known)-1].version
		if !newer(version, before) {
			return
		}
	}
	if t.named == nil {
		t.named = make(map[string][]named)
	}
	t.Log.Info("weights named", "model", model, "weights", version, "before", before, "age", age)
	known = append(known, named{version, t.Clock.Elapsed() - age})
	if len(known) > namedVersions {
		known = known[1:]
	}
	t.named[model] = known
	if t.set.Load() != nil {
		t.publish()
	}
}

// namedVersions is the number of versions whose names are remembered.
const namedVersions = 16

// supersededFor returns how long newer weights than a version have been named.
func (t *Targets) supersededFor(model, version string) time.Duration {
	for _, n := range t.named[model] {
		if newer(n.version, version) {
			return t.Clock.Elapsed() - n.at
		}
	}
	return 0
}

// rolloutMargin is kept from the bound for new weights: a request begins some
// time after it was placed.
const rolloutMargin = 900 * time.Millisecond

// nextInLine is the number of targets, of those that load at the same time,
// that are kept free beside them as a divisor: the one that gives the orders may
// be ahead of what is listed.
const nextInLine = 3

// markRollout marks the engines of a pool that load weights, are next to, or
// have weights that may not be used any more.
func (t *Targets) markRollout(targets []*target.Target) {
	var behind []*target.Target
	engines := 0
	for _, x := range targets {
		if !x.IsEngine {
			continue
		}
		engines++
		late := t.supersededFor(x.Model, x.WeightVersion)
		if late == 0 || x.Leaving {
			continue
		}
		behind = append(behind, x)
		x.WeightsExpired = t.RolloutDeadline > 0 && late > t.RolloutDeadline-rolloutMargin
	}
	rollout.SortByLoadOrder(behind)
	parallel := rollout.MaxParallelLoads(engines)
	for i, x := range behind {
		x.AboutToLoad = i < parallel+max(1, parallel/nextInLine)
	}
}

// publish makes the view that the request path reads. Its targets are copies,
// as the entries are marked anew for each view.
func (t *Targets) publish() {
	v := &view{pools: make(map[string][]*target.Target), keys: make(map[string]bool), hashes: make(map[uint64]*target.Target), versions: make(map[string]string)}
	for model, known := range t.named {
		v.versions[model] = known[len(known)-1].version
	}
	for _, e := range t.entries {
		if e.target == nil || e.unused {
			continue
		}
		shown := *e.target
		if e.stated != "" {
			shown.WeightVersion = e.stated
		}
		v.pools[shown.Pool] = append(v.pools[shown.Pool], &shown)
		v.keys[shown.Key()] = true
		v.hashes[gossip.HashTarget(shown.Key())] = &shown
	}
	for _, targets := range v.pools {
		t.markRollout(targets)
	}
	t.set.Store(v)
}
