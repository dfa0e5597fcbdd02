package quota

import (
	"encoding/binary"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testOrg = "org"

// model is a fleet whose leases are moved by the rules that the lease controller
// must keep: after a crash at once, else after the lease and a guard.
type model struct {
	nodes    []*node
	owner    []int // share -> node
	expiry   []time.Duration
	fence    []uint64
	now      time.Duration
	nextID   uint64
	messages []message
	spends   []*spend
	limits   []Limit // by generation - 1
	inForce  []applied
	edits    bool // rate and burst change
	pauses   bool
}

type node struct {
	ledger     *Ledger
	offset     time.Duration // boot clocks differ between machines
	paused     bool
	generation int
	open       []*work
}

type work struct {
	ledger *Ledger
	r      Reservation
	spend  *spend // nil before the commit
}

type spend struct {
	at     time.Duration
	amount float64
}

type message struct {
	from, to int
	request  *Request
	grant    *Grant
	ret      *Return
	work     *work
}

type applied struct {
	from, to   time.Duration
	generation int
}

const (
	modelLease = 20 * time.Second
	modelGuard = time.Second
)

func newModel(t *rapid.T) *model {
	m := &model{limits: []Limit{{testOrg, 10, 100}}}
	m.edits = rapid.IntRange(0, 3).Draw(t, "edits") == 0
	m.pauses = rapid.Bool().Draw(t, "pauses")
	for i := range rapid.IntRange(1, 3).Draw(t, "nodes") {
		m.nodes = append(m.nodes, &node{offset: time.Duration(i*7) * time.Hour})
		m.start(i)
	}
	for share := range 4 {
		m.owner = append(m.owner, share%len(m.nodes))
		m.expiry = append(m.expiry, 0)
		m.fence = append(m.fence, 1)
		m.renew(share, map[string]float64{testOrg: 25})
	}
	return m
}

func (m *model) local(n int) time.Duration { return m.now + m.nodes[n].offset }

func (m *model) start(n int) {
	m.nodes[n].ledger, m.nodes[n].open, m.nodes[n].paused = NewLedger(), nil, false
	m.endForce(n)
	m.nodes[n].generation = 0
	m.configure(n)
}

func (m *model) endForce(n int) {
	g := m.nodes[n].generation
	for i := range m.inForce {
		if g > 0 && m.inForce[i].generation == g && m.inForce[i].to == -time.Duration(n+1) {
			m.inForce[i].to = m.now + LoanHold
		}
	}
}

func (m *model) configure(n int) {
	m.endForce(n)
	m.nodes[n].generation = len(m.limits)
	m.inForce = append(m.inForce, applied{m.now, -time.Duration(n + 1), len(m.limits)})
	m.nodes[n].ledger.Configure(uint64(len(m.limits)), 4, m.limits[len(m.limits)-1:], m.local(n))
}

func (m *model) renew(share int, tokens map[string]float64) {
	n := m.owner[share]
	m.expiry[share] = m.now + modelLease
	m.nodes[n].ledger.ApplyLease(Lease{share, m.fence[share], m.local(n) + modelLease}, tokens, m.local(n))
}

func (m *model) id() (id TransferID) {
	m.nextID++
	binary.BigEndian.PutUint64(id[:], m.nextID)
	return id
}

func (m *model) step(t *rapid.T) {
	n := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")
	share := rapid.IntRange(0, len(m.owner)-1).Draw(t, "share")
	awake := !m.nodes[n].paused
	switch op := rapid.IntRange(0, 19).Draw(t, "op"); {
	case op < 3:
		m.advance(t, time.Duration(rapid.IntRange(1, 400).Draw(t, "ms"))*time.Millisecond)
	case op == 3:
		m.advance(t, rapid.SampledFrom([]time.Duration{time.Second, 5 * time.Second, 12 * time.Second, 25 * time.Second}).Draw(t, "s"))
	case op < 8 && awake:
		m.spend(t, n)
	case op < 10 && awake:
		m.settle(t, n)
	case op < 13:
		m.deliver(t)
	case op == 13 && awake:
		to := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "to")
		if request, ok := m.nodes[n].ledger.PrepareMove(testOrg, m.id(), 1, m.local(n)); ok {
			m.messages = append(m.messages, message{from: n, to: to, request: &request})
		}
	case op == 14:
		m.takeOver(n, share)
	case op == 15 && !m.nodes[m.owner[share]].paused:
		m.renew(share, nil)
	case op == 16 && m.pauses:
		m.nodes[n].paused = !m.nodes[n].paused
	case op == 17 && m.edits:
		m.limits = append(m.limits, Limit{testOrg, float64(rapid.IntRange(1, 30).Draw(t, "rate")), float64(rapid.IntRange(10, 300).Draw(t, "burst"))})
	case op == 18 && awake && m.nodes[n].generation < len(m.limits):
		m.configure(n)
	case op == 19 && rapid.Bool().Draw(t, "drain"):
		m.drain(t)
	case op == 19:
		m.crashOrHandBack(t, n)
	}
}

