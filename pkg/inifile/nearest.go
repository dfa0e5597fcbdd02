package inifile

import (
	"slices"

	"github.com/agnivade/levenshtein"
)

// NearestName returns the known name with the smallest edit distance to name.
// Of several it returns the first in alphabetical order, and an empty string if
// known is empty.
func NearestName(name string, known []string) string {
	sorted := slices.Sorted(slices.Values(known))
	nearest, nearestDistance := "", -1
	for _, candidate := range sorted {
		distance := levenshtein.ComputeDistance(name, candidate)
		if nearestDistance < 0 || distance < nearestDistance {
			nearest, nearestDistance = candidate, distance
		}
	}
	return nearest
}
