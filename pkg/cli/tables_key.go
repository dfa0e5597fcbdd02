package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

func newTablesKeyCommand() *cobra.Command {
	var name string
	cmd := &cobra.Command{
		Use:   "key",
		Short: "Generate a random caller key and print it once, with its line for the pools table",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if problem := tables.CheckName(name); problem != nil {
				return &ExitError{Code: ExitInvalid, Err: fmt.Errorf("--name: %s; %s", problem.Description, problem.Remedy)}
			}
			key := newRandomKey()
			fmt.Fprintf(cmd.OutOrStdout(), "key, shown only now, for the caller:\n%s\n\n", key)
			fmt.Fprintf(cmd.OutOrStdout(), "line for the section [organisation NAME] of pools.ini:\nkey.%s = %s\n",
				name, tables.FormatDigest(tables.HashKey(key)))
			return nil
		},
	}
	cmd.Flags().StringVar(&name, "name", "new", "name of the key in the table")
	return cmd
}
