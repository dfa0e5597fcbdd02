package daemon

import (
	"context"
	"net"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/relay"
)

const (
	// readyGrace is how long a stopping instance still accepts requests. The
	// platform's probe must fail twice, a second apart, before callers use other
	// instances.
	readyGrace = 2500 * time.Millisecond
	// killMargin is the part of StopTimeout that is left for the end of the
	// process, before the platform kills it.
	killMargin = 500 * time.Millisecond
	// finalAnswerTime is the part of killMargin in which requests that are ended get
	// their last answer.
	finalAnswerTime = 250 * time.Millisecond
)

// stop makes the instance not ready and serves new requests for readyGrace. From then on it
// opens no connections, takes only requests that end before killMargin before StopTimeout, and
// waits until then for those that run. What still runs then gets an error as its answer, or a
// reset if a part of the answer was sent.
func (d *Daemon) stop(s *Settings, callerListener net.Listener) {
	started := time.Now()
	d.stopping.Store(true)
	d.log.Info("stopping; new requests are still served", "for", readyGrace, "limit", s.StopTimeout)
	time.Sleep(readyGrace)
	endsAt := started.Add(s.StopTimeout - killMargin)
	d.drainEndsAt.Store(&endsAt)
	if err := callerListener.Close(); err != nil {
		d.log.Warn("the listener for callers did not close", "cause", err)
	}
	ctx, cancel := context.WithDeadline(context.Background(), endsAt)
	defer cancel()
	if err := d.callerConns.AwaitQuiet(ctx); err != nil {
		d.log.Warn("stop timeout reached; requests still running are ended", "after", time.Since(started))
		d.endRequests(relay.ErrStopping)
	}
	// Requests that arrive from now on are refused, so that none is cut when the server closes.
	now := time.Now()
	d.drainEndsAt.Store(&now)
	ctx, cancel = context.WithTimeout(context.Background(), finalAnswerTime)
	defer cancel()
	if err := d.callerConns.AwaitQuiet(ctx); err != nil {
		d.log.Warn("requests did not end and are cut off", "after", time.Since(started), "cause", err)
	}
	if err := d.callerServer.Close(); err != nil {
		d.log.Warn("the server for callers did not close", "cause", err)
	}
}

// drainEnd returns when requests that still run are ended, or zero as long as the instance
// takes all requests.
func (d *Daemon) drainEnd() time.Time {
	if at := d.drainEndsAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
