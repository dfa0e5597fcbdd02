package relay

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/slowcaller"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// SnapshotSource gives access to the current configuration. Its methods may be
// called concurrently.
type SnapshotSource interface {
	// Snapshot returns the current configuration, or nil before the first one.
	Snapshot() *tables.Snapshot
	// ProofAge returns the time since the start of the last read that proved
	// that the snapshot is the newest.
	ProofAge() time.Duration
}

// RouteFilter sets the route, pool and deadline of a request.
type RouteFilter struct {
	Configuration SnapshotSource
}

// defaultTimeout applies if neither the caller nor the route states a timeout.
const defaultTimeout = 30 * time.Second

// finalWriteTimeout bounds writing the last answer after the deadline.
const finalWriteTimeout = 100 * time.Millisecond

// Handle implements Filter.
func (f *RouteFilter) Handle(ex *Exchange, next Handler) error {
	ex.Deadline = ex.Start.Add(defaultTimeout)
	ex.Snapshot = f.Configuration.Snapshot()
	if ex.Snapshot == nil {
		return errNotReady(ex, "no configuration has been read yet")
	}
	if headerBytes(ex.Request) > ex.Snapshot.Tables.Limits.HeaderBytes && ex.Snapshot.Tables.Limits.HeaderBytes > 0 {
		return &apierr.Error{
			Code: apierr.CodeBadRequest, Status: http.StatusRequestHeaderFieldsTooLarge, Outcome: apierr.OutcomeNotRun,
			Message: "the request header is larger than the configured limit", Remedy: "send a smaller header",
		}
	}
	routes := ex.Snapshot.MatchRoutes(hostname(ex.Request.Host), ex.Request.URL.Path, "")
	if len(routes) == 0 {
		return &apierr.Error{
			Code: apierr.CodeNoRoute, Status: http.StatusNotFound, Outcome: apierr.OutcomeNotRun,
			Message: "no route matches the host and path", Remedy: "check the host and path; operators: check the routes in force",
		}
	}
	ex.Route = routes[0]
	ex.Deadline = requestDeadline(ex)
	name := pickPool(ex.Route, ex.Metadata.ID)
	ex.Pool = ex.Snapshot.Pool(name)
	if ex.Pool == nil {
		return errNotReady(ex, "the route's pool "+name+" is not configured")
	}
	ctx, cancel := context.WithDeadline(ex.Request.Context(), ex.Deadline)
	defer cancel()
	defer slowcaller.UnblockWrites(ctx, ex.Writer, finalWriteTimeout)()
	ex.Request = ex.Request.WithContext(ctx)
	return next(ex)
}

// requestDeadline returns the deadline of a request: the timeout of the route
// or the default, shortened by the timeout of the caller.
func requestDeadline(ex *Exchange) time.Time {
	limit := defaultTimeout
	if ex.Route != nil && ex.Route.Deadline > 0 {
		limit = ex.Route.Deadline
	}
	if ex.Metadata.Timeout > 0 {
		limit = min(limit, ex.Metadata.Timeout)
	}
	return ex.Start.Add(limit)
}

// pickPool splits requests over the pools of a route by weight. It hashes the
// request ID, so that all instances make the same choice without shared state.
func pickPool(route *tables.Route, id string) string {
	total := 0
	for _, part := range route.WeightedPools {
		total += part.Weight
	}
	if total <= 0 {
		return route.Pool
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, part := range route.WeightedPools {
		if at < part.Weight {
			return part.Pool
		}
		at -= part.Weight
	}
	return route.Pool
}

// hostname returns host without its port.
func hostname(host string) string {
	if strings.IndexByte(host, ':') < 0 {
		return host
	}
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		return host
	}
	return name
}

// headerBytes returns the least size of the request header on the wire, without spaces that
// it may have had.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(":\r\n")
		}
	}
	return n
}
