package tablestore

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"

	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
)

// HistoryLength is the number of accepted configurations that are kept.
const HistoryLength = 20

func historyName(generation uint64) string { return strconv.FormatUint(generation, 10) }

// generation reads one generation from the history.
func (e *Editor) generation(ctx context.Context, generation uint64) (*control.AcceptedConfiguration, error) {
	what := fmt.Sprintf("generation %d", generation)
	object, err := e.Store.Get(ctx, control.KindConfigurationHistory, historyName(generation))
	if err != nil {
		return nil, readError(what, err)
	}
	a, err := control.DecodeAcceptedConfiguration(object.Value)
	if err == nil && a.Generation != generation {
		err = errDamaged
	}
	if err != nil {
		return nil, failed(what+" is damaged", err, "choose another one from 'tables history'")
	}
	return a, nil
}

// History returns the accepted configuration and the kept ones, newest first.
func (e *Editor) History(ctx context.Context) ([]*control.AcceptedConfiguration, error) {
	now, err := e.current(ctx)
	if err != nil {
		return nil, err
	}
	objects, _, err := e.Store.List(ctx, control.KindConfigurationHistory)
	if err != nil {
		return nil, readError("the history", err)
	}
	var entries []*control.AcceptedConfiguration
	// The history is written after the accepted object and may lack it.
	if now.version > 0 {
		entries = append(entries, &now.AcceptedConfiguration)
	}
	for _, object := range objects {
		a, err := control.DecodeAcceptedConfiguration(object.Value)
		if err != nil {
			e.Log.Warn("an entry of the history is damaged", "name", object.Name, "cause", err)
			continue
		}
		if a.Generation != now.Generation {
			entries = append(entries, a)
		}
	}
	slices.SortFunc(entries, func(a, b *control.AcceptedConfiguration) int { return cmp.Compare(b.Generation, a.Generation) })
	return entries, nil
}

// record adds an accepted configuration to the history and removes the oldest.
// It runs after the write that counts, so its failures are only logged.
func (e *Editor) record(ctx context.Context, a *control.AcceptedConfiguration) {
	value, err := a.Encode()
	if err == nil {
		_, err = e.Store.Create(ctx, control.KindConfigurationHistory, historyName(a.Generation), value)
	}
	if err != nil && !objectstore.IsKind(err, objectstore.KindExists) {
		e.Log.Warn("the edit is accepted, but not in the history", "generation", a.Generation, "cause", err)
	}
	if err := e.prune(ctx); err != nil {
		e.Log.Warn("old entries of the history are still there", "cause", err)
	}
}

// prune removes all but the last entries. Operators may prune at the same time,
// so an entry that is already gone is not an error.
func (e *Editor) prune(ctx context.Context) error {
	objects, _, err := e.Store.List(ctx, control.KindConfigurationHistory)
	if err != nil {
		return err
	}
	type kept struct {
		object     objectstore.Object
		generation uint64
	}
	var entries []kept
	for _, object := range objects {
		if generation, err := strconv.ParseUint(object.Name, 10, 64); err == nil {
			entries = append(entries, kept{object, generation})
		}
	}
	slices.SortFunc(entries, func(a, b kept) int { return cmp.Compare(b.generation, a.generation) })
	if len(entries) <= HistoryLength {
		return nil
	}
	for _, entry := range entries[HistoryLength:] {
		err := e.Store.Delete(ctx, control.KindConfigurationHistory, entry.object.Name, entry.object.Version)
		if err != nil && !objectstore.IsKind(err, objectstore.KindNotFound) {
			return err
		}
	}
	return nil
}
