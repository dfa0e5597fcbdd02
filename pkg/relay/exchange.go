// Package relay serves callers whose requests are passed to targets unchanged.
// Each request goes through a chain of filters, one per file; each fills its
// part of the Exchange and calls the next.
package relay

import (
	"context"
	"net"
	"net/http"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// Exchange is one request on its way through the chain.
type Exchange struct {
	Writer  http.ResponseWriter
	Request *http.Request

	Metadata      RequestMetadata
	Snapshot      *tables.Snapshot
	ProofAge      time.Duration // of the configuration, when the key was checked
	Organisation  *tables.Organisation
	Route         *tables.Route
	Pool          *tables.Pool
	Body          []byte
	Start         time.Time
	Deadline      time.Time // the caller or the route's timeout ends it
	ChargedTokens int64     // tokens charged to the organisation

	Attempts        int  // requests sent to targets
	MayHaveRun      bool // a target may have run the request or may yet run it
	HeaderSent      bool // the response header was sent to the caller
	Target          *target.Target
	FirstEventAt    time.Time
	EventCount      int
	LongestEventGap time.Duration
	Status          int
}

// Context returns the context of the request, which ends with its deadline and
// when the caller leaves.
func (ex *Exchange) Context() context.Context { return ex.Request.Context() }

// Repeatable reports whether the request may run more than once.
func (ex *Exchange) Repeatable() bool { return ex.Route.Repeatable }

// OrganisationName returns the organisation for logs and metrics.
func (ex *Exchange) OrganisationName() string {
	if ex.Organisation == nil {
		return ""
	}
	return ex.Organisation.Name
}

// RouteName returns the route for logs and metrics.
func (ex *Exchange) RouteName() string {
	if ex.Route == nil {
		return ""
	}
	return ex.Route.Name
}

// Handler continues the handling of a request.
type Handler func(*Exchange) error

// Filter is one step of the chain. It returns an error to end the request.
type Filter interface {
	Handle(ex *Exchange, next Handler) error
}

// Chain is an http.Handler that passes each request through its filters.
type Chain struct {
	handler Handler
	dialect Dialect
	journal *RequestLog
}

// NewChain links filters in order.
func NewChain(dialect Dialect, journal *RequestLog, filters ...Filter) *Chain {
	handler := Handler(func(*Exchange) error { return nil })
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], handler
		handler = func(ex *Exchange) error { return f.Handle(ex, next) }
	}
	return &Chain{handler: handler, dialect: dialect, journal: journal}
}

// ServeHTTP implements http.Handler.
func (c *Chain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ex := &Exchange{Writer: w, Request: r, Start: time.Now(), Metadata: c.dialect.ParseRequestHeader(r.Header)}
	err := c.handler(ex)
	if err == nil {
		c.journal.RecordSuccess(ex)
		return
	}
	failure := apierr.From(err)
	if ex.MayHaveRun {
		failure.Outcome = apierr.Unknown
	}
	c.journal.RecordFailure(ex, failure)
	if ex.HeaderSent || failure.Code == apierr.CodeCallerGone {
		abort(r)
	}
	failure.Outcome, failure.Status = honestStatus(failure)
	w.Header().Set(c.dialect.RequestIDHeader(), ex.Metadata.ID)
	writeFailure(w, failure, ex.Metadata.ID)
}

// honestStatus keeps statuses that promise that a request has not run for
// requests that have not.
func honestStatus(failure *apierr.Error) (apierr.Outcome, int) {
	if failure.Outcome == apierr.NotRun {
		return failure.Outcome, failure.Status
	}
	switch failure.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return failure.Outcome, http.StatusBadGateway
	}
	return failure.Outcome, failure.Status
}

type connectionKey struct{}

// ContextWithConn lets abort reach the caller's connection. It is for
// http.Server.ConnContext.
func ContextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// abort resets the caller's connection, so that a response that has begun
// cannot look complete.
func abort(r *http.Request) {
	if conn, ok := r.Context().Value(connectionKey{}).(interface{ SetLinger(int) error }); ok {
		_ = conn.SetLinger(0) // the connection may be closed already
	}
	panic(http.ErrAbortHandler)
}
