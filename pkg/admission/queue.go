// Package admission decides which requests of a pool may run, wait or must be
// refused. It does no I/O; the caller passes the time in.
//
// Organisations share a pool by start-time fair queueing: each has a virtual
// time that advances by tokens divided by weight with each admitted request,
// and the organisation with the lowest goes first. Deficit round robin was not
// used because costs differ by a factor of several hundred: its quantum must
// cover the largest request, so a small organisation would wait for whole
// quanta of each other one. Virtual time is exact to one request, and a scan
// over the waiting organisations is cheap at the sizes in the design.
package admission

import (
	"slices"
	"time"
)

// Outcome is the decision about a request.
type Outcome int

// Outcomes.
const (
	Waiting        Outcome = iota // the decision comes later, by Request.Notify
	Admitted                      // it holds a slot until Release
	QueueFull                     // refused: the queue is full and its organisation is furthest over its share
	MissesDeadline                // refused: it cannot start before its deadline
)

// Request asks for a slot.
type Request struct {
	Organisation string
	Weight       int
	Priority     int // orders the requests of one organisation only
	Tokens       int64
	Deadline     time.Time
	// Notify gets the outcome of a request that had to wait, once. It must not
	// call the queue.
	Notify func(Outcome)
}

// Ticket is a request that waits or runs.
type Ticket struct {
	Request
	org     *organisation
	order   time.Time // waiting requests of an organisation run in this order
	started time.Time
	state   Outcome
	ended   bool
}

// organisation is one organisation's part of a queue.
type organisation struct {
	name    string
	weight  float64
	virtual float64 // start tag of its next request
	waiting []*Ticket
	queued  int64 // tokens
	running int64 // tokens
	held    int   // slots
}

// priorityStep is how much earlier a request counts as having arrived for each
// level of priority. As it is finite, a request of low priority runs at the
// latest after that time, and does not starve.
const priorityStep = 2 * time.Second

// smoothing is the weight of the latest request in the moving averages.
const smoothing = 0.1

// Queue is the queue of one pool. It is not safe for concurrent use.
type Queue struct {
	limit   int
	slots   int
	held    int
	length  int
	queued  int64
	virtual float64
	orgs    map[string]*organisation
	// Moving averages over released requests; zero until there are any.
	meanHold, meanTokens float64
}

// NewQueue returns an empty queue without slots.
func NewQueue() *Queue { return &Queue{orgs: make(map[string]*organisation)} }

