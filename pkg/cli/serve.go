package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

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
			settings, err := config.Load(path)
			if err != nil {
				return &ExitError{Code: ExitInvalid, Err: err}
			}
			log := hclog.New(&hclog.LoggerOptions{Name: "lacewingwheel", Output: cmd.ErrOrStderr(), Level: hclog.Info})
			ctx, stop := signalContext(cmd.Context())
			defer stop()
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

// signalContext returns a context that is cancelled by the first SIGTERM or SIGINT.
// The second signal ends the process at once with ExitFailed. The returned function
// stops the handling of signals.
func signalContext(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(ExitFailed)
	}()
	return ctx, func() {
		signal.Stop(signals)
		cancel()
	}
}
