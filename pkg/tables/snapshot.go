package tables

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"
)

// Snapshot is an accepted configuration, indexed for the request path. It is
// immutable and safe for concurrent use.
type Snapshot struct {
	Generation    uint64
	Tables        *Tables
	pools         map[string]*Pool
	organisations map[string]*Organisation
	// apiKeys is indexed by the first bytes of the digest. The whole digest is
	// then compared in constant time.
	apiKeys     map[digestIndex][]apiKeyEntry
	commonCache string // see CacheNamespace
}

type digestIndex [4]byte

type apiKeyEntry struct {
	digest       [32]byte
	organisation *Organisation
}

// NewSnapshot returns a snapshot of tables that passed Parse. It keeps t, which
// must not be changed afterwards.
func NewSnapshot(generation uint64, t *Tables) *Snapshot {
	s := &Snapshot{
		Generation:    generation,
		Tables:        t,
		pools:         make(map[string]*Pool, len(t.Pools)),
		organisations: make(map[string]*Organisation, len(t.Organisations)),
		apiKeys:       make(map[digestIndex][]apiKeyEntry),
		commonCache:   commonCacheNamespace(t.Organisations),
	}
	for i := range t.Pools {
		s.pools[t.Pools[i].Name] = &t.Pools[i]
	}
	for i := range t.Organisations {
		org := &t.Organisations[i]
		s.organisations[org.Name] = org
		for _, key := range org.Keys {
			index := digestIndex(key.Digest[:4])
			s.apiKeys[index] = append(s.apiKeys[index], apiKeyEntry{digest: key.Digest, organisation: org})
		}
	}
	return s
}

// Pool returns the pool called name, or nil.
func (s *Snapshot) Pool(name string) *Pool { return s.pools[name] }

// Organisation returns the organisation called name, or nil.
func (s *Snapshot) Organisation(name string) *Organisation { return s.organisations[name] }

// HashKey returns the SHA-256 digest of an API key.
func HashKey(key string) [32]byte { return sha256.Sum256([]byte(key)) }

// OrganisationByKeyDigest returns the organisation that has the API key with
// this digest, or nil.
func (s *Snapshot) OrganisationByKeyDigest(digest [32]byte) *Organisation {
	var found *Organisation
	for _, entry := range s.apiKeys[digestIndex(digest[:4])] {
		if subtle.ConstantTimeCompare(entry.digest[:], digest[:]) == 1 {
			found = entry.organisation
		}
	}
	return found
}

// MatchRoutes returns the routes that match a request best, in table order, and
// nil if none matches. An exact path is better than a prefix, and a longer
// prefix better than a shorter one. With equal paths, a route for one host is
// better than one for one model, and that better than one for neither.
func (s *Snapshot) MatchRoutes(host, path, model string) []*Route {
	var best []*Route
	bestScore := -1
	for i := range s.Tables.Routes {
		route := &s.Tables.Routes[i]
		score := route.matchScore(host, path, model)
		if score < 0 || score < bestScore {
			continue
		}
		if score > bestScore {
			best, bestScore = best[:0], score
		}
		best = append(best, route)
	}
	return best
}

// Parts of a match score. The path outweighs the host, and the host outweighs
// the model.
const (
	scoreModel = 1
	scoreHost  = 2
	scorePath  = 4
)

// matchScore returns how well the route matches a request, or -1 if it does not.
func (r *Route) matchScore(host, path, model string) int {
	score := 0
	if r.Host != "" {
		if !strings.EqualFold(r.Host, host) {
			return -1
		}
		score += scoreHost
	}
	if r.Model != "" {
		if r.Model != model {
			return -1
		}
		score += scoreModel
	}
	pathScore := r.pathScore(path)
	if pathScore < 0 {
		return -1
	}
	return score + scorePath*pathScore
}

// pathScore returns how well the route's path matches, or -1 if it does not. An
// exact match scores one more than a prefix of the same length.
func (r *Route) pathScore(path string) int {
	if r.Path == path {
		return 2*len(path) + 1
	}
	if strings.HasSuffix(r.Path, "/") && strings.HasPrefix(path, r.Path) {
		return 2 * len(r.Path)
	}
	return -1
}

// SendsTo reports whether requests of the route go to a pool.
func (r *Route) SendsTo(pool string) bool {
	return r.Pool == pool || slices.ContainsFunc(r.WeightedPools, func(w WeightedPool) bool { return w.Pool == pool })
}

// AllowsOrganisation reports whether the route's list of organisations contains
// the organisation or is empty. It ignores Access.
func (r *Route) AllowsOrganisation(organisation string) bool {
	if len(r.Organisations) == 0 {
		return true
	}
	for _, name := range r.Organisations {
		if name == organisation {
			return true
		}
	}
	return false
}
