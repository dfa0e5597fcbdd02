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

// Editor reads and edits the accepted configuration.
type Editor struct {
	Store        objectstore.Store
	OperatorName string // of the operator, shown to others
	Log          hclog.Logger
	// InitialReadBackDelay is the first wait between reads after a lost answer. It
	// doubles with each. Zero stands for the default.
	InitialReadBackDelay time.Duration
}

// current is the accepted object. Version 0 means that there is none yet.
type current struct {
	control.AcceptedConfiguration
	version uint64
}

func (e *Editor) current(ctx context.Context) (*current, error) {
	object, err := e.Store.Get(ctx, control.KindConfiguration, control.NameAccepted)
	if objectstore.IsKind(err, objectstore.KindNotFound) {
		return &current{}, nil
	}
	if err != nil {
		return nil, readError("the accepted configuration", err)
	}
	a, err := control.DecodeAcceptedConfiguration(object.Value)
	if err != nil {
		return nil, failed("the accepted configuration is damaged", err, "get an older one with 'tables get --generation'")
	}
	return &current{AcceptedConfiguration: *a, version: object.Version}, nil
}

// GetOptions change what Get writes.
type GetOptions struct {
	Generation uint64 // an older generation; 0 for the accepted one
	Force      bool   // overwrite local edits
}

// Get writes both tables and the state file to dir and returns what it wrote.
// The state always records the accepted version, also with an older
// generation, so that putting that one back is an edit of the accepted one.
func (e *Editor) Get(ctx context.Context, dir Dir, options GetOptions) (*control.AcceptedConfiguration, error) {
	base, wanted, err := e.fetch(ctx, options.Generation)
	if err != nil {
		return nil, err
	}
	routes, pools := []byte(wanted.Routes), []byte(wanted.Pools)
	if !options.Force {
		if err := dir.checkNoLocalEdits(routes, pools); err != nil {
			return nil, err
		}
	}
	s := state{Version: base.version, Generation: base.Generation, Routes: digestOf(routes), Pools: digestOf(pools)}
	stateText, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, failed("the state cannot be encoded", err, "")
	}
	const remedy = "make the directory writable, or name another one with --dir"
	if err := os.MkdirAll(string(dir), 0o700); err != nil {
		return nil, failed("the directory cannot be made", err, remedy)
	}
	err = writeFiles([]file{{dir.RoutesPath(), routes}, {dir.PoolsPath(), pools}, {dir.statePath(), append(stateText, '\n')}})
	if err != nil {
		return nil, failed("the tables cannot be written", err, remedy)
	}
	return wanted, nil
}

// fetch returns the accepted object and the wanted generation.
func (e *Editor) fetch(ctx context.Context, generation uint64) (*current, *control.AcceptedConfiguration, error) {
	base, err := e.current(ctx)
	if err != nil {
		return nil, nil, err
	}
	if generation == 0 || generation == base.Generation {
		return base, &base.AcceptedConfiguration, nil
	}
	older, err := e.generation(ctx, generation)
	return base, older, err
}

// Diff returns the changes from a generation, or from the accepted one when it
// is 0, to the tables in dir. It also returns the generation compared with.
func (e *Editor) Diff(ctx context.Context, dir Dir, generation uint64) ([]tables.Change, uint64, error) {
	src, err := dir.Source()
	if err != nil {
		return nil, 0, err
	}
	local, err := tables.Parse(src)
	if err != nil {
		return nil, 0, invalid("the tables have mistakes", err, "")
	}
	_, wanted, err := e.fetch(ctx, generation)
	if err != nil {
		return nil, 0, err
	}
	accepted, err := tables.Parse(wanted.Source())
	if err != nil {
		return nil, 0, failed("the stored tables do not pass the checks of this version", err, "get them with 'tables get' and compare the text")
	}
	return tables.Diff(accepted, local), wanted.Generation, nil
}
