// Package engine implements the protocol of model engines: generation over HTTP
// with server-sent events, state, cache events and orders. Another engine protocol
// would replace only this package.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/target"
	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
)

// Headers of requests to targets and of their responses, and constants of streams.
const (
	HeaderRequestID        = "X-Request-Id"         // in requests; the target returns it in the response
	HeaderPriority         = "X-Priority"           // in requests: higher values run first
	HeaderCacheSalt        = "X-Cache-Salt"         // in requests: separates the caches of organisations
	HeaderResumeAfter      = "X-Resume-After"       // in requests: position of the last event that was delivered to the caller
	HeaderIncarnation      = "X-Incarnation"        // in responses: changes with each start of the target
	HeaderNotRun           = "X-Not-Run"            // in responses with status 429 or 503: "1" if the target has not run the request
	HeaderCachedTokens     = "X-Cached-Tokens"      // in responses: prompt tokens found in the prefix cache
	HeaderPromptTokens     = "X-Prompt-Tokens"      // in responses: prompt tokens
	HeaderWeightVersion    = "X-Weight-Version"     // in responses: version of the loaded weights
	HeaderLoadRunning      = "X-Load-Running"       // in responses: requests that the target is running
	HeaderLoadWaiting      = "X-Load-Waiting"       // in responses: requests in the queue of the target
	HeaderLoadQueuedTokens = "X-Load-Queued-Tokens" // in responses: prompt tokens of the requests in the queue
	EndMarker              = "[DONE]"               // data of the last event of a complete stream
	ContentTypeEventStream = "text/event-stream"    // content type of a stream
)

// State is the state that an engine reports.
type State struct {
	Incarnation   string      `json:"incarnation"`
	Model         string      `json:"model"`
	WeightVersion string      `json:"weight_version"`
	Adapter       string      `json:"adapter"`
	CanResume     bool        `json:"can_resume"`
	Leaving       bool        `json:"leaving"`
	Load          target.Load `json:"load"`
}

// SetLoadHeaders sets the three load headers of a response.
func SetLoadHeaders(h http.Header, load target.Load) {
	h.Set(HeaderLoadRunning, strconv.Itoa(load.Running))
	h.Set(HeaderLoadWaiting, strconv.Itoa(load.Waiting))
	h.Set(HeaderLoadQueuedTokens, strconv.Itoa(load.QueuedTokens))
}

// ParseLoadHeaders returns the load from the headers of a response. It returns
// false unless all three headers are present and not negative.
func ParseLoadHeaders(h http.Header) (target.Load, bool) {
	var load target.Load
	for _, field := range []struct {
		name  string
		value *int
	}{{HeaderLoadRunning, &load.Running}, {HeaderLoadWaiting, &load.Waiting}, {HeaderLoadQueuedTokens, &load.QueuedTokens}} {
		value, err := strconv.Atoi(h.Get(field.name))
		if err != nil || value < 0 {
			return target.Load{}, false
		}
		*field.value = value
	}
	return load, true
}

// OrderAction is the kind of change that an order requests.
type OrderAction string

// Actions of orders.
const (
	ActionLoadModel   OrderAction = "load_model"
	ActionLoadAdapter OrderAction = "load_adapter"
	ActionSetRole     OrderAction = "set_role"
)

// Order requests a change of a target's model, adapter or role. Fence is the fencing
// token of the orders lease: it rises with each new holder. Targets that check it
// reject orders with a lower token than the highest they have received.
type Order struct {
	ID            string      `json:"id"`
	Fence         uint64      `json:"fence"`
	Action        OrderAction `json:"action"`
	Model         string      `json:"model,omitempty"`
	WeightVersion string      `json:"weight_version,omitempty"`
	Adapter       string      `json:"adapter,omitempty"`
	Role          string      `json:"role,omitempty"`
}

// CacheEvent reports that a piece of a prompt was added to an engine's prefix cache
// or, if Evicted, removed from it. A gap in the sequence numbers means lost events.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Digest   uint64 `json:"digest"`
	Evicted  bool   `json:"evicted"`
}

// EventBatch holds consecutive cache events of one incarnation of a target.
type EventBatch struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// Client reads the state and cache events of the target at an address, and sends it
// orders and cancellations. CacheEvents returns events with sequence numbers above
// after.
type Client interface {
	State(ctx context.Context, address string) (State, error)
	CacheEvents(ctx context.Context, address string, after uint64) (EventBatch, error)
	SendOrder(ctx context.Context, address string, order Order) error
	CancelRequest(ctx context.Context, address, requestID string) error
}

const (
	controlTimeout   = 2 * time.Second
	maxControlBytes  = 4 << 20
	controlIdleConns = 1
)

// HTTPClient implements Client over HTTP. Its methods return *StatusError for a
// status other than 200. It is safe for concurrent use.
type HTTPClient struct {
	http *http.Client
}

// NewHTTPClient returns a client with its own connection pool, so that proxied
// requests do not delay state reads.
func NewHTTPClient() *HTTPClient {
	transport := &http.Transport{MaxIdleConnsPerHost: controlIdleConns, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: targetconn.MaxHeadBytes}
	return &HTTPClient{http: &http.Client{Transport: transport, Timeout: controlTimeout}}
}

// State implements Client.
func (c *HTTPClient) State(ctx context.Context, address string) (State, error) {
	var state State
	err := c.roundTrip(ctx, http.MethodGet, address, "/control/state", nil, &state)
	return state, err
}

// CacheEvents implements Client.
func (c *HTTPClient) CacheEvents(ctx context.Context, address string, after uint64) (EventBatch, error) {
	var batch EventBatch
	err := c.roundTrip(ctx, http.MethodGet, address, fmt.Sprintf("/control/events?after=%d", after), nil, &batch)
	return batch, err
}

// SendOrder implements Client.
func (c *HTTPClient) SendOrder(ctx context.Context, address string, order Order) error {
	return c.roundTrip(ctx, http.MethodPost, address, "/control/orders", order, nil)
}

// CancelRequest implements Client.
func (c *HTTPClient) CancelRequest(ctx context.Context, address, requestID string) error {
	return c.roundTrip(ctx, http.MethodPost, address, "/control/cancel/"+requestID, struct{}{}, nil)
}

func (c *HTTPClient) roundTrip(ctx context.Context, method, address, path string, in, out any) error {
	body, contentType, err := encodeBody(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", contentType)
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode, Path: path}
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxControlBytes)).Decode(out)
}

// StatusError is a response of a target with an unexpected HTTP status.
type StatusError struct {
	Status int
	Path   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("target answered %s with status %d", e.Path, e.Status)
}
