package claim

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

const (
	// DefaultRetention is how long a claim is kept after the request's
	// deadline. It must outlast every way in which the request can come back.
	DefaultRetention = 24 * time.Hour
	// runningGrace is added to the deadline of a request before a duplicate
	// takes its creator to have finished. It covers the writes of the outcome
	// (storeTimeout) and the difference of two instances' clocks.
	runningGrace = 10 * time.Second
	// createAttempts bounds the creates of one claim whose answers were lost.
	createAttempts = 3
	// claimTimeout bounds the making of a claim, in which the caller waits.
	claimTimeout = 5 * time.Second
)

// Options describe the instance that makes claims.
type Options struct {
	Store       objectstore.Store
	Clock       clock.Clock
	Log         hclog.Logger
	Instance    string
	Incarnation string
	Retention   time.Duration // DefaultRetention if zero
	// HasEnded reports proof that an incarnation of an instance has ended. It may
	// be nil.
	HasEnded func(instance, incarnation string) bool
}

// Manager makes the claims of one instance. The unique names of the object
// store arbitrate between instances.
//
// One object per claim is chosen over one object per group of claims. With few
// groups, conflicts between instances cost writes and time, and a day of claims
// does not fit. With enough groups, hardly two claims of an instance meet in one
// write, and each write sends all claims of its group. docs/measurements.md has
// the figures.
type Manager struct {
	options Options

	mu      sync.Mutex
	running map[string]bool      // nonces of claims that this instance may be running
	refused map[string]abandoned // by nonce; claims to be removed because nothing ran under them
}

// NewManager returns a manager. Run removes old claims.
func NewManager(options Options) *Manager {
	if options.Retention == 0 {
		options.Retention = DefaultRetention
	}
	return &Manager{options: options, running: make(map[string]bool), refused: make(map[string]abandoned)}
}

// Request is what a claim is made for.
type Request struct {
	Key      Digest // of the organisation and its idempotency key
	Content  Digest // of the request
	Deadline time.Time
}

// Decision says what to do with a request.
type Decision int

// Decisions.
const (
	// DecisionUnavailable means that it could not be decided whether the request is the
	// first. It must not run.
	DecisionUnavailable Decision = iota
	// DecisionRun means that the request is the first and may run once.
	DecisionRun
	// DecisionReplay means that the first response is known.
	DecisionReplay
	// DecisionInProgress means that the first request may still be running.
	DecisionInProgress
	// DecisionOutcomeUnknown means that the first request may have run, and that its
	// response is not known.
	DecisionOutcomeUnknown
	// DecisionKeyReused means that the key was used for another request.
	DecisionKeyReused
)

// Result is the result of a claim. Claim is set for Run, Response for Replay.
type Result struct {
	Decision Decision
	Claim    *Claim
	Response *Response
	Cause    error // for Unavailable
}

// Claim makes the claim on a request. The decision is Run for at most one of
// all calls with the same key, on any instance, until the claim is released or
// expires.
//
// The create can lose its answer and take effect at any later time. The
// request runs only after the store has shown that the object of this name
// carries the nonce of this call, so a create that took effect unnoticed never
// leads to a run. While it is unclear whether it took effect, the store still
// arbitrates: either the object exists, and a duplicate is refused because of
// it, or it does not, and then the duplicate's own create takes the name, so
// that the late create fails. The refused request never runs in both cases.
// What remains is an object under which nothing ran. It blocks the key until
// this instance removes it, because only this instance knows that.
func (m *Manager) Claim(ctx context.Context, request Request) Result {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c := m.newClaim(request)
	// Known as running before the create, so that a duplicate on this instance
	// never takes the new object for one that nobody runs.
	m.setRunning(c.nonce)
	verdict := m.create(ctx, c)
	if verdict.Decision == DecisionRun {
		return verdict
	}
	if c.unsure {
		m.abandon(c)
	}
	m.endRunning(c.nonce)
	return verdict
}

func (m *Manager) newClaim(request Request) *Claim {
	now := m.options.Clock.Now()
	deadline := request.Deadline
	if deadline.Before(now) {
		deadline = now
	}
	c := &Claim{manager: m, kind: kindOf(request.Key), name: request.Key.String(), nonce: uuid.NewString()}
	c.record = record{
		Nonce: c.nonce, Instance: m.options.Instance, Incarnation: m.options.Incarnation,
		Request: request.Content.String(), State: StateClaimed, Created: now,
		RunsUntil: deadline.Add(runningGrace), Expires: deadline.Add(m.options.Retention),
	}
	return c
}

// create makes the claim's object, or finds out why it cannot.
func (m *Manager) create(ctx context.Context, c *Claim) Result {
	value := c.record.encode()
	var err error
	for range createAttempts {
		var object objectstore.Object
		object, err = m.options.Store.Create(ctx, c.kind, c.name, value)
		if err == nil {
			c.version = object.Version
			return Result{Decision: DecisionRun, Claim: c}
		}
		switch objectstore.KindOf(err) {
		case objectstore.KindExists:
		case objectstore.KindUnknown:
			c.unsure = true
		default:
			return Result{Decision: DecisionUnavailable, Cause: err}
		}
		object, err = m.options.Store.Get(ctx, c.kind, c.name)
		if err == nil {
			return m.judge(c, object)
		}
		if !objectstore.IsKind(err, objectstore.KindNotFound) {
			return Result{Decision: DecisionUnavailable, Cause: err}
		}
		// Nothing is there: the create has not taken effect yet, or the claim
		// that was in its way has been released. A create with the same nonce
		// settles it.
	}
	return Result{Decision: DecisionUnavailable, Cause: err}
}

// judge decides by the object that has the name of the claim.
func (m *Manager) judge(c *Claim, object objectstore.Object) Result {
	found, err := decodeRecord(object.Value)
	switch {
	case err != nil:
		m.options.Log.Error("claim cannot be read; its request is taken to have run", "kind", c.kind, "name", c.name, "cause", err)
		return Result{Decision: DecisionOutcomeUnknown}
	case found.Nonce == c.nonce:
		c.version = object.Version
		return Result{Decision: DecisionRun, Claim: c}
	case found.Request != c.record.Request:
		return Result{Decision: DecisionKeyReused}
	case found.State == StateDone && found.Response != nil:
		return Result{Decision: DecisionReplay, Response: found.Response}
	case found.State != StateClaimed:
		return Result{Decision: DecisionOutcomeUnknown}
	case m.isAbandoned(found.Nonce):
		return Result{Decision: DecisionUnavailable, Cause: errAbandoned}
	case m.mayRun(found):
		return Result{Decision: DecisionInProgress}
	}
	return Result{Decision: DecisionOutcomeUnknown}
}

// mayRun reports whether the creator of a claim can still be running it.
func (m *Manager) mayRun(r *record) bool {
	if r.Instance == m.options.Instance {
		return r.Incarnation == m.options.Incarnation && m.isRunning(r.Nonce)
	}
	if m.options.HasEnded != nil && m.options.HasEnded(r.Instance, r.Incarnation) {
		return false
	}
	return m.options.Clock.Now().Before(r.RunsUntil)
}

func (m *Manager) setRunning(nonce string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[nonce] = true
}

func (m *Manager) endRunning(nonce string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, nonce)
}

func (m *Manager) isRunning(nonce string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running[nonce]
}
