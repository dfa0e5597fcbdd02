// Package choice selects the target of a request. It weighs the computation
// that a cached prefix saves against queueing and zone distance. It does no
// I/O; the caller passes the time in.
//
// Instances agree on placement without exchanging messages: the affinity of a
// prefix is a rendezvous hash of its digests and the target IDs, which is the
// same on all instances. Only the number of targets that a hot prefix is spread
// over depends on local estimates, and the smaller set is always a subset of
// the larger one.
package choice

import "time"

// Params are the costs, weights and limits that targets are selected by.
type Params struct {
	// PrefillPerToken is the time that an engine takes per uncached prompt
	// token.
	PrefillPerToken time.Duration
	// ServiceTime is the mean time that a request occupies a slot of a batch.
	ServiceTime time.Duration
	// RunningRequestCost is the delay that each running request adds to a new
	// one.
	RunningRequestCost time.Duration
	// ZoneCost is the extra delay of a target in another zone.
	ZoneCost time.Duration
	// QueueWeight multiplies the expected queueing delay. Values above 1 favour
	// tail latency, values below 1 saved computation.
	QueueWeight float64
	// AffinityDiscount is the fraction by which the cost of computation is
	// reduced on affinity targets, because later requests find the result
	// cached there.
	AffinityDiscount float64
	// SpillPenalty is the largest penalty on a target that is not an affinity
	// target, in multiples of the expected computation. It depends on the
	// rendezvous hash, so that a prompt spills to the same targets on each
	// instance. Without it all prompts that spill would go to the target
	// reported as idle.
	SpillPenalty float64
	// AffinityTrust is the confidence, from 0 to 1, that a piece is cached on
	// the affinity targets because other instances sent it there.
	AffinityTrust float64
	// SpreadFactor multiplies the number of targets that the traffic of a
	// prefix amounts to, at the mean traffic per target.
	SpreadFactor float64
	// SpreadThreshold is the number of targets, after SpreadFactor, from which
	// a prefix of mean length is spread over several targets. It is scaled by
	// the length of the prefix, because each further target has to compute it.
	SpreadThreshold float64
	// SpreadOverprovision is the factor by which the number of targets for the
	// continuations of a spread prefix exceeds the number that its traffic
	// amounts to. Instances estimate demand from their own traffic and so
	// disagree; with a small factor, this would place more of the continuations
	// on different targets.
	SpreadOverprovision float64
	// LoadFactor is the number of requests, in multiples of the mean over all
	// targets, above which a target is skipped.
	LoadFactor float64
	// PendingWeight multiplies the queueing delay estimated from requests of
	// this instance that wait for their first token. Unlike load reports, their
	// number is never stale.
	PendingWeight float64
	// LoadSmoothing is the time constant for smoothing load reports. Reports
	// are about a second old and all instances act on them, so without
	// smoothing the load would oscillate between targets.
	LoadSmoothing time.Duration
	// DemandDecay is the time constant of the demand estimate.
	DemandDecay time.Duration
	// CacheLifetime is the time that engines are expected to keep an unused
	// piece cached.
	CacheLifetime time.Duration
	// MaxDigests is the largest number of digests in the demand estimate.
	MaxDigests int
	// SlowStart is the time over which the load of a target that restarted, or
	// whose circuit closed, is raised to its full share.
	SlowStart time.Duration
	// FailureThreshold is the number of consecutive failures that opens the
	// circuit.
	FailureThreshold int
	// InitialOpen is the time that a circuit stays open at first. It doubles
	// with each failed probe, up to MaxOpen.
	InitialOpen, MaxOpen time.Duration
	// ProbeTimeout is the time after which another probe is allowed if the
	// result of the last one was not recorded.
	ProbeTimeout time.Duration
}

// DefaultParams returns the default parameters.
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
