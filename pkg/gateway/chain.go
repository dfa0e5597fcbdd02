// Package gateway handles requests of callers. Each request passes through a
// chain of filters. A filter fills in its fields of the Exchange and calls the
// next filter.
package gateway

import (
	"net/http"

	"github.com/hashicorp/go-hclog"
)

// Handler runs the rest of the chain. It returns when the response is complete
// or the request has failed.
type Handler func(*Exchange) error

// Filter is one step of the chain. One filter handles many requests
// concurrently.
type Filter interface {
	// Name returns the filter's identifier.
	Name() string
	// Handle does the filter's work and calls next, or returns an error to end
	// the request.
	Handle(ex *Exchange, next Handler) error
}

// Chain is an http.Handler that passes each request through its filters.
type Chain struct {
	handler Handler
	log     hclog.Logger
}

// NewChain returns a chain that runs the filters in the given order. Failures
// with a 5xx status are logged to log.
func NewChain(log hclog.Logger, filters ...Filter) *Chain {
	handler := Handler(func(*Exchange) error { return nil })
	for i := len(filters) - 1; i >= 0; i-- {
		handler = bindFilter(filters[i], handler)
	}
	return &Chain{handler: handler, log: log}
}

// bindFilter returns a handler that runs a filter, which calls next to continue.
func bindFilter(f Filter, next Handler) Handler {
	return func(ex *Exchange) error { return f.Handle(ex, next) }
}

// ServeHTTP implements http.Handler. An error is written as an error document,
// or ends a response that has already begun.
func (c *Chain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ex := &Exchange{Writer: &responseWriter{ResponseWriter: w}, Request: r}
	err := c.handler(ex)
	if err == nil {
		return
	}
	failure := ex.callerError(err)
	if failure.Status >= http.StatusInternalServerError {
		c.log.Warn("request failed", "request_id", ex.ID, "code", failure.Code, "outcome", failure.Outcome, "cause", failure.Cause)
	}
	if ex.Writer.Started() {
		ex.abortResponse(failure)
		return
	}
	failure.Write(ex.Writer, ex.ID)
}
