package peer

import (
	"errors"
	"fmt"
)

// Kind classifies a failed exchange.
type Kind string

// Kinds of failed exchanges. The first three arise on the calling side; the others
// are usually reported by the peer.
const (
	KindUnreachable        Kind = "unreachable" // no connection, or it broke; the peer may have run the request
	KindTimeout            Kind = "timeout"     // no response in time; the peer may have run the request
	KindLocal              Kind = "local"       // not sent: all pooled connections are in use or the transport is closed
	KindUnknownType        Kind = "unknown_type"
	KindUnsupportedVersion Kind = "unsupported_version"
	KindMalformed          Kind = "malformed"
	KindTooLarge           Kind = "too_large"
	KindBusy               Kind = "busy"      // the peer handles as many requests as it allows; it has not run this one
	KindNotFound           Kind = "not_found" // the peer does not have the requested object
	KindFailed             Kind = "failed"    // the peer's handler failed
)

// Error is a failed exchange with a peer. Address is empty if the peer is not known.
type Error struct {
	Kind    Kind
	Address string
	Message string
	Cause   error
}

// Error implements error.
func (e *Error) Error() string {
	text := "peer"
	if e.Address != "" {
		text += " " + e.Address
	}
	text += fmt.Sprintf(": %s: %s", e.Kind, e.Message)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of a failed exchange. An error of another type is
// KindFailed.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindFailed
}

// typeError is the type of error responses.
const typeError Type = "error"

// errorBody is the body of an error response.
type errorBody struct {
	Kind    Kind   `cbor:"kind"`
	Message string `cbor:"message"`
}
