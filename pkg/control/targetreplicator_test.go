package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/certs/certstest"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/peer"
)

// fakeEngines holds the states of engines by address, and counts their reads.
type fakeEngines struct {
	mu     sync.Mutex
	states map[string]engine.State
	reads  map[string]int // by reader and address
}

func newFakeEngines(count int) (*fakeEngines, fixedList) {
	f := &fakeEngines{states: make(map[string]engine.State), reads: make(map[string]int)}
	var rows fixedList
	for n := range count {
		id := fmt.Sprint("engine-", n)
		f.states[id] = engine.State{Incarnation: "1", Model: "m"}
		rows = append(rows, objectstore.Instance{ID: id, Role: objectstore.RoleEngine, Address: id})
	}
	return f, rows
}

func (f *fakeEngines) set(address string, state engine.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states[address] = state
}

func (f *fakeEngines) readsBy(reader, address string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads[reader+" "+address]
}

// fixedList is an instance list that does not change.
type fixedList []objectstore.Instance

func (l fixedList) Instances(context.Context) ([]objectstore.Instance, error) { return l, nil }

// fakeReader is the engine client of one instance.
type fakeReader struct {
	engine.Client
	engines     *fakeEngines
	id          string
	unreachable map[string]bool // addresses that this instance does not reach
}

func (r *fakeReader) State(_ context.Context, address string) (engine.State, error) {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	r.engines.reads[r.id+" "+address]++
	if r.unreachable[address] {
		return engine.State{}, errors.New("no route")
	}
	return r.engines.states[address], nil
}

// member is an instance that shares the reads of target states with its peers.
type member struct {
	*node
	reader           *fakeReader
	targetReplicator *TargetStateReplicator
	targets          *TargetController
}

func newMember(t *testing.T, authority *certstest.Authority, engines *fakeEngines, rows fixedList, seeds ...string) *member {
	m := &member{node: newNode(t, authority, seeds...)}
	m.reader = &fakeReader{engines: engines, id: m.peers.Self.ID, unreachable: make(map[string]bool)}
	m.targetReplicator = NewTargetStateReplicator(m.peers, m.transport, hclog.NewNullLogger())
	m.targetReplicator.Register(m.registry)
	m.targets = &TargetController{List: rows, Client: m.reader, Replicator: m.targetReplicator, Log: hclog.NewNullLogger()}
	return m
}

func (m *member) start(t *testing.T) *member {
	m.run(t)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { m.targets.Run(ctx) })
	group.Go(func() { m.targetReplicator.Run(ctx) })
	t.Cleanup(func() { cancel(); group.Wait() })
	return m
}

// startMembers starts instances and waits until each knows all others.
func startMembers(t *testing.T, count int, engines *fakeEngines, rows fixedList) []*member {
	authority := certstest.NewAuthority(t)
	first := newMember(t, authority, engines, rows).start(t)
	members := []*member{first}
	for range count - 1 {
		members = append(members, newMember(t, authority, engines, rows, first.transport.Address()).start(t))
	}
	waitFor(t, 20*time.Second, "the instances do not know each other", func() bool {
		for _, m := range members {
			if len(m.peers.LivePeerIDs()) != count-1 || !m.targets.Ready() {
				return false
			}
		}
		return true
	})
	return members
}

// observersOf returns the members that observe a target, and the others.
func observersOf(members []*member, id string) (observers, others []*member) {
	for _, m := range members {
		if m.targets.Observes(id) {
			observers = append(observers, m)
		} else {
			others = append(others, m)
		}
	}
	return observers, others
}

func waitForObservers(t *testing.T, members []*member, rows fixedList) {
	waitFor(t, 10*time.Second, "targets do not have two observers each", func() bool {
		for _, row := range rows {
			if observers, _ := observersOf(members, row.ID); len(observers) != observersPerTarget {
				return false
			}
		}
		return true
	})
}

