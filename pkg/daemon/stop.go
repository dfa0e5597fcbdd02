package daemon

import (
	"context"
	"time"
)

const (
	// readyGrace is how long a stopping instance still accepts requests. The
	// platform's probe must fail twice, a second apart, before callers use other
	// instances.
	readyGrace = 2500 * time.Millisecond
	// killMargin is the part of StopTimeout that is left for the end of the
	// process, before the platform kills it.
	killMargin = 500 * time.Millisecond
)

// stop makes the instance not ready, serves new requests for readyGrace, and then
// waits for running requests until killMargin before StopTimeout.
func (d *Daemon) stop(s *Settings) error {
	started := time.Now()
	d.stopping.Store(true)
	d.log.Info("stopping; new requests are still served", "for", readyGrace, "limit", s.StopTimeout)
	time.Sleep(readyGrace)
	remaining := s.StopTimeout - killMargin - time.Since(started)
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	err := d.callerServer.Shutdown(ctx)
	if err != nil {
		d.log.Warn("stop timeout reached; requests still running are cut off", "after", time.Since(started), "cause", err)
		return nil
	}
	return nil
}
