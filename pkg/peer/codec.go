// Package peer carries messages between instances: QUIC with mutual TLS, one
// request and one response per stream, each a CBOR array of version, type and
// body.
package peer

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the messages that this build sends, and the newest
// that it reads.
const Version = 1

// MaxMessageBytes bounds an encoded message, in bytes. The largest message carries
// an accepted configuration, which the platform limits to 1 MB.
const MaxMessageBytes = 2 << 20

// Limits of the decoder. They bound the work that a message can cause before
// its type is known.
const (
	maxNesting   = 8
	maxElements  = 8192 // rows of the instance list at several times the design scale
	maxMapPairs  = 256
	maxTypeBytes = 64
)

// MessageType identifies a request or response on the wire.
type MessageType string

// envelope is the wire format of a message.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Type    MessageType
	Body    cbor.RawMessage
}

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

func newEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("peer: CBOR encoder options: " + err.Error())
	}
	return mode
}

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		UTF8:             cbor.UTF8RejectInvalid,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	if err != nil {
		panic("peer: CBOR decoder options: " + err.Error())
	}
	return mode
}

// encode returns the wire form of a message. It returns an error of KindTooLarge
// for more than MaxMessageBytes.
func encode(t MessageType, body any) ([]byte, error) {
	raw, err := encMode.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", t, err)
	}
	data, err := encMode.Marshal(envelope{Version: Version, Type: t, Body: raw})
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", t, err)
	}
	if len(data) > MaxMessageBytes {
		return nil, &Error{Kind: KindTooLarge, Message: fmt.Sprintf("%s has %d bytes, the limit is %d", t, len(data), MaxMessageBytes)}
	}
	return data, nil
}

// decode parses an envelope. The body stays encoded, because its Go type depends
// on the message type.
func decode(data []byte) (envelope, error) {
	if len(data) > MaxMessageBytes {
		return envelope{}, &Error{Kind: KindTooLarge, Message: fmt.Sprintf("message exceeds %d bytes", MaxMessageBytes)}
	}
	var elements []cbor.RawMessage
	if err := decMode.Unmarshal(data, &elements); err != nil {
		return envelope{}, malformedError(err)
	}
	if len(elements) == 0 {
		return envelope{}, malformedError(errEmptyArray)
	}
	var e envelope
	if err := decMode.Unmarshal(elements[0], &e.Version); err != nil {
		return envelope{}, malformedError(err)
	}
	// The version is checked first, because a newer version may have more or fewer
	// elements.
	if e.Version > Version {
		return envelope{}, &Error{Kind: KindUnsupportedVersion, Message: fmt.Sprintf("message has version %d, this instance reads up to %d", e.Version, Version)}
	}
	if e.Version == 0 || len(elements) != envelopeElements {
		return envelope{}, malformedError(errElementCount)
	}
	if err := decMode.Unmarshal(elements[1], &e.Type); err != nil {
		return envelope{}, malformedError(err)
	}
	if e.Type == "" || len(e.Type) > maxTypeBytes {
		return envelope{}, malformedError(errTypeLength)
	}
	e.Body = elements[2]
	return e, nil
}

// envelopeElements is the number of elements of an envelope: version, type and
// body.
const envelopeElements = 3

// Reasons for which a message is malformed.
var (
	errEmptyArray   = errors.New("the array is empty")
	errElementCount = errors.New("expected version, type and body")
	errTypeLength   = fmt.Errorf("the type is empty or longer than %d bytes", maxTypeBytes)
)

func malformedError(cause error) error {
	return &Error{Kind: KindMalformed, Message: "message is not readable", Cause: cause}
}

// decodeBody decodes the body of an envelope. Unknown fields are ignored, so that
// fields can be added without a new message version.
func decodeBody(e envelope, body any) error {
	if err := decMode.Unmarshal(e.Body, body); err != nil {
		return &Error{Kind: KindMalformed, Message: fmt.Sprintf("body of %s is not readable", e.Type), Cause: err}
	}
	return nil
}

// readMessage reads one message, which ends with the stream.
func readMessage(r io.Reader) (envelope, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxMessageBytes+1))
	if err != nil {
		return envelope{}, err
	}
	if len(data) == 0 {
		return envelope{}, &Error{Kind: KindMalformed, Message: "message is empty", Cause: errors.New("the stream ended")}
	}
	return decode(data)
}
