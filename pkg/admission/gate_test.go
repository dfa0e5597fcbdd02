package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// newCaller returns a request whose caller leaves after four objectives.
func newCaller(kind string, rank Rank, arrived time.Time, objective time.Duration) Caller {
	return Caller{Kind: kind, Rank: rank, Arrived: arrived, DueAt: arrived.Add(objective), LeavesAt: arrived.Add(4 * objective)}
}

// model is a pool whose targets know of each other's requests only through reports of
// an age, behind instances that decide by gates of their own.
type model struct {
	slots     int
	service   time.Duration
	reportAge time.Duration
	gates     []*Gate
	busy      []time.Duration // ends of running requests
	history   []int           // number of running requests by step
	now       time.Duration
	largest   int
}

const modelStep = 10 * time.Millisecond

func (m *model) time() time.Time { return start.Add(m.now) }

// load returns what the reports tell an instance of the pool.
func (m *model) load(r Rank) PoolLoad {
	reported := 0
	if old := len(m.history) - 1 - int(m.reportAge/modelStep); old >= 0 {
		reported = m.history[old]
	}
	return PoolLoad{Slots: m.slots, Busy: reported, FreeRoom: max(0, r.MaxRoom(m.slots).Load-reported), ReportAge: m.reportAge, Part: 1 / float64(len(m.gates))}
}

func (m *model) send() {
	m.busy = append(m.busy, m.now+m.service)
	m.largest = max(m.largest, len(m.busy))
}

func (m *model) step() {
	m.now += modelStep
	running := m.busy[:0]
	for _, end := range m.busy {
		if end > m.now {
			running = append(running, end)
		}
	}
	m.busy = running
	m.history = append(m.history, len(m.busy))
}

// waiter is a request that waits in one of the gates.
type waiter struct {
	gate  *Gate
	entry *Entry
}

// offer sends a request, lets it wait or refuses it.
func (m *model) offer(g *Gate, c Caller, waiting *[]waiter) (Verdict, Decision) {
	if load := m.load(c.Rank); g.MayPass(&c, load, m.time()) && load.FreeRoom > 0 {
		m.send()
		g.Passed(c.Rank, m.time())
		return Try, Decision{}
	}
	entry, d := g.Offer(c, m.load(c.Rank), m.time())
	if entry != nil {
		*waiting = append(*waiting, waiter{g, entry})
	}
	return d.Verdict, d
}

// check sends the waiting requests whose turn it is.
func (m *model) check(waiting []waiter, sent, refused func(*Entry)) (left []waiter) {
	for _, w := range waiting {
		load := m.load(w.entry.Rank)
		switch w.gate.Check(w.entry, load, m.time()).Verdict {
		case Refuse:
			w.gate.Leave(w.entry)
			refused(w.entry)
			continue
		case Try:
			if load.FreeRoom > 0 {
				w.gate.Pass(w.entry, m.time())
				m.send()
				sent(w.entry)
				continue
			}
		}
		left = append(left, w)
	}
	return left
}

func newModel(instances, slots int) *model {
	m := &model{slots: slots, service: 500 * time.Millisecond, reportAge: 400 * time.Millisecond}
	for range instances {
		g := NewGate(40)
		g.RecordService("long", m.service)
		g.RecordService("short", m.service)
		m.gates = append(m.gates, g)
	}
	return m
}

// A burst of a less urgent kind filled every slot, so that the urgent kind waited behind it.
func TestBurstLeavesRoomForUrgentRequests(t *testing.T) {
	m := newModel(20, 320)
	less, urgent := Rank{Urgency: 2}, Rank{IsFirstKind: true}
	var waiting []waiter
	urgentHeld := 0
	for n := range 500 {
		m.step()
		for range 10 { // 1,000 requests a second of which 640 can be done
			m.offer(m.gates[n%20], newCaller("long", less, m.time(), 1500*time.Millisecond), &waiting)
		}
		if verdict, _ := m.offer(m.gates[(n+7)%20], newCaller("short", urgent, m.time(), 400*time.Millisecond), &waiting); verdict != Try {
			urgentHeld++
		}
		waiting = m.check(waiting, func(*Entry) {}, func(*Entry) {})
	}
	assert.Equal(t, urgentHeld, 0)
}

// When room appeared, all instances saw the same report and sent all that waited.
func TestInstancesDoNotFillReportedRoomTogether(t *testing.T) {
	m := newModel(85, 400)
	rank := Rank{Urgency: 2}
	var waiting []waiter
	for n := range 600 {
		m.step()
		for range 15 {
			m.offer(m.gates[(7*n)%85], newCaller("long", rank, m.time(), 1500*time.Millisecond), &waiting)
			n++
		}
		waiting = m.check(waiting, func(*Entry) {}, func(*Entry) {})
	}
	assert.Assert(t, m.largest <= m.slots, "%d requests at %d slots", m.largest, m.slots)
}

