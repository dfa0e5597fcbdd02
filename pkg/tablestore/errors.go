// Package tablestore is how operators read and edit the accepted configuration:
// the two tables as files in a directory, and one conditional write per edit.
package tablestore

import (
	"errors"
	"fmt"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// ErrorKind classifies a failed operation.
type ErrorKind string

// Kinds of failed operations.
const (
	KindInvalid     ErrorKind = "invalid"     // the input must be corrected
	KindConflict    ErrorKind = "conflict"    // another operator's edit came first
	KindUnavailable ErrorKind = "unavailable" // the platform did not answer; nothing was written
	KindUnknown     ErrorKind = "unknown"     // the write may have taken effect
	KindFailed      ErrorKind = "failed"      // anything else, such as a file that cannot be written
)

// Error is a failed operation. Its message ends with the remedy.
type Error struct {
	Kind            ErrorKind
	Problem         string
	Remedy          string
	Cause           error
	ConflictingEdit *ConflictingEdit // the edit that came first, when the kind is KindConflict and it could be read
}

// ConflictingEdit names another operator's edit.
type ConflictingEdit struct {
	Generation uint64
	Editor     string
	Time       time.Time
}

// Error implements error.
func (e *Error) Error() string {
	text := e.Problem
	if mistakes := (*inifile.Error)(nil); errors.As(e.Cause, &mistakes) {
		text += ":\n" + mistakes.Error() // one mistake a line, each with its own remedy
	} else if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	if e.Remedy == "" {
		return text
	}
	return text + "; " + e.Remedy
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of an error of this package.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindFailed
}

func failed(problem string, cause error, remedy string) error {
	return &Error{Kind: KindFailed, Problem: problem, Cause: cause, Remedy: remedy}
}

func invalid(problem string, cause error, remedy string) error {
	return &Error{Kind: KindInvalid, Problem: problem, Cause: cause, Remedy: remedy}
}

const remedyConflict = "both files are unchanged: compare with 'tables diff', get the accepted tables into another directory with 'tables get --dir', merge there and put again"

func conflict(other *ConflictingEdit) error {
	e := &Error{Kind: KindConflict, ConflictingEdit: other, Remedy: remedyConflict, Problem: "another edit came first, and it could not be read back"}
	if other != nil {
		e.Problem = fmt.Sprintf("another edit came first: generation %d by %s at %s", other.Generation, other.Editor, other.Time.UTC().Format(time.RFC3339))
	}
	return e
}

// readError turns a failed read of the platform into an error of this package.
func readError(what string, cause error) error {
	if objectstore.IsKind(cause, objectstore.KindNotFound) {
		return invalid(what+" does not exist", cause, "list the generations with 'tables history'")
	}
	return &Error{Kind: KindUnavailable, Problem: what + " could not be read", Cause: cause, Remedy: "check the address of the platform and try again; no file was changed"}
}
