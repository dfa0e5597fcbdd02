package cli

import (
	"bytes"
	"context"
	"net"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/daemon"
	"lacewingwheel.example/lacewingwheel/pkg/logsink"
	"lacewingwheel.example/lacewingwheel/platform"
)

const (
	// settingsInterval is the time between looks at the settings file, which
	// may change without a signal.
	settingsInterval = 2 * time.Second
	// quicBufferWarning turns off a line that the QUIC library prints beside the
	// log: exchanges between instances are too small to need larger buffers.
	quicBufferWarning = "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING"
	// logFlushTime bounds writing the last lines at the end of the process.
	logFlushTime = 200 * time.Millisecond
)

func newEdge() *cobra.Command {
	var path, metricsPort string
	cmd := &cobra.Command{
		Use:   "edge",
		Short: "Run the router on the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
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
			if err := os.Setenv(quicBufferWarning, "true"); err != nil {
				return &ExitError{Code: ExitFailed, Err: err}
			}
			sink := logsink.New(cmd.OutOrStdout())
			defer sink.Close(logFlushTime)
			log := hclog.New(&hclog.LoggerOptions{Name: "lacewingwheel", Output: sink, Level: hclog.Info})
			ctx, stop := signalContext(cmd.Context())
			defer stop()
			var current atomic.Pointer[daemon.Settings]
			current.Store(settings)
			go followSettings(ctx, path, &current, log)
			if err := daemon.New(current.Load, platform.New(current.Load), log).Run(ctx); err != nil {
				log.Error("the daemon ended", "cause", err)
				return &ExitError{Code: ExitFailed, Err: err}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&metricsPort, "metrics-port", "", "port that serves metrics (default: the second port of the instances' own range)")
	cmd.Flags().StringVar(&path, "node-file", "", "settings file of the platform (default: the path in "+platform.SettingsVariable+")")
	return cmd
}

// followSettings takes in the settings file when it changes or on SIGHUP.
// Addresses that the process listens on take effect at its next start.
func followSettings(ctx context.Context, path string, current *atomic.Pointer[daemon.Settings], log hclog.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	before, err := os.ReadFile(path)
	if err != nil {
		log.Warn("settings file not read", "path", path, "cause", err)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			log.Info("reload requested", "path", path)
		case <-time.After(clock.Jitter(settingsInterval)):
		}
		text, err := os.ReadFile(path)
		if err != nil {
			log.Warn("settings file not read; the settings before stay in force", "path", path, "cause", err)
			continue
		}
		if bytes.Equal(text, before) {
			continue
		}
		before = text
		next, err := platform.ParseSettings(text)
		if err != nil {
			log.Warn("settings file has mistakes; the settings before stay in force", "path", path, "cause", err)
			continue
		}
		current.Store(next)
		log.Info("settings reloaded", "path", path, "store", next.StoreAddress)
	}
}
