package feed

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/follow"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

const (
	kind        = "things"
	testTimeout = 5 * time.Second
	maxAge      = 900 * time.Millisecond
)

var (
	discardLog      = hclog.NewNullLogger()
	errInstanceDown = errors.New("down")
	errCutOff       = errors.New("cut off from the store")
)

// fakeStore is an object store in memory with objects of one kind.
type fakeStore struct {
	objectstore.Store
	mu      sync.Mutex
	events  []objectstore.Event
	changed chan struct{}
	calls   atomic.Int64
	lists   atomic.Int64 // of the calls
	era     uint64
}

// restore takes the last changes back and begins the next era.
func (s *fakeStore) restore(lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.events = slices.Clone(s.events[:len(s.events)-lost])
	for i := range s.events {
		s.events[i].Revision = objectstore.Revision(s.era, uint64(i+1))
		s.events[i].Object.Version = s.events[i].Revision
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) put(name, value string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := objectstore.Revision(s.era, uint64(len(s.events)+1))
	s.events = append(s.events, objectstore.Event{Object: objectstore.Object{Kind: kind, Name: name, Version: revision, Value: []byte(value)}, Deleted: deleted, Revision: revision})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) List(context.Context, string) ([]objectstore.Object, uint64, error) {
	s.calls.Add(1)
	s.lists.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := make(map[string]objectstore.Object)
	for _, e := range s.events {
		objects[e.Object.Name] = e.Object
		if e.Deleted {
			delete(objects, e.Object.Name)
		}
	}
	var list []objectstore.Object
	for _, o := range objects {
		list = append(list, o)
	}
	return list, objectstore.Revision(s.era, uint64(len(s.events))), nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after uint64) ([]objectstore.Event, uint64, error) {
	s.calls.Add(1)
	s.mu.Lock()
	changed := s.changed
	known := objectstore.Revision(s.era, uint64(len(s.events)))
	s.mu.Unlock()
	if known <= after {
		select {
		case <-changed:
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if objectstore.Era(after) != s.era {
		return nil, 0, &objectstore.Error{Kind: objectstore.KindCompacted, Era: s.era, Cause: errors.New("restored")}
	}
	return append([]objectstore.Event(nil), s.events[objectstore.Number(after):]...), objectstore.Revision(s.era, uint64(len(s.events))), nil
}

// fakeProofs is the proof of the configuration of one instance.
type fakeProofs struct {
	mu       sync.Mutex
	clock    clock.Clock
	revision uint64
	at       time.Duration
}

func (p *fakeProofs) Proof() (revision, generation uint64, age time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision, p.revision, p.clock.Elapsed() - p.at, p.revision > 0
}

func (p *fakeProofs) Confirm(revision, _ uint64, at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.revision >= revision {
		p.at = max(p.at, at)
	}
}

func (p *fakeProofs) set(revision uint64, at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision, p.at = revision, at
}

// fleet is a set of instances of one zone.
type fleet struct {
	t         *testing.T
	store     *fakeStore
	instances []*instance
	down      sync.Map     // addresses of instances that fail all requests
	delay     atomic.Int64 // nanoseconds by which answers are delayed
}

// cutStore is the store as one instance reaches it.
type cutStore struct {
	objectstore.Store
	cut atomic.Bool
}

func (s *cutStore) List(ctx context.Context, kind string) ([]objectstore.Object, uint64, error) {
	if s.cut.Load() {
		return nil, 0, errCutOff
	}
	return s.Store.List(ctx, kind)
}

func (s *cutStore) Watch(ctx context.Context, kind string, after uint64) ([]objectstore.Event, uint64, error) {
	if s.cut.Load() {
		return nil, 0, errCutOff
	}
	return s.Store.Watch(ctx, kind, after)
}

type instance struct {
	fleet  *fleet
	store  *cutStore
	feed   *Feed
	proofs *fakeProofs
	mu     sync.Mutex
	values map[string]string
}

func (x *instance) FetchChanges(ctx context.Context, address string, body peer.StoreChangesBody) (peer.StoreChangesResponse, error) {
	if _, down := x.fleet.down.Load(address); down {
		return peer.StoreChangesResponse{}, errInstanceDown
	}
	var n int
	if _, err := fmt.Sscan(address, &n); err != nil {
		return peer.StoreChangesResponse{}, err
	}
	response, err := x.fleet.instances[n].feed.ServeChanges(ctx, body)
	clock.Sleep(ctx, time.Duration(x.fleet.delay.Load()))
	return response, err
}

func (x *instance) replace(objects []objectstore.Object) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.values = make(map[string]string)
	for _, o := range objects {
		x.values[o.Name] = string(o.Value)
	}
}

func (x *instance) apply(events []objectstore.Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, e := range events {
		x.values[e.Object.Name] = string(e.Object.Value)
		if e.Deleted {
			delete(x.values, e.Object.Name)
		}
	}
}

func (x *instance) waitForValue(name, value string, within time.Duration) {
	x.fleet.t.Helper()
	for deadline := time.Now().Add(within); ; time.Sleep(time.Millisecond) {
		x.mu.Lock()
		got := x.values[name]
		x.mu.Unlock()
		if got == value {
			return
		}
		assert.Assert(x.fleet.t, time.Now().Before(deadline), "%s is %q, not %q", name, got, value)
	}
}

// loseStore makes the instance count the store as lost, which it does once its calls have
// failed for long enough. The instance must be cut off.
func (x *instance) loseStore() {
	x.fleet.t.Helper()
	for deadline := time.Now().Add(testTimeout); !x.feed.StoreHealth.IsLost(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(x.fleet.t, time.Now().Before(deadline), "the store is not lost")
		x.feed.StoreHealth.RecordFailure(errCutOff)
	}
}

// startFleet starts n instances. The first one is the reader.
func startFleet(t *testing.T, n int) *fleet {
	return startFleetWithSources(t, n, func(i int) Sources { return Sources{Addresses: addressesSeenBy(i, n), Count: 1} })
}

// addressesSeenBy returns the addresses of n instances, that of instance i empty.
func addressesSeenBy(i, n int) []string {
	var addresses []string
	for j := range n {
		addresses = append(addresses, fmt.Sprint(j))
	}
	addresses[i] = ""
	return addresses
}

// startFleetWithRelays starts n instances. The first one is the reader, the next two
// are relays, and the others get changes from these.
func startFleetWithRelays(t *testing.T, n int) *fleet {
	return startFleetWithSources(t, n, func(i int) Sources {
		addresses := addressesSeenBy(i, n)
		if i <= 2 {
			return Sources{Addresses: addresses, Count: 1, IsRelay: i > 0}
		}
		return Sources{Addresses: addresses[1:], Count: 2}
	})
}

func startFleetWithSources(t *testing.T, n int, sources func(i int) Sources) *fleet {
	f := &fleet{t: t, store: &fakeStore{changed: make(chan struct{})}}
	system := clock.System{}
	for i := range n {
		x := &instance{fleet: f, store: &cutStore{Store: f.store}, proofs: &fakeProofs{clock: system}, values: make(map[string]string)}
		link := &follow.StoreHealth{Clock: system, Log: discardLog}
		x.feed = &Feed{
			Proofs: x.proofs, StoreHealth: link, PeerClient: x, Clock: system, Log: discardLog, ReaderOffset: uint64(i),
			Sources: func() Sources { return sources(i) },
		}
		x.feed.Followers = map[string]*follow.Follower{kind: {
			Store: x.store, Kind: kind, Replace: x.replace, Apply: x.apply, FedByPeer: x.feed.FedByPeer, MaxViewAge: maxAge,
			OnChange: x.feed.NotifyChanged, Clock: system, StoreHealth: link, Log: discardLog,
		}}
		f.instances = append(f.instances, x)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for _, x := range f.instances {
		group.Go(func() { x.feed.Run(ctx) })
		group.Go(func() { x.feed.Followers[kind].Run(ctx) })
	}
	t.Cleanup(func() { cancel(); group.Wait() })
	return f
}

// Only the reader may call the store, or the number of calls grows with the
// number of instances. All instances must still see every change.
func TestOneInstanceReadsForAll(t *testing.T) {
	f := startFleet(t, 6)
	f.store.put("a", "1", false)
	for _, x := range f.instances {
		x.waitForValue("a", "1", testTimeout)
	}
	time.Sleep(time.Second)
	before := f.store.calls.Load()
	for i := range 10 {
		f.store.put("a", fmt.Sprint(i), false)
		f.store.put("b", fmt.Sprint(i), i%2 == 1)
		time.Sleep(100 * time.Millisecond)
	}
	for _, x := range f.instances {
		x.waitForValue("a", "9", testTimeout)
		x.waitForValue("b", "", testTimeout)
	}
	calls := f.store.calls.Load() - before
	assert.Assert(t, calls <= 30, "%d calls for 10 pairs of changes and 6 instances", calls)
}

// Relays must not call the store, or the number of calls grows with the zones. Their
// followers must still see every change.
func TestRelaysDoNotReadTheStore(t *testing.T) {
	f := startFleetWithRelays(t, 8)
	f.store.put("a", "1", false)
	for _, x := range f.instances {
		x.waitForValue("a", "1", testTimeout)
	}
	time.Sleep(readLease / 2) // relays have been asked for changes
	before := f.store.calls.Load()
	for i := range 10 {
		f.store.put("a", fmt.Sprint(i), false)
		time.Sleep(100 * time.Millisecond)
	}
	for _, x := range f.instances {
		x.waitForValue("a", "9", testTimeout)
	}
	calls := f.store.calls.Load() - before
	assert.Assert(t, calls <= 20, "%d calls for 10 changes and one reader", calls)
}

// If the reader stops answering its relays, one of them must read the store: relays
// must not wait for each other while the views of whole zones become old.
func TestRelaysReplaceTheReader(t *testing.T) {
	f := startFleetWithRelays(t, 8)
	f.store.put("a", "1", false)
	for _, x := range f.instances {
		x.waitForValue("a", "1", testTimeout)
	}
	f.down.Store("0", true)
	f.store.put("a", "2", false)
	for _, x := range f.instances[1:] {
		x.waitForValue("a", "2", maxAge+2*(maxPollWait+responseTimeout))
	}
}

// If the reader stops answering, the other instances must switch to another
// source of changes before their views become too old.
func TestUnresponsiveReaderIsReplaced(t *testing.T) {
	f := startFleet(t, 4)
	f.store.put("a", "1", false)
	for _, x := range f.instances {
		x.waitForValue("a", "1", testTimeout)
	}
	time.Sleep(time.Second)
	f.down.Store("0", true)
	f.store.put("a", "2", false)
	for _, x := range f.instances[1:] {
		x.waitForValue("a", "2", maxAge+maxPollWait+responseTimeout)
	}
}

// An instance must not take a configuration for younger than it is, or it
// accepts keys that were revoked: the delay of a response counts towards the age
// of the proof, and the proof of a newer configuration does not apply to an
// older one.
func TestProofAgeIsNotUnderstated(t *testing.T) {
	f := startFleet(t, 2)
	f.store.put("a", "1", false)
	for _, x := range f.instances {
		x.waitForValue("a", "1", testTimeout)
	}
	system := clock.System{}
	f.delay.Store(int64(150 * time.Millisecond))
	provedAt := system.Elapsed()
	f.instances[0].proofs.set(7, provedAt)
	f.instances[1].proofs.set(7, 0)
	time.Sleep(time.Second)
	_, _, age, _ := f.instances[1].proofs.Proof()
	assert.Assert(t, age < 100*time.Second, "the proof did not reach the second instance")
	assert.Assert(t, system.Elapsed()-age <= provedAt+time.Millisecond, "the age of the proof is %v, less than the age at the reader, %v", age, system.Elapsed()-provedAt)

	f.instances[0].proofs.set(8, system.Elapsed())
	f.instances[1].proofs.set(7, 0)
	time.Sleep(time.Second)
	_, _, age, _ = f.instances[1].proofs.Proof()
	assert.Assert(t, age > time.Second, "the proof of revision 8 was applied to revision 7")
}

// While the reader alone is cut off from the store, the others must not take that for an
// outage: they went on to use targets whose entries had been removed.
func TestCutOffReaderIsNoOutageForOthers(t *testing.T) {
	const settle = 2200 * time.Millisecond
	f := startFleet(t, 3)
	f.store.put("a", "1", false)
	for _, x := range f.instances {
		x.waitForValue("a", "1", testTimeout)
	}
	time.Sleep(time.Second)
	f.instances[0].store.cut.Store(true)
	for n := 2; n < 70; n++ {
		if n == 50 {
			f.instances[0].store.cut.Store(false)
		}
		f.store.put("a", fmt.Sprint(n), false)
		time.Sleep(100 * time.Millisecond)
		for i, x := range f.instances[1:] {
			assert.Assert(t, !x.feed.StoreHealth.UnavailableWithin(settle), "instance %d, step %d", i+1, n)
		}
	}
}

// An instance that has lost the store, fed by a relay that has lost it too, must not take
// removals for lapsed entries of an outage: it went on to use targets that had left.
func TestChangesOfLostRelayAreNoOutage(t *testing.T) {
	const settle = 2200 * time.Millisecond
	f := startFleetWithRelays(t, 5)
	f.store.put("a", "1", false)
	for _, x := range f.instances {
		x.waitForValue("a", "1", testTimeout)
	}
	for n := range 30 { // longer than the shortest outage, so that the store is known to answer
		f.store.put("a", fmt.Sprint(n), false)
		time.Sleep(100 * time.Millisecond)
	}
	lost := f.instances[1:]
	for _, x := range lost {
		x.store.cut.Store(true)
	}
	f.store.put("a", "1", false)
	time.Sleep(300 * time.Millisecond) // ends the calls that are under way
	for _, x := range lost {
		x.loseStore()
	}
	for n := 2; n < 50; n++ {
		f.store.put("a", fmt.Sprint(n), false)
		time.Sleep(100 * time.Millisecond)
		for i, x := range lost {
			assert.Assert(t, !x.feed.StoreHealth.UnavailableWithin(settle), "instance %d, step %d: %v", i+1, n, x.feed.StoreHealth.Evidence())
		}
	}
	for _, x := range lost {
		x.waitForValue("a", "49", maxAge)
	}
}

// An instance that has lost the store must go on to ask the only other instance after a poll
// that was answered late. It waited for two seconds without a source, and left readiness.
func TestOnlySourceIsAskedAgainAtOnce(t *testing.T) {
	f := startFleet(t, 2)
	f.store.put("a", "1", false)
	for _, x := range f.instances {
		x.waitForValue("a", "1", testTimeout)
	}
	time.Sleep(time.Second)
	lost := f.instances[1]
	lost.store.cut.Store(true)
	f.store.put("a", "2", false)
	time.Sleep(300 * time.Millisecond) // ends the call that is under way
	lost.loseStore()
	f.down.Store("0", true)
	time.Sleep(maxPollWait + responseTimeout)
	f.down.Delete("0")
	f.store.put("a", "3", false)
	lost.waitForValue("a", "3", maxPollWait+responseTimeout)
}
