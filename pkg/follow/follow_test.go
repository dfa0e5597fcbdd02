package follow_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/follow"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/platform"
	"lacewingwheel.example/lacewingwheel/platform/platformtest"
)

const testTimeout = 5 * time.Second

// recordedObjects records the objects that a follower has delivered, by name.
type recordedObjects struct {
	mu     sync.Mutex
	values map[string]string
}

func (s *recordedObjects) replace(objects []objectstore.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values = make(map[string]string)
	for _, o := range objects {
		s.values[o.Name] = string(o.Value)
	}
}

func (s *recordedObjects) apply(events []objectstore.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			delete(s.values, e.Object.Name)
		} else {
			s.values[e.Object.Name] = string(e.Object.Value)
		}
	}
}

func (s *recordedObjects) waitForValue(t *testing.T, name, value string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		got := s.values[name]
		s.mu.Unlock()
		if got == value {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "%s is %q, not %q", name, got, value)
	}
}

func startFollower(t *testing.T) (*platformtest.Store, *recordedObjects) {
	t.Helper()
	store, view, f := newFollower(t, 200*time.Millisecond)
	runFollower(t, f)
	return store, view
}

// newFollower returns a stand-in of the store, a follower of it that is not started, and
// what it has delivered. The store holds watches for watchWait.
func newFollower(t *testing.T, watchWait time.Duration) (*platformtest.Store, *recordedObjects, *follow.Follower) {
	t.Helper()
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	client := platform.NewStore(func() string { return strings.TrimPrefix(server.URL, "http://") }, func(string) time.Duration { return watchWait })
	view := &recordedObjects{values: make(map[string]string)}
	health := &follow.StoreHealth{Clock: clock.System{}, Log: hclog.NewNullLogger()}
	return store, view, &follow.Follower{Store: client, Kind: "things", Replace: view.replace, Apply: view.apply, StoreHealth: health, Log: hclog.NewNullLogger()}
}

// runFollower runs a follower until the test ends.
func runFollower(t *testing.T, f *follow.Follower) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
}

// A follower that misses a change keeps stale objects for ever. Changes are
// made between the pages of a list, after a watch that returned none, after the
// history was compacted, and during an outage of the store.
func TestFollowerSeesEveryState(t *testing.T) {
	store, view := startFollower(t)
	for i := range 45 {
		store.Put("things", string(rune('A'+i)), i)
	}
	view.waitForValue(t, string(rune('A'+44)), "44")
	time.Sleep(300 * time.Millisecond) // longer than a watch waits for changes
	store.Put("things", "later", 1)
	view.waitForValue(t, "later", "1")
	store.Delete("things", "later")
	view.waitForValue(t, "later", "")

	store.SetFailure(func(*http.Request) int { return http.StatusServiceUnavailable })
	store.Put("things", "lost", 1)
	store.Delete("things", "A")
	store.Compact()
	store.SetFailure(nil)
	view.waitForValue(t, "lost", "1")
	view.waitForValue(t, "A", "")
}

// A watch whose connection goes silent must end and be retried on a new
// connection, or the view stops without an error.
func TestSilentWatchIsRetried(t *testing.T) {
	store, view := startFollower(t)
	store.Put("things", "one", 1)
	view.waitForValue(t, "one", "1")
	var silenced atomic.Bool
	store.SetFailure(func(r *http.Request) int {
		if r.URL.Query().Has("watch") && silenced.CompareAndSwap(false, true) {
			<-r.Context().Done()
		}
		return 0
	})
	for !silenced.Load() {
		time.Sleep(time.Millisecond)
	}
	store.Put("things", "two", 2)
	view.waitForValue(t, "two", "2")
}

// An instance that is fed by other instances makes no call to the store of its
// own. If only such a call could end a loss, the instance would count the store
// as lost for ever and keep targets that are gone.
func TestPeerUpdatesEndLoss(t *testing.T) {
	const settle = 2200 * time.Millisecond
	fake := clock.NewFake(time.Now())
	fake.Advance(time.Minute)
	health := &follow.StoreHealth{Clock: fake, Log: hclog.NewNullLogger()}
	health.RecordSuccess()
	fake.Advance(time.Second)
	health.RecordFailure(errors.New("refused"))
	assert.Assert(t, health.UnavailableWithin(settle))
	fake.Advance(10 * time.Second)
	assert.Assert(t, health.UnavailableWithin(settle), "the loss ended without any contact with the store")

	for elapsed := time.Duration(0); elapsed < settle; elapsed += 400 * time.Millisecond {
		health.RecordPeerContact(fake.Elapsed())
		assert.Assert(t, health.UnavailableWithin(settle), "the store counts as available %v after the first update", elapsed)
		fake.Advance(400 * time.Millisecond)
	}
	health.RecordPeerContact(fake.Elapsed())
	assert.Assert(t, !health.UnavailableWithin(settle), "updates from another instance do not end the loss")
	assert.Assert(t, health.IsLost(), "the failure of the own calls is forgotten")

	fake.Advance(3 * time.Second)
	assert.Assert(t, health.UnavailableWithin(settle), "the store counts as available although updates have stopped")
}

