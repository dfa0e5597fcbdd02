package claim

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore/httpapi"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
)

var bg = context.Background()

// fixture is a stand-in platform and the fake clock that all instances share.
type fixture struct {
	t        *testing.T
	platform *standin.Platform
	url      string
	clock    *clock.Fake
}

func newFixture(t *testing.T) *fixture {
	p := standin.NewPlatform()
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return &fixture{t: t, platform: p, url: server.URL, clock: clock.NewFake(time.Unix(1_800_000_000, 0))}
}

func (f *fixture) manager(instance string) *Manager {
	return f.managerOn(instance, httpapi.New(f.url))
}

func (f *fixture) managerOn(instance string, store objectstore.Store) *Manager {
	return NewManager(Options{
		Store: store, Clock: f.clock, Log: hclog.NewNullLogger(),
		Instance: instance, Incarnation: instance + "-1",
	})
}

func (f *fixture) request(key, body string) Request {
	return Request{
		Key:      DigestKey("coop", key),
		Content:  DigestRequest("coop", "POST", "/book", []byte(body)),
		Deadline: f.clock.Now().Add(30 * time.Second),
	}
}

func (f *fixture) stored(key string) *record {
	f.t.Helper()
	name := DigestKey("coop", key)
	object, err := f.platform.Store.Get(bg, kindOf(name), name.String())
	assert.NilError(f.t, err)
	r, err := decodeRecord(object.Value)
	assert.NilError(f.t, err)
	return r
}

// interceptedStore replaces the creates of one instance and calls afterUpdate
// after its updates.
type interceptedStore struct {
	objectstore.Store
	create      func(ctx context.Context, kind, name string, value []byte) (objectstore.Object, error)
	afterUpdate func()
}

func (s *interceptedStore) Update(ctx context.Context, kind, name string, value []byte, version uint64) (objectstore.Object, error) {
	object, err := s.Store.Update(ctx, kind, name, value, version)
	s.afterUpdate()
	return object, err
}

func (s *interceptedStore) Create(ctx context.Context, kind, name string, value []byte) (objectstore.Object, error) {
	return s.create(ctx, kind, name, value)
}

// A duplicate must not run, and its caller must get the result that the state of
// the first request allows, on the same instance and on another one.
func TestDuplicateDecisions(t *testing.T) {
	response := &Response{Status: 201, Body: []byte("booked")}
	for _, tc := range []struct {
		name     string
		body     string
		finish   func(*Claim) error
		later    time.Duration
		want     Decision
		wantSelf Decision // on the instance that ran the request
	}{
		{name: "first request running", want: DecisionInProgress, wantSelf: DecisionInProgress},
		{name: "different body", body: "other", want: DecisionKeyReused, wantSelf: DecisionKeyReused},
		{name: "past the deadline", later: time.Minute, want: DecisionOutcomeUnknown, wantSelf: DecisionInProgress},
		{name: "response stored", finish: func(c *Claim) error { return c.Complete(bg, response) }, want: DecisionReplay, wantSelf: DecisionReplay},
		{name: "outcome unknown", finish: func(c *Claim) error { return c.MarkUnknown(bg) }, want: DecisionOutcomeUnknown, wantSelf: DecisionOutcomeUnknown},
		{name: "response too large to store", want: DecisionOutcomeUnknown, wantSelf: DecisionOutcomeUnknown, finish: func(c *Claim) error {
			return c.Complete(bg, &Response{Status: 200, Body: make([]byte, MaxResponseBytes+1)})
		}},
		{name: "claim released", finish: func(c *Claim) error { return c.Release(bg) }, want: DecisionRun, wantSelf: DecisionInProgress},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			a, b := f.manager("a"), f.manager("b")
			first := a.Claim(bg, f.request("k", "body"))
			assert.Equal(t, first.Decision, DecisionRun)
			if tc.finish != nil {
				assert.NilError(t, tc.finish(first.Claim))
			}
			f.clock.Advance(tc.later)
			body := "body"
			if tc.body != "" {
				body = tc.body
			}
			result := b.Claim(bg, f.request("k", body))
			assert.Equal(t, result.Decision, tc.want)
			if tc.want == DecisionReplay {
				assert.DeepEqual(t, result.Response, response)
			}
			assert.Equal(t, a.Claim(bg, f.request("k", body)).Decision, tc.wantSelf)
		})
	}
}

