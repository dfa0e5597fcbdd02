package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var startTime = time.Unix(1_000_000, 0)

// harness is a queue that records its decisions.
type harness struct {
	*Queue
	t              assert.TestingT
	running        []*Ticket        // in order of admission
	admittedTokens map[string]int64 // by organisation
	refused        map[string]int   // waiting requests by organisation
}

func newHarness(t assert.TestingT, slots, limit int) *harness {
	h := &harness{Queue: NewQueue(), t: t, admittedTokens: make(map[string]int64), refused: make(map[string]int)}
	h.Configure(slots, limit, startTime)
	return h
}

// offer offers a request with a deadline in a minute.
func (h *harness) offer(organisation string, weight, priority int, tokens int64, now time.Time) (*Ticket, Outcome) {
	var ticket *Ticket
	notify := func(outcome Outcome) {
		if outcome == Admitted {
			h.running = append(h.running, ticket)
			h.admittedTokens[organisation] += tokens
			return
		}
		h.refused[organisation]++
	}
	var outcome Outcome
	ticket, outcome, _ = h.Offer(Request{
		Organisation: organisation, Weight: weight, Priority: priority, Tokens: tokens,
		Deadline: now.Add(time.Minute), Notify: notify,
	}, now)
	if outcome == Admitted {
		h.running = append(h.running, ticket)
		h.admittedTokens[organisation] += tokens
	}
	return ticket, outcome
}

// releaseOldest releases the request that was admitted first.
func (h *harness) releaseOldest(now time.Time) *Ticket {
	t := h.running[0]
	h.running = h.running[1:]
	h.Release(t, -1, now)
	return t
}

// Fairness by requests instead of tokens would let an organisation get more
// than its weight by sending large requests, and others would wait longer.
func TestTokensAreSharedByWeight(t *testing.T) {
	h := newHarness(t, 4, 1000)
	for range 300 {
		h.offer("many", 1, 0, 10, startTime)
		h.offer("large", 1, 0, 100, startTime)
		h.offer("double", 2, 0, 50, startTime)
	}
	for range 180 {
		h.releaseOldest(startTime)
	}
	unit := float64(h.admittedTokens["many"])
	assert.Assert(t, float64(h.admittedTokens["large"]) < 1.2*unit && float64(h.admittedTokens["large"]) > 0.8*unit, "%v", h.admittedTokens)
	assert.Assert(t, float64(h.admittedTokens["double"]) < 2.4*unit && float64(h.admittedTokens["double"]) > 1.6*unit, "%v", h.admittedTokens)
}

// An organisation whose virtual time stood still while it was idle would be
// served alone on its return, and all others would wait.
func TestIdleOrganisationGainsNoCredit(t *testing.T) {
	h := newHarness(t, 1, 1000)
	for range 100 {
		h.offer("busy", 1, 0, 10, startTime)
	}
	for range 50 {
		h.releaseOldest(startTime)
	}
	h.admittedTokens = make(map[string]int64)
	for range 50 {
		h.offer("idle", 1, 0, 10, startTime)
	}
	for range 40 {
		h.releaseOldest(startTime)
	}
	assert.Assert(t, h.admittedTokens["idle"] <= 210 && h.admittedTokens["busy"] >= 190, "%v", h.admittedTokens)
}

// When one organisation fills the queue, its requests must be refused, and not
// those of an organisation within its fair share.
func TestOverloadShedsLargestOrganisation(t *testing.T) {
	h := newHarness(t, 2, 10)
	for range 12 {
		h.offer("flood", 1, 0, 10, startTime)
	}
	_, outcome := h.offer("flood", 1, 0, 10, startTime)
	assert.Equal(t, outcome, QueueFull)
	for range 5 {
		_, outcome = h.offer("small", 1, 0, 10, startTime)
		assert.Equal(t, outcome, Waiting)
	}
	assert.Equal(t, h.Len(), 10)
	assert.DeepEqual(t, h.refused, map[string]int{"flood": 5})
}

// A steady stream of requests with higher priority must not keep one with low
// priority waiting until its deadline.
func TestPriorityDoesNotStarve(t *testing.T) {
	h := newHarness(t, 1, 1000)
	h.offer("a", 1, 0, 10, startTime)
	low, _ := h.offer("a", 1, 0, 10, startTime)
	high, _ := h.offer("a", 1, 1, 10, startTime)
	h.releaseOldest(startTime)
	assert.Equal(t, h.running[0], high)
	now := startTime
	for h.running[0] != low {
		now = now.Add(100 * time.Millisecond)
		h.offer("a", 1, 1, 10, now)
		h.releaseOldest(now)
		assert.Assert(t, now.Sub(startTime) <= priorityStep+time.Second)
	}
}

// A request that would start after its deadline must be refused when it
// arrives, not after the caller has waited in vain. One whose deadline passes
// in the queue must not take a slot.
func TestDeadline(t *testing.T) {
	h := newHarness(t, 1, 1000)
	h.offer("a", 1, 0, 100, startTime)
	h.releaseOldest(startTime.Add(10 * time.Second)) // makes the throughput 10 tokens/s
	now := startTime.Add(10 * time.Second)
	h.offer("a", 1, 0, 100, now)
	for range 6 {
		_, outcome := h.offer("a", 1, 0, 100, now)
		assert.Equal(t, outcome, Waiting)
	}
	_, outcome := h.offer("a", 1, 0, 100, now)
	assert.Equal(t, outcome, MissesDeadline)
	_, outcome = h.offer("b", 1, 0, 100, now) // its fair share allows it to start sooner
	assert.Equal(t, outcome, Waiting)
	h.releaseOldest(now.Add(2 * time.Minute))
	assert.Equal(t, h.Len(), 0)
	assert.Equal(t, len(h.running), 0)
}

// A counter that drifts would, under some order of operations, exceed the slots
// or the queue limit, leave requests waiting beside a free slot, or leak slots.
func TestQueueCountersStayConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, 3, 5)
		var tickets []*Ticket
		now := startTime
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
					h.releaseOldest(now)
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
			h.releaseOldest(now)
		}
		assert.Equal(t, h.queued, int64(0))
		for _, o := range h.orgs {
			assert.Assert(t, o.queued == 0 && o.running == 0 && o.held == 0)
		}
	})
}
