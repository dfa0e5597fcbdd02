// Package tables holds the two tables that operators edit, routes and pools,
// and the immutable snapshot of them that the request path reads.
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

// CallerLimits bound what a caller may send. Zero values mean no limit.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// QuotaSettings are values of the pools table that concern all pools.
type QuotaSettings struct {
	// Shares is the number of shares that each organisation's rate and
	// burst are divided into.
	Shares int
}

// Access says who may use a route.
type Access string

// Access values.
const (
	AccessKeys Access = "keys" // callers whose key belongs to an allowed organisation
	AccessOpen Access = "open" // everybody, without a key
)

// Route says where matching requests go.
type Route struct {
	Name          string
	Host          string // empty matches every host
	Path          string // exact, or a prefix when it ends in "/"
	Model         string // empty matches every model
	Pool          string
	Access        Access
	Organisations []string // empty allows every organisation with a key
	Repeatable    bool
	Deadline      time.Duration
	Priority      int
	Weight        int
	Objective     Objective

	// WeightedPools divides the requests between pools by weight. If it is empty, all
	// go to Pool.
	WeightedPools []WeightedPool
	// MaxAttempts bounds the targets that one request is sent to; zero leaves
	// it to the router.
	MaxAttempts int
	// StreamsEvents says that responses are streams of events.
	StreamsEvents bool
	// UsesCacheAffinity says that requests name the parts of their prompt, which
	// targets cache.
	UsesCacheAffinity bool
	// MaxEventGap is the longest pause between events of a good response.
	MaxEventGap time.Duration
}

// WeightedPool is one part of a route's split.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Objective is the service-level objective of a route.
type Objective struct {
	Good       float64       // fraction of requests that must be good
	FirstToken time.Duration // a good request has its first token by then
	Window     time.Duration
}

// PoolKind says what the targets of a pool are.
type PoolKind string

// Pool kinds.
const (
	PoolEngine  PoolKind = "engine"
	PoolService PoolKind = "service"
)

// Pool names a group of targets.
type Pool struct {
	Name          string
	Kind          PoolKind
	Selector      map[string]string // labels that a target must have
	Model         string
	WeightVersion string
	Adapter       string
	PieceTokens   int     // size of a cached prefix piece
	BytesPerToken float64 // estimate until targets report usage
	DefaultTokens int     // output tokens assumed when a request states no maximum
	QueueLimit    int     // requests waiting for a target
	TargetLimit   int     // requests running on one target
	// QueueWeight weighs expected queueing on a target against computation that
	// a cached prefix saves.
	QueueWeight  float64
	RetryBudget  float64       // retries per request, as a moving average
	StallTimeout time.Duration // longest wait for the next byte of a target
	// CheckRequestID drops responses with another request id than was sent. It
	// is off for services that put ids of their own into that header.
	CheckRequestID  bool
	SupportsFencing bool // targets refuse orders with an old fencing token
	LoadLimit       int  // targets that may load weights at the same time

	// MaxConnections is how many connections each target accepts from all
	// instances together; zero means no stated limit.
	MaxConnections int
	// Engine describes the engines of an engine pool, if that is known.
	Engine *EngineLimits
	// CacheStore is set on a pool that is a store of cached prompt parts. It
	// has an address of its own and no targets.
	CacheStore *CacheStore
}

// EngineLimits describe the engines of a pool.
type EngineLimits struct {
	Slots       int
	CacheTokens int // memory that running requests and cached parts share
	Models      []string
}

// CacheStore is a store of cached prompt parts.
type CacheStore struct {
	Address     string
	Zone        string
	CacheTokens int
}

// Organisation has keys, a rate and a burst.
type Organisation struct {
	Name   string
	Rate   float64 // tokens per second over all instances
	Burst  float64 // tokens over all instances
	Weight int     // weight in fair queueing
	Keys   []APIKey

	// HasIsolatedCache keeps cached prompt parts apart from those of all others.
	HasIsolatedCache bool
	// Priority replaces that of the route if it is set; 0 is the most urgent.
	Priority *int
	// DefaultCost is what a request without stated token numbers counts as.
	DefaultCost int64
}

// APIKey is the digest of a caller's key. The key itself is never stored.
type APIKey struct {
	Name   string
	Digest [32]byte // SHA-256
}
