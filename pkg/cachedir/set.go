package cachedir

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
)

// Set follows all stores of cached parts. Each shared prompt belongs to one of
// them, which its last shared part decides.
type Set struct {
	Client Client
	// Addresses returns the stores of the configuration in force.
	Addresses func() []string
	// InstanceCount is the number of instances that read the same stores.
	InstanceCount func() int
	// Covered reports whether another instance passes on the changes; nil means never.
	Covered func() bool
	Clock   clock.Clock
	Log     hclog.Logger

	mu          sync.Mutex
	directories map[string]*followed
}

type followed struct {
	*Directory
	stop context.CancelFunc
}

const (
	// syncInterval is the time between looks at the configured stores.
	syncInterval = 500 * time.Millisecond
	// pausePerInstance spreads the calls of a fleet: a store serves a dozen at
	// a time, each for up to 200 ms.
	pausePerInstance = 25 * time.Millisecond
)

// Run follows the configured stores until ctx ends.
func (s *Set) Run(ctx context.Context) {
	var group sync.WaitGroup
	for clock.Sleep(ctx, syncInterval) {
		s.sync(ctx, &group)
	}
	group.Wait()
}

func (s *Set) sync(ctx context.Context, group *sync.WaitGroup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.directories == nil {
		s.directories = make(map[string]*followed)
	}
	addresses := s.Addresses()
	for _, address := range addresses {
		if s.directories[address] != nil {
			continue
		}
		run, stop := context.WithCancel(ctx)
		f := &followed{&Directory{Client: s.Client, Address: address, PollInterval: s.pause, Covered: s.Covered, Clock: s.Clock, Log: s.Log}, stop}
		s.directories[address] = f
		group.Go(func() { f.Run(run) })
	}
	for address, f := range s.directories {
		if !slices.Contains(addresses, address) {
			f.stop()
			delete(s.directories, address)
		}
	}
}

func (s *Set) pause() time.Duration {
	if s.Covered != nil && !s.Covered() {
		return callPause // few instances read for all
	}
	return max(callPause, pausePerInstance*time.Duration(s.InstanceCount()))
}

// DirectoryFor returns the directory of the store that a prompt belongs to, or nil while
// there is none. The choice is the same on all instances.
func (s *Set) DirectoryFor(part string) *Directory {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *Directory
	var bestHash uint64
	for address, f := range s.directories {
		if h := xxhash.Sum64String(address + "\x00" + part); best == nil || h > bestHash {
			best, bestHash = f.Directory, h
		}
	}
	return best
}

// All returns the directories by the addresses of their stores.
func (s *Set) All() map[string]*Directory {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]*Directory, len(s.directories))
	for address, f := range s.directories {
		all[address] = f.Directory
	}
	return all
}
