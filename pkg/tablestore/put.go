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
	// readBackAttempts reads with this doubling delay take about six seconds,
	// longer than the timeout of one call, so that a delayed write is seen.
	readBackAttempts            = 6
	defaultInitialReadBackDelay = 200 * time.Millisecond
)

// Put checks the tables in dir and makes them the accepted configuration, which
// it returns. The write succeeds only if the accepted configuration still has
// the version in the state file. Then Put updates the state file and the
// history; failures of these two are only logged.
//
// The error is an *Error. KindConflict means that another edit was accepted
// first, and KindUnknown that the write may have taken effect.
func (e *Editor) Put(ctx context.Context, dir Dir) (*control.AcceptedConfiguration, error) {
	src, err := dir.Source()
	if err != nil {
		return nil, err
	}
	var report inifile.Report
	tables.Check(src, &report)
	if err := report.Err(); err != nil {
		return nil, invalidError("the tables have mistakes", err, "")
	}
	base, err := dir.readState()
	if err != nil {
		return nil, err
	}
	accepted := &control.AcceptedConfiguration{
		Generation: base.Generation + 1, Editor: e.OperatorName, Nonce: uuid.NewString(), Time: time.Now().UTC(),
		Routes: string(src.Routes), Pools: string(src.Pools),
	}
	version, err := e.writeAccepted(ctx, accepted, base.Version)
	if err != nil {
		return nil, err
	}
	newState := state{Version: version, Generation: accepted.Generation, Routes: contentDigest(src.Routes), Pools: contentDigest(src.Pools)}
	if err := dir.writeState(newState); err != nil {
		e.Log.Warn("the edit is accepted, but the state file is out of date; run 'tables get' before the next edit", "generation", accepted.Generation, "cause", err)
	}
	e.addToHistory(ctx, accepted)
	return accepted, nil
}

// writeAccepted replaces the accepted configuration if its object still has the
// given version, or creates it if version is 0. It returns the new version.
func (e *Editor) writeAccepted(ctx context.Context, a *control.AcceptedConfiguration, version uint64) (uint64, error) {
	value, err := a.Encode()
	if err != nil {
		return 0, failedError("the tables cannot be encoded", err, "")
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
		return e.resolveConflict(ctx, a)
	case objectstore.KindNotFound:
		return 0, &Error{Kind: KindConflict, Problem: "the accepted configuration was deleted", Cause: err, Remedy: conflictRemedy}
	case objectstore.KindTooLarge:
		return 0, invalidError("both tables together exceed the largest value of the platform", err, "shorten them, for example by removing comments")
	case objectstore.KindUnavailable, objectstore.KindRateLimited:
		return 0, &Error{Kind: KindUnavailable, Problem: "the platform did not accept the edit", Cause: err, Remedy: "nothing was changed; try again later"}
	default:
		return e.resolveLostAnswer(ctx, a, version, err)
	}
}

// resolveConflict decides the outcome of a write that the platform refused
// because of a conflict. If the accepted configuration has the nonce of the
// write, the network delivered the write twice and it succeeded. Otherwise the
// error identifies the conflicting edit.
func (e *Editor) resolveConflict(ctx context.Context, a *control.AcceptedConfiguration) (uint64, error) {
	current, err := e.readAccepted(ctx)
	if err != nil || current.version == 0 {
		return 0, conflictError(nil)
	}
	if current.Nonce == a.Nonce {
		return current.version, nil
	}
	return 0, conflictError(conflictingEdit(&current.AcceptedConfiguration))
}

// resolveLostAnswer decides the outcome of a write whose answer was lost. While
// the write may still arrive, an unchanged version does not show that it failed,
// so the accepted configuration is read several times.
func (e *Editor) resolveLostAnswer(ctx context.Context, a *control.AcceptedConfiguration, version uint64, cause error) (uint64, error) {
	delay := e.InitialReadBackDelay
	if delay == 0 {
		delay = defaultInitialReadBackDelay
	}
	for attempt := range readBackAttempts {
		if attempt > 0 && !clock.Sleep(ctx, clock.Jitter(delay)) {
			break
		}
		delay *= 2
		current, err := e.readAccepted(ctx)
		if err != nil || current.version == version {
			continue
		}
		return e.resolveNewVersion(ctx, a, current, cause)
	}
	return 0, unknownOutcomeError(a, cause)
}

// resolveNewVersion decides the outcome of a write whose answer was lost, after
// the accepted configuration has changed. The write could only replace the
// version that it was based on, so another edit with the same generation shows
// that it failed. An edit with a later generation may be based on the write.
func (e *Editor) resolveNewVersion(ctx context.Context, a *control.AcceptedConfiguration, current *storedConfiguration, cause error) (uint64, error) {
	if current.Nonce == a.Nonce {
		return current.version, nil
	}
	if current.Generation <= a.Generation {
		return 0, conflictError(conflictingEdit(&current.AcceptedConfiguration))
	}
	// This edit is not in the history yet. Another edit with its generation there
	// shows that the write failed; a missing entry shows nothing.
	recorded, err := e.readHistory(ctx, a.Generation)
	if err == nil && recorded.Nonce != a.Nonce {
		return 0, conflictError(conflictingEdit(recorded))
	}
	return 0, unknownOutcomeError(a, cause)
}

func conflictingEdit(a *control.AcceptedConfiguration) *ConflictingEdit {
	return &ConflictingEdit{Generation: a.Generation, Editor: a.Editor, Time: a.Time}
}

func unknownOutcomeError(a *control.AcceptedConfiguration, cause error) error {
	return &Error{
		Kind: KindUnknown, Cause: cause,
		Problem: fmt.Sprintf("the answer to the write of generation %d was lost, and reading it back did not show whether it took effect", a.Generation),
		Remedy:  "run 'tables history' when the platform answers; putting again is safe, because it cannot overwrite another edit",
	}
}

// errGenerationMismatch is the cause of an error if the name of a history entry
// is not its generation.
var errGenerationMismatch = errors.New("the generation of the history entry differs from its name")
