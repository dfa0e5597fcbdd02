package server

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// stop leaves readiness, serves on during the grace, so that load balancers
// see the change before connections are refused, and then drains. It returns
// early if a listener fails.
func (s *Server) stop(failed <-chan error) error {
	s.stopping.Store(true)
	s.log.Info("leaving readiness; new requests are still served", "ready_grace", s.settings.Server.ReadyGrace)
	grace := time.NewTimer(s.settings.Server.ReadyGrace)
	defer grace.Stop()
	select {
	case <-grace.C:
		return s.drain()
	case err := <-failed:
		return errors.Join(err, s.drain())
	}
}

// drain stops accepting and waits for the running requests.
func (s *Server) drain() error {
	s.log.Info("stopping; waiting for running requests", "limit", s.settings.Server.DrainTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.Server.DrainTimeout)
	defer cancel()
	if err := s.caller.http.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "requests were still running at the drain timeout; raise drain_timeout")
	}
	s.log.Info("stopped")
	return nil
}

// leaveConnections asks callers of a stopping instance to open a new connection
// for their next request. One that stays idle until the listener closes could
// otherwise carry a request just as it is closed.
func (s *Server) leaveConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
