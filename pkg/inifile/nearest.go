package inifile

import (
	"slices"

	"github.com/agnivade/levenshtein"
)

// NearestName returns the known name with the smallest edit distance, the first by
// alphabet among equals, or an empty string when none is known.
func NearestName(name string, known []string) string {
	sorted := slices.Sorted(slices.Values(known))
	best, bestDistance := "", -1
	for _, candidate := range sorted {
		distance := levenshtein.ComputeDistance(name, candidate)
		if bestDistance < 0 || distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}
