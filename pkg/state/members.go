package state

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

const (
	// kindMembers is the kind of the objects that instances register with.
	kindMembers = "lacewingwheel-instances"
	// listInterval is the base time between reads of the entries, and
	// listPerInstance is added for each instance, so that the calls of all instances
	// together grow slowly, to about 15 reads a second.
	listInterval    = 4 * time.Second
	listPerInstance = 65 * time.Millisecond
	// readsPerHeartbeat is the number of reads for each heartbeat, which is a write of
	// the own entry. Stale reads cost a tenth of a write.
	readsPerHeartbeat = 2
	// maxMissedHeartbeats is the number of heartbeats after which the entry of an
	// instance expires, and expiryMargin the longest time that a write takes. An
	// instance that cannot reach the store refuses requests earlier, because it
	// cannot confirm its configuration either.
	maxMissedHeartbeats = 2
	expiryMargin        = 4 * time.Second
	// exchangeAddressWait is how long the first write of the own entry waits for
	// the exchange address, so that one write suffices. firstStartAddressWait
	// replaces it when all instances start and one has to create the authority
	// first.
	exchangeAddressWait   = 300 * time.Millisecond
	firstStartAddressWait = 1500 * time.Millisecond
	// firstStartRegistrationTime is the time within which all instances have
	// written their entries when they start together.
	firstStartRegistrationTime = 2200 * time.Millisecond
)

// listEvery returns the time between the reads of the entries by one instance.
func listEvery(instances int) time.Duration {
	return listInterval + listPerInstance*time.Duration(instances)
}

// heartbeatEvery returns the time between the heartbeats of one instance.
func heartbeatEvery(instances int) time.Duration { return readsPerHeartbeat * listEvery(instances) }

// memberExpiry returns the time without a heartbeat after which an entry expires.
func memberExpiry(instances int) time.Duration {
	return maxMissedHeartbeats*heartbeatEvery(instances) + expiryMargin
}

// Member is the entry of an instance in the store.
type Member struct {
	Name            string  `json:"-"`
	Incarnation     string  `json:"incarnation"`
	Heartbeat       uint64  `json:"beat"`
	DatagramAddress string  `json:"address"`            // receives datagrams of other instances
	ExchangeAddress string  `json:"exchange,omitempty"` // receives requests of other instances; empty if it serves none
	Zone            string  `json:"zone"`
	Cores           float64 `json:"cores"` // processor cores that the instance may use; 0 if not stated
}

// Members registers this instance and lists all live instances, which share
// limits. Use NewMembers to create it. The read methods are safe for concurrent
// use.
type Members struct {
	Store objectstore.Store
	Clock clock.Clock
	Self  Member
	// FirstStart is true if the whole system starts for the first time.
	FirstStart bool
	Log        hclog.Logger

	mu              sync.Mutex
	lastChanges     map[string]lastChange
	version         uint64 // of the own entry; 0 if it has to be read first
	heartbeat       uint64
	era             uint64 // of the store at the last read
	lastWriteFailed bool   // then the next read is followed by a heartbeat
	exchangeAddress atomic.Pointer[string]
	addressChanged  chan struct{}
	liveCount       atomic.Int64
	list            atomic.Pointer[memberList]
}

// NewMembers returns an empty list. Run fills it.
func NewMembers(store objectstore.Store, c clock.Clock, self Member, firstStart bool, log hclog.Logger) *Members {
	return &Members{Store: store, Clock: c, Self: self, FirstStart: firstStart, Log: log, addressChanged: make(chan struct{}, 1)}
}

// memberList is an immutable list of instances.
type memberList struct {
	members    []Member
	generation uint64 // increases with each list
}

// lastChange is the version of an entry and the boot time at which this instance
// first read that version.
type lastChange struct {
	version uint64
	at      time.Duration
	member  Member
	isLost  bool // missing since the store was restored from a copy
}

// KnownCount returns the number of live instances, or zero before the first list.
func (m *Members) KnownCount() int { return int(m.liveCount.Load()) }

// LiveCount returns the number of live instances including this one, at least 1.
func (m *Members) LiveCount() int { return max(1, int(m.liveCount.Load())) }

// DatagramAddresses returns the datagram addresses of the other instances.
func (m *Members) DatagramAddresses() []string {
	var addresses []string
	for _, member := range m.List() {
		if member.Name != m.Self.Name && member.DatagramAddress != "" {
			addresses = append(addresses, member.DatagramAddress)
		}
	}
	return addresses
}

// List returns the live instances, including this one once its entry was read. The
// result must not be modified.
func (m *Members) List() []Member {
	members, _ := m.ListWithGeneration()
	return members
}

// ListWithGeneration returns the result of List and a number that increases
// whenever the list is replaced.
func (m *Members) ListWithGeneration() ([]Member, uint64) {
	if list := m.list.Load(); list != nil {
		return list.members, list.generation
	}
	return nil, 0
}

// SetList replaces the list of live instances.
func (m *Members) SetList(members []Member) {
	_, generation := m.ListWithGeneration()
	m.list.Store(&memberList{members: members, generation: generation + 1})
}

// SetExchangeAddress sets the address at which this instance serves requests of
// others, and makes Run write it to the store. An empty address means none.
func (m *Members) SetExchangeAddress(address string) {
	m.exchangeAddress.Store(&address)
	select {
	case m.addressChanged <- struct{}{}:
	default:
	}
}

