package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"lacewingwheel.example/lacewingwheel/pkg/tablestore"
)

func newTablesGetCommand() *cobra.Command {
	var flags platformFlags
	var dir string
	var options tablestore.GetOptions
	cmd := &cobra.Command{
		Use:   "get",
		Short: "Write the accepted tables to a directory",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			editor, err := flags.editor(cmd)
			if err != nil {
				return err
			}
			accepted, err := editor.Get(cmd.Context(), tablestore.Dir(dir), options)
			if err != nil {
				return withExitCode(err)
			}
			if accepted.Generation == 0 {
				fmt.Fprintf(cmd.OutOrStdout(), "no configuration is accepted yet; empty tables are in %s\n", dir)
				return nil
			}
			fmt.Fprintf(cmd.OutOrStdout(), "generation %d by %s is in %s\n", accepted.Generation, accepted.Editor, dir)
			return nil
		},
	}
	flags.register(cmd)
	addDirFlag(cmd, &dir)
	cmd.Flags().Uint64Var(&options.Generation, "generation", 0, "older generation to get, see 'tables history'")
	cmd.Flags().BoolVar(&options.Force, "force", false, "overwrite local edits")
	return cmd
}
