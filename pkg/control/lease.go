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
	Holder   string `json:"holder"` // incarnation; empty after a release
	Instance string `json:"instance"`
	Fence    uint64 `json:"fence"` // rises with each new holder
	Nonce    string `json:"nonce"` // recognises an own write whose answer was lost
}

// Lease is held by at most one instance at a time. Durations are measured on
// the boot-time clock of the instance that judges them: the holder counts from
// before it sent its write, the others from when they first saw that write. No
// two machines' clocks are compared, and a paused holder finds its lease over.
type Lease struct {
	Store       objectstore.Store
	Clock       clock.Clock
	Name        string
	Instance    string
	Incarnation string
	Duration    time.Duration
	Guard       time.Duration // added by those who wait for the lease to end

	fence    uint64
	expires  time.Duration // on the own clock; zero while not held
	version  uint64        // last version seen
	seenAt   time.Duration // when that version was first seen
	takeover bool          // the previous holder did not release
	waited   time.Duration // how long the version taken over had been seen
	// conflicted is true after a write that named an old version: what an old
	// answer says is then of no use.
	conflicted bool
}

// Held reports whether the lease is held now. Call it right before each act
// that needs the lease.
func (l *Lease) Held() bool { return l.expires > 0 && l.Clock.Elapsed() < l.expires }

// Remaining returns how long the lease is still held.
func (l *Lease) Remaining() time.Duration { return l.expires - l.Clock.Elapsed() }

// TakeoverWait returns how long ago the version of the lease that this instance took
// over was first seen: the holder before has not renewed it since.
func (l *Lease) TakeoverWait() time.Duration { return l.waited }

// Fence returns the fencing number of the lease that is held.
func (l *Lease) Fence() uint64 { return l.fence }

// TookOver reports whether the lease was taken from a holder that did not
// release it, so that orders of it may still be on their way.
func (l *Lease) TookOver() bool { return l.takeover }

// Reconcile renews the lease, or takes it if it is free.
func (l *Lease) Reconcile(ctx context.Context) error {
	if l.Held() && l.version > 0 {
		err := l.write(ctx, leaseRecord{Fence: l.fence}, l.version, l.takeover)
		if !objectstore.IsKind(err, objectstore.KindConflict) {
			return err
		}
	}
	// An old answer only delays a takeover: the write that follows names the
	// version that was read.
	read := objectstore.AllowStale(ctx)
	if l.version == 0 || l.conflicted {
		read = ctx
	}
	l.conflicted = false
	object, err := l.Store.Get(read, kindLease, l.Name)
	if objectstore.IsKind(err, objectstore.KindNotFound) {
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
		l.waited = l.Clock.Elapsed() - l.seenAt
	}
	switch {
	case record.Holder == l.Incarnation:
		return l.write(ctx, leaseRecord{Fence: record.Fence}, object.Version, l.takeover)
	case record.Holder == "":
		return l.write(ctx, leaseRecord{Fence: record.Fence + 1}, object.Version, false)
	case l.Clock.Elapsed()-l.seenAt > l.Duration+l.Guard:
		return l.write(ctx, leaseRecord{Fence: record.Fence + 1}, object.Version, true)
	}
	l.expires = 0
	return nil
}

// write puts the own name into the lease object. Version zero creates it.
func (l *Lease) write(ctx context.Context, record leaseRecord, version uint64, takeover bool) error {
	record.Holder, record.Instance, record.Nonce = l.Incarnation, l.Instance, uuid.NewString()
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	sentAt := l.Clock.Elapsed()
	// Set before the write: if its answer is lost and it cannot be read back,
	// the next round finds the lease as its own and must still know this.
	l.takeover = takeover
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
		l.conflicted = true
		return err
	}
	l.version, l.seenAt = object.Version, l.Clock.Elapsed()
	l.fence = record.Fence
	l.expires = sentAt + l.Duration
	return nil
}

// readBack finds out whether a write without an answer took effect.
func (l *Lease) readBack(ctx context.Context, nonce string, lost error) (objectstore.Object, error) {
	object, err := l.Store.Get(ctx, kindLease, l.Name)
	if err != nil {
		return object, err
	}
	var record leaseRecord
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return object, err
	}
	if record.Nonce != nonce {
		return object, lost
	}
	return object, nil
}

// Release gives the lease up, so that the next holder need not wait.
func (l *Lease) Release(ctx context.Context) error {
	if !l.Held() {
		return nil
	}
	l.expires = 0
	value, err := json.Marshal(leaseRecord{Fence: l.fence})
	if err != nil {
		return err
	}
	_, err = l.Store.Update(ctx, kindLease, l.Name, value, l.version)
	return err
}
