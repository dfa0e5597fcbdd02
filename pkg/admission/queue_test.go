package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

type harness struct {
	*Queue
	t       assert.TestingT
	running []*Ticket
	served  map[string]int64
	shed    map[string]int
}

func newHarness(t assert.TestingT, slots, limit int) *harness {
	h := &harness{Queue: NewQueue(), t: t, served: make(map[string]int64), shed: make(map[string]int)}
	h.Configure(slots, limit, start)
	return h
}

func (h *harness) offer(organisation string, weight, priority int, tokens int64, now time.Time) (*Ticket, Outcome) {
	var ticket *Ticket
	notify := func(outcome Outcome) {
		if outcome == Admitted {
			h.running = append(h.running, ticket)
			h.served[organisation] += tokens
			return
		}
		h.shed[organisation]++
	}
	var outcome Outcome
	ticket, outcome, _ = h.Offer(Request{
		Organisation: organisation, Weight: weight, Priority: priority, Tokens: tokens,
		Deadline: now.Add(time.Minute), Notify: notify,
	}, now)
	if outcome == Admitted {
		h.running = append(h.running, ticket)
		h.served[organisation] += tokens
	}
	return ticket, outcome
}

func (h *harness) finish(now time.Time) *Ticket {
	t := h.running[0]
	h.running = h.running[1:]
	h.Release(t, -1, now)
	return t
}

// Guards against an organisation that gets more than its weight, whether by
// many requests or by large ones.
func TestFairInTokens(t *testing.T) {
	h := newHarness(t, 4, 1000)
	for range 300 {
		h.offer("many", 1, 0, 10, start)
		h.offer("large", 1, 0, 100, start)
		h.offer("double", 2, 0, 50, start)
	}
	for range 180 {
		h.finish(start)
	}
	unit := float64(h.served["many"])
	assert.Assert(t, float64(h.served["large"]) < 1.2*unit && float64(h.served["large"]) > 0.8*unit, "%v", h.served)
	assert.Assert(t, float64(h.served["double"]) < 2.4*unit && float64(h.served["double"]) > 1.6*unit, "%v", h.served)
}

// Guards against an organisation that saves up a right to a burst while idle.
func TestIdleSavesNothing(t *testing.T) {
	h := newHarness(t, 1, 1000)
	for range 100 {
		h.offer("busy", 1, 0, 10, start)
	}
	for range 50 {
		h.finish(start)
	}
	h.served = make(map[string]int64)
	for range 50 {
		h.offer("idle", 1, 0, 10, start)
	}
	for range 40 {
		h.finish(start)
	}
	assert.Assert(t, h.served["idle"] <= 210 && h.served["busy"] >= 190, "%v", h.served)
}

// Guards against shedding an organisation within its share, or refusing it,
// while another fills the queue.
func TestOverloadShedsFurthestOver(t *testing.T) {
	h := newHarness(t, 2, 10)
	for range 12 {
		h.offer("flood", 1, 0, 10, start)
	}
	_, outcome := h.offer("flood", 1, 0, 10, start)
	assert.Equal(t, outcome, QueueFull)
	for range 5 {
		_, outcome = h.offer("small", 1, 0, 10, start)
		assert.Equal(t, outcome, Waiting)
	}
	assert.Equal(t, h.Len(), 10)
	assert.DeepEqual(t, h.shed, map[string]int{"flood": 5})
}

// Guards against starvation by a steady stream of higher priority.
func TestPriorityDoesNotStarve(t *testing.T) {
	h := newHarness(t, 1, 1000)
	h.offer("a", 1, 0, 10, start)
	low, _ := h.offer("a", 1, 0, 10, start)
	high, _ := h.offer("a", 1, 1, 10, start)
	h.finish(start)
	assert.Equal(t, h.running[0], high)
	now := start
	for h.running[0] != low {
		now = now.Add(100 * time.Millisecond)
		h.offer("a", 1, 1, 10, now)
		h.finish(now)
		assert.Assert(t, now.Sub(start) <= priorityStep+time.Second)
	}
}

// Guards against queueing a request that cannot start before its deadline, and
// against running one whose deadline has passed.
func TestDeadline(t *testing.T) {
	h := newHarness(t, 1, 1000)
	h.offer("a", 1, 0, 100, start)
	h.finish(start.Add(10 * time.Second)) // 10 tokens/s
	now := start.Add(10 * time.Second)
	h.offer("a", 1, 0, 100, now)
	for range 6 {
		_, outcome := h.offer("a", 1, 0, 100, now)
		assert.Equal(t, outcome, Waiting)
	}
	_, outcome := h.offer("a", 1, 0, 100, now)
	assert.Equal(t, outcome, MissesDeadline)
	_, outcome = h.offer("b", 1, 0, 100, now) // its share comes sooner
	assert.Equal(t, outcome, Waiting)
	h.finish(now.Add(2 * time.Minute))
	assert.Equal(t, h.Len(), 0)
	assert.Equal(t, len(h.running), 0)
}

// Guards the accounts under any order of operations: slots and queue are never
// exceeded, nothing waits while a slot is free, and nothing is left behind.
func TestQueueAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, 3, 5)
		var tickets []*Ticket
		now := start
		for range 60 {
			now = now.Add(10 * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				org := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "organisation"))
				if ticket, _ := h.offer(org, 1, 0, int64(rapid.IntRange(1, 50).Draw(t, "tokens")), now); ticket != nil {
					tickets = append(tickets, ticket)
				}
			case 2:
				if len(h.running) > 0 {
					h.finish(now)
				}
			case 3:
				if len(tickets) > 0 {
					h.Cancel(tickets[rapid.IntRange(0, len(tickets)-1).Draw(t, "ticket")])
				}
			}
			assert.Assert(t, h.held == len(h.running) && h.held <= 3 && h.Len() <= 5)
			assert.Assert(t, h.held == 3 || h.Len() == 0)
		}
		for _, ticket := range tickets {
			h.Cancel(ticket)
		}
		for len(h.running) > 0 {
			h.finish(now)
		}
		assert.Equal(t, h.queued, int64(0))
		for _, o := range h.orgs {
			assert.Assert(t, o.queued == 0 && o.running == 0 && o.held == 0)
		}
	})
}
