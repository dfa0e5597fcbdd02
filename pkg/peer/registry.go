package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Registry maps message types to handlers.
type Registry struct {
	mu      sync.RWMutex
	entries map[Type]entry
}

type entry struct {
	timeout time.Duration
	answer  func(ctx context.Context, e envelope) ([]byte, error)
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{entries: make(map[Type]entry)} }

func (r *Registry) add(t Type, e entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.entries[t]; ok {
		panic(fmt.Sprintf("peer: message %s has two handlers", t))
	}
	r.entries[t] = e
}

// answer runs the handler of a request and returns the encoded response. A
// failure becomes an error response.
func (r *Registry) answer(ctx context.Context, e envelope) []byte {
	r.mu.RLock()
	found, ok := r.entries[e.Type]
	r.mu.RUnlock()
	if !ok {
		return encodeError(&Error{Kind: KindUnknownType, Message: fmt.Sprintf("no handler for messages of type %q", e.Type)})
	}
	ctx, cancel := context.WithTimeout(ctx, found.timeout)
	defer cancel()
	data, err := found.answer(ctx, e)
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
