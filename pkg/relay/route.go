package relay

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingwheel.example/lacewingwheel/pkg/apierr"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// SnapshotSource returns the configuration in force.
type SnapshotSource interface {
	// Snapshot returns nil before the first configuration.
	Snapshot() *tables.Snapshot
	// ProofAge is the time since the start of the last read that proved that
	// the snapshot is the newest.
	ProofAge() time.Duration
}

// RouteFilter finds the route and the pool of a request.
type RouteFilter struct {
	Configuration SnapshotSource
}

// defaultPatience bounds requests whose caller and route state no time.
const defaultPatience = 30 * time.Second

// Handle implements Filter.
func (f *RouteFilter) Handle(ex *Exchange, next Handler) error {
	ex.Deadline = ex.Start.Add(defaultPatience)
	ex.Snapshot = f.Configuration.Snapshot()
	if ex.Snapshot == nil {
		return errNotReady(ex, "no configuration has been read yet")
	}
	if headerBytes(ex.Request) > ex.Snapshot.Tables.Limits.HeaderBytes && ex.Snapshot.Tables.Limits.HeaderBytes > 0 {
		return &apierr.Error{
			Code: apierr.CodeBadRequest, Status: http.StatusRequestHeaderFieldsTooLarge, Outcome: apierr.NotRun,
			Message: "the request header is larger than the configured limit", Remedy: "send a smaller header",
		}
	}
	routes := ex.Snapshot.Match(hostname(ex.Request.Host), ex.Request.URL.Path, "")
	if len(routes) == 0 {
		return &apierr.Error{
			Code: apierr.CodeNoRoute, Status: http.StatusNotFound, Outcome: apierr.NotRun,
			Message: "no route matches the host and path", Remedy: "check the host and path; operators: check the routes in force",
		}
	}
	ex.Route = routes[0]
	ex.Deadline = deadline(ex)
	name := pickPool(ex.Route, ex.Metadata.ID)
	ex.Pool = ex.Snapshot.Pool(name)
	if ex.Pool == nil {
		return errNotReady(ex, "the route's pool "+name+" is not configured")
	}
	ctx, cancel := context.WithDeadline(ex.Request.Context(), ex.Deadline)
	defer cancel()
	ex.Request = ex.Request.WithContext(ctx)
	return next(ex)
}

func deadline(ex *Exchange) time.Time {
	limit := defaultPatience
	if ex.Route.Deadline > 0 {
		limit = ex.Route.Deadline
	}
	if ex.Metadata.Timeout > 0 {
		limit = min(limit, ex.Metadata.Timeout)
	}
	return ex.Start.Add(limit)
}

// pickPool divides requests by weight. The request id decides, so that the
// parts of a split need no shared state.
func pickPool(route *tables.Route, id string) string {
	total := 0
	for _, part := range route.Split {
		total += part.Weight
	}
	if total <= 0 {
		return route.Pool
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, part := range route.Split {
		if at < part.Weight {
			return part.Pool
		}
		at -= part.Weight
	}
	return route.Pool
}

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

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}
