package feed

import (
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/cachedir"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

// cachePositions returns how far this instance knows the stores of cached parts.
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

// cacheChanges returns what another instance does not know of the stores that
// this one hears.
func (f *Feed) cacheChanges(positions map[string]peer.CachePosition) map[string]peer.CacheChanges {
	if f.CacheDirectories == nil || len(positions) == 0 {
		return nil
	}
	out := make(map[string]peer.CacheChanges)
	for address, directory := range f.CacheDirectories.All() {
		p, asked := positions[address]
		if !asked {
			continue
		}
		changes, age, up := directory.ChangesSince(cachedir.Position{Epoch: p.Epoch, Next: p.Next})
		if !up {
			continue
		}
		c := peer.CacheChanges{Position: peer.CachePosition{Epoch: changes.Epoch, Next: changes.Next}, AgeMillis: roundUp(age)}
		for _, change := range changes.Changes {
			c.Rows = append(c.Rows, peer.CacheRow{Salt: change.Key.Salt, Part: change.Key.Part, Added: change.Added})
		}
		out[address] = c
	}
	return out
}

func (f *Feed) mergeCaches(caches map[string]peer.CacheChanges, asked time.Duration) {
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
		directory.Merge(changes, asked-millis(c.AgeMillis))
	}
}
