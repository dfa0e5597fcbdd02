package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// kindLease is the kind of lease objects in the store.
const kindLease = "lease"

// leaseRecord is the value of a lease object.
type leaseRecord struct {
	Holder   string `json:"holder"` // incarnation of the holder; empty after a release
	Instance string `json:"instance"`
	Fence    uint64 `json:"fence"` // fencing token; rises with each new holder
	Nonce    string `json:"nonce"` // identifies the writer's own write when its response was lost
	// Settled is set after a release if no action of the last holder can still have an
	// effect.
	Settled bool `json:"settled,omitempty"`
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

	fence        uint64
	expires      time.Duration // on Clock; zero while not held
	version      uint64        // last version seen
	seenAt       time.Duration // when that version was first seen
	tookOver     bool          // the previous holder did not release the lease
	takeoverWait time.Duration // see TakeoverWait
	afterSettled bool          // see AfterSettled
	continued    bool          // see Continued
	// mustReadFresh is set after a failed write, which may have named an old
	// version: a stale read could return that version again.
	mustReadFresh bool
}

// Held reports whether this instance holds the lease. Call it right before each
// action that needs the lease.
func (l *Lease) Held() bool { return l.expires > 0 && l.Clock.Elapsed() < l.expires }

// Remaining returns the time until the held lease expires. It is negative after
// that.
func (l *Lease) Remaining() time.Duration { return l.expires - l.Clock.Elapsed() }

// TakeoverWait returns the time between the first and the last read of the
// version that this instance took over, in which the previous holder did not
// renew.
func (l *Lease) TakeoverWait() time.Duration { return l.takeoverWait }

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
		if !objectstore.IsKind(err, objectstore.KindConflict) {
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
		if !acquireSettled {
			return nil
		}
		l.afterSettled, l.continued = true, false
		return l.write(ctx, leaseRecord{Fence: 1}, 0, false)
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
	if record.Holder != l.Incarnation {
		l.takeoverWait = l.Clock.Elapsed() - l.seenAt
	}
	switch {
	case record.Holder == l.Incarnation:
		// Another fence is that of a write whose response was lost: it was never held.
		l.continued = record.Fence == l.fence
		return l.write(ctx, leaseRecord{Fence: record.Fence}, object.Version, l.tookOver)
	case record.Holder == "" && record.Settled && !acquireSettled:
		l.expires = 0
		return nil
	}
	l.afterSettled, l.continued = record.Holder == "" && record.Settled, false
	switch {
	case record.Holder == "":
		return l.write(ctx, leaseRecord{Fence: record.Fence + 1}, object.Version, false)
	case l.Clock.Elapsed()-l.seenAt > l.Duration+l.Guard:
		return l.write(ctx, leaseRecord{Fence: record.Fence + 1}, object.Version, true)
	}
	l.expires = 0
	return nil
}

// write stores record with this instance as the holder, on condition that the
// object still has the given version. Version zero creates the object.
func (l *Lease) write(ctx context.Context, record leaseRecord, version uint64, takeover bool) error {
	record.Holder, record.Instance, record.Nonce = l.Incarnation, l.Instance, uuid.NewString()
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	sentAt := l.Clock.Elapsed()
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
		l.mustReadFresh = true
		return err
	}
	l.version, l.seenAt = object.Version, l.Clock.Elapsed()
	l.fence = record.Fence
	l.expires = sentAt + l.Duration
	return nil
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
	value, err := json.Marshal(leaseRecord{Fence: l.fence, Settled: settled})
	if err != nil {
		return err
	}
	_, err = l.Store.Update(ctx, kindLease, l.Name, value, l.version)
	return err
}
