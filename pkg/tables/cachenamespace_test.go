package tables

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// isolationOf returns a configuration with these organisations. The value tells whether one
// is isolated.
func isolationOf(organisations map[string]bool) *Snapshot {
	t := &Tables{}
	for name, isolated := range organisations {
		t.Organisations = append(t.Organisations, Organisation{Name: name, HasIsolatedCache: isolated})
	}
	return NewSnapshot(1, t)
}

// Parts that an isolated organisation made were used by others, or the reverse, in a series
// in which organisations come, go, are isolated and share again, while instances have
// configurations of different ages.
func TestSeriesOfIsolationsKeepsPartsApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "common-", "org-a", ""}
		var versions []map[string]bool
		makers := make(map[string]map[string]bool) // of each namespace
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(versions) == 0 || rapid.IntRange(0, 3).Draw(t, "change") == 0 {
				next := make(map[string]bool)
				for _, name := range names[:len(names)-1] {
					if rapid.IntRange(0, 4).Draw(t, "present") > 0 {
						next[name] = rapid.Bool().Draw(t, "isolated")
					}
				}
				versions = append(versions, next)
			}
			at := max(0, len(versions)-1-rapid.IntRange(0, 3).Draw(t, "versions behind"))
			seen, user := versions[at], rapid.SampledFrom(names).Draw(t, "organisation")
			isIsolated := func(name string) bool {
				isolated, known := seen[name]
				return isolated || name != "" && !known
			}
			namespace := isolationOf(seen).CacheNamespace(user)
			for maker := range makers[namespace] {
				if maker != user && (seen[maker] || isIsolated(user)) {
					t.Fatalf("a request of %q uses parts of %q in namespace %q under %v", user, maker, namespace, seen)
				}
			}
			if makers[namespace] == nil {
				makers[namespace] = make(map[string]bool)
			}
			makers[namespace][user] = true
		}
	})
}

// Organisations that may share parts computed all of them again where their namespace followed
// from more than the isolated set: the order of the table, an organisation that shares, a limit.
func TestCommonNamespaceFollowsFromTheIsolatedSetAlone(t *testing.T) {
	one := isolationOf(map[string]bool{"a": false, "b": true, "c": true}).CacheNamespace("a")
	assert.Assert(t, one != "")
	for n := range 20 { // the order of a map differs
		organisations := map[string]bool{"a": false, "b": true, "c": true, fmt.Sprint("new-", n): false}
		assert.Equal(t, isolationOf(organisations).CacheNamespace("a"), one)
	}
	assert.Equal(t, isolationOf(map[string]bool{"a": false}).CacheNamespace("a"), "")
}
