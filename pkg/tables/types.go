// Package tables parses, checks, compares and renders the two tables that
// operators edit, routes and pools, and holds the immutable snapshot of them
// that the request path reads.
package tables

import "time"

// Tables is the content of both tables.
type Tables struct {
	Quota         QuotaSettings
	Routes        []Route
	Pools         []Pool
	Organisations []Organisation
	Limits        CallerLimits
}

// CallerLimits limit requests from callers. A zero value means no limit.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // longest time to read a request header
	IdleTimeout   time.Duration // longest time between requests on a connection
}

// QuotaSettings is the [quota] section of the pools table.
type QuotaSettings struct {
	// Shares is the number of equal shares that the rate and burst of each
	// organisation are divided into.
	Shares int
}

// Access determines who may use a route.
type Access string

// Access values.
const (
	AccessKeys Access = "keys" // callers whose key belongs to an allowed organisation
	AccessOpen Access = "open" // every caller, without a key
)

// Route determines the pool for the requests that match host, path and model,
// and how they are handled.
type Route struct {
	Name          string
	Host          string // empty matches every host
	Path          string // exact, or a prefix when it ends in "/"
	Model         string // empty matches every model
	Pool          string
	Access        Access
	Organisations []string      // empty allows every organisation with a key
	Repeatable    bool          // requests may run more than once, so they may be retried
	Deadline      time.Duration // longest time for a request
	Priority      int           // higher is more urgent in pkg/gateway; in pkg/relay 0 is the most urgent
	Weight        int           // share of requests among routes that match equally well
	Objective     Objective

	// WeightedPools distributes the requests over pools by weight. If it is
	// empty, all requests use Pool.
	WeightedPools []WeightedPool
	// MaxAttempts is the most targets that one request is sent to. If it is
	// zero, the router decides.
	MaxAttempts int
	// StreamsEvents is set if responses are streams of events.
	StreamsEvents bool
	// UsesCacheAffinity is set if requests name the parts of their prompt, and
	// targets cache these parts.
	UsesCacheAffinity bool
	// MaxEventGap is the longest pause between the events of a response that
	// meets the objective. Zero means no bound.
	MaxEventGap time.Duration
}

// WeightedPool is a pool that gets a share of a route's requests.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Objective is the service-level objective of a route.
type Objective struct {
	Good       float64       // fraction of requests, from 0 to 1, that must be good
	FirstToken time.Duration // longest time to the first token of a good request
	Window     time.Duration // period over which the fraction is measured
}

// PoolKind is the kind of the targets in a pool.
type PoolKind string

// Pool kinds.
const (
	PoolEngine  PoolKind = "engine"
	PoolService PoolKind = "service"
)

// Pool is a group of targets with common settings.
type Pool struct {
	Name          string
	Kind          PoolKind
	Selector      map[string]string // labels that a target must have
	Model         string
	WeightVersion string
	Adapter       string
	PieceTokens   int     // tokens in each piece of a cached prefix
	BytesPerToken float64 // estimate until targets report their usage
	DefaultTokens int     // output tokens assumed if a request states no maximum
	QueueLimit    int     // most requests waiting for a target
	TargetLimit   int     // most requests running on one target
	// QueueWeight multiplies the expected queueing delay of a target when it is
	// compared with the computation that a cached prefix saves.
	QueueWeight  float64
	RetryBudget  float64       // retries per request on average
	StallTimeout time.Duration // longest wait for the next byte from a target
	// CheckRequestID rejects responses whose request ID differs from the one
	// sent. It is off for services that set IDs of their own in that header.
	CheckRequestID  bool
	SupportsFencing bool // targets refuse orders with an old fencing token
	LoadLimit       int  // most targets that load weights at the same time

	// MaxConnections is the most connections that each target accepts from all
	// instances together. Zero means no limit.
	MaxConnections int
	// Engine describes the engines of an engine pool. It is nil if unknown.
	Engine *EngineLimits
	// CacheStore is set if the pool is a store of cached prompt parts, which has
	// an address of its own and no targets, and is nil otherwise.
	CacheStore *CacheStore
}

// EngineLimits are the limits of each engine of a pool.
type EngineLimits struct {
	Slots       int      // requests that run at the same time
	CacheTokens int      // memory shared by running requests and cached parts, in tokens
	Models      []string // model names
}

// CacheStore is a store of cached prompt parts.
type CacheStore struct {
	Address     string
	Zone        string
	CacheTokens int // capacity in tokens
}

// Organisation is a group of callers with common API keys, a rate limit and a
// weight in fair queueing.
type Organisation struct {
	Name   string
	Rate   float64 // tokens per second over all instances
	Burst  float64 // tokens over all instances
	Weight int     // weight in fair queueing
	Keys   []APIKey

	// HasIsolatedCache is set if cached prompt parts are not shared with other
	// organisations.
	HasIsolatedCache bool
	// Priority overrides the priority of the route if it is not nil. 0 is the
	// most urgent.
	Priority *int
	// DefaultCost is charged for a request that states no token counts, in the
	// unit of Burst.
	DefaultCost int64
}

// APIKey is the name and digest of a caller's key. The key itself is not stored.
type APIKey struct {
	Name   string
	Digest [32]byte // SHA-256
}
