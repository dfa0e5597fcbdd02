package tables

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
)

const (
	ownCachePrefix    = "org-"
	commonCachePrefix = "common-"
	// commonCacheDigestBytes is the length of the digest that stands for a set of organisations.
	commonCacheDigestBytes = 16
)

// CacheNamespace returns the namespace in which requests of an organisation use and leave
// cached prompt parts; "" stands for requests without an organisation. Requests with
// different namespaces share no part.
//
// An isolated organisation has a namespace of its own, and so has one that this
// configuration does not know. All others have a common one, which names the set of isolated
// organisations: a request that left parts there was sent under a configuration with the same
// set, so none of these is of an organisation that is isolated now. With a set of its own
// each change of it starts an empty namespace, also if the organisation never shared parts: the
// configuration does not tell what the ones before it were.
func (s *Snapshot) CacheNamespace(organisation string) string {
	if organisation != "" {
		if o := s.organisations[organisation]; o == nil || o.HasIsolatedCache {
			return ownCachePrefix + organisation
		}
	}
	return s.commonCache
}

// commonCacheNamespace returns the namespace of the organisations that are not isolated. It
// is "" if all share parts.
func commonCacheNamespace(organisations []Organisation) string {
	var isolated []string
	for i := range organisations {
		if organisations[i].HasIsolatedCache {
			isolated = append(isolated, organisations[i].Name)
		}
	}
	if len(isolated) == 0 {
		return ""
	}
	slices.Sort(isolated)
	var names []byte
	for _, name := range slices.Compact(isolated) {
		names = binary.AppendUvarint(names, uint64(len(name)))
		names = append(names, name...)
	}
	digest := sha256.Sum256(names)
	return commonCachePrefix + hex.EncodeToString(digest[:commonCacheDigestBytes])
}
