package choice

import (
	"math"
	"time"
)

// rankedCandidate is a candidate with its rendezvous rank.
type rankedCandidate struct {
	rank  uint64
	index int32 // into View.candidates
}

// mix combines two hashes (the finaliser of SplitMix64).
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// rankAffinityTargets moves the affinity targets of a prompt to the front of
// the set and returns their number. It sets c.expectedPieces to the number of
// pieces that each target is expected to have cached, given that other
// instances place prompts by the same rules.
//
// A piece is hot if it and all pieces before it have more traffic than the
// threshold for spreading a prefix of their length. The first cold piece
// selects a single target by rendezvous hash. So a document with little demand
// stays on one target, and so does a conversation about a hot document.
// Instances agree on that target unless their estimates of the demand lie on
// different sides of the threshold.
func (c *Chooser) rankAffinityTargets(v *View, set []rankedCandidate, r *Request, now time.Time) int {
	c.rates = c.demand.AddRequest(c.rates[:0], r.Digests, 1, now)
	own := 1 / c.params.DemandDecay.Seconds() // contribution of this request to the rates
	// minShareRequests keeps shares small until enough traffic was observed.
	trafficPerTarget := (c.demand.TotalRate(now) + minShareRequests*own) / (c.params.SpreadFactor * float64(len(v.candidates)))
	thresholdPerPiece := trafficPerTarget * c.params.SpreadThreshold / max(1, c.meanPieces)
	cold := 0
	for k := range c.rates {
		c.rates[k] = max(0, c.rates[k]-own)
		if c.rates[k] > thresholdPerPiece*float64(k+1) && cold == k {
			cold++
		}
	}
	cold = c.levelStart(cold)
	all, size := len(set), len(set)
	if cold > 0 {
		size = c.hotTargets(c.rates[cold-1]/trafficPerTarget, all)
		c.spillDigest = r.Digests[cold-1]
	}
	if size < all {
		rankTop(set, v, r.Digests[cold-1], size)
		c.setExpectedPieces(set[size:], c.piecesIfSpread(0, cold, all))
	}
	expected := c.piecesIfSpread(0, cold, size)
	if cold < len(r.Digests) {
		c.spillDigest = r.Digests[cold]
		rankTop(set[:size], v, r.Digests[cold], 1)
		c.setExpectedPieces(set[1:size], expected)
		size = 1
		expected = max(expected, c.piecesIfSpread(cold, len(r.Digests), 1))
	}
	c.setExpectedPieces(set[:size], expected)
	return size
}

// levelStart returns the first piece of the run of pieces that have the same
// traffic as the given one, as the pieces of a document do. Without it,
// instances with slightly different estimates near the threshold would cut a
// document at different pieces, and so select different targets.
func (c *Chooser) levelStart(piece int) int {
	for piece > 0 && piece < len(c.rates) && c.rates[piece-1] <= equalRateRatio*c.rates[piece] {
		piece--
	}
	return piece
}

// equalRateRatio is the ratio up to which two rates count as equal.
const equalRateRatio = 1.02

// hotTargets returns the number of targets among which the continuations of a
// hot piece are placed, given the number of targets that its traffic amounts
// to.
func (c *Chooser) hotTargets(proportional float64, all int) int {
	size := max(1, int(math.Ceil(c.params.SpreadOverprovision*proportional)))
	if 4*size > 3*all {
		return all
	}
	return size
}

// piecesIfSpread returns the number of pieces that a target is expected to have
// cached if prompts with the pieces in [from, to) are spread over size targets.
func (c *Chooser) piecesIfSpread(from, to, size int) float64 {
	most := 0.0
	requestsPerRate := c.instances * c.params.CacheLifetime.Seconds() / float64(size)
	for k := from; k < to; k++ {
		most = max(most, float64(k+1)*c.params.AffinityTrust*(1-math.Exp(-c.rates[k]*requestsPerRate)))
	}
	return most
}

// rankTop moves the n candidates with the highest ranks for a digest to the
// front.
func rankTop(set []rankedCandidate, v *View, digest uint64, n int) {
	above := rankBy(set, v, digest, n)
	selectTop(set[:max(above, n)], n)
}

// minShareRequests is the number of requests after which the estimate of a
// prefix's share of the traffic is meaningful.
const minShareRequests = 10

// setExpectedPieces sets c.expectedPieces of the candidates in set.
func (c *Chooser) setExpectedPieces(set []rankedCandidate, pieces float64) {
	for _, r := range set {
		c.expectedPieces[r.index] = pieces
	}
}

// rankBy ranks a set for a digest and moves the candidates above a threshold to
// the front. It returns their number. The threshold is set so that at least
// keep candidates are above it almost always. Otherwise rankBy returns
// len(set).
func rankBy(set []rankedCandidate, v *View, digest uint64, keep int) int {
	n, k := float64(len(set)), float64(keep)
	above, threshold := 0, uint64(0)
	if fraction := (k + 4*math.Sqrt(k) + 4) / n; fraction < 1 {
		threshold = uint64((1 - fraction) * (1 << 63) * 2)
	}
	for i := range set {
		set[i].rank = mix(digest, v.candidates[set[i].index].hash)
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
func selectTop(set []rankedCandidate, n int) {
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
