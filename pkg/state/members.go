package state

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

const (
	// kindMembers is the kind of the instances' own entries.
	kindMembers = "lacewingwheel-instances"
	// beatInterval is the time between writes of the own entry, and
	// beatPerInstance what each instance adds to it: the writes of a fleet grow
	// more slowly than it does.
	beatInterval    = 3 * time.Second
	beatPerInstance = 25 * time.Millisecond
	// MemberGone is the age from which an entry no longer counts. An instance
	// stops taking limited work before, because it cannot confirm the
	// configuration either.
	MemberGone = 16 * time.Second
)

// memberRecord is the entry of an instance.
type memberRecord struct {
	Incarnation string `json:"incarnation"`
	Beat        uint64 `json:"beat"`
	Address     string `json:"address"` // for messages between instances
}

// Members counts the instances that share limits.
type Members struct {
	Store       objectstore.Store
	Clock       clock.Clock
	Instance    string
	Incarnation string
	Address     string // for messages between instances
	Log         hclog.Logger

	mu      sync.Mutex
	seen    map[string]memberSeen
	version uint64 // of the own entry
	beat    uint64
	live    atomic.Int64
	peers   atomic.Pointer[[]string]
}

// memberSeen is when an entry was last seen to change, on the own clock.
type memberSeen struct {
	version uint64
	at      time.Duration
}

// Live returns the number of instances, this one included.
func (m *Members) Live() int { return max(1, int(m.live.Load())) }

// Peers returns the addresses of the other instances.
func (m *Members) Peers() []string {
	if peers := m.peers.Load(); peers != nil {
		return *peers
	}
	return nil
}

// Run writes the own entry and reads those of others until ctx ends.
func (m *Members) Run(ctx context.Context) {
	for ctx.Err() == nil {
		m.round(ctx)
		wait := min(MemberGone/3, beatInterval+beatPerInstance*time.Duration(m.Live()))
		clock.Sleep(ctx, wait*3/4+clock.Jitter(wait)/4)
	}
}

func (m *Members) round(ctx context.Context) {
	if err := m.write(ctx); err != nil && ctx.Err() == nil {
		m.Log.Debug("own entry not written", "cause", err)
	}
	objects, _, err := m.Store.List(objectstore.AllowStale(ctx), kindMembers)
	if err != nil {
		m.Log.Debug("entries of instances not read", "cause", err)
		return
	}
	m.count(objects)
}

func (m *Members) write(ctx context.Context) error {
	m.beat++
	value, err := json.Marshal(memberRecord{Incarnation: m.Incarnation, Beat: m.beat, Address: m.Address})
	if err != nil {
		return err
	}
	if m.version == 0 {
		object, err := m.Store.Get(ctx, kindMembers, m.Instance)
		if objectstore.IsKind(err, objectstore.KindNotFound) {
			object, err = m.Store.Create(ctx, kindMembers, m.Instance, value)
			m.version = object.Version
			return err
		}
		if err != nil {
			return err
		}
		m.version = object.Version
	}
	object, err := m.Store.Update(ctx, kindMembers, m.Instance, value, m.version)
	// Zero makes the next round read the entry again.
	m.version = object.Version
	if err != nil {
		m.version = 0
	}
	return err
}

func (m *Members) count(objects []objectstore.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen == nil {
		m.seen = make(map[string]memberSeen)
	}
	now := m.Clock.Elapsed()
	var peers []string
	live, listed := int64(0), make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
		if known, ok := m.seen[o.Name]; !ok || o.Version != known.version {
			m.seen[o.Name] = memberSeen{o.Version, now}
		}
		if now-m.seen[o.Name].at >= MemberGone {
			continue
		}
		live++
		var record memberRecord
		if o.Name != m.Instance && json.Unmarshal(o.Value, &record) == nil && record.Address != "" {
			peers = append(peers, record.Address)
		}
	}
	for name := range m.seen {
		if !listed[name] {
			delete(m.seen, name)
		}
	}
	m.peers.Store(&peers)
	if before := m.live.Swap(live); before != live {
		m.Log.Info("instances that share limits", "instances", live, "before", before)
	}
}