// If the instance that ran the first request has restarted or is known to have
// ended, duplicates must not be answered as in progress until the deadline.
func TestEndedCreatorIsNotWaitedFor(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, f.manager("a").Claim(bg, f.request("k", "body")).Decision, DecisionRun)
	restarted := f.manager("a")
	restarted.options.Incarnation = "a-2"
	assert.Equal(t, restarted.Claim(bg, f.request("k", "body")).Decision, DecisionOutcomeUnknown)
	b := f.manager("b")
	b.options.HasEnded = func(instance, incarnation string) bool { return instance == "a" && incarnation == "a-1" }
	assert.Equal(t, b.Claim(bg, f.request("k", "body")).Decision, DecisionOutcomeUnknown)
}

// A single lost response of the store must not make an instance refuse its own
// claim, keep a released claim or lose the outcome.
func TestLostResponsesAreRecovered(t *testing.T) {
	f := newFixture(t)
	a := f.manager("a")
	lose := func() { f.platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1}) }
	lose()
	v := a.Claim(bg, f.request("k", "body"))
	assert.Equal(t, v.Decision, DecisionRun)
	lose()
	assert.NilError(t, v.Claim.Release(bg))
	v = a.Claim(bg, f.request("k", "body"))
	assert.Equal(t, v.Decision, DecisionRun)
	lose()
	assert.NilError(t, v.Claim.Complete(bg, &Response{Status: 200}))
	assert.Equal(t, f.stored("k").State, StateDone)
}

// The outcome must be stored although the caller has disconnected and the first
// attempt fails during a short outage of the store.
func TestOutcomeSurvivesCancelledContext(t *testing.T) {
	f := newFixture(t)
	client := httpapi.New(f.url)
	store := &interceptedStore{Store: client, create: client.Create, afterUpdate: func() {
		f.platform.SetFaults(standin.PlatformFaults{})
	}}
	v := f.managerOn("a", store).Claim(bg, f.request("k", "body"))
	ctx, cancel := context.WithCancel(bg)
	cancel()
	f.platform.SetFaults(standin.PlatformFaults{Down: true})
	assert.NilError(t, v.Claim.Complete(ctx, &Response{Status: 200}))
	assert.Equal(t, f.stored("k").State, StateDone)
}

// If the outcome cannot be stored, a duplicate must not run, and it must not be
// answered as in progress beyond the deadline and runningGrace.
func TestLostOutcome(t *testing.T) {
	f := newFixture(t)
	a, b := f.manager("a"), f.manager("b")
	v := a.Claim(bg, f.request("k", "body"))
	f.platform.SetFaults(standin.PlatformFaults{Down: true})
	assert.Assert(t, objectstore.IsKind(v.Claim.Complete(bg, &Response{Status: 200}), objectstore.KindUnavailable))
	f.platform.SetFaults(standin.PlatformFaults{})
	assert.Equal(t, a.Claim(bg, f.request("k", "body")).Decision, DecisionOutcomeUnknown)
	assert.Equal(t, b.Claim(bg, f.request("k", "body")).Decision, DecisionInProgress)
	f.clock.Advance(30*time.Second + runningGrace)
	assert.Equal(t, b.Claim(bg, f.request("k", "body")).Decision, DecisionOutcomeUnknown)
}

