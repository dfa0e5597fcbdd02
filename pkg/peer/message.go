package peer

import (
	"context"
	"fmt"
	"time"
)

// Message is a pair of a request and its response. A new message is one
// variable of this type, a handler, and its callers.
type Message[Request, Response any] struct {
	Request  Type
	Response Type
	// Timeout bounds the whole exchange on both sides.
	Timeout time.Duration
}

// Caller sends one encoded request and returns the response.
type Caller interface {
	exchange(ctx context.Context, address string, request []byte) (envelope, error)
}

// Call sends a request and waits for the response. It sends the request once:
// after an error of KindUnreachable or KindTimeout the peer may have run it.
func (m *Message[Request, Response]) Call(ctx context.Context, caller Caller, address string, body Request) (Response, error) {
	var response Response
	ctx, cancel := context.WithTimeout(ctx, m.Timeout)
	defer cancel()
	data, err := encode(m.Request, body)
	if err != nil {
		return response, err
	}
	answer, err := caller.exchange(ctx, address, data)
	if err != nil {
		return response, err
	}
	if answer.Type == typeError {
		return response, remoteError(address, answer)
	}
	if answer.Type != m.Response {
		return response, &Error{Kind: KindMalformed, Address: address, Message: fmt.Sprintf("response to %s has type %q", m.Request, answer.Type)}
	}
	return response, decodeBody(answer, &response)
}

func remoteError(address string, answer envelope) error {
	var body errorBody
	if err := decodeBody(answer, &body); err != nil {
		return err
	}
	return &Error{Kind: body.Kind, Address: address, Message: body.Message}
}

// Handler answers a request. An error of type *Error goes to the caller with
// its kind and message; of any other error only KindFailed is told.
type Handler[Request, Response any] func(ctx context.Context, request Request) (Response, error)

// Handle registers the handler of a message.
func (m *Message[Request, Response]) Handle(r *Registry, handler Handler[Request, Response]) {
	r.add(m.Request, entry{timeout: m.Timeout, answer: func(ctx context.Context, e envelope) ([]byte, error) {
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
