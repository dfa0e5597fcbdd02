package feed

import (
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/cachedir"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

// cachePositions returns the position in the change log of each cache store up
// to which this instance has the changes.
func (f *Feed) cachePositions() map[string]peer.CachePosition {
	if f.CacheDirectories == nil {
		return nil
	}
	positions := make(map[string]peer.CachePosition)
	for address, directory := range f.CacheDirectories.All() {
		p := directory.Position()
		positions[address] = peer.CachePosition{Epoch: p.Epoch, Next: p.Next}
	}
	return positions
}

// cacheChanges returns the changes of cache stores after the positions of
// another instance. It leaves out stores that this instance does not reach.
func (f *Feed) cacheChanges(positions map[string]peer.CachePosition) map[string]peer.CacheChanges {
	if f.CacheDirectories == nil || len(positions) == 0 {
		return nil
	}
	out := make(map[string]peer.CacheChanges)
	for address, directory := range f.CacheDirectories.All() {
		p, requested := positions[address]
		if !requested {
			continue
		}
		changes, age, reachable := directory.ChangesSince(cachedir.Position{Epoch: p.Epoch, Next: p.Next})
		if !reachable {
			continue
		}
		c := peer.CacheChanges{Position: peer.CachePosition{Epoch: changes.Epoch, Next: changes.Next}, AgeMillis: ceilMillis(age)}
		for _, change := range changes.Changes {
			c.Rows = append(c.Rows, peer.CacheRow{Salt: change.Key.Salt, Part: change.Key.Part, Added: change.Added})
		}
		out[address] = c
	}
	return out
}

// mergeCacheChanges applies the changes of cache stores that a reader sent in
// response to a request. requestedAt is the time since boot at which the request
// was sent.
func (f *Feed) mergeCacheChanges(caches map[string]peer.CacheChanges, requestedAt time.Duration) {
	if f.CacheDirectories == nil {
		return
	}
	directories := f.CacheDirectories.All()
	for address, c := range caches {
		directory := directories[address]
		if directory == nil {
			continue
		}
		changes := cachedir.Changes{Epoch: c.Position.Epoch, Next: c.Position.Next}
		for _, row := range c.Rows {
			changes.Changes = append(changes.Changes, cachedir.Change{Key: cachedir.Key{Salt: row.Salt, Part: row.Part}, Added: row.Added})
		}
		directory.Merge(changes, requestedAt-fromMillis(c.AgeMillis))
	}
}
