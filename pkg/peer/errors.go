package peer

import (
	"errors"
	"fmt"
)

// ErrorKind classifies a failed exchange.
type ErrorKind string

// Kinds of failed exchanges. The first three arise on the calling side; the others
// are usually reported by the peer.
const (
	KindUnreachable        ErrorKind = "unreachable" // no connection, or it broke; the peer may have run the request
	KindTimeout            ErrorKind = "timeout"     // no response in time; the peer may have run the request
	KindLocal              ErrorKind = "local"       // not sent: all pooled connections are in use or the transport is closed
	KindUnknownType        ErrorKind = "unknown_type"
	KindUnsupportedVersion ErrorKind = "unsupported_version"
	KindMalformed          ErrorKind = "malformed"
	KindTooLarge           ErrorKind = "too_large"
	KindBusy               ErrorKind = "busy"      // the peer handles as many requests as it allows; it has not run this one
	KindNotFound           ErrorKind = "not_found" // the peer does not have the requested object
	KindFailed             ErrorKind = "failed"    // the peer's handler failed
)

// Error is a failed exchange with a peer. Address is empty if the peer is not known.
type Error struct {
	Kind    ErrorKind
	Address string
	Message string
	Cause   error
	NotSent bool // no byte of the request left this process
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
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindFailed
}

// MayHaveRun reports whether the peer may have run a request that failed with err.
func MayHaveRun(err error) bool {
	if NotSent(err) {
		return false
	}
	switch KindOf(err) {
	case KindLocal, KindUnknownType, KindUnsupportedVersion, KindBusy:
		return false
	}
	return true
}

// NotSent reports whether a request failed before any of it was sent, for example while
// the connection was being opened.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.NotSent
}

// typeError is the type of error responses.
const typeError MessageType = "error"

// errorBody is the body of an error response.
type errorBody struct {
	Kind    ErrorKind `cbor:"kind"`
	Message string    `cbor:"message"`
}
