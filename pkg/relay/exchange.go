// Package relay forwards requests of callers to targets unchanged. Each request
// passes a chain of filters, which fill in the fields of an Exchange.
package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/callerconn"
	"lacewingwheel.example/lacewingwheel/pkg/delivery"
	"lacewingwheel.example/lacewingwheel/pkg/memlimit"
	"lacewingwheel.example/lacewingwheel/pkg/poison"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// Exchange is a request and the state of its handling. It is used by one
// goroutine at a time.
type Exchange struct {
	Writer  http.ResponseWriter
	Request *http.Request

	Metadata      RequestMetadata
	Snapshot      *tables.Snapshot
	ProofAge      time.Duration // time since the last proof of the configuration when the key was checked
	Organisation  *tables.Organisation
	Route         *tables.Route
	Pool          *tables.Pool
	Body          []byte
	Start         time.Time
	Deadline      time.Time // from the timeouts of the caller and the route
	ChargedTokens int64     // tokens charged to the quota of the organisation

	Attempts        int  // attempts that count towards Route.MaxAttempts
	MayHaveRun      bool // a target may have run the request or may still run it
	HeaderSent      bool // the response header was sent to the caller
	Target          *target.Target
	FirstEventAt    time.Time // first event, or response that is not a stream
	EventCount      int
	LongestEventGap time.Duration // longest time between two consecutive events
	Status          int           // sent to the caller

	isRanked       bool                   // admitted by rank, as its pool may be under contention
	versions       *delivery.Selection    // software versions that the request may go to; nil: all
	Fingerprints   []poison.Fingerprint   // of the shared parts of the prompt, then of the request
	quarantineKeys []poison.Fingerprint   // Fingerprints, and those of the parts within the organisation
	attemptSentAt  time.Duration          // start of the current attempt, since boot
	attemptBroke   bool                   // the target broke the connection of the last attempt before its first event
	held           []memlimit.Reservation // of responses that were read, until the exchange ends
}

// Context returns the context of the request. It ends at the deadline and when
// the caller closes the connection.
func (ex *Exchange) Context() context.Context { return ex.Request.Context() }

// releaseHeld returns the memory of responses that were read.
func (ex *Exchange) releaseHeld() {
	for n := range ex.held {
		ex.held[n].Release()
	}
	ex.held = nil
}

// Repeatable reports whether the request may run more than once.
func (ex *Exchange) Repeatable() bool { return ex.Route.Repeatable }

// OrganisationName returns the name of the organisation, or "" if none is
// known.
func (ex *Exchange) OrganisationName() string {
	if ex.Organisation == nil {
		return ""
	}
	return ex.Organisation.Name
}

// RouteName returns the name of the route, or "" if none was found.
func (ex *Exchange) RouteName() string {
	if ex.Route == nil {
		return ""
	}
	return ex.Route.Name
}

// Handler runs the rest of the chain.
type Handler func(*Exchange) error

// Filter is one step of the chain. Handle calls next to continue, or returns an
// error to end the request. Errors other than *apierr.Error are sent as
// internal errors.
type Filter interface {
	Handle(ex *Exchange, next Handler) error
}

// Chain is an http.Handler that passes each request through its filters, logs
// the outcome and sends errors to the caller.
type Chain struct {
	handler    Handler
	dialect    Dialect
	requestLog *RequestLog
}

// NewChain returns a chain that runs the filters in order.
func NewChain(dialect Dialect, requestLog *RequestLog, filters ...Filter) *Chain {
	handler := Handler(func(*Exchange) error { return nil })
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], handler
		handler = func(ex *Exchange) error { return f.Handle(ex, next) }
	}
	return &Chain{handler: handler, dialect: dialect, requestLog: requestLog}
}

// ServeHTTP implements http.Handler.
func (c *Chain) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.serve(w, r, c.handler) }

// RefuseOutOfMemory answers a request for whose head no memory is left.
func (c *Chain) RefuseOutOfMemory(w http.ResponseWriter, r *http.Request) {
	c.serve(w, r, func(ex *Exchange) error {
		ex.Deadline = requestDeadline(ex)
		return errOutOfMemory(ex, callerconn.ErrOutOfMemory)
	})
}