// Requests rely on the cache of a dead engine if an instance does not notice
// that a target restarted. All must see it within 3 s, although only two read
// its state.
func TestAllInstancesSeeRestartedTarget(t *testing.T) {
	engines, rows := newFakeEngines(20)
	members := startMembers(t, 8, engines, rows)
	waitForObservers(t, members, rows)
	for n, id := range []string{"engine-3", "engine-7"} {
		incarnation := fmt.Sprint("restarted ", n)
		engines.set(id, engine.State{Incarnation: incarnation, Model: "m"})
		waitFor(t, 3*time.Second, "not all see the restarted target", func() bool {
			for _, m := range members {
				if m.targets.TargetSet().ByID[id].Incarnation != incarnation {
					return false
				}
			}
			return true
		})
	}
	observers, others := observersOf(members, "engine-3")
	before := make(map[*member]int)
	for _, m := range members {
		before[m] = engines.readsBy(m.reader.id, "engine-3")
	}
	waitFor(t, 20*time.Second, "the observers do not read", func() bool {
		return engines.readsBy(observers[0].reader.id, "engine-3") >= before[observers[0]]+5
	})
	for _, m := range others {
		assert.Equal(t, engines.readsBy(m.reader.id, "engine-3"), before[m], "others than the observers read a target whose state is confirmed")
	}
}

// A target is lost for all instances if one observer that does not reach it
// overrides the others. Its state must not change back and forth between
// observers that disagree.
func TestTargetStaysReachableWhenObserversDisagree(t *testing.T) {
	engines, rows := newFakeEngines(1)
	members := startMembers(t, 3, engines, rows)
	waitForObservers(t, members, rows)
	const id = "engine-0"
	observers, others := observersOf(members, id)
	blind := observers[0]
	version := func() uint64 {
		r, _ := others[0].targetReplicator.table.lookup(id)
		return r.Version
	}
	before, reads := version(), engines.readsBy(blind.reader.id, id)
	engines.mu.Lock()
	blind.reader.unreachable[id] = true
	engines.mu.Unlock()
	waitFor(t, 20*time.Second, "the blind observer does not read", func() bool {
		return engines.readsBy(blind.reader.id, id) >= reads+6
	})
	waitFor(t, 3*time.Second, "the others do not use the target", func() bool {
		return others[0].targets.TargetSet().ByID[id].Reachable && observers[1].targets.TargetSet().ByID[id].Reachable
	})
	assert.Assert(t, !blind.targets.TargetSet().ByID[id].Reachable, "the blind observer uses a target that it does not reach")
	assert.Assert(t, version() <= before+2, "the state changed %d times", version()-before)
}

// Instances route by an outdated target state for ever if a lost update is
// never repaired.
func TestLostTargetUpdateIsRepaired(t *testing.T) {
	engines, rows := newFakeEngines(2)
	members := startMembers(t, 2, engines, rows)
	// Only the first member has the record, as if its update had been lost.
	members[0].targetReplicator.table.recordRead("unlisted", engine.State{Incarnation: "x"}, time.Now())
	waitFor(t, 10*time.Second, "the record did not arrive", func() bool {
		r, _ := members[1].targetReplicator.table.lookup("unlisted")
		return r.Incarnation == "x"
	})
}

// fakePeer starts a peer that answers from a table and does not read targets
// itself, and returns its row of the instance list. It has no handler for
// updates: its response unknown_type must not make it look gone.
func fakePeer(t *testing.T, authority *certstest.Authority, id string, source *targetTable, before func(context.Context) error) objectstore.Instance {
	registry := peer.NewRegistry()
	fake, err := peer.Listen("127.0.0.1:0", newIdentity(t, authority), registry, hclog.NewNullLogger())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = fake.Close() })
	peer.Hello.Handle(registry, func(ctx context.Context, _ peer.HelloBody) (peer.HelloBody, error) {
		return peer.HelloBody{ID: id, Address: fake.Address(), Incarnation: id}, before(ctx)
	})
	peer.TargetsConfirm.Handle(registry, func(ctx context.Context, _ peer.TargetsConfirmBody) (peer.TargetsConfirmBody, error) {
		err := before(ctx)
		return source.confirmBody(), err
	})
	peer.TargetsFetch.Handle(registry, func(ctx context.Context, _ peer.EmptyBody) (peer.TargetsFetchResponse, error) {
		err := before(ctx)
		return peer.TargetsFetchResponse{Records: source.records(nil)}, err
	})
	go fake.Serve()
	return objectstore.Instance{ID: id, Role: objectstore.RoleRouter, Address: fake.Address()}
}

