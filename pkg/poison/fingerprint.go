// Package poison finds requests and prompt parts that crash the targets which
// work on them, and keeps them away from targets for a time. Instances exchange
// what they saw, because such requests arrive at any of them.
package poison

import (
	"strings"

	"lacewingwheel.example/lacewingwheel/pkg/claim"
)

// Fingerprint identifies a part of prompts, a part in the prompts of one organisation, or
// the content of a request.
type Fingerprint string

const (
	partPrefix             = "part-"
	digestPrefix           = "part-digest-"
	requestPrefix          = "request-"
	organisationPrefix     = "org-"
	maxPartIDBytes         = 32
	digestCharacters       = 32
	organisationCharacters = 8
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

// OfRequest returns the fingerprint of a request's content. It names the organisation,
// because requests of one must not get the prompts of another refused; "" stands for none.
func OfRequest(digest claim.Digest, organisation string) Fingerprint {
	f := requestPrefix + digest.String()[:digestCharacters]
	if organisation != "" {
		f += "-" + claim.DigestPart(organisation).String()[:organisationCharacters]
	}
	return Fingerprint(f)
}

// organisation returns the organisation that a request's fingerprint names, or "".
func (f Fingerprint) organisation() string {
	const start = len(requestPrefix) + digestCharacters
	if !f.isRequest() || len(f) != start+1+organisationCharacters || f[start] != '-' {
		return ""
	}
	return string(f[start+1:])
}

// within returns the fingerprint of a part in the prompts of one organisation.
func (f Fingerprint) within(organisation string) Fingerprint {
	return Fingerprint(organisationPrefix+organisation+"-") + f
}

// isWithinOrganisation reports whether f is a part in the prompts of one organisation.
func (f Fingerprint) isWithinOrganisation() bool {
	return strings.HasPrefix(string(f), organisationPrefix)
}

// splitOrganisation returns the organisation and the part of a fingerprint for which
// isWithinOrganisation holds, and "" and f of another.
func (f Fingerprint) splitOrganisation() (organisation string, part Fingerprint) {
	const end = len(organisationPrefix) + organisationCharacters
	if !f.isWithinOrganisation() || len(f) <= end+1 {
		return "", f
	}
	return string(f[len(organisationPrefix):end]), f[end+1:]
}

// WithOrganisation returns the fingerprints of a request, which are those of its parts and
// then its own, and those of its parts within its organisation.
func WithOrganisation(fingerprints []Fingerprint) []Fingerprint {
	n := len(fingerprints) - 1
	if n < 1 {
		return fingerprints
	}
	organisation := fingerprints[n].organisation()
	if organisation == "" {
		return fingerprints
	}
	all := make([]Fingerprint, 0, 2*n+1)
	all = append(all, fingerprints[:n]...)
	for _, part := range fingerprints[:n] {
		all = append(all, part.within(organisation))
	}
	return append(all, fingerprints[n])
}
