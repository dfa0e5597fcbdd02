package daemon

import (
	"context"
	"encoding/json"
	"expvar"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/follow"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/poison"
)

const (
	// kindQuarantines is the kind of the objects that hold quarantines, so that
	// these outlast the stop of all instances. Their names are fingerprints.
	kindQuarantines = "lacewingwheel-quarantines"
	// quarantineUpdateInterval is the time between updates of the detector.
	quarantineUpdateInterval = 100 * time.Millisecond
	// quarantineStoreInterval is the time between checks for quarantines to store.
	quarantineStoreInterval = 500 * time.Millisecond
	// quarantineCallTimeout bounds one call to the store.
	quarantineCallTimeout = 2 * time.Second
	// quarantineDuty is the duty of the instance that stores a quarantine at once.
	// The others wait from quarantineBackupDelay to twice that, and store it if it
	// is not there then.
	quarantineDuty        = "quarantines"
	quarantineBackupDelay = 1500 * time.Millisecond
	// maxStoredQuarantines bounds the objects. More are kept in memory only.
	maxStoredQuarantines = 256
	// clockTolerance is how far the time of day may be off. Stored quarantines are
	// kept for that long at least after they are read.
	clockTolerance = time.Minute
)

// storedQuarantine is the value of a stored quarantine.
type storedQuarantine struct {
	Until time.Time `json:"until"`
	// LastCrash tells a quarantine that a later success has ended from one that
	// goes on.
	LastCrash time.Time `json:"last_crash"`
	Crashes   int       `json:"crashes"`
}

// quarantineKeeper logs and counts the changes of quarantines, and keeps them in
// the store.
type quarantineKeeper struct {
	detector    *poison.Detector
	store       objectstore.Store
	storeHealth *follow.StoreHealth
	isFirst     func(duty string) bool
	firstStart  bool
	clock       clock.Clock
	metrics     *expvar.Map
	log         hclog.Logger

	mu      sync.Mutex
	pending map[poison.Fingerprint]pendingQuarantine // to be stored
	stored  map[poison.Fingerprint]uint64            // versions of the objects
	ended   []poison.Fingerprint                     // to be deleted
}

type pendingQuarantine struct {
	quarantine poison.Quarantine
	notBefore  time.Duration // since boot
}

// recordChange logs a change. It is called by the detector.
func (k *quarantineKeeper) recordChange(c poison.Change) {
	q := c.Quarantine
	args := []any{"fingerprint", q.Fingerprint, "crashes", q.Crashes}
	switch c.Kind {
	case poison.ChangeCleared:
		k.metrics.Add("suspects_cleared", 1)
		if q.Crashes > 1 {
			// Single crashes are cleared all the time: most suspects are innocent.
			k.log.Info("suspect cleared", args...)
		}
	case poison.ChangeQuarantined:
		k.metrics.Add("quarantines_"+string(q.Source), 1)
		k.log.Warn("quarantined", append(args, "source", q.Source, "for", q.Until-k.clock.Elapsed())...)
		// The instance that found it may not reach the store.
		if q.Source == poison.SourceOwn || q.Source == poison.SourcePeer && k.isFirst(quarantineDuty) {
			k.enqueue(q)
		}
	case poison.ChangeLifted:
		k.metrics.Add("quarantines_lifted", 1)
		k.log.Warn("quarantine lifted", args...)
		k.end(q.Fingerprint)
	case poison.ChangeExpired:
		k.metrics.Add("quarantines_expired", 1)
		k.log.Info("quarantine expired", args...)
		k.end(q.Fingerprint)
	}
}

func (k *quarantineKeeper) enqueue(q poison.Quarantine) {
	p := pendingQuarantine{quarantine: q}
	if q.Source != poison.SourceOwn || !k.isFirst(quarantineDuty) {
		p.notBefore = k.clock.Elapsed() + quarantineBackupDelay + rand.N(quarantineBackupDelay)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending[q.Fingerprint] = p
}

func (k *quarantineKeeper) end(f poison.Fingerprint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, f)
	if _, ok := k.stored[f]; ok {
		k.ended = append(k.ended, f)
	}
}

// update updates the detector until ctx ends.
func (k *quarantineKeeper) update(ctx context.Context) {
	for clock.Sleep(ctx, quarantineUpdateInterval) {
		k.detector.Update()
	}
}

// synchronize reads the stored quarantines at the start and each time the store
// was lost, and stores new ones, until ctx ends.
func (k *quarantineKeeper) synchronize(ctx context.Context) {
	isRead := k.firstStart // nothing is stored at the first start of the whole system
	restores := k.storeHealth.Restores()
	for ctx.Err() == nil {
		if n := k.storeHealth.Restores(); n > restores && k.isFirst(quarantineDuty) && k.storeLost(ctx) {
			restores = n
		}
		if k.storeHealth.IsLost() {
			isRead = false
		} else if isRead = isRead || k.read(ctx); isRead {
			k.write(ctx)
			k.deleteEnded(ctx)
		}
		clock.Sleep(ctx, clock.Jitter(quarantineStoreInterval))
	}
}

