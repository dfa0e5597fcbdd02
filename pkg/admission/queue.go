// Package admission is the admission control of a pool: it admits, queues or
// refuses requests. It does no I/O; the caller passes the time in. Queue is for routers
// that divide the slots of the targets between them, Gate for those that share the
// targets and know their load from reports.
//
// Organisations share a pool by start-time fair queueing. The virtual time of
// an organisation advances by tokens divided by weight with each admitted
// request, and the organisation with the lowest virtual time is served first.
// Deficit round robin does not fit because request costs differ by a factor of
// several hundred: its quantum must cover the largest request, so a small
// organisation would wait for a whole quantum of every other one. Start-time
// fair queueing is exact to one request, and its scan over the waiting
// organisations is cheap for the number of organisations that the design allows
// for.
package admission

import (
	"slices"
	"time"
)

// Outcome is the admission decision for a request.
type Outcome int

// Outcomes.
const (
	Waiting        Outcome = iota // queued; the decision is passed to Request.Notify
	Admitted                      // holds a slot until Release
	QueueFull                     // refused: the queue is full and the request's organisation exceeds its fair share most
	MissesDeadline                // refused: would start after its deadline
)

// Request describes a request that needs a slot.
type Request struct {
	Organisation string
	Weight       int       // of the organisation; at least 1 is used
	Priority     int       // higher runs earlier, within the organisation only
	Tokens       int64     // reserved; at least 1 is used
	Deadline     time.Time // latest start
	// Notify is called once with the outcome if the request had to wait, unless
	// it is cancelled. It must not call methods of the queue.
	Notify func(Outcome)
}

// Ticket is a queued or admitted request.
type Ticket struct {
	Request
	org     *organisation
	order   time.Time // arrival, moved earlier by priority; sorts the requests of an organisation
	started time.Time
	state   Outcome
	ended   bool // released
}

// organisation is the state of one organisation in a queue.
type organisation struct {
	name    string
	weight  float64
	virtual float64   // virtual time: start tag of its next request
	waiting []*Ticket // sorted by order
	queued  int64     // tokens of waiting requests
	running int64     // tokens of admitted requests
	held    int       // slots of admitted requests
}

// priorityStep is subtracted from the arrival time of a request for each level
// of priority. Since it is finite, requests of higher priority overtake an
// earlier one only for that long, and requests of low priority do not starve.
const priorityStep = 2 * time.Second

// smoothingFactor is the weight of the latest request in the moving averages.
const smoothingFactor = 0.1

// Queue controls the admission to one pool. It is not safe for concurrent use.
type Queue struct {
	limit   int // of waiting requests
	slots   int
	held    int     // slots in use
	length  int     // waiting requests
	queued  int64   // tokens of waiting requests
	virtual float64 // virtual time: start tag of the last admitted request
	orgs    map[string]*organisation
	// Moving averages over released requests, in seconds and reserved tokens;
	// zero before the first release.
	meanHold, meanTokens float64
}

// NewQueue returns an empty queue without slots.
func NewQueue() *Queue { return &Queue{orgs: make(map[string]*organisation)} }

// Configure sets the number of slots and the limit of waiting requests, and
// admits waiting requests to free slots.
func (q *Queue) Configure(slots, limit int, now time.Time) {
	q.slots, q.limit = slots, limit
	q.dispatch(now)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Offer admits, queues or refuses a request. If it is refused, the ticket is
// nil and the duration is the time after which a retry may succeed.
func (q *Queue) Offer(r Request, now time.Time) (*Ticket, Outcome, time.Duration) {
	r.Tokens = max(1, r.Tokens)
	o := q.organisation(r.Organisation, r.Weight)
	t := &Ticket{Request: r, org: o, order: now.Add(-time.Duration(r.Priority) * priorityStep)}
	if q.held < q.slots && q.length == 0 {
		q.admit(t, now)
		return t, Admitted, 0
	}
	wait := q.estimateWait(t)
	if now.Add(wait).After(r.Deadline) {
		q.removeIfIdle(o)
		return nil, MissesDeadline, wait
	}
	if q.length >= q.limit && !q.shed(o, r.Tokens) {
		q.removeIfIdle(o)
		return nil, QueueFull, wait
	}
	q.enqueue(t)
	return t, Waiting, 0
}

// Cancel removes a waiting request without calling Notify. It returns false if
// the request was no longer waiting, because it was admitted or refused.
func (q *Queue) Cancel(t *Ticket) bool {
	if t.state != Waiting {
		return false
	}
	q.remove(t, slices.Index(t.org.waiting, t), MissesDeadline)
	return true
}

// Release frees the slot of an admitted request and admits waiting requests.
// used is the number of tokens used, or negative if all reserved tokens count
// as used. Only the first call for a ticket has an effect.
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
	q.updateMeans(now.Sub(t.started).Seconds(), float64(t.Tokens))
	q.dispatch(now)
	q.removeIfIdle(o)
}

