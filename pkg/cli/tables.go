package cli

import (
	"fmt"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"lacewingwheel.example/lacewingwheel/pkg/config"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore/httpapi"
	"lacewingwheel.example/lacewingwheel/pkg/tablestore"
)

func newTablesCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "tables",
		Short: "Read and edit the routes and pools tables on the platform",
		Long: "Read and edit the routes and pools tables on the platform. 'get' writes both to a directory, " +
			"'put' makes them the accepted configuration unless another operator has edited it since.",
		// With cobra.NoArgs, an unknown subcommand is a usage error; without, it prints
		// the help and succeeds.
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(newTablesGetCommand(), newTablesPutCommand(), newTablesDiffCommand(), newTablesHistoryCommand(), newTablesKeyCommand())
	return cmd
}

// platformFlags holds the flags that give the URL of the platform.
type platformFlags struct {
	address  string
	settings string
}

func (f *platformFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.address, "platform", "", "URL of the platform, http://ip:port")
	addFileFlag(cmd, &f.settings, "settings", "", "settings file with the URL of the platform")
	cmd.MarkFlagsOneRequired("platform", "settings")
	cmd.MarkFlagsMutuallyExclusive("platform", "settings")
}

// url returns the URL of the platform from the flag or from the settings file.
func (f *platformFlags) url() (string, error) {
	if f.settings != "" {
		settings, err := config.Load(f.settings)
		if err != nil {
			return "", err
		}
		return settings.Platform.Address, nil
	}
	if problem := config.CheckPlatformAddress(f.address); problem != nil {
		return "", fmt.Errorf("--platform: %s; %s", problem.Description, problem.Remedy)
	}
	return f.address, nil
}

// editor returns an editor for the tables on the platform. Its OperatorName is empty,
// which is sufficient for reading.
func (f *platformFlags) editor(cmd *cobra.Command) (*tablestore.Editor, error) {
	address, err := f.url()
	if err != nil {
		return nil, &ExitError{Code: ExitInvalid, Err: err}
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "lacewingwheel", Output: cmd.ErrOrStderr(), Level: hclog.Info})
	return &tablestore.Editor{Store: httpapi.New(address), Log: log}, nil
}

func addDirFlag(cmd *cobra.Command, dir *string) {
	cmd.Flags().StringVar(dir, "dir", ".", "directory with routes.ini, pools.ini and the state file")
	_ = cmd.MarkFlagDirname("dir") // fails only for a flag that does not exist
}

// withExitCode wraps an error of the table store in an ExitError. A nil error stays
// nil.
func withExitCode(err error) error {
	if err == nil {
		return nil
	}
	codes := map[tablestore.ErrorKind]int{
		tablestore.KindInvalid:     ExitInvalid,
		tablestore.KindConflict:    ExitConflict,
		tablestore.KindUnavailable: ExitUnavailable,
		tablestore.KindUnknown:     ExitUnavailable,
	}
	if code, ok := codes[tablestore.KindOf(err)]; ok {
		return &ExitError{Code: code, Err: err}
	}
	return &ExitError{Code: ExitFailed, Err: err}
}
