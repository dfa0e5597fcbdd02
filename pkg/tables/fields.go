package tables

import (
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

// Kinds of sections in the two tables.
var (
	kindRoute        = inifile.SectionKind{Keyword: "route", HasName: true}
	kindPool         = inifile.SectionKind{Keyword: "pool", HasName: true}
	kindOrganisation = inifile.SectionKind{Keyword: "organisation", HasName: true}
	kindQuota        = inifile.SectionKind{Keyword: "quota"}
)

// apiKeyPrefix is the prefix of INI keys that hold the digest of an API key. The
// name of the API key follows.
const apiKeyPrefix = "key."

// INI keys that checks refer to.
const (
	keyPool                = "pool"
	keyPath                = "path"
	keyAccess              = "access"
	keyOrganisations       = "organisations"
	keyRepeatable          = "repeatable"
	keyDeadline            = "deadline"
	keyWeight              = "weight"
	keyObjectiveFirstToken = "objective_first_token"
	keyKind                = "kind"
	keyModel               = "model"
	keyDefaultTokens       = "default_tokens"
	keyRate                = "rate"
	keyBurst               = "burst"
	keyStallTimeout        = "stall_timeout"
)

const (
	defaultQuotaShares         = 16
	defaultDeadline            = 60 * time.Second
	defaultPieceTokens         = 1000
	defaultBytesPerToken       = 4.0
	defaultOutputTokens        = 1024
	defaultQueueLimit          = 256
	defaultTargetLimit         = 64
	defaultRetryBudget         = 0.2
	defaultQueueWeight         = 0.5
	defaultLoadLimit           = 2
	defaultStallTimeout        = 10 * time.Second
	defaultGoodFraction        = 0.99
	defaultFirstTokenObjective = 460 * time.Millisecond
	defaultObjectiveWindow     = 30 * 24 * time.Hour
)

const (
	// maxGoodFraction is below 1, because burn rates are divided by the error
	// budget that the objective leaves.
	maxGoodFraction = 0.99999
	// Each quota share needs a lease, which costs writes to the platform.
	maxQuotaShares     = 1024
	maxDeadline        = 24 * time.Hour
	maxObjectiveWindow = 90 * 24 * time.Hour
	maxTokens          = 10_000_000
	maxRate            = 1e9  // tokens per second
	maxBurst           = 1e12 // tokens
	maxCount           = 1_000_000
	maxWeight          = 1000
	maxPriority        = 100
)

func routeFields(r *Route) []inifile.Field {
	return []inifile.Field{
		inifile.Text("host", &r.Host, hostRule),
		inifile.Text(keyPath, &r.Path, pathRule),
		inifile.Text(keyModel, &r.Model, labelRule),
		inifile.Text(keyPool, &r.Pool, inifile.Rule{Required: true, Syntax: "the name of a pool", Check: CheckName}),
		inifile.Enum(keyAccess, &r.Access, AccessKeys, AccessOpen),
		inifile.List(keyOrganisations, &r.Organisations, inifile.Rule{Syntax: "names of organisations, separated by commas", Check: CheckName}),
		inifile.Bool(keyRepeatable, &r.Repeatable, true),
		inifile.Duration(keyDeadline, &r.Deadline, inifile.Range[time.Duration]{Default: defaultDeadline, Min: time.Millisecond, Max: maxDeadline}),
		inifile.Int("priority", &r.Priority, inifile.Range[int]{Min: -maxPriority, Max: maxPriority}),
		inifile.Int(keyWeight, &r.Weight, inifile.Range[int]{Default: 1, Max: maxWeight}),
		inifile.Float("objective_good", &r.Objective.Good, inifile.Range[float64]{Default: defaultGoodFraction, Min: 0.01, Max: maxGoodFraction}),
		inifile.Duration(keyObjectiveFirstToken, &r.Objective.FirstToken, inifile.Range[time.Duration]{Default: defaultFirstTokenObjective, Min: time.Millisecond, Max: maxDeadline}),
		inifile.Duration("objective_window", &r.Objective.Window, inifile.Range[time.Duration]{Default: defaultObjectiveWindow, Min: time.Minute, Max: maxObjectiveWindow}),
	}
}

func poolFields(p *Pool) []inifile.Field {
	return []inifile.Field{
		inifile.Enum(keyKind, &p.Kind, PoolEngine, PoolService),
		selectorField("targets", &p.Selector),
		inifile.Text(keyModel, &p.Model, labelRule),
		inifile.Text("weight_version", &p.WeightVersion, labelRule),
		inifile.Text("adapter", &p.Adapter, labelRule),
		inifile.Int("piece_tokens", &p.PieceTokens, inifile.Range[int]{Default: defaultPieceTokens, Min: 1, Max: maxTokens}),
		inifile.Float("bytes_per_token", &p.BytesPerToken, inifile.Range[float64]{Default: defaultBytesPerToken, Min: 0.1, Max: 100}),
		inifile.Int(keyDefaultTokens, &p.DefaultTokens, inifile.Range[int]{Default: defaultOutputTokens, Min: 1, Max: maxTokens}),
		inifile.Int("queue_limit", &p.QueueLimit, inifile.Range[int]{Default: defaultQueueLimit, Max: maxCount}),
		inifile.Int("target_limit", &p.TargetLimit, inifile.Range[int]{Default: defaultTargetLimit, Min: 1, Max: maxCount}),
		inifile.Float("queue_weight", &p.QueueWeight, inifile.Range[float64]{Default: defaultQueueWeight, Min: 0.1, Max: 2}),
		inifile.Float("retry_budget", &p.RetryBudget, inifile.Range[float64]{Default: defaultRetryBudget, Max: 1}),
		inifile.Duration(keyStallTimeout, &p.StallTimeout, inifile.Range[time.Duration]{Default: defaultStallTimeout, Min: time.Millisecond, Max: maxDeadline}),
		inifile.Bool("check_request_id", &p.CheckRequestID, true),
		inifile.Bool("fencing", &p.SupportsFencing, false),
		inifile.Int("load_limit", &p.LoadLimit, inifile.Range[int]{Default: defaultLoadLimit, Min: 1, Max: maxCount}),
	}
}

// engineOnlyKeys have no effect on a pool of plain services.
var engineOnlyKeys = []string{keyModel, "weight_version", "adapter", "piece_tokens", "fencing", "load_limit"}

func organisationFields(o *Organisation) []inifile.Field {
	fields := []inifile.Field{
		inifile.Float(keyRate, &o.Rate, inifile.Range[float64]{Required: true, Min: 0.001, Max: maxRate}),
		inifile.Float(keyBurst, &o.Burst, inifile.Range[float64]{Required: true, Min: 1, Max: maxBurst}),
		inifile.Int(keyWeight, &o.Weight, inifile.Range[int]{Default: 1, Min: 1, Max: maxWeight}),
	}
	for i := range o.Keys {
		fields = append(fields, digestField(apiKeyPrefix+o.Keys[i].Name, &o.Keys[i].Digest))
	}
	return fields
}

func quotaFields(q *QuotaSettings) []inifile.Field {
	return []inifile.Field{
		inifile.Int("shares", &q.Shares, inifile.Range[int]{Default: defaultQuotaShares, Min: 1, Max: maxQuotaShares}),
	}
}
