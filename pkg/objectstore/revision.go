package objectstore

import (
	"errors"
	"strconv"
)

// A store that was restored from a copy gives out revisions again. Versions and revisions
// in this program are therefore composed of the era of the store, which rises with each
// restore, and of its own number, so that comparing two of them compares eras first. A
// store without eras has era 0, and its revisions are its numbers.
const (
	// numberBits holds 700 changes a second for 790 years, and numbers that start at a time
	// of day in milliseconds. Composed values of the first 511 eras are exact also for
	// readers of JSON numbers as floating point.
	numberBits = 44
	// MaxNumber and MaxEra are the largest parts of a revision.
	MaxNumber = 1<<numberBits - 1
	MaxEra    = 1<<(64-numberBits) - 1
)

// Revision composes an era and a number of the store. Parts that are too large are cut
// to the largest ones.
func Revision(era, number uint64) uint64 {
	return min(era, MaxEra)<<numberBits | min(number, MaxNumber)
}

// Era returns the era of a revision.
func Era(revision uint64) uint64 { return revision >> numberBits }

// Number returns the number that the store gave a revision.
func Number(revision uint64) uint64 { return revision & MaxNumber }

// FormatRevision returns a revision for logs: its number, after the era if there is one,
// such as "2.41".
func FormatRevision(revision uint64) string {
	number := strconv.FormatUint(Number(revision), 10)
	if Era(revision) == 0 {
		return number
	}
	return strconv.FormatUint(Era(revision), 10) + "." + number
}

// EraOf returns the era of the store in which a call failed; 0 if that is not known.
func EraOf(err error) uint64 {
	var e *Error
	if errors.As(err, &e) {
		return e.Era
	}
	return 0
}
