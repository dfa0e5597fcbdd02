package gateway

import (
	"context"
	"errors"
	"sync"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// errRevoked is the cause with which the requests of a revoked key are cancelled.
var errRevoked = errors.New("the key was revoked")

// RunningRequests is a registry of the running requests of each key. It cancels
// them when the key is revoked. It is safe for concurrent use.
type RunningRequests struct {
	mu          sync.Mutex
	byKeyDigest map[[32]byte]map[*Exchange]context.CancelCauseFunc
}

// NewRunningRequests returns an empty registry.
func NewRunningRequests() *RunningRequests {
	return &RunningRequests{byKeyDigest: make(map[[32]byte]map[*Exchange]context.CancelCauseFunc)}
}

// add registers a request and gives it a cancellable context. The returned
// function removes the request and releases the context.
func (r *RunningRequests) add(ex *Exchange) func() {
	ctx, cancel := context.WithCancelCause(ex.Context())
	ex.Request = ex.Request.WithContext(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	running := r.byKeyDigest[ex.KeyDigest]
	if running == nil {
		running = make(map[*Exchange]context.CancelCauseFunc)
		r.byKeyDigest[ex.KeyDigest] = running
	}
	running[ex] = cancel
	return func() { r.remove(ex, cancel) }
}

func (r *RunningRequests) remove(ex *Exchange, cancel context.CancelCauseFunc) {
	cancel(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	running := r.byKeyDigest[ex.KeyDigest]
	delete(running, ex)
	if len(running) == 0 {
		delete(r.byKeyDigest, ex.KeyDigest)
	}
}

// CancelRevoked cancels the requests whose key the snapshot does not contain or
// assigns to another organisation. It returns their number.
func (r *RunningRequests) CancelRevoked(snapshot *tables.Snapshot) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	cancelled := 0
	for digest, running := range r.byKeyDigest {
		org := snapshot.OrganisationByKeyDigest(digest)
		for ex, cancel := range running {
			if org == nil || org.Name != ex.Organisation.Name {
				cancel(errRevoked)
				cancelled++
			}
		}
	}
	return cancelled
}
