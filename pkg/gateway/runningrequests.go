package gateway

import (
	"context"
	"errors"
	"sync"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// errRevoked is the cause with which requests of a revoked key are cancelled.
var errRevoked = errors.New("the key was revoked")

// RunningRequests knows the running requests of each key, so that a revoked key
// ends them.
type RunningRequests struct {
	mu   sync.Mutex
	byID map[[32]byte]map[*Exchange]context.CancelCauseFunc
}

// NewRunningRequests returns an empty registry.
func NewRunningRequests() *RunningRequests {
	return &RunningRequests{byID: make(map[[32]byte]map[*Exchange]context.CancelCauseFunc)}
}

// add registers a request and makes its context cancellable. The returned
// function removes it again.
func (s *RunningRequests) add(ex *Exchange) func() {
	ctx, cancel := context.WithCancelCause(ex.Context())
	ex.Request = ex.Request.WithContext(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	running := s.byID[ex.KeyDigest]
	if running == nil {
		running = make(map[*Exchange]context.CancelCauseFunc)
		s.byID[ex.KeyDigest] = running
	}
	running[ex] = cancel
	return func() { s.remove(ex, cancel) }
}

func (s *RunningRequests) remove(ex *Exchange, cancel context.CancelCauseFunc) {
	cancel(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	running := s.byID[ex.KeyDigest]
	delete(running, ex)
	if len(running) == 0 {
		delete(s.byID, ex.KeyDigest)
	}
}

// CancelRevoked cancels the requests of keys that the snapshot does not have, or has
// for another organisation. It returns how many it cancelled.
func (s *RunningRequests) CancelRevoked(snapshot *tables.Snapshot) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancelled := 0
	for digest, running := range s.byID {
		org := snapshot.FindKey(digest)
		for ex, cancel := range running {
			if org == nil || org.Name != ex.Organisation.Name {
				cancel(errRevoked)
				cancelled++
			}
		}
	}
	return cancelled
}
