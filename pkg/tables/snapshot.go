package tables

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"
)

// Snapshot is an accepted configuration in the form that the request path
// reads. It is immutable.
type Snapshot struct {
	Generation    uint64
	Tables        *Tables
	pools         map[string]*Pool
	organisations map[string]*Organisation
	// keys is indexed by the first bytes of the digest. The rest is compared
	// in constant time.
	keys map[keyPrefix][]keyEntry
}

type keyPrefix [4]byte

type keyEntry struct {
	digest       [32]byte
	organisation *Organisation
}

// NewSnapshot indexes checked tables.
func NewSnapshot(generation uint64, t *Tables) *Snapshot {
	s := &Snapshot{
		Generation:    generation,
		Tables:        t,
		pools:         make(map[string]*Pool, len(t.Pools)),
		organisations: make(map[string]*Organisation, len(t.Organisations)),
		keys:          make(map[keyPrefix][]keyEntry),
	}
	for i := range t.Pools {
		s.pools[t.Pools[i].Name] = &t.Pools[i]
	}
	for i := range t.Organisations {
		org := &t.Organisations[i]
		s.organisations[org.Name] = org
		for _, key := range org.Keys {
			prefix := keyPrefix(key.Digest[:4])
			s.keys[prefix] = append(s.keys[prefix], keyEntry{digest: key.Digest, organisation: org})
		}
	}
	return s
}

// Pool returns the pool with the name, or nil.
func (s *Snapshot) Pool(name string) *Pool { return s.pools[name] }

// Organisation returns the organisation with the name, or nil.
func (s *Snapshot) Organisation(name string) *Organisation { return s.organisations[name] }

// HashKey returns the digest under which a key is stored.
func HashKey(key string) [32]byte { return sha256.Sum256([]byte(key)) }

// OrganisationByKeyDigest returns the organisation that a key digest belongs to, or nil.
func (s *Snapshot) OrganisationByKeyDigest(digest [32]byte) *Organisation {
	var found *Organisation
	for _, entry := range s.keys[keyPrefix(digest[:4])] {
		if subtle.ConstantTimeCompare(entry.digest[:], digest[:]) == 1 {
			found = entry.organisation
		}
	}
	return found
}

// MatchRoutes returns the routes that match a request, in table order. An exact
// path goes before a prefix and a longer prefix before a shorter one; a route
// that names the host or the model goes before one that does not.
func (s *Snapshot) MatchRoutes(host, path, model string) []*Route {
	var best []*Route
	bestScore := -1
	for i := range s.Tables.Routes {
		route := &s.Tables.Routes[i]
		score := route.score(host, path, model)
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

// Scores of a match: path length outweighs a named host, which outweighs a
// named model.
const (
	scoreModel = 1
	scoreHost  = 2
	scorePath  = 4
)

func (r *Route) score(host, path, model string) int {
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

func (r *Route) pathScore(path string) int {
	if r.Path == path {
		return 2*len(path) + 1
	}
	if strings.HasSuffix(r.Path, "/") && strings.HasPrefix(path, r.Path) {
		return 2 * len(r.Path)
	}
	return -1
}

// AllowsOrganisation reports whether an organisation may use the route.
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
