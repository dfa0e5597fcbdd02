package choice

import (
	"math"
	"time"
)

// ranked is a candidate with its rendezvous rank.
type ranked struct {
	rank uint64
	at   int32 // index into the view's candidates
}

// mix combines two hashes (the finaliser of splitmix64).
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// narrow moves the affinity targets of a prompt to the front of the set and
// returns how many they are. It sets in c.prior the pieces that each target is
// expected to hold because other instances place prompts the same way.
//
// A piece is hot if it and all before it have more traffic than a prefix of
// their length needs to be spread. The first piece that is not, the cold one,
// selects one target by rendezvous hash, so a document of little demand and a
// conversation about a hot document each stay on one target. All instances
// agree on it unless they estimate the demand for a piece on different sides
// of the threshold.
func (c *Chooser) narrow(v *View, set []ranked, r *Request, now time.Time) int {
	c.rates = c.demand.AddRequest(c.rates[:0], r.Digests, 1, now)
	own := 1 / c.params.DemandDecay.Seconds() // this request's part of the rates
	// The constant keeps a share small until some traffic has been seen.
	perTarget := (c.demand.TotalRate(now) + minShareRequests*own) / (c.params.SpreadFactor * float64(len(v.candidates)))
	perPiece := perTarget * c.params.SpreadThreshold / max(1, c.meanPieces)
	cold := 0
	for k := range c.rates {
		c.rates[k] = max(0, c.rates[k]-own)
		if c.rates[k] > perPiece*float64(k+1) && cold == k {
			cold++
		}
	}
	cold = c.levelStart(cold)
	all, size := len(set), len(set)
	if cold > 0 {
		size = c.hotTargets(c.rates[cold-1]/perTarget, all)
		c.spill = r.Digests[cold-1]
	}
	if size < all {
		rankTop(set, v, r.Digests[cold-1], size)
		c.setPrior(set[size:], c.expected(0, cold, all))
	}
	expected := c.expected(0, cold, size)
	if cold < len(r.Digests) {
		c.spill = r.Digests[cold]
		rankTop(set[:size], v, r.Digests[cold], 1)
		c.setPrior(set[1:size], expected)
		size = 1
		expected = max(expected, c.expected(cold, len(r.Digests), 1))
	}
	c.setPrior(set[:size], expected)
	return size
}

// levelStart returns the first piece of the level of nested prefixes that a
// piece is in. All pieces of a level have the traffic of the same prompts. A
// demand near the threshold would else cut a document at a different piece on
// each instance, and each piece selects another target.
func (c *Chooser) levelStart(piece int) int {
	for piece > 0 && piece < len(c.rates) && c.rates[piece-1] <= sameLevel*c.rates[piece] {
		piece--
	}
	return piece
}

// sameLevel is the ratio of two rates up to which they count as equal.
const sameLevel = 1.02

// hotTargets is the number of targets among which the continuations of a piece
// are placed, if the piece deserves the given number by its traffic.
func (c *Chooser) hotTargets(deserved float64, all int) int {
	size := max(1, int(math.Ceil(c.params.SpreadOverprovision*deserved)))
	if 4*size > 3*all {
		return all
	}
	return size
}

// expected is the number of pieces that a target should hold if it is one of
// size targets that the pieces from one to another are sent to.
func (c *Chooser) expected(from, to, size int) float64 {
	best := 0.0
	perTarget := c.instances * c.params.CacheLifetime.Seconds() / float64(size)
	for k := from; k < to; k++ {
		best = max(best, float64(k+1)*c.params.AffinityTrust*(1-math.Exp(-c.rates[k]*perTarget)))
	}
	return best
}

// rankTop moves the n targets that rank highest for a digest to the front.
func rankTop(set []ranked, v *View, digest uint64, n int) {
	above := rankBy(set, v, digest, n)
	selectTop(set[:max(above, n)], n)
}

// minShareRequests is the number of requests after which a prefix's share of
// the traffic is taken to be known.
const minShareRequests = 10

func (c *Chooser) setPrior(set []ranked, pieces float64) {
	for _, r := range set {
		c.prior[r.at] = pieces
	}
}

// rankBy ranks a set for a digest and moves the ranks above a threshold to the
// front. The threshold is such that hardly ever fewer than keep are above it;
// if it happens, the whole set is reported as above.
func rankBy(set []ranked, v *View, digest uint64, keep int) int {
	n, k := float64(len(set)), float64(keep)
	above, threshold := 0, uint64(0)
	if fraction := (k + 4*math.Sqrt(k) + 4) / n; fraction < 1 {
		threshold = uint64((1 - fraction) * (1 << 63) * 2)
	}
	for i := range set {
		set[i].rank = mix(digest, v.candidates[set[i].at].hash)
		if set[i].rank >= threshold {
			set[above], set[i] = set[i], set[above]
			above++
		}
	}
	if above < keep {
		return len(set)
	}
	return above
}

// selectTop moves the n highest ranks to the front (quickselect).
func selectTop(set []ranked, n int) {
	low, high := 0, len(set)-1
	for low < high {
		pivot := set[(low+high)/2].rank
		i, j := low, high
		for i <= j {
			for set[i].rank > pivot {
				i++
			}
			for set[j].rank < pivot {
				j--
			}
			if i <= j {
				set[i], set[j] = set[j], set[i]
				i, j = i+1, j-1
			}
		}
		switch {
		case n-1 <= j:
			high = j
		case n-1 >= i:
			low = i
		default:
			return
		}
	}
}
