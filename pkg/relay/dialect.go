package relay

import (
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/placement"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// RequestMetadata is what a caller's header says of its request.
type RequestMetadata struct {
	ID     string
	Key    string
	HasKey bool
	// Timeout is how long the caller waits; zero if it does not say.
	Timeout         time.Duration
	Model           string
	PromptParts     []placement.Part // of the prompt, in order
	PromptTokens    int              // of the prompt
	MaxOutputTokens int              // longest answer, in tokens
	HasTokenCount   bool
	LastEventID     string // the caller has the events up to this one
}

// ForwardOptions is what the router adds to a request for a target.
type ForwardOptions struct {
	Timeout        time.Duration // the target stops work after it
	InstanceID     string        // any other instance refuses the request
	Organisation   string
	CacheSalt      string
	WeightVersion  string // a target with other weights refuses the request
	LastEventID    string
	EnginePriority int // 1 is the most urgent of nine; zero leaves it to the target
	FetchCacheFrom string
	SaveCacheTo    string
}

// ResponseMetadata is what a target's response header says beside the response itself.
type ResponseMetadata struct {
	RequestID     string
	InstanceID    string
	FromTarget    bool // it is the response of a target, not of something else
	NotRun        bool // the target did not run the request and never will
	Load          *target.Load
	Slots         int
	WeightVersion string // of the weights; empty if it does not say
}

// Dialect reads and writes the headers that callers and targets use.
type Dialect interface {
	ParseRequestHeader(h http.Header) RequestMetadata
	// TargetHeader returns the header that a target receives: the caller's
	// without its key, without what concerns one connection and without what
	// only the router may set.
	TargetHeader(caller http.Header, i *ForwardOptions) http.Header
	ParseResponseHeader(status int, h http.Header) ResponseMetadata
	// RequestIDHeader is the canonical name of the header with the request id.
	RequestIDHeader() string
}
