package server

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// stop makes the instance not ready, serves new requests for ready_grace, so that
// load balancers notice before connections are refused, and then drains. It drains
// at once if a listener fails.
func (s *Server) stop(failed <-chan error) error {
	s.stopping.Store(true)
	s.log.Info("not ready any more; new requests are still served until ready_grace ends", "ready_grace", s.settings.Server.ReadyGrace)
	grace := time.NewTimer(s.settings.Server.ReadyGrace)
	defer grace.Stop()
	select {
	case <-grace.C:
		return s.drain()
	case err := <-failed:
		return errors.Join(err, s.drain())
	}
}

// drain closes the caller listener and waits up to drain_timeout for running
// requests. It returns an error if requests are still running then.
func (s *Server) drain() error {
	s.log.Info("stopping; waiting for running requests", "limit", s.settings.Server.DrainTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.Server.DrainTimeout)
	defer cancel()
	if err := s.callerEndpoint.shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "requests were still running at the drain timeout; raise drain_timeout")
	}
	s.log.Info("stopped")
	return nil
}

// closeConnsWhenStopping closes each caller's connection after the response once
// the instance stops. Otherwise a caller could send a request on an idle connection
// just as the drain closes it.
func (s *Server) closeConnsWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
