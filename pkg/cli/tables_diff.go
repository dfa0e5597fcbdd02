package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/tablestore"
)

func newTablesDiffCommand() *cobra.Command {
	var flags platformFlags
	var dir string
	var generation uint64
	cmd := &cobra.Command{
		Use:   "diff",
		Short: "Show how the tables in a directory differ from the accepted tables",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			editor, err := flags.editor(cmd)
			if err != nil {
				return err
			}
			changes, compared, err := editor.Diff(cmd.Context(), tablestore.Dir(dir), generation)
			if err != nil {
				return withExitCode(err)
			}
			if len(changes) == 0 {
				fmt.Fprintf(cmd.OutOrStdout(), "no difference from generation %d\n", compared)
				return nil
			}
			fmt.Fprintf(cmd.OutOrStdout(), "from generation %d to the tables in %s:\n%s", compared, dir, tables.FormatDiff(changes))
			return nil
		},
	}
	flags.register(cmd)
	addDirFlag(cmd, &dir)
	cmd.Flags().Uint64Var(&generation, "generation", 0, "older generation to compare with, see 'tables history'")
	return cmd
}
