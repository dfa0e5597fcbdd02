package tablestore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"lacewingwheel.example/lacewingwheel/pkg/clock"
	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/inifile"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

const (
	// readBackTries and defaultReadBackWait read for about six seconds, which
	// exceeds the timeout of one call.
	readBackTries       = 6
	defaultReadBackWait = 200 * time.Millisecond
)

// Put checks the tables in dir and makes them the accepted configuration, with
// one write on the condition that the version which Get read is still there.
// It returns what is now accepted.
func (e *Editor) Put(ctx context.Context, dir Dir) (*control.AcceptedConfiguration, error) {
	src, err := dir.Source()
	if err != nil {
		return nil, err
	}
	var report inifile.Report
	tables.Check(src, &report)
	if err := report.Err(); err != nil {
		return nil, invalid("the tables have mistakes", err, "")
	}
	base, err := dir.readState()
	if err != nil {
		return nil, err
	}
	accepted := &control.AcceptedConfiguration{
		Generation: base.Generation + 1, Editor: e.OperatorName, Nonce: uuid.NewString(), Time: time.Now().UTC(),
		Routes: string(src.Routes), Pools: string(src.Pools),
	}
	version, err := e.write(ctx, accepted, base.Version)
	if err != nil {
		return nil, err
	}
	next := state{Version: version, Generation: accepted.Generation, Routes: digestOf(src.Routes), Pools: digestOf(src.Pools)}
	if err := dir.writeState(next); err != nil {
		e.Log.Warn("the edit is accepted, but the state file is out of date; run 'tables get' before the next edit", "generation", accepted.Generation, "cause", err)
	}
	e.record(ctx, accepted)
	return accepted, nil
}

// write makes the conditional write and returns the new version.
func (e *Editor) write(ctx context.Context, a *control.AcceptedConfiguration, version uint64) (uint64, error) {
	value, err := a.Encode()
	if err != nil {
		return 0, failed("the tables cannot be encoded", err, "")
	}
	var object objectstore.Object
	if version == 0 {
		object, err = e.Store.Create(ctx, control.KindConfiguration, control.NameAccepted, value)
	} else {
		object, err = e.Store.Update(ctx, control.KindConfiguration, control.NameAccepted, value, version)
	}
	if err == nil {
		return object.Version, nil
	}
	switch objectstore.KindOf(err) {
	case objectstore.KindConflict, objectstore.KindExists:
		return e.afterConflict(ctx, a)
	case objectstore.KindNotFound:
		return 0, &Error{Kind: KindConflict, Problem: "the accepted configuration was deleted", Cause: err, Remedy: remedyConflict}
	case objectstore.KindTooLarge:
		return 0, invalid("both tables together exceed the largest value of the platform", err, "shorten them, for example by removing comments")
	case objectstore.KindUnavailable, objectstore.KindRateLimited:
		return 0, &Error{Kind: KindUnavailable, Problem: "the platform did not take the edit", Cause: err, Remedy: "nothing was changed; try again later"}
	default:
		return e.afterLostAnswer(ctx, a, version, err)
	}
}

// afterConflict names the edit that came first. It may be the own one, when the
// network delivered the write twice.
func (e *Editor) afterConflict(ctx context.Context, a *control.AcceptedConfiguration) (uint64, error) {
	now, err := e.current(ctx)
	if err != nil || now.version == 0 {
		return 0, conflict(nil)
	}
	if now.Nonce == a.Nonce {
		return now.version, nil
	}
	return 0, conflict(otherOf(&now.AcceptedConfiguration))
}

// afterLostAnswer reads back whether the write took effect. An unchanged
// version proves nothing until the write can no longer arrive, so it reads
// several times before it gives up.
func (e *Editor) afterLostAnswer(ctx context.Context, a *control.AcceptedConfiguration, version uint64, cause error) (uint64, error) {
	wait := e.InitialReadBackDelay
	if wait == 0 {
		wait = defaultReadBackWait
	}
	for try := range readBackTries {
		if try > 0 && !clock.Sleep(ctx, clock.Jitter(wait)) {
			break
		}
		wait *= 2
		now, err := e.current(ctx)
		if err != nil || now.version == version {
			continue
		}
		return e.resolve(ctx, a, now, cause)
	}
	return 0, unknown(a, cause)
}

// resolve decides the outcome of a lost write from a newer accepted object. The
// write could only replace its own base version, so another edit with the same
// generation proves that it did not. A later generation may be built on it.
func (e *Editor) resolve(ctx context.Context, a *control.AcceptedConfiguration, now *current, cause error) (uint64, error) {
	if now.Nonce == a.Nonce {
		return now.version, nil
	}
	if now.Generation <= a.Generation {
		return 0, conflict(otherOf(&now.AcceptedConfiguration))
	}
	// The own edit is not in the history yet, so another one there proves that
	// the write failed, and an absent one proves nothing.
	recorded, err := e.generation(ctx, a.Generation)
	if err == nil && recorded.Nonce != a.Nonce {
		return 0, conflict(otherOf(recorded))
	}
	return 0, unknown(a, cause)
}

func otherOf(a *control.AcceptedConfiguration) *ConflictingEdit {
	return &ConflictingEdit{Generation: a.Generation, Editor: a.Editor, Time: a.Time}
}

func unknown(a *control.AcceptedConfiguration, cause error) error {
	return &Error{
		Kind: KindUnknown, Cause: cause,
		Problem: fmt.Sprintf("the answer to the write of generation %d was lost, and reading it back did not show whether it took effect", a.Generation),
		Remedy:  "run 'tables history' when the platform answers; putting again is safe, because it cannot overwrite another edit",
	}
}

// errDamaged is the cause when a stored generation is not what its name says.
var errDamaged = errors.New("the stored generation differs from its name")