// read reads all stored quarantines. It reports whether that succeeded.
func (k *quarantineKeeper) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
	defer cancel()
	objects, _, err := k.store.List(objectstore.AllowStale(ctx), kindQuarantines)
	if err != nil {
		k.log.Info("stored quarantines not read; the next attempt follows", "cause", err)
		return false
	}
	for _, o := range objects {
		var q storedQuarantine
		if err := json.Unmarshal(o.Value, &q); err != nil {
			k.log.Warn("a stored quarantine cannot be decoded and is ignored", "name", o.Name, "revision", objectstore.FormatRevision(o.Version), "cause", err)
			continue
		}
		k.addStored(o, q)
	}
	return true
}

// storeLost makes the quarantines be stored again that a restore of the store has undone. It
// reports whether it could read which ones are left.
func (k *quarantineKeeper) storeLost(ctx context.Context) bool {
	k.mu.Lock()
	clear(k.stored)
	k.mu.Unlock()
	if !k.read(ctx) {
		return false
	}
	for _, q := range k.detector.Quarantines() {
		k.mu.Lock()
		_, isStored := k.stored[q.Fingerprint]
		k.mu.Unlock()
		if !isStored {
			k.enqueue(q)
		}
	}
	return true
}

func (k *quarantineKeeper) addStored(o objectstore.Object, q storedQuarantine) {
	f, remaining := poison.Fingerprint(o.Name), q.Until.Sub(k.clock.Now())
	k.mu.Lock()
	k.stored[f] = o.Version
	hasEnded := slices.Contains(k.ended, f)
	if remaining < -clockTolerance && !hasEnded {
		k.ended, hasEnded = append(k.ended, f), true
	}
	k.mu.Unlock()
	if hasEnded {
		return
	}
	now := k.clock.Elapsed()
	lastCrash := now
	if !q.LastCrash.IsZero() {
		lastCrash = now - max(0, k.clock.Now().Sub(q.LastCrash))
	}
	k.detector.AddQuarantine(poison.Quarantine{
		Fingerprint: f, Until: now + max(remaining, clockTolerance), LastCrash: lastCrash, Crashes: q.Crashes, Source: poison.SourceStore,
	})
}

// write stores the quarantines that are due.
func (k *quarantineKeeper) write(ctx context.Context) {
	for _, q := range k.due() {
		ctx, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
		version, err := k.create(ctx, q)
		cancel()
		if err != nil && !objectstore.IsKind(err, objectstore.KindExists) {
			k.log.Info("quarantine not stored; the next attempt follows", "fingerprint", q.Fingerprint, "cause", err)
			return
		}
		k.mu.Lock()
		delete(k.pending, q.Fingerprint)
		if err == nil {
			k.stored[q.Fingerprint] = version
		}
		k.mu.Unlock()
	}
}

func (k *quarantineKeeper) due() []poison.Quarantine {
	k.mu.Lock()
	defer k.mu.Unlock()
	var due []poison.Quarantine
	for f, p := range k.pending {
		switch {
		case p.notBefore > k.clock.Elapsed():
		case len(k.stored)+len(due) >= maxStoredQuarantines:
			k.log.Warn("quarantine not stored: there are too many", "fingerprint", f, "limit", maxStoredQuarantines)
			delete(k.pending, f)
		default:
			due = append(due, p.quarantine)
		}
	}
	return due
}

// create stores a quarantine. It makes no write if another instance has stored it.
func (k *quarantineKeeper) create(ctx context.Context, q poison.Quarantine) (uint64, error) {
	name := string(q.Fingerprint)
	object, err := k.store.Get(objectstore.AllowStale(ctx), kindQuarantines, name)
	if !objectstore.IsKind(err, objectstore.KindNotFound) {
		return object.Version, err
	}
	value, err := json.Marshal(storedQuarantine{
		Until: k.clock.Now().Add(q.Until - k.clock.Elapsed()), LastCrash: k.clock.Now().Add(q.LastCrash - k.clock.Elapsed()), Crashes: q.Crashes,
	})
	if err != nil {
		return 0, err
	}
	object, err = k.store.Create(ctx, kindQuarantines, name, value)
	return object.Version, err
}

// deleteEnded deletes the objects of quarantines that have ended.
func (k *quarantineKeeper) deleteEnded(ctx context.Context) {
	k.mu.Lock()
	ended := slices.Clone(k.ended)
	k.mu.Unlock()
	for _, f := range ended {
		k.mu.Lock()
		version := k.stored[f]
		k.mu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
		err := k.store.Delete(ctx, kindQuarantines, string(f), version)
		cancel()
		// After a conflict, the object is one that another instance has stored since.
		if err != nil && !objectstore.IsKind(err, objectstore.KindNotFound) && !objectstore.IsKind(err, objectstore.KindConflict) {
			k.log.Info("ended quarantine not deleted; the next attempt follows", "fingerprint", f, "cause", err)
			return
		}
		k.mu.Lock()
		delete(k.stored, f)
		k.ended = slices.DeleteFunc(k.ended, func(other poison.Fingerprint) bool { return other == f })
		k.mu.Unlock()
	}
}
