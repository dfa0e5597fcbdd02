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

const waitLong = 5 * time.Second

// seen is a follower's view of a kind.
type seen struct {
	mu    sync.Mutex
	names map[string]string
}

func (s *seen) replace(objects []objectstore.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names = make(map[string]string)
	for _, o := range objects {
		s.names[o.Name] = string(o.Value)
	}
}

func (s *seen) apply(events []objectstore.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			delete(s.names, e.Object.Name)
		} else {
			s.names[e.Object.Name] = string(e.Object.Value)
		}
	}
}

func (s *seen) await(t *testing.T, name, value string) {
	t.Helper()
	for deadline := time.Now().Add(waitLong); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		got := s.names[name]
		s.mu.Unlock()
		if got == value {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "%s is %q, not %q", name, got, value)
	}
}

func start(t *testing.T) (*platformtest.Store, *seen) {
	t.Helper()
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	client := platform.NewStore(func() string { return strings.TrimPrefix(server.URL, "http://") },
		func(string) time.Duration { return 200 * time.Millisecond })
	view := &seen{names: make(map[string]string)}
	link := &follow.StoreHealth{Clock: clock.System{}, Log: hclog.NewNullLogger()}
	f := follow.Follower{Store: client, Kind: "things", Replace: view.replace, Apply: view.apply, StoreHealth: link, Log: hclog.NewNullLogger()}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done; server.Close() })
	return store, view
}

// Guards against changes that are missed: between pages, after a watch without
// changes, after the history is gone, and after an outage.
func TestFollowerSeesEveryState(t *testing.T) {
	store, view := start(t)
	for i := range 45 {
		store.Put("things", string(rune('A'+i)), i)
	}
	view.await(t, string(rune('A'+44)), "44")
	time.Sleep(300 * time.Millisecond) // longer than a watch waits
	store.Put("things", "later", 1)
	view.await(t, "later", "1")
	store.Delete("things", "later")
	view.await(t, "later", "")

	store.SetFailure(func(*http.Request) int { return http.StatusServiceUnavailable })
	store.Put("things", "lost", 1)
	store.Delete("things", "A")
	store.Compact()
	store.SetFailure(nil)
	view.await(t, "lost", "1")
	view.await(t, "A", "")
}

// Guards against a connection that goes silent for good while new ones work.
func TestSilentWatchIsNoticed(t *testing.T) {
	store, view := start(t)
	store.Put("things", "one", 1)
	view.await(t, "one", "1")
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
	view.await(t, "two", "2")
}

// Guards against an instance that takes the store for lost for ever, and so
// keeps targets that are gone, because others read the store for it since and it
// makes no call of its own.
func TestLossEndsWhenOthersPassOn(t *testing.T) {
	const settle = 2200 * time.Millisecond
	fake := clock.NewFake(time.Now())
	fake.Advance(time.Minute)
	link := &follow.StoreHealth{Clock: fake, Log: hclog.NewNullLogger()}
	link.RecordSuccess()
	fake.Advance(time.Second)
	link.RecordFailure(errors.New("refused"))
	assert.Assert(t, link.UnavailableWithin(settle))
	fake.Advance(10 * time.Second)
	assert.Assert(t, link.UnavailableWithin(settle), "a loss ended by itself")

	for elapsed := time.Duration(0); elapsed < settle; elapsed += 400 * time.Millisecond {
		link.RecordPeerUpdate()
		assert.Assert(t, link.UnavailableWithin(settle), "settled %v after the first answer", elapsed)
		fake.Advance(400 * time.Millisecond)
	}
	link.RecordPeerUpdate()
	assert.Assert(t, !link.UnavailableWithin(settle), "the loss does not end")
	assert.Assert(t, link.IsLost(), "the own way to the store is not tried any more")

	fake.Advance(3 * time.Second)
	assert.Assert(t, link.UnavailableWithin(settle), "nobody passes anything on now")
}
