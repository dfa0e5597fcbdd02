// Package engine is the protocol that targets speak: generation over HTTP with
// server-sent events, state, cache events and orders. Another dialect replaces
// only this package.
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
)

// Headers of requests to targets and of their responses.
const (
	HeaderRequestID        = "X-Request-Id"         // sent, and echoed by the target
	HeaderPriority         = "X-Priority"           // higher runs first
	HeaderCacheSalt        = "X-Cache-Salt"         // separates the caches of organisations
	HeaderResumeAfter      = "X-Resume-After"       // last event position that was delivered
	HeaderIncarnation      = "X-Incarnation"        // in responses: changes with each start
	HeaderNotRun           = "X-Not-Run"            // in 429 and 503 responses: "1" if the request has not run
	HeaderCachedTokens     = "X-Cached-Tokens"      // in responses: prompt tokens found in the cache
	HeaderPromptTokens     = "X-Prompt-Tokens"      // in responses: prompt tokens
	HeaderWeightVersion    = "X-Weight-Version"     // in responses
	HeaderLoadRunning      = "X-Load-Running"       // in responses: requests that the target works on
	HeaderLoadWaiting      = "X-Load-Waiting"       // in responses: requests that wait there
	HeaderLoadQueuedTokens = "X-Load-Queued-Tokens" // in responses: tokens of those that wait
	EndMarker              = "[DONE]"               // data of the last event of a complete stream
	ContentTypeEventStream = "text/event-stream"    // content type of a stream
)

// State is what an engine says about itself.
type State struct {
	Incarnation   string      `json:"incarnation"`
	Model         string      `json:"model"`
	WeightVersion string      `json:"weight_version"`
	Adapter       string      `json:"adapter"`
	CanResume     bool        `json:"can_resume"`
	Leaving       bool        `json:"leaving"`
	Load          target.Load `json:"load"`
}

// SetLoadHeaders writes a load into the header of a response.
func SetLoadHeaders(h http.Header, load target.Load) {
	h.Set(HeaderLoadRunning, strconv.Itoa(load.Running))
	h.Set(HeaderLoadWaiting, strconv.Itoa(load.Waiting))
	h.Set(HeaderLoadQueuedTokens, strconv.Itoa(load.QueuedTokens))
}

// ParseLoadHeaders reads the load from the header of a response. It reports false unless
// all three numbers are there and sound.
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

// OrderAction names what an order asks for.
type OrderAction string

// Actions of orders.
const (
	ActionLoadModel   OrderAction = "load_model"
	ActionLoadAdapter OrderAction = "load_adapter"
	ActionSetRole     OrderAction = "set_role"
)

// Order tells a target to change. Fence rises with each new holder of the
// orders lease; targets that check it refuse a lower number than they have seen.
type Order struct {
	ID            string      `json:"id"`
	Fence         uint64      `json:"fence"`
	Action        OrderAction `json:"action"`
	Model         string      `json:"model,omitempty"`
	WeightVersion string      `json:"weight_version,omitempty"`
	Adapter       string      `json:"adapter,omitempty"`
	Role          string      `json:"role,omitempty"`
}

// CacheEvent reports that a piece entered or left an engine's cache. Sequence
// numbers have no holes unless events were lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Digest   uint64 `json:"digest"`
	Evicted  bool   `json:"evicted"`
}

// EventBatch is a part of the event stream of one incarnation.
type EventBatch struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// Client reads the state of targets and gives them orders.
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

// HTTPClient implements Client over HTTP.
type HTTPClient struct {
	http *http.Client
}

// NewHTTPClient returns a client with its own connections, so that a busy
// request path does not delay state reads.
func NewHTTPClient() *HTTPClient {
	transport := &http.Transport{MaxIdleConnsPerHost: controlIdleConns, IdleConnTimeout: 30 * time.Second}
	return &HTTPClient{http: &http.Client{Transport: transport, Timeout: controlTimeout}}
}

// State implements Client.
func (c *HTTPClient) State(ctx context.Context, address string) (State, error) {
	var state State
	err := c.call(ctx, http.MethodGet, address, "/control/state", nil, &state)
	return state, err
}

// CacheEvents implements Client.
func (c *HTTPClient) CacheEvents(ctx context.Context, address string, after uint64) (EventBatch, error) {
	var batch EventBatch
	err := c.call(ctx, http.MethodGet, address, fmt.Sprintf("/control/events?after=%d", after), nil, &batch)
	return batch, err
}

// SendOrder implements Client.
func (c *HTTPClient) SendOrder(ctx context.Context, address string, order Order) error {
	return c.call(ctx, http.MethodPost, address, "/control/orders", order, nil)
}

// CancelRequest implements Client.
func (c *HTTPClient) CancelRequest(ctx context.Context, address, requestID string) error {
	return c.call(ctx, http.MethodPost, address, "/control/cancel/"+requestID, struct{}{}, nil)
}

func (c *HTTPClient) call(ctx context.Context, method, address, path string, in, out any) error {
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

// StatusError is an answer of a target with an unexpected status.
type StatusError struct {
	Status int
	Path   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("target answered %s with status %d", e.Path, e.Status)
}