// Callers waited until they left, although it was clear before that nobody would get to
// them, and the backlog of a burst was served after it instead of what came then.
func TestRequestsThatWouldBeLateAreRefusedAtOnceAndTheBacklogEnds(t *testing.T) {
	m := newModel(10, 160)
	rank := Rank{Urgency: 2}
	var waiting []waiter
	left, heldBeforeRefusal, refusals := 0, time.Duration(0), 0
	lateAfterBurst := 0
	for n := range 1500 {
		m.step()
		perStep := 2
		if n < 500 {
			perStep = 8 // 800 a second of which 240 can be done
		}
		for i := range perStep {
			verdict, d := m.offer(m.gates[(n+i)%10], newCaller("long", rank, m.time(), time.Second), &waiting)
			if verdict == Refuse {
				refusals++
				assert.Assert(t, d.ReturnAfter > 0 && d.ReturnAfter <= max(d.ExpectedWait, maxBookedAhead), d.ReturnAfter)
			}
		}
		waiting = m.check(waiting, func(e *Entry) {
			if m.time().After(e.LeavesAt) {
				left++
			}
			if n > 800 && m.time().After(e.DueAt) {
				lateAfterBurst++
			}
		}, func(e *Entry) {
			heldBeforeRefusal = max(heldBeforeRefusal, m.time().Sub(e.Arrived))
			refusals++
		})
	}
	assert.Assert(t, refusals > 1000, "only %d refusals", refusals)
	assert.Equal(t, left, 0, "requests were sent after their callers had left")
	assert.Equal(t, lateAfterBurst, 0, "the backlog of the burst was served late")
	t.Logf("%d refusals, the longest after %v", refusals, heldBeforeRefusal)
}

// An instance without reports of others let nothing through, or everything.
func TestInstanceWithOldReportsTakesItsPart(t *testing.T) {
	g := NewGate(100)
	load := PoolLoad{Slots: 1000, Busy: 990, FreeRoom: 400, ReportAge: time.Second, Part: 0.01}
	entries := make([]*Entry, 50)
	for n := range entries {
		entries[n], _ = g.Offer(newCaller("long", Rank{}, start.Add(time.Duration(n)), 10*time.Second), load, start)
	}
	sent := 0
	for at := time.Duration(0); at < time.Second; at += modelStep {
		for _, e := range entries {
			if e != nil && g.Check(e, load, start.Add(at)).Verdict == Try {
				g.Pass(e, start.Add(at))
				sent++
				break
			}
		}
	}
	part := int(load.Part * float64(load.FreeRoom))
	assert.Assert(t, sent >= part && sent <= part+1, "%d sent of a part of %d", sent, part)
}

// Of the requests that wait, the urgent ones go first, then those of organisations within
// their share, then those that can be in time; the first come first among equals. A full
// gate drops the last in this order.
func TestOrderOfWaitingRequests(t *testing.T) {
	now := start.Add(time.Second)
	load := PoolLoad{Slots: 10, Busy: 10, Part: 1}
	order := []Caller{
		newCaller("a", Rank{Urgency: 0}, start.Add(500*time.Millisecond), 10*time.Second),
		newCaller("b", Rank{Urgency: 1}, start, 10*time.Second),
		newCaller("c", Rank{Urgency: 1}, start.Add(time.Millisecond), 10*time.Second),
		{Kind: "d", Rank: Rank{Urgency: 1}, Arrived: start, DueAt: start.Add(time.Millisecond), LeavesAt: start.Add(time.Hour)},
		newCaller("e", Rank{Urgency: 1, IsOverShare: true}, start, 10*time.Second),
	}
	g := NewGate(len(order) - 1)
	var entries []*Entry
	for n := len(order) - 1; n >= 0; n-- { // the last first, so that it is dropped
		e, _ := g.Offer(order[n], load, now)
		entries = append([]*Entry{e}, entries...)
	}
	for n, e := range entries[:len(entries)-1] {
		assert.Equal(t, g.Check(e, load, now).Ahead, n, e.Kind)
	}
	dropped := g.Check(entries[len(entries)-1], load, now)
	assert.Equal(t, dropped.Verdict, Refuse)
	assert.Equal(t, dropped.Reason, ReasonQueueFull)
}

