package cli

import (
	"fmt"
	"os/user"

	"github.com/spf13/cobra"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/tablestore"
)

func newTablesPut() *cobra.Command {
	var to platformFlags
	var dir, name string
	cmd := &cobra.Command{
		Use:   "put",
		Short: "Check the tables of a directory and make them the accepted configuration",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if problem := tables.CheckName(name); problem != nil {
				return &ExitError{Code: ExitInvalid, Err: fmt.Errorf("--editor: %s; %s", problem.Description, problem.Remedy)}
			}
			editor, err := to.editor(cmd)
			if err != nil {
				return err
			}
			editor.OperatorName = name
			a, err := editor.Put(cmd.Context(), tablestore.Dir(dir))
			if err != nil {
				return storeError(err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "generation %d is accepted\n", a.Generation)
			return nil
		},
	}
	to.add(cmd)
	addDirFlag(cmd, &dir)
	cmd.Flags().StringVar(&name, "editor", userName(), "name of the operator, shown to others")
	return cmd
}

// userName returns the name of the user, or "" if the system does not tell it.
func userName() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return ""
}