// If the store fails during a release, the claim must be removed later.
// Otherwise the key stays blocked although the request never ran.
func TestLostRelease(t *testing.T) {
	f := newFixture(t)
	a, b := f.manager("a"), f.manager("b")
	v := a.Claim(bg, f.request("k", "body"))
	f.platform.SetFaults(standin.PlatformFaults{Down: true})
	assert.Assert(t, v.Claim.Release(bg) != nil)
	f.platform.SetFaults(standin.PlatformFaults{})
	assert.Equal(t, a.Claim(bg, f.request("k", "body")).Decision, DecisionUnavailable)
	a.RemoveAbandoned(bg)
	assert.Equal(t, b.Claim(bg, f.request("k", "body")).Decision, DecisionRun)
}

// Run must return when its context ends; otherwise the instance cannot stop.
func TestRunStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(bg)
	cancel()
	newFixture(t).manager("a").Run(ctx)
}

// The create takes effect, but its response and the following read are lost in
// an outage. The request must not run, and its key must be usable again once the
// abandoned claim can be removed.
func TestUnconfirmedCreate(t *testing.T) {
	f := newFixture(t)
	client := httpapi.New(f.url)
	a := f.managerOn("a", &interceptedStore{Store: client, create: func(ctx context.Context, kind, name string, value []byte) (objectstore.Object, error) {
		f.platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1})
		object, err := client.Create(ctx, kind, name, value)
		f.platform.SetFaults(standin.PlatformFaults{Down: true})
		return object, err
	}})
	b := f.manager("b")
	request := f.request("k", "body")
	assert.Equal(t, a.Claim(bg, request).Decision, DecisionUnavailable)
	assert.Equal(t, b.Claim(bg, request).Decision, DecisionUnavailable)
	a.RemoveAbandoned(bg) // fails during the outage
	f.platform.SetFaults(standin.PlatformFaults{})
	assert.Equal(t, b.Claim(bg, request).Decision, DecisionInProgress)
	assert.Equal(t, f.manager("c").Claim(bg, request).Decision, DecisionInProgress)
	a.RemoveAbandoned(bg)
	assert.Equal(t, b.Claim(bg, request).Decision, DecisionRun)
}

// A create that takes effect long after its call failed must neither lead to a
// run nor displace the claim of a duplicate that has run since.
func TestCreateTakesEffectLate(t *testing.T) {
	for _, duplicateFirst := range []bool{false, true} {
		f := newFixture(t)
		client := httpapi.New(f.url)
		var lateCreate func() error
		a := f.managerOn("a", &interceptedStore{Store: client, create: func(_ context.Context, kind, name string, value []byte) (objectstore.Object, error) {
			lateCreate = func() error { _, err := client.Create(bg, kind, name, value); return err }
			return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindUnknown, Call: "create", Cause: errors.New("answer lost")}
		}})
		b := f.manager("b")
		request := f.request("k", "body")
		assert.Equal(t, a.Claim(bg, request).Decision, DecisionUnavailable)
		if duplicateFirst {
			assert.Equal(t, b.Claim(bg, request).Decision, DecisionRun)
			assert.Assert(t, objectstore.IsKind(lateCreate(), objectstore.KindExists))
			a.RemoveAbandoned(bg)
			assert.Equal(t, f.stored("k").Instance, "b")
			continue
		}
		assert.NilError(t, lateCreate())
		assert.Equal(t, b.Claim(bg, request).Decision, DecisionInProgress)
		a.RemoveAbandoned(bg)
		assert.Equal(t, b.Claim(bg, request).Decision, DecisionRun)
	}
}

// A claim that is removed before its retention is over lets a duplicate run. A
// removal without a bound would flood the store with deletes.
func TestRemoveExpired(t *testing.T) {
	f := newFixture(t)
	a := f.manager("a")
	request := f.request("k", "body")
	assert.Equal(t, a.Claim(bg, request).Decision, DecisionRun)
	kind := kindOf(request.Key)
	for i := range removalBatchSize {
		r := record{Nonce: "n", Expires: f.clock.Now().Add(time.Duration(i))}
		_, err := f.platform.Store.Create(bg, kind, DigestRequest("", "", "", []byte{byte(i)}).String(), r.encode())
		assert.NilError(t, err)
	}
	var n int
	for i := range kindCount {
		if kindName(i) == kind {
			n = i
		}
	}
	remove := func(want int) {
		t.Helper()
		removed, err := f.manager("b").RemoveExpired(bg, n)
		assert.NilError(t, err)
		assert.Equal(t, removed, want)
	}
	f.clock.Advance(DefaultRetention)
	remove(removalBatchSize)
	remove(0)
	assert.Equal(t, f.manager("b").Claim(bg, request).Decision, DecisionOutcomeUnknown)
	f.clock.Advance(time.Minute)
	remove(1)
}