// A request of low rank must not have more room than one of a higher rank, and each rank
// must have room at an idle target. Nobody is refused while a pool is half idle.
func TestRanksKeepTheirOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) Rank {
			return Rank{Urgency: rapid.IntRange(0, 4).Draw(t, name), IsOverShare: rapid.Bool().Draw(t, name), IsLate: rapid.Bool().Draw(t, name)}
		}
		a, b := draw("a"), draw("b")
		first := min(a.Urgency, b.Urgency)
		a.IsFirstKind, b.IsFirstKind = a.Urgency == first, b.Urgency == first
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		scale := NewScale([]int{0, 3}, []int{1, 2, 5}[:rapid.IntRange(1, 3).Draw(t, "routes")])
		a.Urgency, b.Urgency = a.Urgency%(2*len(scale.routes)), b.Urgency%(2*len(scale.routes))
		first = min(a.Urgency, b.Urgency)
		a.IsFirstKind, b.IsFirstKind = a.Urgency == first, b.Urgency == first
		if p, q := scale.EnginePriority(a), scale.EnginePriority(b); a.Urgency < b.Urgency && p >= q {
			t.Fatalf("%+v is more urgent than %+v, with engine priorities %d and %d", a, b, p, q)
		}
		if a.Urgency < b.Urgency && !a.IsOverShare && a.MaxRoom(slots).Load < b.MaxRoom(slots).Load {
			t.Fatalf("%+v has less room than %+v", a, b)
		}
		if a.MaxRoom(slots).Load < 1 || 2*a.MaxRoom(slots).Load < slots || a.Free(slots, 0, 0) < 1 {
			t.Fatalf("%+v has room for %d of %d slots", a, a.MaxRoom(slots).Load, slots)
		}
		g := NewGate(10)
		load := PoolLoad{Slots: slots, Busy: rapid.IntRange(0, (slots-1)/2).Draw(t, "busy"), Part: 1}
		_, d := g.Offer(Caller{Rank: a, Arrived: start, LeavesAt: start}, load, start)
		if d.Verdict == Refuse {
			t.Fatal("refused while the pool is half idle")
		}
	})
}

// The priority of an organisation hid that of the route: in a pool where all organisations
// have one, the urgent kind waited behind the others.
func TestScaleOrdersOrganisationsAndThenRoutes(t *testing.T) {
	scale := NewScale([]int{1, 0, 1, 1}, []int{2, 0, 2})
	var priorities []int
	for _, organisation := range []int{0, 1} {
		for _, route := range []int{0, 2} {
			r := Rank{Urgency: scale.Urgency(organisation, route)}
			priorities = append(priorities, scale.EnginePriority(r))
			r.IsLate = true
			priorities = append(priorities, scale.EnginePriority(r))
		}
	}
	assert.DeepEqual(t, priorities, []int{1, 2, 3, 4, 5, 6, 7, 8})
}

// Less urgent requests filled the queue of a target that has free slots but is behind with
// reading prompts.
func TestQueueAtATargetLeavesNoRoomForLessUrgentRequests(t *testing.T) {
	const slots, running = 16, 4
	for queue, want := range []int{3, 2, 1, 0, -1} {
		assert.Equal(t, Rank{Urgency: 1}.Free(slots, running+queue, queue), want)
		assert.Equal(t, Rank{Urgency: 1, IsLate: true}.Free(slots, running+queue, queue), want-1)
		assert.Assert(t, Rank{IsFirstKind: true}.Free(slots, running+queue, queue) > slots/2)
	}
}

// Some requests at targets that hang made all others count as too late.
func TestServiceTimeIsThatOfQuickRequests(t *testing.T) {
	g := NewGate(10)
	for n := range 400 {
		took := 100 * time.Millisecond
		if n%2 == 0 {
			took = 10 * time.Second
		}
		g.RecordService("kind", took)
	}
	assert.Assert(t, g.services["kind"] < 300*time.Millisecond, g.services["kind"])
}

// Refused callers that all come back at the same time are refused again.
func TestReturnTimesAreSpreadInOrder(t *testing.T) {
	var r ReturnTimes
	previous := time.Duration(0)
	for range 20 {
		at := r.Book(time.Second, 50*time.Millisecond, start)
		assert.Assert(t, at > previous)
		previous = at
	}
	assert.Equal(t, previous, time.Second+19*50*time.Millisecond)
	for range 1000 {
		previous = r.Book(time.Second, 50*time.Millisecond, start)
	}
	assert.Equal(t, previous, maxBookedAhead)
	assert.Equal(t, r.Book(time.Second, 50*time.Millisecond, start.Add(time.Minute)), time.Second, "old bookings count")
}

// A decision among 1,000 waiting requests takes under 50 us.
func BenchmarkCheckAmongThousand(b *testing.B) {
	g := NewGate(1000)
	load := PoolLoad{Slots: 3840, Busy: 3840, FreeRoom: 100, ReportAge: 400 * time.Millisecond, Part: 1.0 / 300}
	var last *Entry
	for n := range 1000 {
		last, _ = g.Offer(newCaller(fmt.Sprint("kind-", n%4), Rank{Urgency: n % 3}, start.Add(time.Duration(n)), time.Hour), load, start)
	}
	for b.Loop() {
		g.Check(last, load, start.Add(time.Second))
	}
}

