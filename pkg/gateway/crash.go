package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
	"lacewingwheel.example/lacewingwheel/pkg/targetconn"
)

// CrashDetector distinguishes a crashed target from a broken connection.
type CrashDetector interface {
	// Crashed reports whether a target is down or has restarted, that is, runs
	// with another incarnation than t.Incarnation. It is called right after a
	// connection to the target has failed.
	Crashed(ctx context.Context, t *target.Target, kind tables.PoolKind) bool
}

const (
	// crashProbeCount is the number of probes of a target. The connections of an
	// exiting process may break before its listener closes.
	crashProbeCount = 3
	// crashProbeInterval is the wait between two probes.
	crashProbeInterval = 20 * time.Millisecond
	// crashProbeTimeout bounds all probes together, because a retry waits for them.
	crashProbeTimeout = 300 * time.Millisecond
)

// CrashProbe detects crashes by connecting to the target. Only a refused
// connection counts as down: the host answers, but the process is gone. A
// timeout does not count, because a network failure would then put all requests
// on the targets behind it under suspicion.
type CrashProbe struct {
	Client engine.Client
}

// Crashed implements CrashDetector. A service has no incarnation: only whether it
// accepts connections is checked.
func (p *CrashProbe) Crashed(ctx context.Context, t *target.Target, kind tables.PoolKind) bool {
	if kind != tables.PoolEngine {
		return targetconn.IsDown(ctx, t.Address)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
	defer cancel()
	for range crashProbeCount {
		state, err := p.Client.State(ctx, t.Address)
		if err == nil || ctx.Err() != nil {
			return err == nil && t.Incarnation != "" && state.Incarnation != t.Incarnation
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		clock.Sleep(ctx, crashProbeInterval)
	}
	return false
}

// recordCrash records the request as a suspect if the attempt lost its
// connection because the target crashed.
func (f *Forwarder) recordCrash(ex *Exchange, failure *attemptError) {
	if f.PoisonDetector == nil || f.CrashDetector == nil || !failure.connectionLost {
		return
	}
	if f.CrashDetector.Crashed(ex.Context(), ex.Target, ex.Pool.Kind) {
		f.PoisonDetector.RecordCrash(ex.Digest(), ex.Target.ID, ex.Target.Incarnation, time.Now())
	}
}
