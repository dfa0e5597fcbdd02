// Package daemon assembles a router that takes its settings, configuration and
// targets from a platform.
package daemon

import (
	"net"
	"time"
)

// Settings are the settings of one process.
type Settings struct {
	Instance      string
	Zone          string
	CallerListen  string
	ReadyListen   string
	MetricsListen string
	GossipListen  string // for datagrams between instances; empty: none
	// ExchangeListen is the UDP address for requests between instances; empty: none.
	ExchangeListen string
	StoreAddress   string
	FirstStart     bool    // no instance has run before
	Cores          float64 // of the processor that the process may use
	MemoryBytes    int64
	MaxDescriptors int

	HeartbeatInterval   time.Duration // between writes of a target's entry
	MaxTargetLeaveDelay time.Duration // from a target's leaving to its last request
	StopTimeout         time.Duration // from SIGTERM to the end of the process
	MaxApplyDelay       time.Duration // from an accepted configuration to its use
	MaxRevocationDelay  time.Duration // from a withdrawn key to its last request; zero: not bound
	MaxRolloutDelay     time.Duration // from named weights to their use
	OrderHandoverPause  time.Duration // between orders of two instances

	RetryRatio   float64 // repeats for each request, over all instances
	ExtraRetries float64 // repeats beside the ratio, over all instances
	RetryWindow  time.Duration
	QuotaWindow  time.Duration
	QuotaOverage float64 // part of a limit by which it may be exceeded
	QuotaSlack   float64 // tokens by which it may be exceeded beside that
}

// Host returns the address of the machine.
func (s *Settings) Host() string {
	host, _, err := net.SplitHostPort(s.CallerListen)
	if err != nil {
		return ""
	}
	return host
}
