package control

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/follow"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// kindLease is the kind of lease objects in the store.
const kindLease = "lease"

// errLeaseRestored means that the store was restored during a write. The lease is not held.
var errLeaseRestored = errors.New("the store was restored while the lease was written")

// maxEffectMillis is the longest time that a record may state for the effect of actions.
// One that states more, or less than zero, was not written by an instance.
const maxEffectMillis = 60_000

// leaseRecord is the value of a lease object.
type leaseRecord struct {
	Holder   string `json:"holder"` // incarnation of the holder; empty after a release
	Instance string `json:"instance"`
	Fence    uint64 `json:"fence"` // fencing token; rises with each new holder
	// Era is the era of the store that the writer knew. In another era the record comes from
	// a copy of the store, or from a write that took effect late.
	Era   uint64 `json:"era,omitempty"`
	Nonce string `json:"nonce"` // identifies the writer's own write when its response was lost
	// Settled is set after a release if no action of the last holder can still have an
	// effect.
	Settled bool `json:"settled,omitempty"`
	// Idle is set while the last holder has taken no action. EffectMillis is then the
	// time from the write in which actions of earlier holders may still have an effect.
	Idle         bool  `json:"idle,omitempty"`
	EffectMillis int64 `json:"effect_ms,omitempty"`
}

// Lease is a lock in the object store that at most one instance holds at a
// time. Each instance measures time on its own boot-time clock: the holder
// counts from before it sent its write, the others from when they first saw
// that version. So clocks of two machines are never compared, and a holder that
// was paused finds its lease expired. A Lease is not safe for concurrent use.
type Lease struct {
	Store       objectstore.Store
	Clock       clock.Clock
	Name        string
	Instance    string
	Incarnation string
	Duration    time.Duration
	Guard       time.Duration // added to Duration before a takeover
	// EffectTime is how long after the last renewal of a holder its actions may have an
	// effect. Zero means that the lease does not tell holders that act from idle ones.
	EffectTime time.Duration
	// StoreHealth knows the eras of the store; nil if it has none.
	StoreHealth *follow.StoreHealth
	// FirstStart is set if the whole system starts for the first time, so that no holder
	// of an earlier era exists.
	FirstStart bool

	fence        uint64
	expires      time.Duration // on Clock; zero while not held
	version      uint64        // last version seen
	seenAt       time.Duration // when that version was first seen
	tookOver     bool          // the previous holder did not release the lease
	effectsEnd   time.Duration // see EffectsEnd
	idle         bool          // this holder has not begun to act
	mayAct       bool          // see MayAct
	afterSettled bool          // see AfterSettled
	continued    bool          // see Continued
	missing      missingRecord
	// mustReadFresh is set after a failed write, which may have named an old
	// version: a stale read could return that version again.
	mustReadFresh bool
}

// missingRecord tells in which era of the store the record was missing, and since when.
type missingRecord struct {
	isKnown bool
	era     uint64
	since   time.Duration
}

// Held reports whether this instance holds the lease. Call it right before each
// action that needs the lease.
func (l *Lease) Held() bool { return l.expires > 0 && l.Clock.Elapsed() < l.expires }

// Remaining returns the time until the held lease expires. It is negative after
// that.
func (l *Lease) Remaining() time.Duration { return l.expires - l.Clock.Elapsed() }

// EffectsEnd returns the boot time until which actions of earlier holders may still have
// an effect, as of the acquisition; zero if there are none.
func (l *Lease) EffectsEnd() time.Duration { return l.effectsEnd }

// MayAct reports whether this instance holds the lease and the lease says that it acts.
// With EffectTime, call it in place of Held before each action.
func (l *Lease) MayAct() bool { return l.mayAct && l.Held() }

// BeginActing writes that the holder acts from now on, unless the lease says so already. The
// holder must not act before MayAct returns true: the next one would not wait for it.
func (l *Lease) BeginActing(ctx context.Context) error {
	if l.MayAct() || !l.Held() {
		return nil
	}
	l.idle = false
	return l.write(ctx, leaseRecord{Fence: l.fence}, l.version, l.tookOver)
}

// Fence returns the fencing token of the last acquired lease.
func (l *Lease) Fence() uint64 { return l.fence }

// TookOver reports whether the lease was taken from a holder that did not
// release it, in which case orders of that holder may still be in transit.
func (l *Lease) TookOver() bool { return l.tookOver }

// AfterSettled reports whether the lease was acquired when no action of an earlier
// holder could still have an effect: it was never held, or released as settled.
func (l *Lease) AfterSettled() bool { return l.afterSettled }

