// Package poison finds requests and prompt parts that crash the targets which
// work on them, and keeps them away from targets for a time. Instances exchange
// what they saw, because such requests arrive at any of them.
package poison

import (
	"strings"

	"lacewingwheel.example/lacewingwheel/pkg/claim"
)

// Fingerprint identifies a part of prompts or the content of a request.
type Fingerprint string

const (
	partPrefix       = "part-"
	digestPrefix     = "part-digest-"
	requestPrefix    = "request-"
	maxPartIDBytes   = 32
	digestCharacters = 32
)

// OfPart returns the fingerprint of a part of prompts. Callers choose the ID, and
// fingerprints are names of stored objects, so that an ID that is long or has other
// characters than letters and digits is replaced by its digest.
func OfPart(id string) Fingerprint {
	if len(id) > maxPartIDBytes || strings.ContainsFunc(id, func(r rune) bool {
		return (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	}) {
		return Fingerprint(digestPrefix + claim.DigestPart(id).String()[:digestCharacters])
	}
	return Fingerprint(partPrefix + id)
}

// isRequest reports whether f is the fingerprint of a request's content.
func (f Fingerprint) isRequest() bool { return strings.HasPrefix(string(f), requestPrefix) }

// OfRequest returns the fingerprint of a request's content.
func OfRequest(digest claim.Digest) Fingerprint {
	return Fingerprint(requestPrefix + digest.String()[:digestCharacters])
}
