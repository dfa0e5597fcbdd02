// Package cli implements the subcommands of the lacewingwheel command.
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
	ExitUnavailable = 4 // the platform does not answer, or it is unknown whether an edit took effect
)

// ExitError is an error that ends the command with an exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// Main runs the command with args, which exclude the program name, and returns its
// exit code. An error is printed to stderr. Errors without an exit code are usage
// errors and give ExitInvalid.
func Main(args []string, stdout, stderr io.Writer) int {
	root := newRootCommand(stdout, stderr)
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "error:", err)
	var exitErr *ExitError
	if errors.As(err, &exitErr) {
		return exitErr.Code
	}
	return ExitInvalid
}

func newRootCommand(stdout, stderr io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:           "lacewingwheel",
		Short:         "Router for language-model traffic with long shared prompts",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.AddCommand(newServeCommand(), newEdgeCommand(), newExplainCommand(), newLocalCommand(), newCheckCommand(), newTablesCommand(), newVersionCommand(), newReportCommand(), newReplayCommand())
	return root
}
