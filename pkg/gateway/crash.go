package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/engine"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
	"lacewingwheel.example/lacewingwheel/pkg/target"
)

// CrashDetector tells a target that crashed from one that only broke a
// connection.
type CrashDetector interface {
	// Crashed reports whether a target is unreachable, or runs with another
	// incarnation than the one given. It is called right after a connection to
	// the target has failed.
	Crashed(ctx context.Context, t *target.Target, kind tables.PoolKind) bool
}

const (
	// crashProbes is the number of looks at a target. The connections of a
	// process that ends may break before its listener closes.
	crashProbes = 3
	// crashProbeWait is the time between two looks.
	crashProbeWait = 20 * time.Millisecond
	// crashProbeTimeout bounds all looks, because a retry waits for them.
	crashProbeTimeout = 300 * time.Millisecond
)

// CrashProbe detects crashes by a look at the target itself. Only a refused
// connection counts as unreachable: it proves that the host answers and the
// process is gone. A timeout may be a lost network, which would make suspects
// of all requests on the targets behind it.
type CrashProbe struct {
	Client engine.Client
}

// Crashed implements CrashDetector.
func (p *CrashProbe) Crashed(ctx context.Context, t *target.Target, kind tables.PoolKind) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
	defer cancel()
	for range crashProbes {
		crashed, err := p.look(ctx, t, kind)
		if err == nil || ctx.Err() != nil {
			return crashed
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		clock.Sleep(ctx, crashProbeWait)
	}
	return false
}

// look asks an engine for its incarnation. A service has none, so it is only
// seen whether it still listens.
func (p *CrashProbe) look(ctx context.Context, t *target.Target, kind tables.PoolKind) (bool, error) {
	if kind == tables.PoolEngine {
		state, err := p.Client.State(ctx, t.Address)
		return err == nil && t.Incarnation != "" && state.Incarnation != t.Incarnation, err
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return false, err
	}
	return false, conn.Close()
}

// observeCrash records that the request was running on a target that crashed.
func (f *Forwarder) observeCrash(ex *Exchange, failure *attemptError) {
	if f.Poison == nil || f.CrashDetector == nil || !failure.broken {
		return
	}
	if f.CrashDetector.Crashed(ex.Context(), ex.Target, ex.Pool.Kind) {
		f.Poison.RecordCrash(ex.Digest(), ex.Target.ID, ex.Target.Incarnation, time.Now())
	}
}
