package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
)

// signals handles the signals that operators and the platform send to a router.
// Handlers stay until the process ends: the default action of each of these signals
// would end it and cut the requests that still run.
type signals struct {
	// Hangup receives SIGHUP. It is set by catchSignals and holds one signal.
	Hangup chan os.Signal
	stops  chan os.Signal
}

// catchSignals starts to catch SIGHUP, SIGTERM and SIGINT. It is called before
// anything that takes time. close must be called once the router has ended.
func catchSignals() *signals {
	s := &signals{Hangup: make(chan os.Signal, 1), stops: make(chan os.Signal, 2)}
	signal.Notify(s.Hangup, syscall.SIGHUP)
	signal.Notify(s.stops, syscall.SIGTERM, syscall.SIGINT)
	return s
}

// close restores the default actions.
func (s *signals) close() {
	signal.Stop(s.Hangup)
	signal.Stop(s.stops)
}

// stopContext returns a context that is cancelled by the first SIGTERM or SIGINT. A
// SIGTERM during the stop is logged and changes nothing, because a supervisor may
// repeat it; the stop ends by itself in a bounded time. A SIGINT during the stop, from
// a person at a terminal, ends the process at once with ExitFailed.
func (s *signals) stopContext(parent context.Context, log hclog.Logger) context.Context {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		<-s.stops
		cancel()
		for received := range s.stops {
			if received == syscall.SIGINT {
				os.Exit(ExitFailed)
			}
			log.Info("signal repeated; the stop goes on and running requests are completed", "signal", received)
		}
	}()
	return ctx
}

// ignoreHangups logs each SIGHUP until ctx ends, for commands that have nothing to
// reload on it.
func (s *signals) ignoreHangups(ctx context.Context, log hclog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Hangup:
			log.Info("SIGHUP has no effect: settings are read at the start, certificates when their files change, tables from the platform")
		}
	}
}
