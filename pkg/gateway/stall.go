package gateway

import (
	"context"
	"errors"
	"time"
)

// stallTimer cancels the context of an attempt when its target makes no progress
// for the timeout.
type stallTimer struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	timeout time.Duration
}

// newStallTimer starts a timer. Whenever it expires, keepWaiting decides whether
// it is restarted or the context is cancelled with errStalled.
func newStallTimer(parent context.Context, timeout time.Duration, keepWaiting func() bool) *stallTimer {
	ctx, cancel := context.WithCancelCause(parent)
	t := &stallTimer{ctx: ctx, cancel: cancel, timeout: timeout}
	started := make(chan struct{})
	t.timer = time.AfterFunc(timeout, func() {
		<-started
		if keepWaiting() {
			t.restart()
			return
		}
		cancel(errStalled)
	})
	close(started)
	return t
}

// restart restarts the timer after progress of the target.
func (t *stallTimer) restart() { t.timer.Reset(t.timeout) }

// pause stops the timer until restart, for example while the caller is slow to
// read.
func (t *stallTimer) pause() { t.timer.Stop() }

// stop stops the timer and releases the context.
func (t *stallTimer) stop() {
	t.timer.Stop()
	t.cancel(nil)
}

// cause returns the cause of the context's cancellation, or err if the context
// is not cancelled or its cause is context.Canceled.
func (t *stallTimer) cause(err error) error {
	if cause := context.Cause(t.ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}
