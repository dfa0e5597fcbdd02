package cli

import (
	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"lacewingwheel.example/lacewingwheel/pkg/config"
	"lacewingwheel.example/lacewingwheel/pkg/server"
)

func newServeCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run the router",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			received := catchSignals()
			defer received.close()
			settings, err := config.Load(path)
			if err != nil {
				return &ExitError{Code: ExitInvalid, Err: err}
			}
			log := hclog.New(&hclog.LoggerOptions{Name: "lacewingwheel", Output: cmd.ErrOrStderr(), Level: hclog.Info})
			ctx := received.stopContext(cmd.Context(), log)
			go received.ignoreHangups(ctx, log)
			s, err := server.New(settings, log)
			if err != nil {
				return &ExitError{Code: ExitFailed, Err: err}
			}
			if err := s.Run(ctx); err != nil {
				return &ExitError{Code: ExitFailed, Err: err}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&path, "settings", "lacewingwheel.ini", "file with the settings of the process")
	return cmd
}