// If one instance loses its connection to the store, entries that are removed meanwhile
// are gone. Instances that took its loss or its return for an outage of the store went on
// to use targets that had left.
func TestLostConnectionOfOneInstanceIsNoOutage(t *testing.T) {
	const settle = 2200 * time.Millisecond
	newHealth := func(fake *clock.Fake) *follow.StoreHealth {
		return &follow.StoreHealth{Clock: fake, Log: hclog.NewNullLogger()}
	}
	fake := clock.NewFake(time.Now())
	fake.Advance(time.Minute)
	cutOff, reading, fed := newHealth(fake), newHealth(fake), newHealth(fake)
	cutOff.RecordSuccess()
	report := func(to *follow.StoreHealth) {
		if ago, ok := cutOff.LastRecovery(); ok {
			to.RecordPeerRecovery(ago)
		}
	}
	for elapsed := time.Duration(0); elapsed < 12*time.Second; elapsed += 400 * time.Millisecond {
		reading.RecordSuccess()
		fed.RecordPeerContact(fake.Elapsed() - 500*time.Millisecond)
		if elapsed < 8*time.Second {
			cutOff.RecordFailure(errors.New("cut off"))
		} else {
			cutOff.RecordSuccess()
		}
		cutOff.RecordPeerContact(fake.Elapsed())
		report(reading)
		report(fed)
		assert.Assert(t, !reading.UnavailableWithin(settle), "after %v, at an instance that reaches the store", elapsed)
		assert.Assert(t, !fed.UnavailableWithin(settle), "after %v, at an instance that gets changes from one", elapsed)
		assert.Assert(t, !cutOff.UnavailableWithin(settle), "after %v, at the instance that lost its connection", elapsed)
		fake.Advance(400 * time.Millisecond)
	}
}

// An instance that makes no calls of its own must learn of the end of an outage from its
// reader, or it drops targets whose entries only lapsed in the outage.
func TestOutageIsReportedByPeer(t *testing.T) {
	const settle = 2200 * time.Millisecond
	fake := clock.NewFake(time.Now())
	fake.Advance(time.Minute)
	health := &follow.StoreHealth{Clock: fake, Log: hclog.NewNullLogger()}
	health.RecordPeerContact(fake.Elapsed())
	fake.Advance(4 * time.Second)
	health.RecordPeerRecovery(100 * time.Millisecond)
	health.RecordPeerContact(fake.Elapsed() - 200*time.Millisecond)
	assert.Assert(t, health.UnavailableWithin(settle))
	fake.Advance(settle)
	health.RecordPeerRecovery(100*time.Millisecond + settle)
	assert.Assert(t, !health.UnavailableWithin(settle))
}

// A response that another instance built before an object was deleted can arrive after the
// deletion. It must not bring the object back, or a target that has left is used again
// until the next full list.
func TestDelayedResponseDoesNotBringBackDeletedObjects(t *testing.T) {
	view := &recordedObjects{values: make(map[string]string)}
	f := follow.Follower{Kind: "things", Replace: view.replace, Apply: view.apply, Log: hclog.NewNullLogger()}
	object := func(name string, version uint64) objectstore.Object {
		return objectstore.Object{Kind: "things", Name: name, Version: version, Value: []byte("x")}
	}
	changes := func(revision uint64, events ...objectstore.Event) follow.Changes {
		return follow.Changes{Events: events, SyncState: follow.SyncState{IsSynced: true, Revision: revision}}
	}
	f.Merge(follow.Changes{IsFullList: true, Objects: []objectstore.Object{object("a", 3)}, SyncState: follow.SyncState{IsSynced: true, Revision: 5}})
	delayed := changes(8, objectstore.Event{Object: object("left", 7)}, objectstore.Event{Object: object("a", 8)})
	f.Merge(changes(8, objectstore.Event{Object: object("left", 7)}))
	f.Merge(changes(9, objectstore.Event{Object: object("left", 9), Deleted: true}))
	f.Merge(delayed)
	_, isBack := view.values["left"]
	assert.Assert(t, !isBack, "a deleted object is back")
	f.Merge(changes(12, objectstore.Event{Object: object("left", 11)}))
	_, isListed := view.values["left"]
	assert.Assert(t, isListed, "an object that was created again is missing")
}

