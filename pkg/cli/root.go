// Package cli holds the commands of lacewingwheel.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of the lacewingwheel command.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitInvalid     = 2 // wrong usage or invalid input
	ExitConflict    = 3 // another operator's edit came first
	ExitUnavailable = 4 // the platform does not answer, or the outcome is unknown
)

// ExitError is an error with an exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// Main runs the command and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	root := newRoot(stdout, stderr)
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "error:", err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitInvalid
}

func newRoot(stdout, stderr io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:           "lacewingwheel",
		Short:         "Router for language-model traffic with long shared prompts",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.AddCommand(newServe(), newEdge(), newExplain(), newLocal(), newCheck(), newTables(), newVersion(), newReport(), newReplay())
	return root
}
