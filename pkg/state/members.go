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
	// more slowly than it does, to about 13 a second.
	beatInterval    = 4 * time.Second
	beatPerInstance = 65 * time.Millisecond
	// beatsMissed is the number of writes that an instance may miss before it no
	// longer counts, and goneSlack the time that one takes at most. An instance
	// that is cut off refuses work before, because it cannot confirm the
	// configuration either.
	beatsMissed = 3
	goneSlack   = 4 * time.Second
	// exchangeWait is how long the first entry waits for the address for
	// requests, so that one write suffices; firstExchangeWait is that of the first
	// start of the whole system, when an authority is made first.
	exchangeWait      = 300 * time.Millisecond
	firstExchangeWait = 1500 * time.Millisecond
	// allRegistered is the time from the first start of the whole system until
	// the entries of all instances are there.
	allRegistered = 2200 * time.Millisecond
)

// beat returns the time between two writes of an entry in a fleet.
func beat(instances int) time.Duration {
	return beatInterval + beatPerInstance*time.Duration(instances)
}

// goneAfter returns the age from which an entry no longer counts in a fleet.
func goneAfter(instances int) time.Duration { return beatsMissed*beat(instances) + goneSlack }

// Member is the entry of an instance.
type Member struct {
	Name            string  `json:"-"`
	Incarnation     string  `json:"incarnation"`
	Heartbeat       uint64  `json:"beat"`
	DatagramAddress string  `json:"address"`            // for datagrams between instances
	ExchangeAddress string  `json:"exchange,omitempty"` // for requests between instances; empty: it answers none
	Zone            string  `json:"zone"`
	Cores           float64 `json:"cores"` // of the processor that it may use
}

// Members lists the instances that share limits. NewMembers makes one.
type Members struct {
	Store objectstore.Store
	Clock clock.Clock
	Self  Member
	// FirstStart says that all instances start now.
	FirstStart bool
	Log        hclog.Logger

	mu       sync.Mutex
	seen     map[string]memberSeen
	version  uint64 // of the own entry
	beat     uint64
	exchange atomic.Pointer[string]
	changed  chan struct{}
	live     atomic.Int64
	list     atomic.Pointer[memberList]
}

// NewMembers returns a list that knows of no instance yet.
func NewMembers(store objectstore.Store, c clock.Clock, self Member, firstStart bool, log hclog.Logger) *Members {
	return &Members{Store: store, Clock: c, Self: self, FirstStart: firstStart, Log: log, changed: make(chan struct{}, 1)}
}

// memberList is an immutable list of instances.
type memberList struct {
	members    []Member
	generation uint64 // rises with each list
}

// memberSeen is when an entry was last seen to change, on the own clock.
type memberSeen struct {
	version uint64
	at      time.Duration
}

// KnownCount returns the number of instances, or zero before the first list.
func (m *Members) KnownCount() int { return int(m.live.Load()) }

// LiveCount returns the number of instances, this one included.
func (m *Members) LiveCount() int { return max(1, int(m.live.Load())) }

// DatagramAddresses returns where the other instances receive datagrams.
func (m *Members) DatagramAddresses() []string {
	var addresses []string
	for _, member := range m.List() {
		if member.Name != m.Self.Name && member.DatagramAddress != "" {
			addresses = append(addresses, member.DatagramAddress)
		}
	}
	return addresses
}

// List returns the live instances, this one included once its entry was read.
func (m *Members) List() []Member {
	members, _ := m.ListWithGeneration()
	return members
}

// ListWithGeneration returns what List does, and a number that changes with the list.
func (m *Members) ListWithGeneration() ([]Member, uint64) {
	if list := m.list.Load(); list != nil {
		return list.members, list.generation
	}
	return nil, 0
}

// SetExchangeAddress says where this instance answers requests of others, from now on.
func (m *Members) SetExchangeAddress(address string) {
	m.exchange.Store(&address)
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// Run writes the own entry and reads those of others until ctx ends.
func (m *Members) Run(ctx context.Context) {
	registered := time.After(m.register(ctx))
	select {
	case <-ctx.Done():
		return
	case <-registered:
	}
	for ctx.Err() == nil {
		m.read(ctx)
		wait := beat(m.LiveCount())
		select {
		case <-ctx.Done():
			return
		case <-m.changed:
		case <-time.After(wait*3/4 + clock.Jitter(wait)/4):
		}
		m.renew(ctx)
	}
}

// register writes the own entry for the first time, with the address for
// requests if that comes soon. It returns how long to wait for the entries of
// others, which start at the same time when the whole system does.
func (m *Members) register(ctx context.Context) time.Duration {
	started := m.Clock.Elapsed()
	patience := exchangeWait
	if m.FirstStart {
		patience = firstExchangeWait
	}
	select {
	case <-ctx.Done():
	case <-m.changed:
	case <-time.After(patience):
	}
	m.renew(ctx)
	if !m.FirstStart {
		return 0
	}
	return allRegistered - (m.Clock.Elapsed() - started)
}

func (m *Members) renew(ctx context.Context) {
	if err := m.write(ctx); err != nil && ctx.Err() == nil {
		m.Log.Debug("own entry not written", "cause", err)
	}
}

func (m *Members) read(ctx context.Context) {
	objects, _, err := m.Store.List(objectstore.AllowStale(ctx), kindMembers)
	if err != nil {
		m.Log.Debug("entries of instances not read", "cause", err)
		return
	}
	m.count(objects)
}

func (m *Members) write(ctx context.Context) error {
	m.beat++
	record := m.Self
	record.Heartbeat = m.beat
	if exchange := m.exchange.Load(); exchange != nil {
		record.ExchangeAddress = *exchange
	}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	if m.version == 0 {
		object, err := m.Store.Get(ctx, kindMembers, m.Self.Name)
		if objectstore.IsKind(err, objectstore.KindNotFound) {
			object, err = m.Store.Create(ctx, kindMembers, m.Self.Name, value)
			m.version = object.Version
			return err
		}
		if err != nil {
			return err
		}
		m.version = object.Version
	}
	object, err := m.Store.Update(ctx, kindMembers, m.Self.Name, value, m.version)
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
	now, gone := m.Clock.Elapsed(), goneAfter(m.LiveCount())
	members := make([]Member, 0, len(objects))
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
		if known, ok := m.seen[o.Name]; !ok || o.Version != known.version {
			m.seen[o.Name] = memberSeen{o.Version, now}
		}
		if now-m.seen[o.Name].at >= gone {
			continue
		}
		member := Member{}
		if err := json.Unmarshal(o.Value, &member); err != nil {
			// It counts all the same: it may be of a newer version.
			m.Log.Warn("entry of an instance cannot be read", "instance", o.Name, "revision", o.Version, "cause", err)
		}
		member.Name = o.Name
		members = append(members, member)
	}
	for name := range m.seen {
		if !listed[name] {
			delete(m.seen, name)
		}
	}
	_, generation := m.ListWithGeneration()
	m.list.Store(&memberList{members: members, generation: generation + 1})
	live := int64(len(members))
	if before := m.live.Swap(live); before != live {
		m.Log.Info("instances that share limits", "instances", live, "before", before)
	}
}