// Run writes the own entry and reads those of others periodically, until ctx ends.
func (m *Members) Run(ctx context.Context) {
	registered := time.After(m.register(ctx))
	select {
	case <-ctx.Done():
		return
	case <-registered:
	}
	for reads := 1; ctx.Err() == nil; reads++ {
		m.readEntries(ctx)
		wait := listEvery(m.LiveCount())
		select {
		case <-ctx.Done():
			return
		case <-m.addressChanged:
			reads = 0
		case <-time.After(wait*3/4 + clock.Jitter(wait)/4):
		}
		if reads%readsPerHeartbeat == 0 || m.lastWriteFailed {
			m.writeAndLog(ctx)
		}
	}
}

// register writes the own entry for the first time, with the exchange address if it
// is set in time. It returns how long to wait until the first read, so that
// instances which start at the same time have registered.
func (m *Members) register(ctx context.Context) time.Duration {
	started := m.Clock.Elapsed()
	addressWait := exchangeAddressWait
	if m.FirstStart {
		addressWait = firstStartAddressWait
	}
	select {
	case <-ctx.Done():
	case <-m.addressChanged:
	case <-time.After(addressWait):
	}
	m.writeAndLog(ctx)
	if !m.FirstStart {
		return 0
	}
	return firstStartRegistrationTime - (m.Clock.Elapsed() - started)
}

func (m *Members) writeAndLog(ctx context.Context) {
	err := m.writeOwnEntry(ctx)
	m.lastWriteFailed = err != nil
	if err != nil && ctx.Err() == nil {
		m.Log.Debug("own instance entry not written; the next heartbeat tries again", "cause", err)
	}
}

func (m *Members) readEntries(ctx context.Context) {
	objects, revision, err := m.Store.List(objectstore.AllowStale(ctx), kindMembers)
	if err != nil {
		m.Log.Debug("instance entries not read; the previous list is used", "cause", err)
		return
	}
	isRestored := m.recordEra(objectstore.Era(revision))
	m.updateList(objects)
	isListed := slices.ContainsFunc(objects, func(o objectstore.Object) bool { return o.Name == m.Self.Name })
	if isRestored && !isListed {
		m.writeAndLog(ctx)
	}
}

// recordEra records the era of the store. It reports whether the store was restored from a
// copy since the last read; the instances that it does not list then still run.
func (m *Members) recordEra(era uint64) (isRestored bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	isRestored = era > m.era && m.lastChanges != nil
	if m.era = max(m.era, era); !isRestored {
		return false
	}
	for name, change := range m.lastChanges {
		change.isLost = true
		m.lastChanges[name] = change
	}
	m.version = 0 // the own entry has to be read first
	return true
}

func (m *Members) writeOwnEntry(ctx context.Context) error {
	m.heartbeat++
	record := m.Self
	record.Heartbeat = m.heartbeat
	if exchange := m.exchangeAddress.Load(); exchange != nil {
		record.ExchangeAddress = *exchange
	}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	if m.FirstStart && m.heartbeat == 1 {
		object, err := m.Store.Create(ctx, kindMembers, m.Self.Name, value)
		m.version = object.Version
		if !objectstore.IsKind(err, objectstore.KindExists) {
			return err
		}
		m.version = 0
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
	// Zero makes the next write read the entry first.
	m.version = object.Version
	if err != nil {
		m.version = 0
	}
	return err
}

// dropInvalidAddresses removes addresses to which nothing can be sent.
func (m *Members) dropInvalidAddresses(member *Member) {
	for _, address := range []*string{&member.DatagramAddress, &member.ExchangeAddress} {
		if *address == "" {
			continue
		}
		if parsed, err := netip.ParseAddrPort(*address); err != nil || parsed.Port() == 0 {
			m.Log.Warn("address in an instance entry is not IP:PORT; it is not used", "instance", member.Name, "address", *address)
			*address = ""
		}
	}
}

// isHeartbeat reports whether an entry was written between two reads of its version. After a
// restore of the store each entry has another version, also those of instances that have ended.
func isHeartbeat(version, before uint64) bool {
	if objectstore.Era(version) == objectstore.Era(before) {
		return version != before
	}
	return objectstore.Number(version) > objectstore.Number(before)
}

// updateList replaces the list with the entries that have not expired. An entry
// expires when its version has not changed for memberExpiry on the own clock, so
// clock skew between instances has no effect.
func (m *Members) updateList(objects []objectstore.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastChanges == nil {
		m.lastChanges = make(map[string]lastChange)
	}
	now, expiry := m.Clock.Elapsed(), memberExpiry(m.LiveCount())
	members := make([]Member, 0, len(objects))
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
		change, isKnown := m.lastChanges[o.Name]
		if !isKnown || isHeartbeat(o.Version, change.version) {
			change.at = now
		}
		change.version = o.Version
		m.lastChanges[o.Name] = change
		if now-change.at >= expiry {
			continue
		}
		member := Member{}
		if err := json.Unmarshal(o.Value, &member); err != nil {
			// The instance still counts: it may run a newer program version.
			m.Log.Warn("instance entry cannot be decoded; the instance is counted without its addresses", "instance", o.Name, "revision", objectstore.FormatRevision(o.Version), "cause", err)
		}
		member.Name = o.Name
		m.dropInvalidAddresses(&member)
		change.member, change.isLost = member, false
		m.lastChanges[o.Name] = change
		members = append(members, member)
	}
	for name, change := range m.lastChanges {
		switch {
		case listed[name]:
		case change.isLost && now-change.at < expiry && change.member.Name != "":
			members = append(members, change.member)
		default:
			delete(m.lastChanges, name)
		}
	}
	m.SetList(members)
	live := int64(len(members))
	if before := m.liveCount.Swap(live); before != live {
		m.Log.Info("instances that share limits", "instances", live, "before", before)
	}
}