func (c *Chain) serve(w http.ResponseWriter, r *http.Request, handler Handler) {
	ex := &Exchange{Writer: w, Request: r, Start: time.Now(), Metadata: c.dialect.ParseRequestHeader(r.Header)}
	err := handler(ex)
	if err == nil {
		c.requestLog.RecordSuccess(ex)
		return
	}
	failure := apierr.From(err)
	if ex.MayHaveRun {
		failure.Outcome = apierr.OutcomeUnknown
	}
	c.requestLog.RecordFailure(ex, failure)
	if ex.HeaderSent || failure.Code == apierr.CodeCallerGone {
		abortConnection(r)
	}
	failure.Outcome, failure.Status = callerStatus(failure)
	w.Header().Set(c.dialect.RequestIDHeader(), ex.Metadata.ID)
	c.sendFailure(ex, w, r, failure)
}

const (
	// maxDiscardedBytes bounds the part of a request body that is read after the
	// response.
	maxDiscardedBytes = 64 << 20
	// discardStall is the time without a byte after which no more of it is read.
	discardStall = time.Second
)

// sendFailure sends a failure. If the request body was not read, it sends the
// failure at once and then reads the body: if the connection were closed with
// unread bytes, a caller that is still writing would get a reset instead of the
// response.
func (c *Chain) sendFailure(ex *Exchange, w http.ResponseWriter, r *http.Request, failure *apierr.Error) {
	isRead := ex.Body != nil && failure.Code != apierr.CodeBodyTooLarge
	if isRead || r.Body == nil || r.Body == http.NoBody {
		writeFailure(w, failure, ex.Metadata.ID)
		return
	}
	// Without full duplex, the server reads from the body before it sends the
	// response.
	controller := http.NewResponseController(w)
	err := controller.EnableFullDuplex()
	writeFailure(w, failure, ex.Metadata.ID)
	if err = errors.Join(err, controller.Flush()); err == nil {
		err = discardBody(w, r, ex.Deadline)
	}
	if err == nil {
		return
	}
	c.requestLog.RecordUnreadBody(ex, err)
	if tooLarge := (*http.MaxBytesError)(nil); !errors.As(err, &tooLarge) {
		// The next bytes of the connection must not be parsed as a request.
		panic(http.ErrAbortHandler)
	}
}

// discardBody reads the rest of a request body, up to maxDiscardedBytes and the
// deadline, as long as it arrives. At maxDiscardedBytes it makes the server half-close the
// connection after the response.
func discardBody(w http.ResponseWriter, r *http.Request, deadline time.Time) error {
	body := arrivingBody{http.MaxBytesReader(w, r.Body, maxDiscardedBytes), http.NewResponseController(w), deadline}
	if _, err := io.Copy(io.Discard, body); err != nil {
		return err
	}
	// After the body the server waits for the caller to close the connection. A
	// deadline that passes meanwhile cancels the later requests of the connection.
	if err := body.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if !time.Now().Before(deadline) {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// arrivingBody is a request body of which each part must arrive within discardStall.
type arrivingBody struct {
	io.Reader
	conn     *http.ResponseController
	deadline time.Time
}

// Read implements io.Reader.
func (b arrivingBody) Read(p []byte) (int, error) {
	limit := time.Now().Add(discardStall)
	if b.deadline.Before(limit) {
		limit = b.deadline
	}
	if err := b.conn.SetReadDeadline(limit); err != nil {
		return 0, err
	}
	return b.Reader.Read(p)
}

// callerStatus returns the outcome and the status to send. Callers take some
// statuses as a promise that the request has not run; unless that is so, they
// are replaced by 502.
func callerStatus(failure *apierr.Error) (apierr.Outcome, int) {
	if failure.Outcome == apierr.OutcomeNotRun {
		return failure.Outcome, failure.Status
	}
	switch failure.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return failure.Outcome, http.StatusBadGateway
	}
	return failure.Outcome, failure.Status
}

type connContextKey struct{}

// ContextWithConn stores the connection of the caller in the context, so that a
// response can be aborted. It is meant for http.Server.ConnContext.
func ContextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// abortConnection resets the connection of the caller, so that an incomplete
// response cannot look complete. It does not return.
func abortConnection(r *http.Request) {
	if conn, ok := r.Context().Value(connContextKey{}).(interface{ SetLinger(int) error }); ok {
		_ = conn.SetLinger(0) // the connection may be closed already
	}
	panic(http.ErrAbortHandler)
}
