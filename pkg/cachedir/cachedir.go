// Package cachedir keeps directories of the prompt parts in stores of cached
// parts, built from the changes that the stores publish. Changes arrive late or
// not at all, so a directory is only a hint: a part that was evicted costs a fetch
// without result, and a part missing from the directory is saved again.
package cachedir

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
)

const (
	// minPollInterval is the shortest time between polls. Each returns all changes
	// since the one before.
	minPollInterval = 150 * time.Millisecond
	// callTimeout bounds a poll. The store holds it until there are changes.
	callTimeout = 1500 * time.Millisecond
	// retryInterval is the time between polls while they fail.
	retryInterval = 500 * time.Millisecond
	// downAfter is the time without a successful poll after which a failed one
	// marks the store as down. A fetch from a store that is down delays its
	// request by some hundred milliseconds.
	downAfter = 300 * time.Millisecond
	// maxParts bounds the memory of a directory. Beyond it the directory is
	// cleared.
	maxParts = 20000
	// maxKeyBytes bounds the salt and the part of a key. Callers choose the names of parts.
	maxKeyBytes = 256
	// savingTimeout is how long a part that a target was asked to save counts as
	// stored before the store reports it.
	savingTimeout = 3 * time.Second
	// maxRecent is the number of changes kept for other instances.
	maxRecent = 2000
	// maxRelayedAge is the age of the directory from which an instance polls the
	// store itself although another one relays the changes. The other instance
	// sends several answers within this time.
	maxRelayedAge = 1500 * time.Millisecond
	// fedByPeerCheckInterval is the time between checks whether another instance
	// still relays the changes.
	fedByPeerCheckInterval = 700 * time.Millisecond
)

// Key identifies a part. Parts with different salts must not be shared between
// requests. A directory does not know keys of more than maxKeyBytes.
type Key struct{ Salt, Part string }

func (k Key) isKept() bool { return len(k.Salt)+len(k.Part) <= maxKeyBytes }

// Change is a part that was added to a store or removed from it.
type Change struct {
	Key   Key
	Added bool // false: removed
}

// Changes are the changes of a store since a position.
type Changes struct {
	Epoch      int64 // of the store; differs after a restart, which empties the store
	Next       int64 // position from which the next call continues
	Incomplete bool  // some changes are missing
	Changes    []Change
}

// Client reads the changes of a store.
type Client interface {
	// Changes returns the changes of the store at address after position since.
	// It may wait until there are any.
	Changes(ctx context.Context, address string, since int64) (Changes, error)
}

// Directory holds which parts one store has. It is safe for concurrent use; the
// exported fields must be set before use.
type Directory struct {
	Client  Client
	Address string // of the store
	// PollInterval returns the time between polls; nil means minPollInterval.
	PollInterval func() time.Duration
	Clock        clock.Clock
	Log          hclog.Logger

	// FedByPeer reports whether another instance relays the changes, so that this
	// one need not poll while the directory is not older than maxRelayedAge; nil
	// means never.
	FedByPeer func() bool

	mu          sync.Mutex
	epoch       int64
	next        int64
	reachable   bool
	lastSuccess time.Duration
	parts       map[Key]part
	recent      []recentChange // newest changes, for other instances
}

// recentChange is a change and the position after the poll that returned it.
type recentChange struct {
	change Change
	next   int64
}

// Position is a position in the sequence of changes of a store.
type Position struct {
	Epoch int64
	Next  int64
}

// part is the state of one part.
type part struct {
	stored          bool          // the store reported it
	saveRequestedAt time.Duration // boot time at which a target was asked to save it; unused if stored
}

// Run polls the store until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, d.poll(ctx))
	}
}

// poll reads the changes of the store once, unless another instance relays them,
// and returns the time until the next poll.
func (d *Directory) poll(ctx context.Context) time.Duration {
	d.mu.Lock()
	since := d.next
	relayed := d.FedByPeer != nil && d.reachable && d.Clock.Elapsed()-d.lastSuccess < maxRelayedAge
	d.mu.Unlock()
	if relayed && d.FedByPeer() {
		return fedByPeerCheckInterval
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	changes, err := d.Client.Changes(call, d.Address, since)
	if err != nil {
		if ctx.Err() == nil {
			d.recordFailure(err)
		}
		return retryInterval
	}
	d.apply(changes, d.Clock.Elapsed())
	if d.PollInterval == nil {
		return minPollInterval
	}
	return d.PollInterval()
}

func (d *Directory) recordFailure(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reachable && d.Clock.Elapsed()-d.lastSuccess > downAfter {
		d.reachable = false
		d.Log.Warn("store of cached parts lost", "address", d.Address, "cause", err)
	}
}

// Position returns the position up to which the directory has applied changes.
func (d *Directory) Position() Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Position{Epoch: d.epoch, Next: d.next}
}

// ChangesSince returns the changes after a position of another instance, the time
// since the last successful poll, and whether the store is reachable. Changes
// older than the last maxRecent are missing.
func (d *Directory) ChangesSince(p Position) (Changes, time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := Changes{Epoch: d.epoch, Next: d.next}
	for _, r := range d.recent {
		if p.Epoch != d.epoch || r.next > p.Next {
			out.Changes = append(out.Changes, r.change)
		}
	}
	return out, d.Clock.Elapsed() - d.lastSuccess, d.reachable
}

// Merge applies the changes that another instance read at the given boot time of
// this one. It ignores changes that end before the directory's own position.
func (d *Directory) Merge(c Changes, at time.Duration) {
	p := d.Position()
	if c.Epoch == p.Epoch && c.Next < p.Next {
		return
	}
	d.apply(c, at)
}

func (d *Directory) apply(c Changes, at time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastSuccess = max(d.lastSuccess, at)
	if !d.reachable {
		d.reachable = true
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
		if !change.Key.isKept() {
			continue
		}
		if change.Added {
			d.parts[change.Key] = part{stored: true}
		} else {
			delete(d.parts, change.Key)
		}
		d.recent = append(d.recent, recentChange{change, c.Next})
	}
	if over := len(d.recent) - maxRecent; over > 0 {
		d.recent = append(d.recent[:0], d.recent[over:]...)
	}
	d.bound()
}

// bound clears the directory if it is too large.
func (d *Directory) bound() {
	if len(d.parts) > maxParts {
		clear(d.parts)
	}
}

// StoreAddress returns the address of the store, or "" while the store is down.
func (d *Directory) StoreAddress() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.reachable {
		return ""
	}
	return d.Address
}

// CachedPrefixLen returns how many consecutive parts at the start of a prompt the
// store has. It includes those that were marked within savingTimeout.
func (d *Directory) CachedPrefixLen(keys []Key) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Elapsed()
	for i, key := range keys {
		p, ok := d.parts[key]
		if !ok || !p.stored && now-p.saveRequestedAt > savingTimeout {
			return i
		}
	}
	return len(keys)
}

// MarkSaving records that a target was asked to save the parts. It copies their names, which
// would hold the whole header of a request otherwise.
func (d *Directory) MarkSaving(keys []Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.parts == nil {
		d.parts = make(map[Key]part)
	}
	now := d.Clock.Elapsed()
	for _, key := range keys {
		if key.isKept() && !d.parts[key].stored {
			d.parts[Key{Salt: key.Salt, Part: strings.Clone(key.Part)}] = part{saveRequestedAt: now}
		}
	}
	d.bound()
}
