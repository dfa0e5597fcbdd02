package peer

import (
	"context"
	"fmt"
	"time"
)

// Message describes a request and its response. To add one, declare a variable of
// this type, register a handler, and call it.
type Message[Request, Response any] struct {
	Request  MessageType
	Response MessageType
	// Timeout bounds the whole exchange on both sides.
	Timeout time.Duration
}

// Caller sends an encoded request to an address and returns the response.
type Caller interface {
	exchange(ctx context.Context, address string, request []byte) (envelope, error)
}

// Call sends a request and waits for the response, for at most m.Timeout. Errors
// are of type *Error, unless the body cannot be encoded. Call does not retry: after
// KindUnreachable or KindTimeout the peer may have run the request.
func (m *Message[Request, Response]) Call(ctx context.Context, caller Caller, address string, body Request) (Response, error) {
	var response Response
	ctx, cancel := context.WithTimeout(ctx, m.Timeout)
	defer cancel()
	data, err := encode(m.Request, body)
	if err != nil {
		return response, err
	}
	received, err := caller.exchange(ctx, address, data)
	if err != nil {
		return response, err
	}
	if received.Type == typeError {
		return response, decodeError(address, received)
	}
	if received.Type != m.Response {
		return response, &Error{Kind: KindMalformed, Address: address, Message: fmt.Sprintf("response to %s has type %q", m.Request, received.Type)}
	}
	return response, decodeBody(received, &response)
}

// decodeError returns the error in an error response.
func decodeError(address string, received envelope) error {
	var body errorBody
	if err := decodeBody(received, &body); err != nil {
		return err
	}
	return &Error{Kind: body.Kind, Address: address, Message: body.Message}
}

// Handler handles a request. The caller receives the kind and message of an error
// of type *Error, and only KindFailed for any other error. Handlers run
// concurrently.
type Handler[Request, Response any] func(ctx context.Context, request Request) (Response, error)

// Handle registers the handler of a message. It panics if there is one already.
func (m *Message[Request, Response]) Handle(r *Registry, handler Handler[Request, Response]) {
	r.add(m.Request, registration{timeout: m.Timeout, handle: func(ctx context.Context, e envelope) ([]byte, error) {
		var request Request
		if err := decodeBody(e, &request); err != nil {
			return nil, err
		}
		response, err := handler(ctx, request)
		if err != nil {
			return nil, err
		}
		return encode(m.Response, response)
	}})
}