// updateMeans adds a released request, held for a number of seconds, to the
// moving averages.
func (q *Queue) updateMeans(hold, tokens float64) {
	if q.meanTokens == 0 {
		q.meanHold, q.meanTokens = hold, tokens
		return
	}
	q.meanHold += smoothingFactor * (hold - q.meanHold)
	q.meanTokens += smoothingFactor * (tokens - q.meanTokens)
}

// organisation returns the state of an organisation, creating it if needed, and
// updates its weight.
func (q *Queue) organisation(name string, weight int) *organisation {
	o := q.orgs[name]
	if o == nil {
		o = &organisation{name: name, virtual: q.virtual}
		q.orgs[name] = o
	}
	o.weight = float64(max(1, weight))
	return o
}

// removeIfIdle removes the state of an organisation without requests, unless
// its virtual time is ahead of the queue's.
func (q *Queue) removeIfIdle(o *organisation) {
	if o.held == 0 && len(o.waiting) == 0 && o.virtual <= q.virtual {
		delete(q.orgs, o.name)
	}
}

// estimateWait estimates the time until a request would start: the tokens
// queued before it by its organisation, divided by the organisation's share of
// the pool's throughput, but at most the time for all queued tokens. It is zero
// while the throughput is unknown.
func (q *Queue) estimateWait(t *Ticket) time.Duration {
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

// weightedTokens returns the queued and running tokens of an organisation plus
// added, divided by its weight. The largest value exceeds its fair share most.
func (o *organisation) weightedTokens(added int64) float64 {
	return float64(o.queued+o.running+added) / o.weight
}

// shed makes room for a request of an organisation by refusing the last waiting
// request of the organisation that exceeds its fair share most. It returns
// false if that is the same organisation.
func (q *Queue) shed(own *organisation, tokens int64) bool {
	worst, worstTokens := own, own.weightedTokens(tokens)
	for _, o := range q.orgs {
		weighted := o.weightedTokens(0)
		if o == own || len(o.waiting) == 0 || weighted < worstTokens {
			continue
		}
		// Ties are broken by name: the result must not depend on map order.
		if weighted > worstTokens || worst != own && o.name > worst.name {
			worst, worstTokens = o, weighted
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

// enqueue inserts a request by its order.
func (q *Queue) enqueue(t *Ticket) {
	o := t.org
	if len(o.waiting) == 0 {
		o.virtual = max(o.virtual, q.virtual)
	}
	at, _ := slices.BinarySearchFunc(o.waiting, t, func(a, b *Ticket) int {
		if a.order.After(b.order) {
			return 1
		}
		return -1 // behind those with the same order
	})
	o.waiting = slices.Insert(o.waiting, at, t)
	o.queued += t.Tokens
	q.queued += t.Tokens
	q.length++
}

// remove takes the request at the given index of its organisation out of the
// queue and sets its state.
func (q *Queue) remove(t *Ticket, at int, state Outcome) {
	o := t.org
	t.state = state
	o.waiting = slices.Delete(o.waiting, at, at+1)
	o.queued -= t.Tokens
	q.queued -= t.Tokens
	q.length--
	q.removeIfIdle(o)
}

// dispatch admits waiting requests while slots are free, and refuses those it
// finds past their deadline.
func (q *Queue) dispatch(now time.Time) {
	for q.held < q.slots && q.length > 0 {
		o := q.nextOrganisation()
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

// nextOrganisation returns the waiting organisation with the lowest virtual
// time.
func (q *Queue) nextOrganisation() *organisation {
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

// admit gives a slot to a request and advances the virtual times.
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
