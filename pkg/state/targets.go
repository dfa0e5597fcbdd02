package state

import (
	"context"
	"strings"
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

// lapsedGrace is how long after an outage of the store targets without an entry
// are still used. Entries that lapsed during the outage are written again within
// about two seconds.
const lapsedGrace = 2200 * time.Millisecond

// Targets holds the targets that the store lists. It is safe for concurrent use;
// the exported fields must be set before use.
type Targets struct {
	Store       objectstore.Store
	Kind        string
	Parse       func(id string, value []byte) (*target.Target, error)
	Clock       clock.Clock
	StoreHealth *follow.StoreHealth
	Log         hclog.Logger
	// WatchPause returns the time between reads of changes; nil means no pause.
	WatchPause func() time.Duration
	// FedByPeer reports whether other instances relay the changes; nil means never.
	FedByPeer func() bool
	// MaxViewAge is the age of the list from which this instance reads changes
	// itself although others relay them.
	MaxViewAge time.Duration
	// WatchWait is how long the store holds a watch without changes.
	WatchWait time.Duration
	// OnChange is called after each change of the list; nil means no call.
	OnChange func()
	// RolloutDeadline is the time from the announcement of weights to the last
	// request on older ones; zero means no deadline.
	RolloutDeadline time.Duration

	once     sync.Once
	follower *follow.Follower

	mu      sync.Mutex
	entries map[string]*entry
	// left has the keys of targets that said that they leave, and when, so that it
	// holds also for an entry that returns. Only another incarnation, which has
	// another key, ends it.
	left    map[string]time.Duration
	removed map[string]removedEntry // by key: targets whose entries were removed a short time ago
	weights weightsHistory
	current atomic.Pointer[targetView]
}

// entry is one target and what is known about it from other sources than the list.
type entry struct {
	target          *target.Target // nil while the entry names no usable target
	revision        uint64
	lapsed          bool          // no longer listed; kept for lapsedGrace after an outage of the store
	addressTaken    bool          // another target answers at its address
	reportedVersion string        // weights that the target reported; "" unless newer than the listed ones
	expiredVersion  string        // weights that were logged as no longer used
	lapsedAt        time.Duration // boot time at which it was first missing
	withheld        *withheldEntry
}

// targetView is an immutable list of the targets in use.
type targetView struct {
	pools    map[string][]*target.Target
	keys     map[string]bool
	hashes   map[uint64]*target.Target
	versions map[string]string
	// hasSuperseded is set if any engine has superseded weights.
	hasSuperseded bool
}

// InPool returns the targets of a pool. The result must not be modified.
func (t *Targets) InPool(name string) []*target.Target {
	if v := t.current.Load(); v != nil {
		return v.pools[name]
	}
	return nil
}

// IsListed reports whether a target with the key, as from target.Target.Key, is in
// use.
func (t *Targets) IsListed(key string) bool {
	v := t.current.Load()
	return v != nil && v.keys[key]
}

// ByHash returns the target with the hash that messages between instances use, or
// nil.
func (t *Targets) ByHash(hash uint64) *target.Target {
	if v := t.current.Load(); v != nil {
		return v.hashes[hash]
	}
	return nil
}

// HasSynced reports whether the list has been read at least once.
func (t *Targets) HasSynced() bool { return t.current.Load() != nil }

// ListState returns how old the list is, in which revision, and from where.
func (t *Targets) ListState() target.ListState {
	state := t.Follower().SyncState()
	return target.ListState{Age: t.Clock.Elapsed() - state.AsOf, MaxAge: t.MaxViewAge, Revision: state.Revision, From: state.From}
}

// ForEachPool calls f for each pool that has targets, in random order.
func (t *Targets) ForEachPool(f func(pool string, targets []*target.Target)) {
	if v := t.current.Load(); v != nil {
		for pool, targets := range v.pools {
			f(pool, targets)
		}
	}
}

// NewestVersion returns the newest weight version announced for a model, or "".
func (t *Targets) NewestVersion(model string) string {
	if v := t.current.Load(); v != nil {
		return v.versions[model]
	}
	return ""
}

// NewestVersions returns the newest weight versions that were announced, by model.
func (t *Targets) NewestVersions() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	versions := make(map[string]string, len(t.weights.models))
	for model, h := range t.weights.models {
		versions[model] = h.newest
	}
	return versions
}

