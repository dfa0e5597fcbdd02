package cli

import (
	"fmt"
	"os/user"

	"github.com/spf13/cobra"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/tablestore"
)

func newTablesPutCommand() *cobra.Command {
	var flags platformFlags
	var dir, editorName string
	cmd := &cobra.Command{
		Use:   "put",
		Short: "Check the tables in a directory and make them the accepted configuration",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if problem := tables.CheckName(editorName); problem != nil {
				return &ExitError{Code: ExitInvalid, Err: fmt.Errorf("--editor: %s; %s", problem.Description, problem.Remedy)}
			}
			editor, err := flags.editor(cmd)
			if err != nil {
				return err
			}
			editor.OperatorName = editorName
			accepted, err := editor.Put(cmd.Context(), tablestore.Dir(dir))
			if err != nil {
				return withExitCode(err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "generation %d is accepted\n", accepted.Generation)
			return nil
		},
	}
	flags.register(cmd)
	addDirFlag(cmd, &dir)
	cmd.Flags().StringVar(&editorName, "editor", userName(), "name of the operator, shown to other operators")
	return cmd
}

// userName returns the name of the current system user, or "" if it is unknown.
func userName() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return ""
}
