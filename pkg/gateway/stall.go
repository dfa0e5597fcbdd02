package gateway

import (
	"context"
	"errors"
	"time"
)

// stallWatch cancels an attempt when its target makes no progress.
type stallWatch struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	timeout time.Duration
}

// newStallWatch starts a wait. When it is over, waitOn decides whether another
// one follows.
func newStallWatch(parent context.Context, timeout time.Duration, waitOn func() bool) *stallWatch {
	ctx, cancel := context.WithCancelCause(parent)
	w := &stallWatch{ctx: ctx, cancel: cancel, timeout: timeout}
	started := make(chan struct{})
	w.timer = time.AfterFunc(timeout, func() {
		<-started
		if waitOn() {
			w.progress()
			return
		}
		cancel(errStalled)
	})
	close(started)
	return w
}

// progress starts the wait anew.
func (w *stallWatch) progress() { w.timer.Reset(w.timeout) }

// pause stops the wait, for example while the caller is slow to read.
func (w *stallWatch) pause() { w.timer.Stop() }

func (w *stallWatch) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// cause returns the reason of the cancellation in place of err, if there was one.
func (w *stallWatch) cause(err error) error {
	if cause := context.Cause(w.ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}
