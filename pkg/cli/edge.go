package cli

import (
	"bytes"
	"context"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/daemon"
	"lacewingwheel.example/lacewingwheel/pkg/logsink"
	"lacewingwheel.example/lacewingwheel/platform"
)

const (
	// settingsPollInterval is the time between reads of the settings file, which may
	// change without a SIGHUP.
	settingsPollInterval = 2 * time.Second
	// quicBufferWarningVariable is the environment variable that disables a warning of
	// the QUIC library about small receive buffers. The library prints it outside the
	// log, and messages between instances are too small to need larger buffers.
	quicBufferWarningVariable = "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING"
	// logFlushTimeout bounds the time for writing queued log lines when the process
	// ends.
	logFlushTimeout = 200 * time.Millisecond
)

func newEdgeCommand() *cobra.Command {
	var path, metricsPort string
	cmd := &cobra.Command{
		Use:   "edge",
		Short: "Run the router on the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			received := catchSignals()
			defer received.close()
			if path == "" {
				path = os.Getenv(platform.SettingsVariable)
			}
			settings, err := platform.LoadSettings(path)
			if err != nil {
				return &ExitError{Code: ExitInvalid, Err: err}
			}
			if metricsPort != "" {
				settings.MetricsListen = net.JoinHostPort(settings.Host(), metricsPort)
			}
			if err := os.Setenv(quicBufferWarningVariable, "true"); err != nil {
				return &ExitError{Code: ExitFailed, Err: err}
			}
			sink := logsink.New(cmd.OutOrStdout())
			defer sink.Close(logFlushTimeout)
			log := hclog.New(&hclog.LoggerOptions{Name: "lacewingwheel", Output: sink, Level: hclog.Info})
			ctx := received.stopContext(cmd.Context(), log)
			var current atomic.Pointer[daemon.Settings]
			current.Store(settings)
			go watchSettings(ctx, path, received.Hangup, &current, log)
			if err := daemon.New(current.Load, platform.New(current.Load), log).Run(ctx); err != nil {
				log.Error("daemon stopped with an error; the process ends", "cause", err)
				return &ExitError{Code: ExitFailed, Err: err}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&metricsPort, "metrics-port", "", "port for metrics (default: the second port of port_range in the settings file)")
	cmd.Flags().StringVar(&path, "node-file", "", "settings file of the platform (default: the path in the environment variable "+platform.SettingsVariable+")")
	return cmd
}

// watchSettings reloads the settings file when it changes, until ctx is done. It
// reads the file at intervals and on each signal from hangup. If the file cannot be read or parsed,
// the previous settings stay in force. Changed listen addresses take effect at the
// next start of the process.
func watchSettings(ctx context.Context, path string, hangup <-chan os.Signal, current *atomic.Pointer[daemon.Settings], log hclog.Logger) {
	lastRead, err := os.ReadFile(path)
	if err != nil {
		log.Warn("settings file cannot be read; it is reloaded when it can be read", "path", path, "cause", err)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			log.Info("reload requested", "path", path)
		case <-time.After(clock.Jitter(settingsPollInterval)):
		}
		text, err := os.ReadFile(path)
		if err != nil {
			log.Warn("settings file cannot be read; the previous settings stay in force", "path", path, "cause", err)
			continue
		}
		if bytes.Equal(text, lastRead) {
			continue
		}
		lastRead = text
		reloaded, err := platform.ParseSettings(text)
		if err != nil {
			log.Warn("settings file is invalid; the previous settings stay in force", "path", path, "cause", err)
			continue
		}
		current.Store(reloaded)
		log.Info("settings reloaded", "path", path, "store", reloaded.StoreAddress)
	}
}
