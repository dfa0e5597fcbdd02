// Package gateway serves callers. Each request passes a chain of filters, one
// per file; each filter fills its part of the Exchange and calls the next.
package gateway

import (
	"net/http"

	"github.com/hashicorp/go-hclog"
)

// Handler continues the handling of a request.
type Handler func(*Exchange) error

// Filter is one step of the chain. It returns an error to end the request.
type Filter interface {
	Name() string
	Handle(ex *Exchange, next Handler) error
}

// Chain is an http.Handler that passes each request through its filters.
type Chain struct {
	handler Handler
	log     hclog.Logger
}

// NewChain links filters in order.
func NewChain(log hclog.Logger, filters ...Filter) *Chain {
	handler := Handler(func(*Exchange) error { return nil })
	for i := len(filters) - 1; i >= 0; i-- {
		handler = link(filters[i], handler)
	}
	return &Chain{handler: handler, log: log}
}

func link(f Filter, next Handler) Handler {
	return func(ex *Exchange) error { return f.Handle(ex, next) }
}

// ServeHTTP implements http.Handler.
func (c *Chain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ex := &Exchange{Writer: &responseWriter{ResponseWriter: w}, Request: r}
	err := c.handler(ex)
	if err == nil {
		return
	}
	failure := ex.failure(err)
	if failure.Status >= http.StatusInternalServerError {
		c.log.Warn("request failed", "request_id", ex.ID, "code", failure.Code, "outcome", failure.Outcome, "cause", failure.Cause)
	}
	if ex.Writer.Started() {
		ex.endStarted(failure)
		return
	}
	failure.Write(ex.Writer, ex.ID)
}
