package daemon

import (
	"lacewingwheel.example/lacewingwheel/pkg/admission"
	"lacewingwheel.example/lacewingwheel/pkg/relay"
)

const (
	// waitingRequestBytes is the memory that a waiting request is assumed to take, with
	// its body, connection and goroutine, and waitingMemoryDivisor the part of the
	// process's memory that they may take together.
	waitingRequestBytes  = 64 << 10
	waitingMemoryDivisor = 10
	// maxWaitingRequests bounds the time in which a decision among them is made.
	maxWaitingRequests = 1000
)

// newAdmission returns the admission of requests to pools under contention.
func newAdmission(s *Settings, instanceCount func() int) *relay.Admission {
	a := &relay.Admission{Expected: s.ExpectsContention, MaxWaiting: maxWaitingRequests, Usage: admission.NewUsage(), InstanceCount: instanceCount}
	a.Usage.InstanceCount = instanceCount
	if s.MemoryBytes > 0 {
		a.MaxWaiting = int(min(maxWaitingRequests, s.MemoryBytes/waitingMemoryDivisor/waitingRequestBytes))
	}
	return a
}
