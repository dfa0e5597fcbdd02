package daemon

import (
	"context"
	"time"
)

const (
	// leaveTime is how long a stopping instance serves on: the platform's
	// probe must miss twice, a second apart, before callers go elsewhere.
	leaveTime = 2500 * time.Millisecond
	// stopMargin is kept before the process is killed.
	stopMargin = 500 * time.Millisecond
)

// stop leaves readiness, serves on until callers have moved, and waits for the
// running requests.
func (d *Daemon) stop(s *Settings) error {
	started := time.Now()
	d.stopping.Store(true)
	d.log.Info("stopping; new requests are still served", "for", leaveTime, "limit", s.StopTimeout)
	time.Sleep(leaveTime)
	limit := s.StopTimeout - stopMargin - time.Since(started)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := d.callers.Shutdown(ctx)
	if err != nil {
		d.log.Warn("requests were still running when the time to stop was over", "after", time.Since(started), "cause", err)
		return nil
	}
	return nil
}
