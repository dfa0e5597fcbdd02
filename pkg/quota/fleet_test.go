package quota

import (
	"encoding/binary"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testOrg = "org"

// model is a fleet of instances with simulated leases and messages. Leases
// change holder by the rules of the lease controller: at once after a crash or
// hand-back, else after the lease and modelGuard.
type model struct {
	nodes        []*node
	owner        []int           // node by share
	expiry       []time.Duration // of leases, by share
	fence        []uint64        // by share
	now          time.Duration
	nextID       uint64
	messages     []message // in transit
	spends       []*spend
	limits       []Limit // by generation - 1
	limitPeriods []limitPeriod
	edits        bool // rate and burst may change
	pauses       bool // processes may be paused
}

// node is one instance.
type node struct {
	ledger     *Ledger
	offset     time.Duration // boot clocks differ between machines
	paused     bool
	generation int        // of the limits in force
	open       []*request // reserved and not settled
}

// request is a request of a caller.
type request struct {
	ledger      *Ledger
	reservation Reservation
	spend       *spend // nil before Commit
}

// spend is the tokens of a committed request.
type spend struct {
	at     time.Duration
	amount float64
}

// message is a message between nodes. One of transfer, grant and ret is set.
type message struct {
	from, to int
	transfer *Request
	grant    *Grant
	ret      *Return
	caller   *request // that a loan is for; nil for a move
}

// limitPeriod is the time in which a node enforces the limits of a generation.
// While it lasts, to is minus the number of the node, from 1.
type limitPeriod struct {
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

// local returns the time on the clock of a node.
func (m *model) local(n int) time.Duration { return m.now + m.nodes[n].offset }

// start replaces a node's process by a new one without shares.
func (m *model) start(n int) {
	m.nodes[n].ledger, m.nodes[n].open, m.nodes[n].paused = NewLedger(), nil, false
	m.endLimitPeriod(n)
	m.nodes[n].generation = 0
	m.configure(n)
}

// endLimitPeriod ends the current limit period of a node. Its loans may be
// spent for LoanHold more.
func (m *model) endLimitPeriod(n int) {
	g := m.nodes[n].generation
	for i := range m.limitPeriods {
		if g > 0 && m.limitPeriods[i].generation == g && m.limitPeriods[i].to == -time.Duration(n+1) {
			m.limitPeriods[i].to = m.now + LoanHold
		}
	}
}

// configure applies the newest limits on a node.
func (m *model) configure(n int) {
	m.endLimitPeriod(n)
	m.nodes[n].generation = len(m.limits)
	m.limitPeriods = append(m.limitPeriods, limitPeriod{m.now, -time.Duration(n + 1), len(m.limits)})
	m.nodes[n].ledger.Configure(uint64(len(m.limits)), 4, m.limits[len(m.limits)-1:], m.local(n))
}

// renew starts or renews the lease of a share on its owner.
func (m *model) renew(share int, tokens map[string]float64) {
	n := m.owner[share]
	m.expiry[share] = m.now + modelLease
	m.nodes[n].ledger.ApplyLease(Lease{share, m.fence[share], m.local(n) + modelLease}, tokens, m.local(n))
}

// newID returns an unused transfer ID.
func (m *model) newID() (id TransferID) {
	m.nextID++
	binary.BigEndian.PutUint64(id[:], m.nextID)
	return id
}

// step does one random operation.
func (m *model) step(t *rapid.T) {
	n := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")
	share := rapid.IntRange(0, len(m.owner)-1).Draw(t, "share")
	running := !m.nodes[n].paused
	switch op := rapid.IntRange(0, 19).Draw(t, "op"); {
	case op < 3:
		m.advance(t, time.Duration(rapid.IntRange(1, 400).Draw(t, "ms"))*time.Millisecond)
	case op == 3:
		m.advance(t, rapid.SampledFrom([]time.Duration{time.Second, 5 * time.Second, 12 * time.Second, 25 * time.Second}).Draw(t, "s"))
	case op < 8 && running:
		m.spend(t, n)
	case op < 10 && running:
		m.settle(t, n)
	case op < 13:
		m.deliver(t)
	case op == 13 && running:
		to := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "to")
		if move, ok := m.nodes[n].ledger.PrepareMove(testOrg, m.newID(), 1, m.local(n)); ok {
			m.messages = append(m.messages, message{from: n, to: to, transfer: &move})
		}
	case op == 14:
		m.takeOver(n, share)
	case op == 15 && !m.nodes[m.owner[share]].paused:
		m.renew(share, nil)
	case op == 16 && m.pauses:
		m.nodes[n].paused = !m.nodes[n].paused
	case op == 17 && m.edits:
		m.limits = append(m.limits, Limit{testOrg, float64(rapid.IntRange(1, 30).Draw(t, "rate")), float64(rapid.IntRange(10, 300).Draw(t, "burst"))})
	case op == 18 && running && m.nodes[n].generation < len(m.limits):
		m.configure(n)
	case op == 19 && rapid.Bool().Draw(t, "drain"):
		m.drain(t)
	case op == 19:
		m.crashOrHandBack(t, n)
	}
}

// advance advances the clock. In seven of eight cases the owners that are not
// paused renew their leases.
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

// spend reserves tokens on a node and requests missing ones from all others.
func (m *model) spend(t *rapid.T, n int) {
	r := &request{ledger: m.nodes[n].ledger, reservation: m.nodes[n].ledger.Reserve(testOrg, rapid.SampledFrom([]float64{1, 10, 25, 50, 100}).Draw(t, "cost"), m.local(n))}
	m.nodes[n].open = append(m.nodes[n].open, r)
	if r.reservation.MissingTokens() > 0 {
		for to := range m.nodes {
			if to != n {
				loan := r.reservation.NewLoanRequest("peer", m.newID(), m.local(n))
				m.messages = append(m.messages, message{from: n, to: to, transfer: &loan, caller: r})
			}
		}
	}
	m.commit(n, r)
}

// commit records a spend if the request may run.
func (m *model) commit(n int, r *request) {
	if r.spend == nil && r.reservation.Cost > 0 && r.reservation.Commit(m.local(n)) {
		r.spend = &spend{m.now, r.reservation.Cost}
		m.spends = append(m.spends, r.spend)
	}
}

// settle ends an open request of a node, with none, half or all of its tokens
// unused.
func (m *model) settle(t *rapid.T, n int) {
	open := m.nodes[n].open
	if len(open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(open)-1).Draw(t, "request")
	r := open[i]
	m.nodes[n].open = append(open[:i:i], open[i+1:]...)
	unused := r.reservation.Cost
	if r.spend != nil {
		unused = r.reservation.Cost * rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "unused")
		r.spend.amount -= unused
	}
	for _, ret := range r.reservation.Settle(unused, m.local(n)) {
		for to := range m.nodes { // addresses are not modelled: only the lender knows the ID
			m.messages = append(m.messages, message{from: n, to: to, ret: &ret.Return})
		}
	}
}