// advance lets time pass. In most cases the holders that run renew in time.
func (m *model) advance(t *rapid.T, d time.Duration) {
	m.now += d
	if rapid.IntRange(0, 7).Draw(t, "renew") == 0 {
		return
	}
	for share, n := range m.owner {
		if !m.nodes[n].paused {
			m.renew(share, nil)
		}
	}
}

func (m *model) spend(t *rapid.T, n int) {
	w := &work{ledger: m.nodes[n].ledger, r: m.nodes[n].ledger.Reserve(testOrg, rapid.SampledFrom([]float64{1, 10, 25, 50, 100}).Draw(t, "cost"), m.local(n))}
	m.nodes[n].open = append(m.nodes[n].open, w)
	if w.r.MissingTokens() > 0 {
		for to := range m.nodes {
			if to != n {
				request := w.r.NewLoanRequest("peer", m.id(), m.local(n))
				m.messages = append(m.messages, message{from: n, to: to, request: &request, work: w})
			}
		}
	}
	m.commit(n, w)
}

func (m *model) commit(n int, w *work) {
	if w.spend == nil && w.r.Cost > 0 && w.r.Commit(m.local(n)) {
		w.spend = &spend{m.now, w.r.Cost}
		m.spends = append(m.spends, w.spend)
	}
}

func (m *model) settle(t *rapid.T, n int) {
	open := m.nodes[n].open
	if len(open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(open)-1).Draw(t, "work")
	w := open[i]
	m.nodes[n].open = append(open[:i:i], open[i+1:]...)
	unused := w.r.Cost
	if w.spend != nil {
		unused = w.r.Cost * rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "unused")
		w.spend.amount -= unused
	}
	for _, ret := range w.r.Settle(unused, m.local(n)) {
		for to := range m.nodes { // the address is not modelled: only the lender knows the id
			m.messages = append(m.messages, message{from: n, to: to, ret: &ret.Return})
		}
	}
}

// drain spends all that the fleet can spend at this instant, so that tokens that
// should not exist become an overshoot.
func (m *model) drain(t *rapid.T) {
	settle := rapid.Bool().Draw(t, "settle")
	for n, node := range m.nodes {
		node.paused = false
		if !settle {
			continue
		}
		for _, w := range node.open {
			if w.spend != nil {
				w.spend.amount = 0
			}
			for _, ret := range w.r.Abort(m.local(n)) {
				for to := range m.nodes {
					m.messages = append(m.messages, message{from: n, to: to, ret: &ret.Return})
				}
			}
		}
		node.open = nil
	}
	for range 3 { // repeated messages, and answers to them
		for _, msg := range m.messages {
			m.handle(msg)
		}
	}
	for n, node := range m.nodes {
		w := &work{ledger: node.ledger, r: node.ledger.Reserve(testOrg, node.ledger.Balance(testOrg, m.local(n)), m.local(n))}
		node.open = append(node.open, w)
		m.commit(n, w)
	}
}