// In a mass restart the targets are flooded with reads if each instance reads
// all of them although a peer has their states. Instances are not ready in time
// if they wait for peers that are gone or have just started too.
func TestRestartedInstanceFetchesStates(t *testing.T) {
	engines, rows := newFakeEngines(40)
	authority := certstest.NewAuthority(t)
	full := newTargetTable()
	answer := func(context.Context) error { return nil }
	gone := objectstore.Instance{ID: "gone", Role: objectstore.RoleRouter, Address: unusedUDPAddress(t)}
	for _, c := range []struct {
		name    string
		peers   []objectstore.Instance
		readAll bool
	}{
		{"peers gone", []objectstore.Instance{gone}, true},
		{"peers just started", []objectstore.Instance{
			gone, fakePeer(t, authority, "a", newTargetTable(), answer), fakePeer(t, authority, "b", newTargetTable(), answer),
		}, true},
		{"one peer has the states", []objectstore.Instance{
			gone, fakePeer(t, authority, "c", full, answer), fakePeer(t, authority, "d", newTargetTable(), answer),
		}, false},
	} {
		// The first cases wait longer for lost peers than a confirmation is
		// valid, so each case needs new confirmations.
		for _, row := range rows {
			full.recordRead(row.ID, engine.State{Incarnation: "1", Model: "m"}, time.Now())
		}
		m := newMember(t, authority, engines, rows)
		m.peers.MergeInstanceList(c.peers)
		m.start(t)
		waitFor(t, 5*time.Second, c.name+": the instance is not ready", m.targets.Ready)
		read := 0
		for _, row := range rows {
			assert.Assert(t, m.targets.TargetSet().ByID[row.ID].Reachable, c.name)
			if engines.readsBy(m.reader.id, row.ID) > 0 {
				read++
			}
		}
		assert.Equal(t, read == len(rows), c.readAll, "%s: the instance read %d targets itself", c.name, read)
	}
}

// unusedUDPAddress returns an address on which no process listens.
func unusedUDPAddress(t *testing.T) string {
	n := newNode(t, certstest.NewAuthority(t))
	assert.NilError(t, n.transport.Close())
	return n.transport.Address()
}

// Requests go to a leaving target if both of its observers are frozen. Other
// instances must read it soon after its confirmations end, also if the
// observers still answer, so that only the age of the confirmations shows the
// fault.
func TestTargetOfFrozenObserversIsReadByOthers(t *testing.T) {
	t.Run("silent", func(t *testing.T) { testFrozenObservers(t, false) })
	t.Run("answering", func(t *testing.T) { testFrozenObservers(t, true) })
}

func testFrozenObservers(t *testing.T, answering bool) {
	authority := certstest.NewAuthority(t)
	engines, rows := newFakeEngines(30)
	m := newMember(t, authority, engines, rows)
	frozen, source := make(chan struct{}), newTargetTable()
	before := func(ctx context.Context) error {
		select {
		case <-frozen:
			if answering {
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		default:
		}
		for _, row := range rows {
			source.recordRead(row.ID, engine.State{Incarnation: "1", Model: "m"}, time.Now())
		}
		return nil
	}
	m.peers.MergeInstanceList([]objectstore.Instance{fakePeer(t, authority, "a", source, before), fakePeer(t, authority, "b", source, before)})
	m.start(t)
	waitFor(t, 5*time.Second, "the instance is not ready", m.targets.Ready)
	var id string
	for _, row := range rows {
		if !m.targets.Observes(row.ID) {
			id = row.ID
		}
	}
	assert.Assert(t, id != "", "this instance observes all targets")
	close(frozen)
	engines.set(id, engine.State{Incarnation: "1", Model: "m", Leaving: true})
	waitFor(t, 6*time.Second, "a leaving target with frozen observers is still used", func() bool {
		return m.targets.TargetSet().ByID[id].Leaving
	})
}
