// Package poison finds requests and prompt parts that crash the targets which
// work on them, and keeps them away from targets for a time. Instances exchange
// what they saw, because such requests arrive at any of them.
package poison

import (
	"lacewingwheel.example/lacewingwheel/pkg/claim"
)

// Fingerprint identifies a part of prompts or the content of a request.
type Fingerprint string

const (
	partPrefix       = "part-"
	longPartPrefix   = "part-digest-"
	requestPrefix    = "request-"
	maxPartIDBytes   = 32
	digestCharacters = 32
)

// OfPart returns the fingerprint of a part of prompts.
func OfPart(id string) Fingerprint {
	if len(id) > maxPartIDBytes {
		return Fingerprint(longPartPrefix + claim.DigestPart(id).String()[:digestCharacters])
	}
	return Fingerprint(partPrefix + id)
}

// OfRequest returns the fingerprint of a request's content.
func OfRequest(digest claim.Digest) Fingerprint {
	return Fingerprint(requestPrefix + digest.String()[:digestCharacters])
}