// Waiting requests that the only target with room had refused kept all others from it.
func TestRequestsThatNeedAnotherTargetDoNotBlockOthers(t *testing.T) {
	g := NewGate(100)
	load := PoolLoad{Slots: 10, Busy: 9, FreeRoom: 1, Part: 1}
	for n := range triedTogether {
		e, _ := g.Offer(newCaller("long", Rank{}, start.Add(time.Duration(n)), time.Minute), load, start)
		assert.Equal(t, g.Check(e, load, start).Verdict, Try)
		g.SkipTargets(e)
	}
	next := newCaller("long", Rank{}, start.Add(time.Second), time.Minute)
	assert.Assert(t, g.MayPass(&next, load, start.Add(time.Second)), "a new request is held")
	e, _ := g.Offer(next, load, start.Add(time.Second))
	assert.Equal(t, g.Check(e, load, start.Add(time.Second)).Verdict, Try, "a waiting request is held")
}

// Urgent requests were refused because less urgent ones had not been let through for long.
func TestUrgentRequestsAreNotRefusedForThoseThatStandStill(t *testing.T) {
	g := NewGate(100)
	urgent, less := Rank{IsFirstKind: true}, Rank{Urgency: 1}
	load := PoolLoad{Slots: 10, Busy: 10, FreeRoom: 2, Part: 1}
	passes, _ := g.Offer(newCaller("long", less, start, time.Hour), load, start)
	_, d := g.Offer(newCaller("long", less, start, time.Hour), load, start)
	assert.Equal(t, d.Verdict, Wait)
	now := start.Add(100 * time.Millisecond)
	g.Pass(passes, now)
	for range 100 { // urgent requests are sent for ten seconds
		now = now.Add(100 * time.Millisecond)
		c := newCaller("short", urgent, now, 500*time.Millisecond)
		assert.Assert(t, g.MayPass(&c, load, now))
		g.Passed(urgent, now)
	}
	for n := range 3 {
		_, d := g.Offer(newCaller("short", urgent, now.Add(time.Duration(n)), 500*time.Millisecond), load, now)
		assert.Equal(t, d.Verdict, Wait, "the request with %d ahead, expected wait %v", d.Ahead, d.ExpectedWait)
	}
}

// The interval of an earlier time of waiting counted for the next requests that wait.
func TestIntervalIsForgottenWhenNobodyWaits(t *testing.T) {
	g := NewGate(100)
	load := PoolLoad{Slots: 10, Busy: 10, FreeRoom: 5, Part: 1}
	e, _ := g.Offer(newCaller("long", Rank{}, start, time.Hour), load, start)
	now := start.Add(10 * time.Second)
	g.Pass(e, now)
	preview := g.Preview(newCaller("long", Rank{}, now, time.Second), PoolLoad{Slots: 10, Busy: 10, Part: 1}, now)
	assert.Assert(t, preview.ExpectedWait < time.Second, preview.ExpectedWait)
	assert.Equal(t, g.refuse(Decision{}, Rank{}, ReasonQueueFull, now).ReturnAfter, time.Duration(0))
	assert.Equal(t, g.refuse(Decision{}, Rank{}, ReasonQueueFull, now).ReturnAfter, minCheckInterval)
}

// The time at which less urgent requests stood still counted for a request whose kind became
// the most urgent one while it waited.
func TestRequestWhoseRankChangesWaitsWithItsNewKind(t *testing.T) {
	g := NewGate(100)
	load := PoolLoad{Slots: 10, Busy: 10, FreeRoom: 1, Part: 1}
	less, urgent := Rank{Urgency: 1}, Rank{Urgency: 1, IsFirstKind: true}
	passes, _ := g.Offer(newCaller("long", less, start, time.Hour), load, start)
	e, _ := g.Offer(newCaller("long", less, start, time.Hour), load, start)
	g.Pass(passes, start.Add(time.Second))
	now := start.Add(time.Minute)
	g.SetRank(e, urgent, now)
	next := newCaller("long", urgent, now, time.Hour)
	assert.Assert(t, g.Preview(next, PoolLoad{Slots: 10, Busy: 10, Part: 1}, now).ExpectedWait < time.Second)
	g.SetRank(e, less, now)
	_, stale := g.passes[true]
	assert.Assert(t, !stale, "the times of a kind of which nobody waits are kept")
	assert.Equal(t, g.passes[false].last, now)
}
