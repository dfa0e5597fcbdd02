package relay

import (
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/placement"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// RequestMetadata is what the header of a request states.
type RequestMetadata struct {
	ID     string // request ID
	Key    string // API key; set if HasKey
	HasKey bool
	// Timeout is how long the caller waits; zero if the header does not state
	// it.
	Timeout         time.Duration
	Model           string
	PromptParts     []placement.Part // parts of the prompt, in order
	PromptTokens    int
	MaxOutputTokens int
	HasTokenCount   bool   // the header states PromptTokens and MaxOutputTokens
	LastEventID     string // the caller has received the events up to this one
}

// ForwardOptions is what the router adds to the header of a request for a
// target.
type ForwardOptions struct {
	Timeout        time.Duration // the target stops working on the request after this time
	InstanceID     string        // any other target refuses the request
	Organisation   string
	CacheSalt      string
	WeightVersion  string // a target with other weights refuses the request
	LastEventID    string
	EnginePriority int    // 1 is the most urgent of 9; zero leaves the choice to the target
	FetchCacheFrom string // address of an engine or cache store; empty: nothing is fetched
	SaveCacheTo    string // address of a cache store; empty: nothing is saved
}

// ResponseMetadata is what the header of a response states besides the response
// itself.
type ResponseMetadata struct {
	RequestID     string
	InstanceID    string
	FromTarget    bool // a target sent the response, not something else at its address
	NotRun        bool // the target has not run the request and never will
	Load          *target.Load
	Slots         int    // requests that the target can run concurrently; zero if the header does not state it
	WeightVersion string // empty if the header does not state it
	Notice        target.Notice
}

// Dialect reads and writes the headers of requests and responses. Its methods
// may be called concurrently.
type Dialect interface {
	ParseRequestHeader(h http.Header) RequestMetadata
	// TargetHeader returns the header for the target: the header of the caller
	// without its API key, without hop-by-hop headers and without headers that
	// only the router may set, and with the options.
	TargetHeader(caller http.Header, options *ForwardOptions) http.Header
	ParseResponseHeader(status int, h http.Header) ResponseMetadata
	// RequestIDHeader returns the canonical name of the request ID header.
	RequestIDHeader() string
}
