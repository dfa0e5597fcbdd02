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

// Version is the version of the messages that this build speaks.
const Version = 1

// MaxMessageBytes bounds a message. The largest one carries an accepted
// configuration, which the platform limits to 1 MB.
const MaxMessageBytes = 2 << 20

// Limits of the decoder. They bound the work that a message can cause before
// its type is known.
const (
	maxNesting   = 8
	maxElements  = 8192 // rows of the instance list at several times the design scale
	maxMapPairs  = 256
	maxTypeBytes = 64
)

// Type names a message.
type Type string

// envelope is a message as it is sent.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Type    Type
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

// encode returns a message as it is sent.
func encode(t Type, body any) ([]byte, error) {
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

// decode reads an envelope. The body is decoded once the type is known.
func decode(data []byte) (envelope, error) {
	if len(data) > MaxMessageBytes {
		return envelope{}, &Error{Kind: KindTooLarge, Message: fmt.Sprintf("message exceeds %d bytes", MaxMessageBytes)}
	}
	var parts []cbor.RawMessage
	if err := decMode.Unmarshal(data, &parts); err != nil {
		return envelope{}, malformed(err)
	}
	if len(parts) == 0 {
		return envelope{}, malformed(errNoVersion)
	}
	var e envelope
	if err := decMode.Unmarshal(parts[0], &e.Version); err != nil {
		return envelope{}, malformed(err)
	}
	// The version comes first: a newer one may have another shape.
	if e.Version > Version {
		return envelope{}, &Error{Kind: KindUnsupportedVersion, Message: fmt.Sprintf("message has version %d, this instance reads up to %d", e.Version, Version)}
	}
	if e.Version == 0 || len(parts) != envelopeParts {
		return envelope{}, malformed(errShape)
	}
	if err := decMode.Unmarshal(parts[1], &e.Type); err != nil {
		return envelope{}, malformed(err)
	}
	if e.Type == "" || len(e.Type) > maxTypeBytes {
		return envelope{}, malformed(errType)
	}
	e.Body = parts[2]
	return e, nil
}

// envelopeParts is the number of elements of a message of this version.
const envelopeParts = 3

// Reasons for which a message is malformed.
var (
	errNoVersion = errors.New("it has no version")
	errShape     = errors.New("it is not version, type and body")
	errType      = fmt.Errorf("its type is empty or longer than %d bytes", maxTypeBytes)
)

func malformed(cause error) error {
	return &Error{Kind: KindMalformed, Message: "message is not readable", Cause: cause}
}

// decodeBody reads a body. Fields that this build does not know are ignored, so
// that a field can be added without a new version.
func decodeBody(e envelope, body any) error {
	if err := decMode.Unmarshal(e.Body, body); err != nil {
		return &Error{Kind: KindMalformed, Message: fmt.Sprintf("body of %s is not readable", e.Type), Cause: err}
	}
	return nil
}

// readMessage reads a message up to the end of its stream.
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