// Continued reports whether the lease was held before by this instance and has lapsed since
// without another holder. Actions of that time may still have an effect.
func (l *Lease) Continued() bool { return l.continued }

// Reconcile renews the lease, or acquires it if it is free or expired. A nil
// error does not mean that the lease is held; check Held.
func (l *Lease) Reconcile(ctx context.Context) error { return l.reconcile(ctx, true) }

// ReconcileUnsettled is Reconcile, but leaves the lease alone if nobody holds it and it
// is settled.
func (l *Lease) ReconcileUnsettled(ctx context.Context) error { return l.reconcile(ctx, false) }

func (l *Lease) reconcile(ctx context.Context, acquireSettled bool) error {
	if l.Held() && l.version > 0 {
		err := l.write(ctx, leaseRecord{Fence: l.fence}, l.version, l.tookOver)
		if !objectstore.IsKind(err, objectstore.KindConflict) && !objectstore.IsKind(err, objectstore.KindNotFound) {
			return err
		}
	}
	// A stale read only delays a takeover, because the write that follows is
	// conditional on the version that was read.
	read := objectstore.AllowStale(ctx)
	if l.version == 0 || l.mustReadFresh {
		read = ctx
	}
	l.mustReadFresh = false
	object, err := l.Store.Get(read, kindLease, l.Name)
	if objectstore.IsKind(err, objectstore.KindNotFound) {
		return l.reconcileMissing(ctx, objectstore.EraOf(err), acquireSettled)
	}
	if err != nil {
		return err
	}
	var record leaseRecord
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return err
	}
	if object.Version != l.version {
		l.version, l.seenAt = object.Version, l.Clock.Elapsed()
	}
	l.missing = missingRecord{}
	switch era := objectstore.Era(object.Version); {
	case record.Era != era && (acquireSettled || record.Holder != "" || !record.Settled):
		return l.acquireAfterUnknown(ctx, l.seenAt, object.Version, nextFence(record, object.Version))
	case record.Holder == l.Incarnation:
		// Another fence is that of a write whose response was lost: it was never held.
		l.continued = record.Fence == l.fence
		return l.write(ctx, leaseRecord{Fence: record.Fence}, object.Version, l.tookOver)
	case record.Holder == "" && record.Settled && !acquireSettled:
		l.expires = 0
		return nil
	}
	isFree := record.Holder == ""
	if !isFree && l.Clock.Elapsed()-l.seenAt <= l.Duration+l.Guard {
		l.expires = 0
		return nil
	}
	l.afterSettled, l.continued = isFree && record.Settled, false
	l.effectsEnd = 0
	switch {
	case l.afterSettled:
	case record.Idle && record.EffectMillis >= 0 && record.EffectMillis <= maxEffectMillis:
		l.effectsEnd = l.seenAt + time.Duration(record.EffectMillis)*time.Millisecond
	default:
		l.effectsEnd = l.seenAt + l.EffectTime
	}
	l.idle = l.EffectTime > 0 && !l.afterSettled
	return l.write(ctx, leaseRecord{Fence: nextFence(record, object.Version)}, object.Version, !isFree)
}

// nextFence returns the fencing token of the holder that replaces a version of the record. It
// counts if the store states no eras. Otherwise the record may have gone back, and its token
// with it: the version then is above all tokens that were given out, since it is above the
// versions that their holders replaced.
func nextFence(record leaseRecord, version uint64) uint64 {
	if objectstore.Era(version) == 0 {
		return record.Fence + 1
	}
	return max(record.Fence+1, version)
}

// firstFence returns the fencing token of the holder that creates the record in an era.
func firstFence(era uint64) uint64 { return max(1, objectstore.Revision(era, 0)) }

// reconcileMissing acquires a lease that has no record. In the first era of the store nobody
// has held it; in a later one a restore may have undone the record.
func (l *Lease) reconcileMissing(ctx context.Context, era uint64, acquireSettled bool) error {
	l.expires = 0
	if !l.missing.isKnown || l.missing.era != era {
		l.missing = missingRecord{isKnown: true, era: era, since: l.eraSeenAt(era)}
	}
	switch {
	case !acquireSettled:
		return nil
	case !l.isFirstEra(era):
		return l.acquireAfterUnknown(ctx, l.missing.since, 0, firstFence(era))
	}
	l.afterSettled, l.continued = true, false
	l.effectsEnd, l.idle = 0, false
	return l.write(ctx, leaseRecord{Fence: firstFence(era), Era: era}, 0, false)
}

