package prefix

import (
	"math"
	"time"
)

// RateEstimator estimates the share of this instance's traffic that starts with a
// prefix. Old traffic fades exponentially. It is not safe for concurrent use.
type RateEstimator struct {
	fade  time.Duration
	limit int // digests in each generation
	base  time.Time
	total float64
	// Digests that were not used since the last change of generation are
	// dropped at the next one, which bounds the memory.
	recent, older map[uint64]float64
}

// maxExponent keeps the growing weights of new traffic in the range of float64.
const maxExponent = 300

// NewRateEstimator returns an estimate that forgets with time constant fade and
// remembers at most maxDigests digests.
func NewRateEstimator(fade time.Duration, maxDigests int) *RateEstimator {
	return &RateEstimator{fade: fade, limit: maxDigests / 2, recent: make(map[uint64]float64), older: make(map[uint64]float64)}
}

// AddRequest counts one request of the given weight and appends to dst, for each of
// its digests, the rate (weight per second) seen so far.
//
// New traffic counts more instead of old traffic being reduced (forward decay),
// so no entry has to be touched as time passes.
func (d *RateEstimator) AddRequest(dst []float64, digests []uint64, weight float64, now time.Time) []float64 {
	growth := d.growth(now)
	perSecond := 1 / (growth * d.fade.Seconds())
	d.total += weight * growth
	for _, digest := range digests {
		sum, ok := d.recent[digest]
		if !ok {
			sum = d.older[digest]
		}
		sum += weight * growth
		d.recent[digest] = sum
		dst = append(dst, sum*perSecond)
	}
	if len(d.recent) > d.limit {
		d.older, d.recent = d.recent, d.older
		clear(d.recent)
	}
	return dst
}

// TotalRate returns the rate of all traffic.
func (d *RateEstimator) TotalRate(now time.Time) float64 {
	return d.total / (d.growth(now) * d.fade.Seconds())
}

func (d *RateEstimator) growth(now time.Time) float64 {
	if d.base.IsZero() {
		d.base = now
	}
	exponent := float64(now.Sub(d.base)) / float64(d.fade)
	if exponent < maxExponent {
		return math.Exp(exponent)
	}
	factor := math.Exp(-exponent)
	d.total *= factor
	for digest := range d.recent {
		d.recent[digest] *= factor
	}
	for digest := range d.older {
		d.older[digest] *= factor
	}
	d.base = now
	return 1
}
