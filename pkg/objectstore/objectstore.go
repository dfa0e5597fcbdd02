// Package objectstore defines the interfaces that a platform implements for the
// router: an object store with versions, conditional updates and watches, and the
// list of instances. Each wire protocol is implemented in a separate package.
package objectstore

import (
	"context"
	"errors"
	"fmt"
)

// MaxValueBytes is the largest size of an object's value.
const MaxValueBytes = 1 << 20

// Object is a stored value with its version, which is composed as Revision says.
type Object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	// Status is what instances write about the object, apart from its value; empty if
	// there is none or the kind has none.
	Status []byte `json:"status,omitempty"`
}

// Event is a change that Watch returns. The object of a deletion has no value.
type Event struct {
	Object   Object `json:"object"`
	Deleted  bool   `json:"deleted"`
	Revision uint64 `json:"revision"`
}

// Store is the object store of the platform. Its methods may be called concurrently.
// They return errors of the type *Error.
type Store interface {
	// Get returns an object, or an error of KindNotFound if there is none.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind and the revision from which Watch returns
	// later changes.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Create stores a new object. It returns an error of KindExists if there is one
	// with the name.
	Create(ctx context.Context, kind, name string, value []byte) (Object, error)
	// Update replaces the value of an object. It returns an error of KindConflict if
	// the object has another version, or KindNotFound if there is none.
	Update(ctx context.Context, kind, name string, value []byte, version uint64) (Object, error)
	// UpdateStatus replaces the status of an object and keeps its value. It returns the
	// same errors as Update.
	UpdateStatus(ctx context.Context, kind, name string, status []byte, version uint64) (Object, error)
	// Delete removes an object. It returns the same errors as Update.
	Delete(ctx context.Context, kind, name string, version uint64) error
	// Watch waits for changes of a kind after a revision and returns them with the
	// revision for the next call. It returns no events if there is no change within
	// the implementation's wait time, and an error of KindCompacted if the revision
	// is too old or of an earlier era than the store's.
	Watch(ctx context.Context, kind string, after uint64) ([]Event, uint64, error)
}

type staleKey struct{}

// AllowStale returns a context with which reads may return data that is seconds old.
// Such reads cost the platform less.
func AllowStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// StaleAllowed reports whether reads with the context may return old data.
func StaleAllowed(ctx context.Context) bool { return ctx.Value(staleKey{}) != nil }

type withoutWaitKey struct{}

// WithoutWait returns a context with which Watch returns at once, also if there is no
// change. The caller then knows soon whether it has all changes.
func WithoutWait(ctx context.Context) context.Context {
	return context.WithValue(ctx, withoutWaitKey{}, true)
}

// WaitUnwanted reports whether a watch with the context returns at once.
func WaitUnwanted(ctx context.Context) bool { return ctx.Value(withoutWaitKey{}) != nil }

// Role is the kind of program that an instance of the platform runs.
type Role string

// Roles in the instance list.
const (
	RoleRouter  Role = "router"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// Instance is an entry of the instance list.
type Instance struct {
	ID      string            `json:"id"`
	Role    Role              `json:"role"`
	Address string            `json:"address"`
	Zone    string            `json:"zone"`
	Labels  map[string]string `json:"labels"`
	Leaving bool              `json:"leaving"`
}

// InstanceList reads the platform's list of instances. The list is stale: recent
// changes may be missing.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// ErrorKind classifies failed calls by what the caller can do.
type ErrorKind string

// Kinds of errors.
const (
	KindNotFound    ErrorKind = "not_found"
	KindExists      ErrorKind = "exists"
	KindConflict    ErrorKind = "conflict"
	KindUnavailable ErrorKind = "unavailable"  // the call did not take effect
	KindUnknown     ErrorKind = "unknown"      // a write may have taken effect or not
	KindTooLarge    ErrorKind = "too_large"    // the value exceeds MaxValueBytes
	KindCompacted   ErrorKind = "compacted"    // the watch revision is too old: list again
	KindRateLimited ErrorKind = "rate_limited" // the call did not take effect; back off
)

// Error describes a failed call to the platform.
type Error struct {
	Kind  ErrorKind
	Call  string // such as "GET /objects/config/main"
	Era   uint64 // of the store when it answered; 0 if it did not or states none
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("platform: %s: %s: %v", e.Call, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of an error. It is KindUnknown for errors of other types
// than *Error, because the call may have taken effect.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}

// IsKind reports whether err is not nil and KindOf(err) is kind.
func IsKind(err error, kind ErrorKind) bool {
	return err != nil && KindOf(err) == kind
}