// Run watches the list until ctx ends.
func (t *Targets) Run(ctx context.Context) {
	t.Follower().Run(ctx)
}

// Follower returns the follower of the list, the same one on each call.
func (t *Targets) Follower() *follow.Follower {
	t.once.Do(func() {
		t.entries = make(map[string]*entry)
		t.follower = &follow.Follower{
			Store: t.Store, Kind: t.Kind, Replace: t.replace, Apply: t.apply, WatchPause: t.WatchPause,
			FedByPeer: t.FedByPeer, MaxViewAge: t.MaxViewAge, WatchWait: t.WatchWait, OnChange: t.OnChange, Clock: t.Clock, StoreHealth: t.StoreHealth, Log: t.Log,
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
		t.applyEntry(o)
	}
	for id, e := range t.entries {
		if !listed[id] && !e.lapsed {
			t.removeOrKeepLapsed(id, e)
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
			t.applyEntry(event.Object)
		case e != nil && event.Object.Version >= e.revision:
			t.removeOrKeepLapsed(event.Object.Name, e)
		}
	}
	t.publish()
}

// applyEntry applies a listed entry if it is newer than the known one.
func (t *Targets) applyEntry(o objectstore.Object) {
	e := t.entries[o.Name]
	if e != nil && o.Version <= e.revision {
		e.lapsed = e.lapsed && o.Version < e.revision
		return
	}
	parsed, err := t.Parse(o.Name, o.Value)
	if err == nil {
		if _, left := t.left[parsed.Key()]; left {
			parsed.Leaving = true
		} else if parsed.Leaving {
			t.rememberLeft(parsed.Key())
		}
	}
	if err != nil {
		t.Log.Warn("entry of the target list cannot be decoded; its target is not used", "entry", o.Name, "revision", objectstore.FormatRevision(o.Version), "cause", err)
		t.entries[o.Name] = &entry{revision: o.Version}
		return
	}
	isOtherEra := e == nil || objectstore.Era(o.Version) != objectstore.Era(e.revision)
	if isOtherEra && t.isFromCopy(o, parsed.Key()) {
		if e == nil || e.target == nil {
			t.withhold(o, parsed.Key())
		} else {
			e.revision = o.Version // a later incarnation has replaced it
		}
		return
	}
	next := &entry{target: parsed, revision: o.Version}
	if e != nil && e.target != nil && e.target.Incarnation == parsed.Incarnation {
		parsed.Live = e.target.Live
		next.addressTaken = e.addressTaken && e.target.Address == parsed.Address
		next.expiredVersion = e.expiredVersion
		// Within one incarnation a target that is leaving stays so; only a
		// restart ends it.
		parsed.Leaving = parsed.Leaving || e.target.Leaving
		if e.reportedVersion != "" && target.IsNewerVersion(e.reportedVersion, parsed.WeightVersion) {
			next.reportedVersion = e.reportedVersion
		}
		// The entry that a restored store shows may be older than the loaded weights.
		if isOtherEra && next.reportedVersion == "" && target.IsNewerVersion(e.target.WeightVersion, parsed.WeightVersion) {
			next.reportedVersion = e.target.WeightVersion
		}
		t.logChange(e.target, parsed)
	} else {
		if e != nil && e.target != nil {
			t.rememberRemoved(e.target.Key())
		}
		parsed.Live = &target.LiveState{}
		t.Log.Info("target listed", "target", o.Name, "incarnation", parsed.Incarnation, "address", parsed.Address,
			"pool", parsed.Pool, "zone", parsed.Zone, "leaving", parsed.Leaving, "weights", parsed.WeightVersion, "version", parsed.Version)
	}
	t.entries[o.Name] = next
}

func (t *Targets) logChange(old, now *target.Target) {
	if old.Leaving != now.Leaving || old.WeightVersion != now.WeightVersion || old.Address != now.Address {
		t.Log.Info("target changed", "target", now.ID, "leaving", now.Leaving, "weights", now.WeightVersion,
			"weights_before", old.WeightVersion, "address", now.Address)
	}
}

// removeOrKeepLapsed removes a target that is no longer listed. During an outage of
// the store and shortly after it, the target is marked as lapsed instead: its entry
// may only have failed to be renewed.
func (t *Targets) removeOrKeepLapsed(id string, e *entry) {
	if e.target != nil && t.StoreHealth.UnavailableWithin(lapsedGrace) {
		e.lapsed, e.lapsedAt = true, t.Clock.Elapsed()
		t.Log.Info("target missing after an outage of the store; kept until its entry had time to return", append([]any{"target", id}, t.StoreHealth.Evidence()...)...)
		return
	}
	t.remove(id, e)
	t.Log.Info("target gone", "target", id)
}

// ReconcileExpired removes lapsed targets whose entries did not return within
// lapsedGrace, and logs the targets whose weights are no longer used. It must be
// called periodically.
func (t *Targets) ReconcileExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.current.Load(); v != nil {
		for pool, targets := range v.pools {
			t.logExpired(pool, targets)
		}
	}
	t.releaseWithheld()
	if t.StoreHealth.UnavailableWithin(lapsedGrace) {
		return
	}
	needsPublish := false
	for id, e := range t.entries {
		if e.lapsed {
			t.remove(id, e)
			needsPublish = true
			t.Log.Info("target gone", "target", id, "missing_for", t.Clock.Elapsed()-e.lapsedAt)
		}
	}
	if needsPublish {
		t.publish()
	}
}

// maxLeft bounds the targets that are remembered as leaving.
const maxLeft = 4096

// rememberLeft records that a target leaves. The caller holds mu.
func (t *Targets) rememberLeft(key string) {
	if t.left == nil {
		t.left = make(map[string]time.Duration)
	}
	if len(t.left) >= maxLeft {
		oldest := ""
		for k, at := range t.left {
			if oldest == "" || at < t.left[oldest] {
				oldest = k
			}
		}
		delete(t.left, oldest)
	}
	t.left[key] = t.Clock.Elapsed()
}

// RecordNotice records what a target said about new work in a response to this
// instance. A target that leaves gets no new work in this incarnation, whatever its
// entry says.
func (t *Targets) RecordNotice(known *target.Target, n target.Notice) {
	if n.Pause > 0 && known.Live.RecordPause(t.Clock.Elapsed(), n.Pause) {
		t.Log.Info("target asks for a pause; it gets no requests of this instance until then", "target", known.ID, "pause", n.Pause)
	}
	if !n.Leaving {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, done := t.left[known.Key()]; done {
		return
	}
	t.rememberLeft(known.Key())
	t.Log.Info("target says that it leaves; it gets no new requests", "target", known.ID, "incarnation", known.Incarnation, "said_by", "target")
	e := t.entries[known.ID]
	if e == nil || e.target == nil || e.target.Key() != known.Key() || e.target.Leaving {
		return
	}
	leaving := *e.target
	leaving.Leaving = true
	e.target = &leaving
	t.publish()
}

// RecordLeavingHint records that another instance was told by a target that it leaves.
func (t *Targets) RecordLeavingHint(hash uint64) {
	known := t.ByHash(hash)
	if known == nil || known.Leaving || known.Live.HasLeavingHint() {
		return
	}
	known.Live.RecordLeavingHint()
	t.Log.Info("another instance says that a target leaves; it is avoided", "target", known.ID, "incarnation", known.Incarnation, "said_by", "instance")
}

// StepTimes returns the newest sample of the step time of each target.
func (t *Targets) StepTimes() []gossip.StepTime {
	v := t.current.Load()
	if v == nil {
		return nil
	}
	var out []gossip.StepTime
	for hash, x := range v.hashes {
		if step, at := x.Live.NewestStepTime(); step > 0 {
			out = append(out, gossip.StepTime{Target: hash, Step: step, At: at})
		}
	}
	return out
}

// RecordStepTime records a sample of the step time of a target that another instance
// measured.
func (t *Targets) RecordStepTime(s gossip.StepTime) {
	if known := t.ByHash(s.Target); known != nil {
		known.Live.RecordStepTime(s.Step, s.At)
	}
}

// MarkReplaced records that another target answers at the address of this one. This
// one is then not used until its entry changes the address or the incarnation.
func (t *Targets) MarkReplaced(known *target.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[known.ID]
	if e == nil || e.target == nil || e.addressTaken || e.target.Key() != known.Key() {
		return
	}
	e.addressTaken = true
	t.Log.Info("another target has the address; the target is not used until its entry changes", "target", known.ID, "address", known.Address)
	t.publish()
}

// RecordReportedVersion records the weight version that a target reported itself. It has no
// effect if the target's entry or an earlier report has the same or a newer one.
func (t *Targets) RecordReportedVersion(known *target.Target, version string) {
	if known.WeightVersion == version {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[known.ID]
	if e == nil || e.target == nil || e.target.Key() != known.Key() || !target.IsNewerVersion(version, e.target.WeightVersion) {
		return
	}
	if e.reportedVersion != "" && !target.IsNewerVersion(version, e.reportedVersion) {
		return
	}
	e.reportedVersion = version
	t.Log.Info("target reports newer weights than its entry; the reported ones are used", "target", known.ID, "weights", version, "entry", e.target.WeightVersion)
	t.publish()
}

// reservedDivisor sets how many further targets are marked as about to load: one
// for every reservedDivisor that load at the same time, and at least one. The
// instance that sends the orders may be ahead of the list.
const reservedDivisor = 3

// markRollout sets AboutToLoad on the engines of a pool that load weights or are
// next to do so, and WeightsUsableUntil on those with superseded weights. It reports
// whether there are any of these.
func (t *Targets) markRollout(targets []*target.Target) (hasSuperseded bool) {
	var outdated []*target.Target
	engines := 0
	for _, x := range targets {
		if !x.IsEngine {
			continue
		}
		engines++
		at, isAssumed, superseded := t.weights.supersededAfter(x.Model, x.WeightVersion)
		if !superseded {
			continue
		}
		hasSuperseded = true
		if t.RolloutDeadline > 0 {
			x.WeightsUsableUntil, x.WeightsUseIsAssumed = at+t.RolloutDeadline, isAssumed
		}
		if !x.Leaving {
			outdated = append(outdated, x)
		}
	}
	rollout.SortByLoadOrder(outdated)
	parallel := rollout.MaxParallelLoads(engines)
	for i, x := range outdated {
		x.AboutToLoad = i < parallel+max(1, parallel/reservedDivisor)
	}
	return hasSuperseded
}

// HasSuperseded reports whether any engine has superseded weights.
func (t *Targets) HasSuperseded() bool {
	v := t.current.Load()
	return v != nil && v.hasSuperseded
}

// publish replaces the view that the request path reads. Its targets are copies,
// because the marks of markRollout are set for each view.
func (t *Targets) publish() {
	v := &targetView{pools: make(map[string][]*target.Target), keys: make(map[string]bool), hashes: make(map[uint64]*target.Target), versions: make(map[string]string)}
	for model, h := range t.weights.models {
		v.versions[model] = h.newest
	}
	for _, e := range t.entries {
		if e.target == nil || e.addressTaken {
			continue
		}
		shown := *e.target
		if e.lapsed {
			shown.MissingSince = e.lapsedAt
		}
		if e.reportedVersion != "" {
			shown.WeightVersion = e.reportedVersion
		}
		v.pools[shown.Pool] = append(v.pools[shown.Pool], &shown)
		v.keys[shown.Key()] = true
		v.hashes[gossip.HashTarget(shown.Key())] = &shown
	}
	for _, targets := range v.pools {
		v.hasSuperseded = t.markRollout(targets) || v.hasSuperseded
	}
	t.current.Store(v)
}

// maxLoggedTargets bounds the IDs of targets in one log line.
const maxLoggedTargets = 8

// logExpired logs the targets of a pool whose weights are no longer used, each
// once for each version.
func (t *Targets) logExpired(pool string, targets []*target.Target) {
	now := t.Clock.Elapsed()
	var ids []string
	count := 0
	for _, x := range targets {
		e := t.entries[x.ID]
		if e == nil || x.WeightsUsableUntil == 0 || now < x.WeightsUsableUntil || e.expiredVersion == x.WeightVersion {
			continue
		}
		e.expiredVersion = x.WeightVersion
		if count++; count <= maxLoggedTargets {
			ids = append(ids, x.ID+"@"+x.WeightVersion)
		}
	}
	if count > 0 {
		t.Log.Warn("targets get no requests until they load newer weights", "pool", pool, "targets", count, "ids", strings.Join(ids, ","))
	}
}
