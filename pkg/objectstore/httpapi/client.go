// Package httpapi implements the interfaces of pkg/objectstore over HTTP, and defines
// the bodies of the protocol's responses.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

const (
	// callTimeout bounds a call. The platform answers in milliseconds, so that a
	// call that takes this long is treated as an outage.
	callTimeout = 3 * time.Second
	// watchWait is how long the platform holds a watch without changes.
	watchWait = 25 * time.Second
	// maxResponseBytes bounds a response. A list contains many values.
	maxResponseBytes = 64 << 20
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
	// idleConnections is the number of idle connections that are kept.
	idleConnections = 8
)

// Client calls the platform over HTTP. It implements objectstore.Store and
// objectstore.InstanceList. Its methods may be called concurrently.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// New returns a client for the platform at baseURL, for example
// "http://127.0.0.1:7000".
func New(baseURL string) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Client{baseURL: baseURL, httpClient: &http.Client{Transport: transport}}
}

// WatchResponse is the body of a watch response.
type WatchResponse struct {
	Events   []objectstore.Event `json:"events"`
	Revision uint64              `json:"revision"`
}

// ListResponse is the body of a list response.
type ListResponse struct {
	Objects  []objectstore.Object `json:"objects"`
	Revision uint64               `json:"revision"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Kind    objectstore.ErrorKind `json:"kind"`
	Message string                `json:"message"`
}

// Get implements objectstore.Store.
func (c *Client) Get(ctx context.Context, kind, name string) (objectstore.Object, error) {
	var out objectstore.Object
	err := c.call(ctx, request{method: http.MethodGet, path: objectPath(kind, name)}, &out)
	return out, err
}

// List implements objectstore.Store.
func (c *Client) List(ctx context.Context, kind string) ([]objectstore.Object, uint64, error) {
	var out ListResponse
	err := c.call(ctx, request{method: http.MethodGet, path: "/v1/objects/" + url.PathEscape(kind)}, &out)
	return out.Objects, out.Revision, err
}

// Create implements objectstore.Store.
func (c *Client) Create(ctx context.Context, kind, name string, value []byte) (objectstore.Object, error) {
	var out objectstore.Object
	err := c.call(ctx, request{method: http.MethodPost, path: objectPath(kind, name), body: value, isWrite: true}, &out)
	return out, err
}

// Update implements objectstore.Store.
func (c *Client) Update(ctx context.Context, kind, name string, value []byte, version uint64) (objectstore.Object, error) {
	var out objectstore.Object
	err := c.call(ctx, request{method: http.MethodPut, path: objectPath(kind, name), body: value, version: version, isWrite: true}, &out)
	return out, err
}

// UpdateStatus implements objectstore.Store. The protocol has no status.
func (c *Client) UpdateStatus(_ context.Context, kind, name string, _ []byte, _ uint64) (objectstore.Object, error) {
	return objectstore.Object{}, &objectstore.Error{Kind: objectstore.KindUnavailable, Call: "update status of " + kind + "/" + name, Cause: errors.ErrUnsupported}
}

// Delete implements objectstore.Store.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	return c.call(ctx, request{method: http.MethodDelete, path: objectPath(kind, name), version: version, isWrite: true}, nil)
}

// Watch implements objectstore.Store.
func (c *Client) Watch(ctx context.Context, kind string, after uint64) ([]objectstore.Event, uint64, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {watchWait.String()}}
	var out WatchResponse
	err := c.call(ctx, request{
		method:  http.MethodGet,
		path:    "/v1/watch/" + url.PathEscape(kind) + "?" + query.Encode(),
		timeout: watchWait + callTimeout,
	}, &out)
	return out.Events, out.Revision, err
}

// Instances implements objectstore.InstanceList.
func (c *Client) Instances(ctx context.Context) ([]objectstore.Instance, error) {
	var out []objectstore.Instance
	err := c.call(ctx, request{method: http.MethodGet, path: "/v1/instances"}, &out)
	return out, err
}

// request describes one call.
type request struct {
	method  string
	path    string
	body    []byte
	version uint64 // expected version of the object; zero: not checked
	isWrite bool
	timeout time.Duration // zero: callTimeout
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// call sends a request and decodes the response into out, unless out is nil. Errors
// are of the type *objectstore.Error.
func (c *Client) call(ctx context.Context, r request, out any) error {
	name := r.method + " " + r.path
	if len(r.body) > objectstore.MaxValueBytes {
		return &objectstore.Error{Kind: objectstore.KindTooLarge, Call: name, Cause: fmt.Errorf("value has %d bytes, the limit is %d", len(r.body), objectstore.MaxValueBytes)}
	}
	timeout := r.timeout
	if timeout == 0 {
		timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := c.send(ctx, r)
	if err != nil {
		return &objectstore.Error{Kind: unansweredKind(err, r.isWrite), Call: name, Cause: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &objectstore.Error{Kind: unansweredKind(err, r.isWrite), Call: name, Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(name, resp.StatusCode, body, r.isWrite)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &objectstore.Error{Kind: unansweredKind(err, r.isWrite), Call: name, Cause: err}
	}
	return nil
}

func (c *Client) send(ctx context.Context, r request) (*http.Response, error) {
	var body io.Reader
	if r.body != nil {
		body = bytes.NewReader(r.body)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, c.baseURL+r.path, body)
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport does not retry a write after a connection
	// failed. A retry would hide that the first attempt took effect.
	req.GetBody = nil
	if r.version > 0 {
		req.Header.Set("If-Match", strconv.FormatUint(r.version, 10))
	}
	return c.httpClient.Do(req)
}

// unansweredKind classifies a call without a valid response. A write certainly had
// no effect only if no connection could be opened.
func unansweredKind(err error, write bool) objectstore.ErrorKind {
	if !write {
		return objectstore.KindUnavailable
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return objectstore.KindUnavailable
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return objectstore.KindUnavailable
	}
	return objectstore.KindUnknown
}

// statusError returns the error for a response with another status than 200. Its kind
// is the one that the body states, if any.
func statusError(call string, status int, body []byte, write bool) error {
	var doc ErrorResponse
	if err := json.Unmarshal(body, &doc); err == nil && doc.Kind != "" {
		return &objectstore.Error{Kind: doc.Kind, Call: call, Cause: errors.New(doc.Message)}
	}
	kind := objectstore.KindUnavailable
	if write {
		kind = objectstore.KindUnknown
	}
	return &objectstore.Error{Kind: kind, Call: call, Cause: fmt.Errorf("status %d", status)}
}
