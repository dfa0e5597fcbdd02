package cli

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"lacewingwheel.example/lacewingwheel/pkg/explain"
)

func newExplainCommand() *cobra.Command {
	var id string
	cmd := &cobra.Command{
		Use:   "explain --request ID FILE...",
		Short: "Print the log lines that concern one request from the logs of several instances",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			var logs explain.Logs
			for _, name := range files {
				if err := readLog(&logs, name); err != nil {
					return &ExitError{Code: ExitInvalid, Err: err}
				}
			}
			err := logs.WriteRequest(cmd.OutOrStdout(), id)
			if errors.Is(err, explain.ErrRequestNotFound) {
				return &ExitError{Code: ExitFailed, Err: err}
			}
			return err
		},
	}
	cmd.Flags().StringVar(&id, "request", "", "id of the request")
	if err := cmd.MarkFlagRequired("request"); err != nil {
		panic(err) // the flag is defined above
	}
	return cmd
}

// readLog adds a log file to logs. The file name identifies the instance.
func readLog(logs *explain.Logs, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return logs.AddLog(filepath.Base(name), file)
}
