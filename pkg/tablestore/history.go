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

// HistoryLength is the number of generations that the history keeps.
const HistoryLength = 20

func historyName(generation uint64) string { return strconv.FormatUint(generation, 10) }

// readHistory reads one generation from the history.
func (e *Editor) readHistory(ctx context.Context, generation uint64) (*control.AcceptedConfiguration, error) {
	subject := fmt.Sprintf("generation %d", generation)
	object, err := e.Store.Get(ctx, control.KindConfigurationHistory, historyName(generation))
	if err != nil {
		return nil, readError(subject, err)
	}
	a, err := control.DecodeAcceptedConfiguration(object.Value)
	if err == nil && a.Generation != generation {
		err = errGenerationMismatch
	}
	if err != nil {
		return nil, failedError(subject+" is damaged", err, "choose another one from 'tables history'")
	}
	return a, nil
}

// History returns the accepted configuration and those in the history, newest
// first. Damaged entries are logged and left out. The error is an *Error.
func (e *Editor) History(ctx context.Context) ([]*control.AcceptedConfiguration, error) {
	accepted, err := e.readAccepted(ctx)
	if err != nil {
		return nil, err
	}
	objects, _, err := e.Store.List(ctx, control.KindConfigurationHistory)
	if err != nil {
		return nil, readError("the history", err)
	}
	var entries []*control.AcceptedConfiguration
	// The history may lack the accepted configuration, because Put writes it there
	// only after it was accepted.
	if accepted.version > 0 {
		entries = append(entries, &accepted.AcceptedConfiguration)
	}
	for _, object := range objects {
		a, err := control.DecodeAcceptedConfiguration(object.Value)
		if err != nil {
			e.Log.Warn("history entry is damaged and left out", "name", object.Name, "cause", err)
			continue
		}
		if a.Generation != accepted.Generation {
			entries = append(entries, a)
		}
	}
	slices.SortFunc(entries, func(a, b *control.AcceptedConfiguration) int { return cmp.Compare(b.Generation, a.Generation) })
	return entries, nil
}

// addToHistory adds an accepted configuration to the history and removes the
// oldest ones. The edit has already taken effect, so failures are only logged.
func (e *Editor) addToHistory(ctx context.Context, a *control.AcceptedConfiguration) {
	value, err := a.Encode()
	if err == nil {
		_, err = e.Store.Create(ctx, control.KindConfigurationHistory, historyName(a.Generation), value)
	}
	if err != nil && !objectstore.IsKind(err, objectstore.KindExists) {
		e.Log.Warn("the edit is accepted, but could not be added to the history", "generation", a.Generation, "cause", err)
	}
	if err := e.pruneHistory(ctx); err != nil {
		e.Log.Warn("old history entries could not be removed", "cause", err)
	}
}

// pruneHistory removes all but the newest HistoryLength entries. Another editor
// may remove entries at the same time, so a missing one is not an error.
func (e *Editor) pruneHistory(ctx context.Context) error {
	objects, _, err := e.Store.List(ctx, control.KindConfigurationHistory)
	if err != nil {
		return err
	}
	type historyEntry struct {
		object     objectstore.Object
		generation uint64
	}
	var entries []historyEntry
	for _, object := range objects {
		if generation, err := strconv.ParseUint(object.Name, 10, 64); err == nil {
			entries = append(entries, historyEntry{object, generation})
		}
	}
	slices.SortFunc(entries, func(a, b historyEntry) int { return cmp.Compare(b.generation, a.generation) })
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
