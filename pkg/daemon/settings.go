// Package daemon assembles a router that takes its settings, configuration and
// targets from a platform.
package daemon

import (
	"net"
	"time"
)

// Settings are the settings of one process. Addresses are host:port.
type Settings struct {
	Instance      string
	Zone          string
	CallerListen  string // TCP
	ReadyListen   string // TCP, for readiness probes
	MetricsListen string // TCP; empty: metrics are not served
	GossipListen  string // UDP, for load reports between instances; empty: none
	// ExchangeListen is the UDP address for requests between instances; empty: none.
	ExchangeListen string
	StoreAddress   string  // of the platform's object store
	FirstStart     bool    // the whole system starts for the first time
	Cores          float64 // processor cores that the process may use
	MemoryBytes    int64   // memory that the process may use; zero: no limit
	MaxDescriptors int     // file descriptors that the process may open

	HeartbeatInterval   time.Duration // between updates of a target's entry
	MaxTargetLeaveDelay time.Duration // from the leaving of a target until it gets no more requests
	StopTimeout         time.Duration // from SIGTERM to the end of the process
	MaxApplyDelay       time.Duration // from the acceptance of a configuration until it is used
	MaxRevocationDelay  time.Duration // from the revocation of a key until it is refused; zero: no bound
	MaxRolloutDelay     time.Duration // from the announcement of weights until older ones are no longer used
	OrderHandoverPause  time.Duration // between the last order of one instance and the first of the next

	RetryRatio   float64       // retries per request, over all instances
	ExtraRetries float64       // retries in each window in addition to the ratio, over all instances
	RetryWindow  time.Duration // over which retries are counted
	QuotaWindow  time.Duration // over which an organisation's tokens are counted
	QuotaOverage float64       // fraction of a limit by which it may be exceeded
	QuotaSlack   float64       // tokens by which a limit may be exceeded in addition

	// Deliveries of service versions. MaxExposureShare is the largest part of a service's
	// requests that an unproven version may get, and ExposureSlack the requests that it may
	// get in addition. RollbackDelay bounds the time from a failed version's last tolerated
	// error until it gets no more requests. Zero shares and delays: no deliveries.
	MaxExposureShare float64
	ExposureSlack    float64
	RollbackDelay    time.Duration

	// ExpectsContention is set where callers regularly ask for more than the targets can
	// serve, so that requests are admitted by urgency and share.
	ExpectsContention bool
	LinkBitsPerSecond float64 // of the instance's network link; zero: not stated
}

// Host returns the host of CallerListen, or "" if the address is invalid.
func (s *Settings) Host() string {
	host, _, err := net.SplitHostPort(s.CallerListen)
	if err != nil {
		return ""
	}
	return host
}
