// Package choice decides which target gets a request. It weighs the computation
// that a cached prefix saves against queueing and zone distance. It does no
// I/O; the caller passes the time in.
//
// Instances do not talk about placement. They agree because the affinity of a
// prefix is a rendezvous hash of its digests and the target ids, which is the
// same everywhere; only the number of targets that a hot prefix spreads over
// comes from local estimates, and the smaller set is always part of the larger.
package choice

import "time"

// Params are the weights and limits of the choice.
type Params struct {
	// PrefillPerToken is the time an engine takes per prompt token it has not cached.
	PrefillPerToken time.Duration
	// ServiceTime is the mean time that a request occupies a place in a batch.
	ServiceTime time.Duration
	// RunningRequestCost is the delay that each running request adds to a new one.
	RunningRequestCost time.Duration
	// ZoneCost is the delay of a target in another zone.
	ZoneCost time.Duration
	// QueueWeight multiplies expected queueing. Above 1 favours tail latency,
	// below 1 saved computation.
	QueueWeight float64
	// AffinityDiscount is the part of the expected computation that a stable placement
	// is worth, because later requests then find it cached.
	AffinityDiscount float64
	// SpillPenalty is the part of the expected computation by which targets other
	// than the affinity targets are told apart, in the same order on each instance.
	// Without it all prompts that spill go to the target reported as idle.
	SpillPenalty float64
	// AffinityTrust is the confidence in a piece that other instances are
	// expected to have sent to the affinity targets.
	AffinityTrust float64
	// SpreadFactor is the number of targets that a prefix gets for each target's
	// worth of traffic it receives.
	SpreadFactor float64
	// SpreadThreshold is the number of targets' worth of traffic from which a prefix of
	// the mean length is spread over several targets. For other lengths it is in
	// proportion, because each further target computes the prefix again.
	SpreadThreshold float64
	// SpreadOverprovision is the number of targets over which the continuations of a spread
	// prefix are placed, for each target that the prefix deserves. Instances
	// estimate demand from their own traffic and so differ; with few targets
	// more, a different estimate moves more of the continuations.
	SpreadOverprovision float64
	// LoadFactor bounds the requests on a target that still gets new prefixes,
	// in multiples of the mean.
	LoadFactor float64
	// PendingWeight multiplies the queueing that is inferred from own requests
	// that wait for their first token. It is known without lag, unlike reports.
	PendingWeight float64
	// LoadSmoothing is the time constant with which load reports are smoothed.
	// Reports are a second old and all instances act on them, so following each
	// at once makes load swing between targets.
	LoadSmoothing time.Duration
	// DemandDecay is the time constant of the demand estimate.
	DemandDecay time.Duration
	// CacheLifetime is how long engines are expected to keep an unused piece.
	CacheLifetime time.Duration
	// MaxDigests bounds the memory of the demand estimate.
	MaxDigests int
	// SlowStart is the time over which a target with an empty cache, or one
	// that failed, is brought to its full share.
	SlowStart time.Duration
	// FailureThreshold opens the circuit of a target when as many come in sequence.
	FailureThreshold int
	// InitialOpen is the first time a circuit stays open. It doubles with each
	// failed probe up to MaxOpen.
	InitialOpen, MaxOpen time.Duration
	// ProbeTimeout frees the place of a probe whose result was never reported.
	ProbeTimeout time.Duration
}

// DefaultParams are the values found with the replay (docs/measurements.md).
func DefaultParams() Params {
	return Params{
		PrefillPerToken:     50 * time.Microsecond,
		ServiceTime:         2 * time.Second,
		RunningRequestCost:  6 * time.Millisecond,
		ZoneCost:            time.Millisecond,
		QueueWeight:         0.5,
		AffinityDiscount:    0.7,
		SpillPenalty:        2,
		AffinityTrust:       1,
		SpreadFactor:        1.25,
		SpreadThreshold:     1.5,
		SpreadOverprovision: 15,
		LoadFactor:          4,
		PendingWeight:       3,
		LoadSmoothing:       10 * time.Second,
		DemandDecay:         60 * time.Second,
		CacheLifetime:       15 * time.Second,
		MaxDigests:          1 << 16,
		SlowStart:           10 * time.Second,
		FailureThreshold:    3,
		InitialOpen:         2 * time.Second,
		MaxOpen:             30 * time.Second,
		ProbeTimeout:        30 * time.Second,
	}
}
