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

// narrow follows the prompt from its first piece. Each piece keeps of the
// remaining targets as many as its demand deserves, the highest by rendezvous
// hash, so the targets of a longer prefix are among those of the shorter one,
// and a piece not seen before ends at one target that all instances agree on.
// It returns the remaining targets and sets in c.prior the pieces that each
// target is expected to hold because other instances place the same way.
func (c *Chooser) narrow(v *View, set []ranked, r *Request, now time.Time) []ranked {
	c.rates = c.demand.Add(c.rates[:0], r.Digests, 1, now)
	own := 1 / c.params.Fade.Seconds() // this request's part of the rates
	// The constant keeps a share small until some traffic has been seen.
	total := c.demand.Total(now) + minShareRequests*own
	expected := 0.0
	for k, digest := range r.Digests {
		rate := c.rates[k] - own
		keep := max(1, int(math.Ceil(c.params.Spread*rate/total*float64(len(v.candidates)))))
		if 4*keep <= 3*len(set) {
			above := rankBy(set, v, digest, keep)
			selectTop(set[:max(above, keep)], keep)
			c.setPrior(set[keep:], expected)
			set = set[:keep]
		}
		arrivals := rate * c.instances * c.params.Lifetime.Seconds() / float64(len(set))
		expected = max(expected, float64(k+1)*c.params.AffinityTrust*(1-math.Exp(-arrivals)))
	}
	c.setPrior(set, expected)
	return set
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
