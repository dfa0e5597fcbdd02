package cli

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"
)

func newTablesHistory() *cobra.Command {
	var from platformFlags
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List the last accepted configurations, newest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			editor, err := from.editor(cmd)
			if err != nil {
				return err
			}
			entries, err := editor.History(cmd.Context())
			if err != nil {
				return storeError(err)
			}
			for _, a := range entries {
				fmt.Fprintf(cmd.OutOrStdout(), "%d\t%s\t%s\n", a.Generation, a.Time.UTC().Format(time.RFC3339), a.Editor)
			}
			return nil
		},
	}
	from.add(cmd)
	return cmd
}
