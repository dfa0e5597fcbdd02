package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Registry maps request types to handlers. It is safe for concurrent use.
type Registry struct {
	mu            sync.RWMutex
	registrations map[MessageType]registration
}

type registration struct {
	timeout time.Duration
	handle  func(ctx context.Context, e envelope) ([]byte, error)
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{registrations: make(map[MessageType]registration)} }

func (r *Registry) add(t MessageType, e registration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.registrations[t]; ok {
		panic(fmt.Sprintf("peer: message %s has two handlers", t))
	}
	r.registrations[t] = e
}

// handle runs the handler of a request and returns the encoded response, or an
// encoded error response if it fails.
func (r *Registry) handle(ctx context.Context, e envelope) []byte {
	r.mu.RLock()
	found, ok := r.registrations[e.Type]
	r.mu.RUnlock()
	if !ok {
		return encodeError(&Error{Kind: KindUnknownType, Message: fmt.Sprintf("no handler for messages of type %q", e.Type)})
	}
	ctx, cancel := context.WithTimeout(ctx, found.timeout)
	defer cancel()
	data, err := found.handle(ctx, e)
	if err != nil {
		return encodeError(err)
	}
	return data
}

func encodeError(err error) []byte {
	body := errorBody{Kind: KindFailed, Message: "the handler failed"}
	var known *Error
	if errors.As(err, &known) {
		body = errorBody{Kind: known.Kind, Message: known.Message}
	}
	data, err := encode(typeError, body)
	if err != nil {
		panic("peer: error responses always encode: " + err.Error())
	}
	return data
}