// Configure sets the number of slots and of waiting requests, and admits what fits.
func (q *Queue) Configure(slots, limit int, now time.Time) {
	q.slots, q.limit = slots, limit
	q.dispatch(now)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Offer decides about a request. The ticket is nil if it is refused; the
// duration is then the time after which another try may succeed.
func (q *Queue) Offer(r Request, now time.Time) (*Ticket, Outcome, time.Duration) {
	r.Tokens = max(1, r.Tokens)
	o := q.organisation(r.Organisation, r.Weight)
	t := &Ticket{Request: r, org: o, order: now.Add(-time.Duration(r.Priority) * priorityStep)}
	if q.held < q.slots && q.length == 0 {
		q.admit(t, now)
		return t, Admitted, 0
	}
	wait := q.expectedWait(t)
	if now.Add(wait).After(r.Deadline) {
		q.tidy(o)
		return nil, MissesDeadline, wait
	}
	if q.length >= q.limit && !q.shed(o, r.Tokens) {
		q.tidy(o)
		return nil, QueueFull, wait
	}
	q.enqueue(t)
	return t, Waiting, 0
}

// Cancel takes a waiting request out of the queue, without a notification, and
// reports whether it was still waiting. If not, it has been decided about.
func (q *Queue) Cancel(t *Ticket) bool {
	if t.state != Waiting {
		return false
	}
	q.remove(t, slices.Index(t.org.waiting, t), MissesDeadline)
	return true
}

// Release ends an admitted request that used the given tokens, or its whole
// reservation if used is negative, and admits what now fits.
func (q *Queue) Release(t *Ticket, used int64, now time.Time) {
	if t.state != Admitted || t.ended {
		return
	}
	t.ended = true
	o := t.org
	q.held--
	o.held--
	o.running -= t.Tokens
	if used >= 0 && used < t.Tokens {
		o.virtual -= float64(t.Tokens-used) / o.weight
	}
	q.learn(now.Sub(t.started).Seconds(), float64(t.Tokens))
	q.dispatch(now)
	q.tidy(o)
}

func (q *Queue) learn(hold, tokens float64) {
	if q.meanTokens == 0 {
		q.meanHold, q.meanTokens = hold, tokens
		return
	}
	q.meanHold += smoothing * (hold - q.meanHold)
	q.meanTokens += smoothing * (tokens - q.meanTokens)
}

func (q *Queue) organisation(name string, weight int) *organisation {
	o := q.orgs[name]
	if o == nil {
		o = &organisation{name: name, virtual: q.virtual}
		q.orgs[name] = o
	}
	o.weight = float64(max(1, weight))
	return o
}

// tidy forgets an organisation that holds nothing and has no debt.
func (q *Queue) tidy(o *organisation) {
	if o.held == 0 && len(o.waiting) == 0 && o.virtual <= q.virtual {
		delete(q.orgs, o.name)
	}
}

// expectedWait is the time until a request would start: the tokens that its
// organisation has waiting before it, at the organisation's share of the rate
// at which the pool gets through tokens, but no more than all waiting tokens.
func (q *Queue) expectedWait(t *Ticket) time.Duration {
	if q.meanHold <= 0 || q.slots == 0 {
		return 0
	}
	rate := float64(q.slots) * q.meanTokens / q.meanHold
	own := float64(t.Tokens)
	for _, other := range t.org.waiting {
		if !other.order.After(t.order) {
			own += float64(other.Tokens)
		}
	}
	weights := t.org.weight
	for _, o := range q.orgs {
		if o != t.org && len(o.waiting) > 0 {
			weights += o.weight
		}
	}
	tokens := min(own*weights/t.org.weight, float64(q.queued+t.Tokens))
	return time.Duration(tokens / rate * float64(time.Second))
}

// over is how far an organisation is over its share: what it holds and waits
// for, by weight.
func (o *organisation) over(added int64) float64 {
	return float64(o.queued+o.running+added) / o.weight
}

// shed makes room for a request of an organisation by refusing the last one of
// the organisation that is furthest over its share. It reports false if that
// is the request's own organisation.
func (q *Queue) shed(own *organisation, tokens int64) bool {
	worst, worstOver := own, own.over(tokens)
	for _, o := range q.orgs {
		over := o.over(0)
		if o == own || len(o.waiting) == 0 || over < worstOver {
			continue
		}
		// The name breaks ties, so that the outcome does not depend on map order.
		if over > worstOver || worst != own && o.name > worst.name {
			worst, worstOver = o, over
		}
	}
	if worst == own {
		return false
	}
	last := len(worst.waiting) - 1
	victim := worst.waiting[last]
	q.remove(victim, last, QueueFull)
	victim.Notify(QueueFull)
	return true
}

func (q *Queue) enqueue(t *Ticket) {
	o := t.org
	if len(o.waiting) == 0 {
		o.virtual = max(o.virtual, q.virtual)
	}
	at, _ := slices.BinarySearchFunc(o.waiting, t, func(a, b *Ticket) int {
		if a.order.After(b.order) {
			return 1
		}
		return -1 // behind its equals
	})
	o.waiting = slices.Insert(o.waiting, at, t)
	o.queued += t.Tokens
	q.queued += t.Tokens
	q.length++
}

func (q *Queue) remove(t *Ticket, at int, state Outcome) {
	o := t.org
	t.state = state
	o.waiting = slices.Delete(o.waiting, at, at+1)
	o.queued -= t.Tokens
	q.queued -= t.Tokens
	q.length--
	q.tidy(o)
}

// dispatch admits waiting requests while there are slots, and refuses those
// whose deadline has passed.
func (q *Queue) dispatch(now time.Time) {
	for q.held < q.slots && q.length > 0 {
		o := q.next()
		t := o.waiting[0]
		if now.After(t.Deadline) {
			q.remove(t, 0, MissesDeadline)
			t.Notify(MissesDeadline)
			continue
		}
		q.remove(t, 0, Admitted)
		q.orgs[o.name] = o
		q.admit(t, now)
		t.Notify(Admitted)
	}
}

// next returns the organisation with the lowest virtual time.
func (q *Queue) next() *organisation {
	var best *organisation
	for _, o := range q.orgs {
		if len(o.waiting) == 0 {
			continue
		}
		if best == nil || o.virtual < best.virtual || o.virtual == best.virtual && o.name < best.name {
			best = o
		}
	}
	return best
}

func (q *Queue) admit(t *Ticket, now time.Time) {
	o := t.org
	t.state, t.started = Admitted, now
	o.virtual = max(o.virtual, q.virtual)
	q.virtual = o.virtual
	o.virtual += float64(t.Tokens) / o.weight
	o.running += t.Tokens
	o.held++
	q.held++
}
