// Package cachedir knows which prompt parts a store of cached parts keeps, from
// the changes that the store publishes. Changes come late and some never come,
// so what is known only guides decisions: a part that is gone costs a fetch
// that finds nothing, one that is not known of is saved once more.
package cachedir

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
)

const (
	// callPause is the time between calls, which each bring all changes since
	// the one before.
	callPause = 150 * time.Millisecond
	// callTimeout bounds a call. The store holds it until there are changes.
	callTimeout = 1500 * time.Millisecond
	// retryPause is the time between calls while the store does not answer.
	retryPause = 500 * time.Millisecond
	// downAfter is how long calls fail before the store counts as down. A fetch
	// from a store that is down delays its request by some hundred milliseconds.
	downAfter = 300 * time.Millisecond
	// maxParts bounds the memory of a directory.
	maxParts = 20000
	// savingFor is how long a part that was asked to be saved counts as kept
	// although its change has not come.
	savingFor = 3 * time.Second
	// maxRecent is the number of changes that are kept for other instances.
	maxRecent = 2000
	// maxPassedAge is the age from which changes are read although another
	// instance passes them on. Source: a few of its answers.
	maxPassedAge = 1500 * time.Millisecond
	// coveredLook is the time between looks whether another one still does.
	coveredLook = 400 * time.Millisecond
)

// Key names a part under the salt that separates what must not be shared.
type Key struct{ Salt, Part string }

// Change is one change of a store.
type Change struct {
	Key   Key
	Added bool
}

// Changes is what a store published since a call.
type Changes struct {
	Epoch      int64 // changes when the store restarts, which empties it
	Next       int64 // where the next call continues
	Incomplete bool  // some changes are missing
	Changes    []Change
}

// Client reads the changes of a store.
type Client interface {
	Changes(ctx context.Context, address string, since int64) (Changes, error)
}

// Directory follows one store.
type Directory struct {
	Client  Client
	Address string // of the store
	// PollInterval returns the time between calls; nil means the shortest.
	PollInterval func() time.Duration
	Clock        clock.Clock
	Log          hclog.Logger

	// Covered reports whether another instance passes on the changes, so that
	// none need be read while they are not older than maxPassedAge; nil means never.
	Covered func() bool

	mu     sync.Mutex
	epoch  int64
	next   int64
	up     bool
	lastOK time.Duration
	parts  map[Key]part
	recent []recent // the newest changes, for other instances
}

// recent is a change and where the call that brought it continues.
type recent struct {
	change Change
	upTo   int64
}

// Position is how far a directory goes.
type Position struct {
	Epoch int64
	Next  int64
}

// part is what is known of one part.
type part struct {
	kept  bool          // the store said so
	asked time.Duration // when a target was asked to save it, if it is not kept
}

// Run follows the store until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, d.round(ctx))
	}
}

func (d *Directory) round(ctx context.Context) time.Duration {
	d.mu.Lock()
	since := d.next
	passed := d.Covered != nil && d.up && d.Clock.Elapsed()-d.lastOK < maxPassedAge
	d.mu.Unlock()
	if passed && d.Covered() {
		return coveredLook
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	changes, err := d.Client.Changes(call, d.Address, since)
	if err != nil {
		if ctx.Err() == nil {
			d.failed(err)
		}
		return retryPause
	}
	d.take(changes, d.Clock.Elapsed())
	if d.PollInterval == nil {
		return callPause
	}
	return d.PollInterval()
}

func (d *Directory) failed(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.up && d.Clock.Elapsed()-d.lastOK > downAfter {
		d.up = false
		d.Log.Warn("store of cached parts lost", "address", d.Address, "cause", err)
	}
}

// Position returns how far the directory goes.
func (d *Directory) Position() Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Position{Epoch: d.epoch, Next: d.next}
}

// ChangesSince returns what changed after a position of another instance and how long
// ago the store was last heard, or false while it is down. Changes that are no
// longer kept are missing.
func (d *Directory) ChangesSince(p Position) (Changes, time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := Changes{Epoch: d.epoch, Next: d.next}
	for _, r := range d.recent {
		if p.Epoch != d.epoch || r.upTo > p.Next {
			out.Changes = append(out.Changes, r.change)
		}
	}
	return out, d.Clock.Elapsed() - d.lastOK, d.up
}

// Merge takes in what another instance heard at a time.
func (d *Directory) Merge(c Changes, at time.Duration) {
	p := d.Position()
	if c.Epoch == p.Epoch && c.Next < p.Next {
		return
	}
	d.take(c, at)
}

func (d *Directory) take(c Changes, at time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastOK = max(d.lastOK, at)
	if !d.up {
		d.up = true
		d.Log.Info("store of cached parts reached", "address", d.Address, "epoch", c.Epoch)
	}
	if c.Epoch != d.epoch {
		if d.epoch != 0 {
			d.Log.Info("store of cached parts restarted empty", "address", d.Address, "epoch", c.Epoch, "before", d.epoch)
			clear(d.parts)
		}
		d.epoch, d.recent = c.Epoch, nil
	}
	d.next = c.Next
	if d.parts == nil {
		d.parts = make(map[Key]part)
	}
	for _, change := range c.Changes {
		if change.Added {
			d.parts[change.Key] = part{kept: true}
		} else {
			delete(d.parts, change.Key)
		}
		d.recent = append(d.recent, recent{change, c.Next})
	}
	if over := len(d.recent) - maxRecent; over > 0 {
		d.recent = append(d.recent[:0], d.recent[over:]...)
	}
	if len(d.parts) > maxParts {
		clear(d.parts)
	}
}

// StoreAddress returns the address of the store, or "" while it is down.
func (d *Directory) StoreAddress() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.up {
		return ""
	}
	return d.Address
}

// CachedPrefixLen returns how many parts at the start of a prompt the store keeps, those
// that it was just asked to save included.
func (d *Directory) CachedPrefixLen(keys []Key) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Elapsed()
	for i, key := range keys {
		p, ok := d.parts[key]
		if !ok || !p.kept && now-p.asked > savingFor {
			return i
		}
	}
	return len(keys)
}

// MarkSaving notes that parts were asked to be saved.
func (d *Directory) MarkSaving(keys []Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.parts == nil {
		d.parts = make(map[Key]part)
	}
	now := d.Clock.Elapsed()
	for _, key := range keys {
		if !d.parts[key].kept {
			d.parts[key] = part{asked: now}
		}
	}
}