// deliver handles one message in any order; it may lose it or repeat it later.
func (m *model) deliver(t *rapid.T) {
	if len(m.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
	msg := m.messages[i]
	fate := rapid.IntRange(0, 15).Draw(t, "fate")
	if fate != 0 {
		m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
	}
	if fate != 1 {
		m.handle(msg)
	}
}

func (m *model) handle(msg message) {
	to := m.nodes[msg.to]
	if to.paused {
		return
	}
	switch {
	case msg.request != nil:
		grant := to.ledger.HandleRequest(*msg.request, m.local(msg.to))
		m.messages = append(m.messages, message{from: msg.to, to: msg.from, grant: &grant, work: msg.work})
	case msg.grant != nil && msg.work == nil:
		to.ledger.CompleteMove(testOrg, msg.grant.ID, msg.grant.Amount, m.local(msg.to))
	case msg.grant != nil:
		if msg.work.ledger != to.ledger {
			return // the borrower has crashed since
		}
		msg.work.r.ApplyGrant(*msg.grant, m.local(msg.to))
		m.commit(msg.to, msg.work)
	case msg.ret != nil:
		to.ledger.HandleReturn(*msg.ret, m.local(msg.to))
	}
}

func (m *model) takeOver(n, share int) {
	if m.nodes[n].paused || m.now < m.expiry[share]+modelGuard {
		return
	}
	m.owner[share] = n
	m.fence[share]++
	m.renew(share, nil)
}

func (m *model) crashOrHandBack(t *rapid.T, n int) {
	next := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "next")
	crash := rapid.Bool().Draw(t, "crash")
	if (!crash && m.nodes[n].paused) || m.nodes[next].paused && next != n {
		return
	}
	var moved []int
	var tokens []map[string]float64
	for share, owner := range m.owner {
		if owner != n {
			continue
		}
		moved = append(moved, share)
		left := map[string]float64(nil)
		// After the lease the record says nothing of who holds the share.
		if !crash && m.now < m.expiry[share] {
			left = m.nodes[n].ledger.ReleaseShare(share, m.local(n))
		}
		tokens = append(tokens, left)
	}
	m.start(n)
	for i, share := range moved {
		m.owner[share] = next
		m.fence[share]++
		m.renew(share, tokens[i])
	}
}

// overshoot returns by how much the spends exceed one bucket with the largest
// rate and burst in force at each instant. Zero means that no window has more
// than its burst plus rate times its length.
func (m *model) overshoot() float64 {
	type point struct {
		at     time.Duration
		amount float64
	}
	var points []point
	for _, s := range m.spends {
		points = append(points, point{s.at, s.amount})
	}
	for _, f := range m.inForce {
		points = append(points, point{f.from, 0})
		if f.to >= 0 {
			points = append(points, point{f.to, 0})
		}
	}
	sort.SliceStable(points, func(i, j int) bool { return points[i].at < points[j].at })
	level, last, worst := 1e9, time.Duration(0), 0.0
	rate, burst := m.largest(0)
	for _, p := range points {
		level = min(burst, level+rate*(p.at-last).Seconds())
		last = p.at
		before := burst
		rate, burst = m.largest(p.at)
		level = min(burst, level+max(0, burst-before))
		level -= p.amount
		worst = max(worst, -level)
	}
	return worst
}

func (m *model) largest(at time.Duration) (rate, burst float64) {
	for _, f := range m.inForce {
		if f.from <= at && (f.to < 0 || at <= f.to) {
			rate = max(rate, m.limits[f.generation-1].Rate)
			burst = max(burst, m.limits[f.generation-1].Burst)
		}
	}
	return rate, burst
}

// Guards against any order of refills, spends, transfers, lost and repeated
// messages, takeovers, pauses, crashes, hand-backs and rate changes that lets an
// organisation spend more than burst plus rate times time in some window.
func TestFleetNeverExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			m.step(t)
		}
		m.drain(t)
		if over := m.overshoot(); over > 1e-6 {
			t.Fatalf("overshoot of %g tokens", over)
		}
	})
}