// checkThenRunWithoutClaim is a faulty variant: it reads the claim before the run
// and writes it only after the run.
func checkThenRunWithoutClaim(store objectstore.Store, request Request, run func()) {
	kind, name := kindOf(request.Key), request.Key.String()
	if _, err := store.Get(bg, kind, name); err == nil {
		return
	}
	run()
	_, _ = store.Create(bg, kind, name, nil)
}

// A key that is sent to several instances at once must run at most once, also
// while the store loses responses. The subtest with the faulty variant shows that
// the test detects double runs.
func TestConcurrentDuplicatesRunOnce(t *testing.T) {
	const instances, senders = 8, 12
	race := func(f *fixture, send func(manager *Manager, run func())) int64 {
		var runs atomic.Int64
		var group sync.WaitGroup
		start := make(chan struct{})
		for i := range instances {
			m := f.manager(string(rune('a' + i)))
			for range senders {
				group.Go(func() {
					<-start
					send(m, func() { runs.Add(1) })
				})
			}
		}
		close(start)
		group.Wait()
		return runs.Load()
	}
	for _, tc := range []struct {
		name   string
		faults standin.PlatformFaults
		want   int64
	}{
		{"no faults", standin.PlatformFaults{DelayMillis: 3}, 1},
		{"first responses lost", standin.PlatformFaults{DelayMillis: 3, LoseAnswers: 5}, 1},
		{"most responses lost", standin.PlatformFaults{DelayMillis: 3, LoseAnswers: instances * senders}, 1},
		{"store down", standin.PlatformFaults{Down: true}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.platform.SetFaults(tc.faults)
			request := f.request("k", "body")
			runs := race(f, func(m *Manager, run func()) {
				if m.Claim(bg, request).Decision == DecisionRun {
					run()
				}
			})
			assert.Equal(t, runs, tc.want)
		})
	}
	t.Run("changing faults", func(t *testing.T) {
		f := newFixture(t)
		request := f.request("k", "body")
		ended, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(stopped)
			for i := 0; ; i++ {
				select {
				case <-ended:
					f.platform.SetFaults(standin.PlatformFaults{})
					return
				default:
					f.platform.SetFaults(standin.PlatformFaults{Down: i%3 == 0, LoseAnswers: i % 4})
				}
			}
		}()
		var managers []*Manager
		var mu sync.Mutex
		runs := race(f, func(m *Manager, run func()) {
			if m.Claim(bg, request).Decision == DecisionRun {
				run()
			}
			mu.Lock()
			managers = append(managers, m)
			mu.Unlock()
		})
		close(ended)
		<-stopped
		assert.Assert(t, runs <= 1, "%d runs", runs)
		for _, m := range managers {
			m.RemoveAbandoned(bg)
		}
		last := f.manager("last").Claim(bg, request).Decision
		assert.Equal(t, last == DecisionRun, runs == 0, "%d runs, then decision %d", runs, last)
		t.Logf("%d runs", runs)
	})
	t.Run("check then run", func(t *testing.T) {
		f := newFixture(t)
		f.platform.SetFaults(standin.PlatformFaults{DelayMillis: 3})
		request := f.request("k", "body")
		runs := race(f, func(m *Manager, run func()) { checkThenRunWithoutClaim(m.options.Store, request, run) })
		assert.Assert(t, runs > 1, "%d runs", runs)
		t.Logf("check then run: %d runs of %d requests with one key", runs, instances*senders)
	})
}
