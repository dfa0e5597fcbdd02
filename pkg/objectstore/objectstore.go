// Package objectstore defines what the router needs of the platform: an object
// store with versions, conditional updates and watches, and the list of
// instances. The wire protocol is in a package of its own, so that another
// dialect replaces only that package.
package objectstore

import (
	"context"
	"errors"
	"fmt"
)

// MaxValueBytes is the largest value that the object store holds.
const MaxValueBytes = 1 << 20

// Object is one versioned value.
type Object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Event is one change that a watch reports. Deleted objects carry no value.
type Event struct {
	Object   Object `json:"object"`
	Deleted  bool   `json:"deleted"`
	Revision uint64 `json:"revision"`
}

// Store is the object API of the platform.
type Store interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind and the revision to watch from.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	Create(ctx context.Context, kind, name string, value []byte) (Object, error)
	// Update replaces the value if the object still has the given version.
	Update(ctx context.Context, kind, name string, value []byte, version uint64) (Object, error)
	Delete(ctx context.Context, kind, name string, version uint64) error
	// Watch waits for changes after a revision and returns them with the
	// revision to continue from. It returns no events when its wait ends first.
	Watch(ctx context.Context, kind string, after uint64) ([]Event, uint64, error)
}

type staleKey struct{}

// AllowStale lets reads with the context return data that is seconds old, which
// costs the platform less.
func AllowStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// StaleAllowed reports whether a read may return old data.
func StaleAllowed(ctx context.Context) bool { return ctx.Value(staleKey{}) != nil }

// Role says what an instance of the platform runs.
type Role string

// Roles in the instance list.
const (
	RoleRouter  Role = "router"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// Instance is one row of the instance list.
type Instance struct {
	ID      string            `json:"id"`
	Role    Role              `json:"role"`
	Address string            `json:"address"`
	Zone    string            `json:"zone"`
	Labels  map[string]string `json:"labels"`
	Leaving bool              `json:"leaving"`
}

// InstanceList is the platform's list of instances. It lags behind reality.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// ErrorKind classifies a failed call.
type ErrorKind string

// Kinds of failed calls.
const (
	KindNotFound    ErrorKind = "not_found"
	KindExists      ErrorKind = "exists"
	KindConflict    ErrorKind = "conflict"
	KindUnavailable ErrorKind = "unavailable"  // the call did not take effect
	KindUnknown     ErrorKind = "unknown"      // a write may have taken effect
	KindTooLarge    ErrorKind = "too_large"    // the value exceeds MaxValueBytes
	KindCompacted   ErrorKind = "compacted"    // the watch revision is too old: list again
	KindRateLimited ErrorKind = "rate_limited" // the call did not take effect; slow down
)

// Error is a failed call to the platform.
type Error struct {
	Kind  ErrorKind
	Call  string
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("platform: %s: %s: %v", e.Call, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of a failed call. An error of another type may have
// taken effect, so it is KindUnknown.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}

// IsKind reports whether err is a platform error of the kind.
func IsKind(err error, kind ErrorKind) bool {
	return err != nil && KindOf(err) == kind
}
