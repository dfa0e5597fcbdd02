package prefix

import (
	"math"
	"time"
)

// RateEstimator estimates the rate of this instance's requests per prefix. Old
// requests decay exponentially. It is not safe for concurrent use.
type RateEstimator struct {
	decay            time.Duration
	maxPerGeneration int
	growthBase       time.Time
	totalSum         float64
	// Weighted sums of requests by digest, in two generations. When the current
	// one is full it replaces the previous one, whose digests are dropped: this
	// bounds the memory and keeps the digests that are in use.
	current, previous map[uint64]float64
}

// maxExponent keeps the growing weights of new requests in the range of float64.
const maxExponent = 300

// NewRateEstimator returns an estimator whose sums decay with the time constant
// decay and which remembers about maxDigests digests.
func NewRateEstimator(decay time.Duration, maxDigests int) *RateEstimator {
	return &RateEstimator{decay: decay, maxPerGeneration: maxDigests / 2, current: make(map[uint64]float64), previous: make(map[uint64]float64)}
}

// AddRequest counts one request of the given weight. For each of its digests it
// appends the rate so far, this request included, to dst, in weight per second.
//
// It uses forward decay: new requests get a growing weight instead of old sums
// being reduced, so no entry changes as time passes.
func (d *RateEstimator) AddRequest(dst []float64, digests []uint64, weight float64, now time.Time) []float64 {
	growth := d.growthAt(now)
	perSecond := 1 / (growth * d.decay.Seconds())
	d.totalSum += weight * growth
	for _, digest := range digests {
		sum, ok := d.current[digest]
		if !ok {
			sum = d.previous[digest]
		}
		sum += weight * growth
		d.current[digest] = sum
		dst = append(dst, sum*perSecond)
	}
	if len(d.current) > d.maxPerGeneration {
		d.previous, d.current = d.current, d.previous
		clear(d.current)
	}
	return dst
}

// TotalRate returns the rate of all requests in weight per second.
func (d *RateEstimator) TotalRate(now time.Time) float64 {
	return d.totalSum / (d.growthAt(now) * d.decay.Seconds())
}

// growthAt returns the factor by which a request at now weighs more than one at
// growthBase. When the factor gets too large it scales all sums and moves
// growthBase to now.
func (d *RateEstimator) growthAt(now time.Time) float64 {
	if d.growthBase.IsZero() {
		d.growthBase = now
	}
	exponent := float64(now.Sub(d.growthBase)) / float64(d.decay)
	if exponent < maxExponent {
		return math.Exp(exponent)
	}
	factor := math.Exp(-exponent)
	d.totalSum *= factor
	for digest := range d.current {
		d.current[digest] *= factor
	}
	for digest := range d.previous {
		d.previous[digest] *= factor
	}
	d.growthBase = now
	return 1
}
