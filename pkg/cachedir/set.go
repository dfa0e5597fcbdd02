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

// Set holds the directories of all stores of cached parts. Each shared prompt is
// assigned to one store by a hash of its last shared part. It is safe for
// concurrent use; the exported fields must be set before use.
type Set struct {
	Client Client
	// Addresses returns the addresses of the stores of the configuration in force.
	Addresses func() []string
	// InstanceCount returns the number of instances that poll the same stores.
	InstanceCount func() int
	// FedByPeer reports whether another instance relays the changes; nil means never.
	FedByPeer func() bool
	Clock     clock.Clock
	Log       hclog.Logger

	mu          sync.Mutex
	directories map[string]*runningDirectory
}

// runningDirectory is a directory whose Run is active until stop is called.
type runningDirectory struct {
	*Directory
	stop context.CancelFunc
}

const (
	// reconcileInterval is the time between comparisons with the configured
	// stores.
	reconcileInterval = 500 * time.Millisecond
	// pollIntervalPerInstance makes the poll interval grow with the number of
	// instances: a store serves a dozen calls at a time, each for up to 200 ms.
	pollIntervalPerInstance = 25 * time.Millisecond
)

// Run keeps a directory for each configured store until ctx ends.
func (s *Set) Run(ctx context.Context) {
	var group sync.WaitGroup
	for clock.Sleep(ctx, reconcileInterval) {
		s.reconcile(ctx, &group)
	}
	group.Wait()
}

// reconcile starts the directories of added stores and stops those of removed
// ones.
func (s *Set) reconcile(ctx context.Context, group *sync.WaitGroup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.directories == nil {
		s.directories = make(map[string]*runningDirectory)
	}
	addresses := s.Addresses()
	for _, address := range addresses {
		if s.directories[address] != nil {
			continue
		}
		run, stop := context.WithCancel(ctx)
		f := &runningDirectory{&Directory{Client: s.Client, Address: address, PollInterval: s.pollInterval, FedByPeer: s.FedByPeer, Clock: s.Clock, Log: s.Log}, stop}
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

func (s *Set) pollInterval() time.Duration {
	if s.FedByPeer != nil && !s.FedByPeer() {
		return minPollInterval // only a few instances poll; they relay to the others
	}
	return max(minPollInterval, pollIntervalPerInstance*time.Duration(s.InstanceCount()))
}

// DirectoryFor returns the directory of the store that a prompt is assigned to by
// its last shared part, or nil if there is no store. It uses rendezvous hashing,
// so instances with the same stores agree.
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

// All returns the directories by store address.
func (s *Set) All() map[string]*Directory {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]*Directory, len(s.directories))
	for address, f := range s.directories {
		all[address] = f.Directory
	}
	return all
}