// staleList is a store whose list is delayed until the follower has newer objects.
type staleList struct {
	objectstore.Store
	beforeReturn func()
}

func (s *staleList) List(context.Context, string) ([]objectstore.Object, uint64, error) {
	s.beforeReturn()
	return []objectstore.Object{{Kind: "things", Name: "left", Version: 3, Value: []byte("x")}}, 5, nil
}

func (s *staleList) Watch(ctx context.Context, _ string, _ uint64) ([]objectstore.Event, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// The same for a list of the store itself that was delayed on the way.
func TestDelayedListDoesNotBringBackDeletedObjects(t *testing.T) {
	view := &recordedObjects{values: make(map[string]string)}
	ctx, cancel := context.WithCancel(t.Context())
	store := &staleList{}
	f := follow.Follower{Store: store, Kind: "things", Replace: view.replace, Apply: view.apply, Clock: clock.System{}, Log: hclog.NewNullLogger(),
		StoreHealth: &follow.StoreHealth{Clock: clock.System{}, Log: hclog.NewNullLogger()}}
	store.beforeReturn = func() {
		f.Merge(follow.Changes{IsFullList: true, SyncState: follow.SyncState{IsSynced: true, Revision: 9}})
		time.AfterFunc(50*time.Millisecond, cancel)
	}
	f.Run(ctx)
	assert.Equal(t, len(view.values), 0, "%v", view.values)
}

// A watch that the store drops after it waited must not count as a loss of the store: the
// instances that get changes from this one would look for another.
func TestDroppedWatchIsNoLoss(t *testing.T) {
	store, _, f := newFollower(t, 5*time.Second)
	var dropped atomic.Bool
	store.SetFailure(func(r *http.Request) int {
		if r.URL.Query().Has("watch") && !dropped.Swap(true) {
			time.Sleep(time.Second) // longer than calls must fail before the store counts as lost
			return http.StatusServiceUnavailable
		}
		return 0
	})
	store.Put("things", "one", 1)
	runFollower(t, f)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		assert.Assert(t, !f.StoreHealth.IsLost())
	}
	assert.Assert(t, dropped.Load())
}

// An instance that gets changes from others makes no call of its own. The loss of its
// connection must still end soon after the store answers it again: a lost instance does not
// read changes for others, and keeps targets that are gone once its own source fails.
func TestLossEndsWithoutOtherCalls(t *testing.T) {
	health := &follow.StoreHealth{Clock: clock.System{}, Log: hclog.NewNullLogger()}
	var answers atomic.Bool
	var calls atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		health.Probe(ctx, func(context.Context) {
			calls.Add(1)
			if answers.Load() {
				health.RecordSuccess()
			} else {
				health.RecordFailure(errors.New("refused"))
			}
		})
	}()
	t.Cleanup(func() { cancel(); <-done })
	for range 2 {
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, calls.Load(), int64(0), "calls although the store is not lost")
		answers.Store(false)
		time.Sleep(time.Second)
		health.RecordFailure(errors.New("refused"))
		assert.Assert(t, health.IsLost())
		time.Sleep(2 * time.Second)
		assert.Assert(t, health.IsLost())
		answers.Store(true)
		for deadline := time.Now().Add(2 * time.Second); health.IsLost(); time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(deadline), "the loss does not end")
		}
		made := calls.Swap(0)
		assert.Assert(t, made <= 5, "%d calls", made)
	}
}

// The waits after failed calls must end within the time after which an instance counts as in
// touch with the store again.
func TestWaitsWhileLostAreBounded(t *testing.T) {
	for range 1000 {
		wait := follow.LostRetryWait()
		assert.Assert(t, wait >= 500*time.Millisecond && wait <= 3*time.Second, "%v", wait)
	}
}

// An instance that others feed reads the store itself once its view is old. That read must
// not wait for a change: until it returns, nothing proves that the view is complete, and a
// dead connection is noticed only after the wait.
func TestOldViewIsRenewedWithoutWaiting(t *testing.T) {
	const maxViewAge, watchWait, callTime = 300 * time.Millisecond, 5 * time.Second, time.Second
	store, view, f := newFollower(t, watchWait)
	f.FedByPeer, f.MaxViewAge, f.WatchWait, f.Clock = func() bool { return true }, maxViewAge, watchWait, clock.System{}
	runFollower(t, f)
	store.Put("things", "one", 1)
	view.waitForValue(t, "one", "1")
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		age := clock.System{}.Elapsed() - f.SyncState().AsOf
		assert.Assert(t, age < maxViewAge+callTime, "the view is %v old", age)
	}
}