// isFirstEra reports whether the lease had no holder in an earlier era.
func (l *Lease) isFirstEra(era uint64) bool {
	if era == 0 {
		return true
	}
	if l.StoreHealth == nil || !l.FirstStart {
		return false
	}
	first, ok := l.StoreHealth.FirstEra()
	return ok && first == era
}

// eraSeenAt returns when this process learned of an era: now if it did not before. Holders of
// earlier eras have not renewed the lease since then.
func (l *Lease) eraSeenAt(era uint64) time.Duration {
	if l.StoreHealth != nil {
		if at, ok := l.StoreHealth.EraSeenAt(era); ok {
			return at
		}
	}
	return l.Clock.Elapsed()
}

// acquireAfterUnknown acquires the lease if the record tells nothing about the last holder,
// because the store was restored or a late write has replaced the record. A holder may have
// renewed the lease until since, and its actions may have an effect.
func (l *Lease) acquireAfterUnknown(ctx context.Context, since time.Duration, version, fence uint64) error {
	l.expires = 0
	if l.Clock.Elapsed()-since <= l.Duration+l.Guard {
		return nil
	}
	l.afterSettled, l.continued = false, false
	l.effectsEnd, l.idle = since+l.EffectTime, l.EffectTime > 0
	return l.write(ctx, leaseRecord{Fence: fence, Era: objectstore.Era(fence)}, version, true)
}

// write stores record with this instance as the holder, on condition that the
// object still has the given version. Version zero creates the object.
func (l *Lease) write(ctx context.Context, record leaseRecord, version uint64, takeover bool) error {
	record.Holder, record.Instance, record.Nonce = l.Incarnation, l.Instance, uuid.NewString()
	if version > 0 {
		record.Era = objectstore.Era(version)
	}
	sentAt := l.Clock.Elapsed()
	l.stateEffects(&record, sentAt)
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	// Set before the write: if the response is lost and the object cannot be
	// read back, the next Reconcile finds itself as the holder and needs it.
	l.tookOver = takeover
	var object objectstore.Object
	if version == 0 {
		object, err = l.Store.Create(ctx, kindLease, l.Name, value)
	} else {
		object, err = l.Store.Update(ctx, kindLease, l.Name, value, version)
	}
	if objectstore.IsKind(err, objectstore.KindUnknown) {
		object, err = l.readBack(ctx, record.Nonce, err)
	}
	if err != nil {
		if l.mustReadFresh = true; objectstore.EraOf(err) > record.Era {
			l.expires = 0 // of an earlier era than the store's
		}
		return err
	}
	l.version, l.seenAt = object.Version, l.Clock.Elapsed()
	if objectstore.Era(object.Version) != record.Era {
		// The write took effect after a restore, maybe on the record of another holder
		// that got the same version.
		l.expires, l.mustReadFresh = 0, true
		return errLeaseRestored
	}
	l.fence = record.Fence
	l.expires = sentAt + l.Duration
	l.mayAct = !record.Idle
	return nil
}

// stateEffects sets whether this holder is idle and for how long actions of earlier ones
// may have an effect.
func (l *Lease) stateEffects(record *leaseRecord, now time.Duration) {
	if record.Idle = l.idle; l.idle {
		record.EffectMillis = max(0, l.effectsEnd-now+time.Millisecond-1).Milliseconds()
	}
}

// readBack reads the object after a write whose response was lost. It returns
// the object if the write took effect, and writeErr if it did not.
func (l *Lease) readBack(ctx context.Context, nonce string, writeErr error) (objectstore.Object, error) {
	object, err := l.Store.Get(ctx, kindLease, l.Name)
	if err != nil {
		return object, err
	}
	var record leaseRecord
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return object, err
	}
	if record.Nonce != nonce {
		return object, writeErr
	}
	return object, nil
}

// Release gives up the lease, so that the next holder need not wait for its
// expiry. It does nothing if the lease is not held.
func (l *Lease) Release(ctx context.Context) error { return l.release(ctx, false) }

// ReleaseSettled is Release by a holder none of whose actions, nor those of earlier
// holders, can still have an effect.
func (l *Lease) ReleaseSettled(ctx context.Context) error { return l.release(ctx, true) }

func (l *Lease) release(ctx context.Context, settled bool) error {
	if !l.Held() {
		return nil
	}
	l.expires = 0
	l.mustReadFresh = true
	record := leaseRecord{Fence: l.fence, Era: objectstore.Era(l.version), Settled: settled}
	l.stateEffects(&record, l.Clock.Elapsed())
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = l.Store.Update(ctx, kindLease, l.Name, value, l.version)
	return err
}
