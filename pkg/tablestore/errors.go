// Package tablestore lets operators read and edit the accepted configuration.
// The two tables are files in a directory, and each edit is one conditional
// write to the platform.
package tablestore

import (
	"errors"
	"fmt"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// ErrorKind classifies the errors of this package.
type ErrorKind string

// Error kinds.
const (
	KindInvalid     ErrorKind = "invalid"     // the input must be corrected
	KindConflict    ErrorKind = "conflict"    // another operator's edit came first
	KindUnavailable ErrorKind = "unavailable" // the platform did not answer; nothing was written
	KindUnknown     ErrorKind = "unknown"     // the write may have taken effect
	KindFailed      ErrorKind = "failed"      // anything else, such as a file that cannot be written
)

// Error is the error that operations of Editor return. Its text contains the
// problem, the cause and the remedy.
type Error struct {
	Kind            ErrorKind
	Problem         string
	Remedy          string
	Cause           error
	ConflictingEdit *ConflictingEdit // the edit that came first; set if Kind is KindConflict and that edit could be read
}

// ConflictingEdit identifies another operator's edit, which was accepted first.
type ConflictingEdit struct {
	Generation uint64
	Editor     string
	Time       time.Time
}

// Error returns the problem, the cause and the remedy. If the cause is an
// *inifile.Error, each of its issues is on a line of its own.
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

// KindOf returns the kind of an error of this package, and KindFailed for any
// other error.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindFailed
}

func failedError(problem string, cause error, remedy string) error {
	return &Error{Kind: KindFailed, Problem: problem, Cause: cause, Remedy: remedy}
}

func invalidError(problem string, cause error, remedy string) error {
	return &Error{Kind: KindInvalid, Problem: problem, Cause: cause, Remedy: remedy}
}

const conflictRemedy = "both files are unchanged: compare with 'tables diff', get the accepted tables into another directory with 'tables get --dir', merge there and put again"

// conflictError returns the error for a lost race against other, which is nil if
// that edit could not be read.
func conflictError(other *ConflictingEdit) error {
	e := &Error{Kind: KindConflict, ConflictingEdit: other, Remedy: conflictRemedy, Problem: "another edit came first, and it could not be read back"}
	if other != nil {
		e.Problem = fmt.Sprintf("another edit came first: generation %d by %s at %s", other.Generation, other.Editor, other.Time.UTC().Format(time.RFC3339))
	}
	return e
}

// readError returns the error for a failed read of subject from the platform.
func readError(subject string, cause error) error {
	if objectstore.IsKind(cause, objectstore.KindNotFound) {
		return invalidError(subject+" does not exist", cause, "list the generations with 'tables history'")
	}
	return &Error{Kind: KindUnavailable, Problem: subject + " could not be read", Cause: cause, Remedy: "check the address of the platform and try again; no file was changed"}
}
