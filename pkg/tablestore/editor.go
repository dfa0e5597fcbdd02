package tablestore

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"

	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// Editor reads and edits the accepted configuration. Several editors may work at
// the same time, in one process or in several.
type Editor struct {
	Store        objectstore.Store
	OperatorName string // recorded with each edit and shown to other operators
	Log          hclog.Logger
	// InitialReadBackDelay is the delay before the second read after the answer
	// to a write was lost. It doubles with each read. Zero means the default.
	InitialReadBackDelay time.Duration
}

// storedConfiguration is the accepted configuration with the version of its
// object in the store. Version 0 means that none is stored yet.
type storedConfiguration struct {
	control.AcceptedConfiguration
	version uint64
}

// readAccepted reads the accepted configuration from the store.
func (e *Editor) readAccepted(ctx context.Context) (*storedConfiguration, error) {
	object, err := e.Store.Get(ctx, control.KindConfiguration, control.NameAccepted)
	if objectstore.IsKind(err, objectstore.KindNotFound) {
		return &storedConfiguration{}, nil
	}
	if err != nil {
		return nil, readError("the accepted configuration", err)
	}
	a, err := control.DecodeAcceptedConfiguration(object.Value)
	if err != nil {
		return nil, failedError("the accepted configuration is damaged", err, "get an older one with 'tables get --generation'")
	}
	return &storedConfiguration{AcceptedConfiguration: *a, version: object.Version}, nil
}

// GetOptions are the options of Editor.Get.
type GetOptions struct {
	Generation uint64 // generation to get; 0 for the accepted one
	Force      bool   // overwrite local edits
}

// Get writes both tables and the state file to dir, creates dir if necessary,
// and returns the configuration that it wrote. The state file always records the
// version of the accepted configuration, even if the tables are of an older
// generation: putting those back is an edit of the accepted configuration.
//
// The error is an *Error. Without Force, its kind is KindInvalid if dir has local
// edits.
func (e *Editor) Get(ctx context.Context, dir Dir, options GetOptions) (*control.AcceptedConfiguration, error) {
	accepted, requested, err := e.readGeneration(ctx, options.Generation)
	if err != nil {
		return nil, err
	}
	routes, pools := []byte(requested.Routes), []byte(requested.Pools)
	if !options.Force {
		if err := dir.checkNoLocalEdits(routes, pools); err != nil {
			return nil, err
		}
	}
	s := state{Version: accepted.version, Generation: accepted.Generation, Routes: contentDigest(routes), Pools: contentDigest(pools)}
	stateText, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, failedError("the state file cannot be encoded", err, "")
	}
	const remedy = "make the directory writable, or name another one with --dir"
	if err := os.MkdirAll(string(dir), 0o700); err != nil {
		return nil, failedError("the directory cannot be created", err, remedy)
	}
	err = replaceFiles([]fileContent{{dir.RoutesPath(), routes}, {dir.PoolsPath(), pools}, {dir.statePath(), append(stateText, '\n')}})
	if err != nil {
		return nil, failedError("the tables cannot be written", err, remedy)
	}
	return requested, nil
}

// readGeneration returns the accepted configuration and the one of a generation.
// They are the same if generation is 0.
func (e *Editor) readGeneration(ctx context.Context, generation uint64) (*storedConfiguration, *control.AcceptedConfiguration, error) {
	accepted, err := e.readAccepted(ctx)
	if err != nil {
		return nil, nil, err
	}
	if generation == 0 || generation == accepted.Generation {
		return accepted, &accepted.AcceptedConfiguration, nil
	}
	older, err := e.readHistory(ctx, generation)
	return accepted, older, err
}

// Diff returns the changes from a generation to the tables in dir, and the
// generation that was compared. Generation 0 stands for the accepted one. The
// error is an *Error.
func (e *Editor) Diff(ctx context.Context, dir Dir, generation uint64) ([]tables.Change, uint64, error) {
	src, err := dir.Source()
	if err != nil {
		return nil, 0, err
	}
	local, err := tables.Parse(src)
	if err != nil {
		return nil, 0, invalidError("the tables have mistakes", err, "")
	}
	_, requested, err := e.readGeneration(ctx, generation)
	if err != nil {
		return nil, 0, err
	}
	stored, err := tables.Parse(requested.Source())
	if err != nil {
		return nil, 0, failedError("the stored tables do not pass the checks of this version", err, "get them with 'tables get' and compare the text")
	}
	return tables.Diff(stored, local), requested.Generation, nil
}
