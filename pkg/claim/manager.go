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
	// deadline. It must be longer than any client keeps retrying.
	DefaultRetention = 24 * time.Hour
	// runningGrace is the time after a request's deadline from which other
	// instances assume that it no longer runs. It covers storing the outcome
	// (outcomeTimeout) and the clock skew between instances.
	runningGrace = 10 * time.Second
	// createAttempts bounds the creates of one claim whose responses were lost.
	createAttempts = 3
	// claimTimeout bounds Manager.Claim, for which the caller waits.
	claimTimeout = 5 * time.Second
)

// Options configure a Manager.
type Options struct {
	Store       objectstore.Store
	Clock       clock.Clock
	Log         hclog.Logger
	Instance    string
	Incarnation string
	Retention   time.Duration // DefaultRetention if zero
	// HasEnded reports whether an incarnation of an instance is known to have
	// ended. If nil, claims of other instances count as running until
	// runningGrace after their deadlines.
	HasEnded func(instance, incarnation string) bool
}

// Manager makes the claims of one instance. The object store arbitrates between
// instances, because object names are unique. It is safe for concurrent use.
//
// Each claim has an object of its own instead of sharing one with a group of
// claims. With few groups, conflicts between instances cost writes and time, and
// a day of claims exceeds the largest object. With enough groups, an instance
// rarely batches two claims into one write, but each write carries all claims of
// the group. docs/measurements.md has the figures.
type Manager struct {
	options Options

	mu        sync.Mutex
	running   map[string]bool           // nonces of claims whose requests may be running on this instance
	abandoned map[string]abandonedClaim // by nonce; claims to delete because their requests never ran
}

// NewManager returns a manager without claims. Manager.Run must be started for
// expired and abandoned claims to be removed.
func NewManager(options Options) *Manager {
	if options.Retention == 0 {
		options.Retention = DefaultRetention
	}
	return &Manager{options: options, running: make(map[string]bool), abandoned: make(map[string]abandonedClaim)}
}

// Request identifies the request that a claim is made for.
type Request struct {
	Key      Digest // from DigestKey
	Content  Digest // from DigestRequest
	Deadline time.Time
}

// Decision is what to do with a request.
type Decision int

// Decisions about a request.
const (
	// DecisionUnavailable means that it is unknown whether the request is the
	// first with its key. It must not run.
	DecisionUnavailable Decision = iota
	// DecisionRun means that the request is the first with its key and may run.
	DecisionRun
	// DecisionReplay means that the first request has a stored response.
	DecisionReplay
	// DecisionInProgress means that the first request may still be running.
	DecisionInProgress
	// DecisionOutcomeUnknown means that the first request may have run and that
	// its response is not stored.
	DecisionOutcomeUnknown
	// DecisionKeyReused means that the key was used with different content.
	DecisionKeyReused
)

// Result is the result of Manager.Claim. Claim is set for DecisionRun, Response
// for DecisionReplay and Cause for DecisionUnavailable.
type Result struct {
	Decision Decision
	Claim    *Claim
	Response *Response
	Cause    error // why it is DecisionUnavailable
}

// Claim tries to claim a request and decides what to do with it. The decision is
// DecisionRun for at most one of all calls with the same key, on any instance,
// until the claim is released or expires. It blocks for at most claimTimeout.
//
// The response to the create can be lost, and the create can take effect at any
// later time. A request therefore runs only after the store has shown an object
// of this name with the nonce of this call. While the effect of the create is
// unknown, the store still arbitrates. If the object exists, it makes the store
// refuse duplicates. If not, a duplicate's own create takes the name and the late
// create fails. In both cases this request is refused and never runs. An object
// left by a late create blocks the key until this instance deletes it: no other
// instance knows that its request never ran.
func (m *Manager) Claim(ctx context.Context, request Request) Result {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c := m.newClaim(request)
	// Marked before the create, so that a duplicate on this instance never
	// finds the new object while its nonce does not count as running.
	m.setRunning(c.nonce)
	result := m.create(ctx, c)
	if result.Decision == DecisionRun {
		return result
	}
	if c.createUnconfirmed {
		m.markAbandoned(c)
	}
	m.clearRunning(c.nonce)
	return result
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

// create creates the claim's object, or returns the decision that follows from
// the object that exists already.
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
			c.createUnconfirmed = true
		default:
			return Result{Decision: DecisionUnavailable, Cause: err}
		}
		object, err = m.options.Store.Get(ctx, c.kind, c.name)
		if err == nil {
			return m.resultFromExisting(c, object)
		}
		if !objectstore.IsKind(err, objectstore.KindNotFound) {
			return Result{Decision: DecisionUnavailable, Cause: err}
		}
		// No object exists: either the create has not taken effect yet, or the
		// conflicting claim was released in between. Create again, with the same
		// nonce.
	}
	return Result{Decision: DecisionUnavailable, Cause: err}
}

// resultFromExisting returns the decision that follows from the stored object
// with the claim's name.
func (m *Manager) resultFromExisting(c *Claim, object objectstore.Object) Result {
	found, err := decodeRecord(object.Value)
	switch {
	case err != nil:
		m.options.Log.Error("claim cannot be decoded; its request is treated as possibly run", "kind", c.kind, "name", c.name, "cause", err)
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
	case m.mayBeRunning(found):
		return Result{Decision: DecisionInProgress}
	}
	return Result{Decision: DecisionOutcomeUnknown}
}

// mayBeRunning reports whether the request of a claim may still be running on
// the instance that created the claim.
func (m *Manager) mayBeRunning(r *record) bool {
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

func (m *Manager) clearRunning(nonce string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, nonce)
}

func (m *Manager) isRunning(nonce string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running[nonce]
}