// drain spends all tokens that the fleet can spend at this instant, so that
// tokens that should not exist appear as an overshoot.
func (m *model) drain(t *rapid.T) {
	settle := rapid.Bool().Draw(t, "settle")
	for n, node := range m.nodes {
		node.paused = false
		if !settle {
			continue
		}
		for _, r := range node.open {
			if r.spend != nil {
				r.spend.amount = 0
			}
			for _, ret := range r.reservation.Abort(m.local(n)) {
				for to := range m.nodes {
					m.messages = append(m.messages, message{from: n, to: to, ret: &ret.Return})
				}
			}
		}
		node.open = nil
	}
	for range 3 { // also delivers responses and repeats messages
		for _, msg := range m.messages {
			m.handle(msg)
		}
	}
	for n, node := range m.nodes {
		r := &request{ledger: node.ledger, reservation: node.ledger.Reserve(testOrg, node.ledger.Balance(testOrg, m.local(n)), m.local(n))}
		node.open = append(node.open, r)
		m.commit(n, r)
	}
}

// deliver delivers a random message. It may be lost, or delivered again later.
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

// handle processes a message on its receiver, unless that is paused.
func (m *model) handle(msg message) {
	to := m.nodes[msg.to]
	if to.paused {
		return
	}
	switch {
	case msg.transfer != nil:
		grant := to.ledger.HandleRequest(*msg.transfer, m.local(msg.to))
		m.messages = append(m.messages, message{from: msg.to, to: msg.from, grant: &grant, caller: msg.caller})
	case msg.grant != nil && msg.caller == nil:
		to.ledger.CompleteMove(testOrg, msg.grant.ID, msg.grant.Amount, m.local(msg.to))
	case msg.grant != nil:
		if msg.caller.ledger != to.ledger {
			return // the borrower has crashed since then
		}
		msg.caller.reservation.ApplyGrant(*msg.grant, m.local(msg.to))
		m.commit(msg.to, msg.caller)
	case msg.ret != nil:
		to.ledger.HandleReturn(*msg.ret, m.local(msg.to))
	}
}

// takeOver moves a share whose lease has expired to a node.
func (m *model) takeOver(n, share int) {
	if m.nodes[n].paused || m.now < m.expiry[share]+modelGuard {
		return
	}
	m.owner[share] = n
	m.fence[share]++
	m.renew(share, nil)
}

// crashOrHandBack restarts a node and moves its shares to the next holder, with
// their tokens if the node did not crash.
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
		// After the lease another node may hold the share, so no tokens are
		// handed back.
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

// overshoot returns by how many tokens the spends exceed a single token bucket
// with the largest rate and burst in force at each instant. Zero means that the
// spends in every window are at most burst plus rate times its length.
func (m *model) overshoot() float64 {
	type point struct {
		at     time.Duration
		amount float64
	}
	var points []point
	for _, s := range m.spends {
		points = append(points, point{s.at, s.amount})
	}
	for _, f := range m.limitPeriods {
		points = append(points, point{f.from, 0})
		if f.to >= 0 {
			points = append(points, point{f.to, 0})
		}
	}
	sort.SliceStable(points, func(i, j int) bool { return points[i].at < points[j].at })
	level, last, overshoot := 1e9, time.Duration(0), 0.0
	rate, burst := m.largestLimit(0)
	for _, p := range points {
		level = min(burst, level+rate*(p.at-last).Seconds())
		last = p.at
		before := burst
		rate, burst = m.largestLimit(p.at)
		level = min(burst, level+max(0, burst-before))
		level -= p.amount
		overshoot = max(overshoot, -level)
	}
	return overshoot
}

// largestLimit returns the largest rate and burst that a node enforces at an
// instant.
func (m *model) largestLimit(at time.Duration) (rate, burst float64) {
	for _, f := range m.limitPeriods {
		if f.from <= at && (f.to < 0 || at <= f.to) {
			rate = max(rate, m.limits[f.generation-1].Rate)
			burst = max(burst, m.limits[f.generation-1].Burst)
		}
	}
	return rate, burst
}

// An organisation must not spend more than burst plus rate times length in any
// window. The test runs random sequences of spends, transfers, lost and
// repeated messages, takeovers, pauses, crashes, hand-backs and limit changes.
func TestFleetNeverExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			m.step(t)
		}
		m.drain(t)
		if over := m.overshoot(); over > 1e-6 {
			t.Fatalf("the fleet exceeded the limit by %g tokens", over)
		}
	})
}
