package cli

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"
)

func newTablesHistoryCommand() *cobra.Command {
	var flags platformFlags
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List the most recently accepted configurations, newest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			editor, err := flags.editor(cmd)
			if err != nil {
				return err
			}
			entries, err := editor.History(cmd.Context())
			if err != nil {
				return withExitCode(err)
			}
			for _, accepted := range entries {
				fmt.Fprintf(cmd.OutOrStdout(), "%d\t%s\t%s\n", accepted.Generation, accepted.Time.UTC().Format(time.RFC3339), accepted.Editor)
			}
			return nil
		},
	}
	flags.register(cmd)
	return cmd
}
