package tablestore

import (
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// StateFile is the name of the file beside the tables that records the version
// of the accepted configuration when the tables were read.
const StateFile = "tables.state"

// tableFileMode denies access to other users, because tables contain the names
// of organisations and key digests.
const tableFileMode = 0o600

// Dir is the path of a directory with both tables and the state file.
type Dir string

// state is the content of the state file. Its digests are those of the tables
// when they were written, so that local edits are noticed before Get overwrites
// them.
type state struct {
	Version    uint64 `json:"version"`    // version of the accepted object; 0 if there was none
	Generation uint64 `json:"generation"` // generation of the accepted configuration
	Routes     string `json:"routes_digest"`
	Pools      string `json:"pools_digest"`
}

// RoutesPath returns the path of the routes table.
func (d Dir) RoutesPath() string { return filepath.Join(string(d), tables.RoutesFile) }

// PoolsPath returns the path of the pools table.
func (d Dir) PoolsPath() string { return filepath.Join(string(d), tables.PoolsFile) }

func (d Dir) statePath() string { return filepath.Join(string(d), StateFile) }

// Source reads both tables. The error is an *Error of kind KindInvalid.
func (d Dir) Source() (tables.Source, error) {
	routes, err := os.ReadFile(d.RoutesPath())
	if err != nil {
		return tables.Source{}, invalidError("the routes table cannot be read", err, "run 'tables get' first, or name the directory with --dir")
	}
	pools, err := os.ReadFile(d.PoolsPath())
	if err != nil {
		return tables.Source{}, invalidError("the pools table cannot be read", err, "run 'tables get' first, or name the directory with --dir")
	}
	return tables.Source{Routes: routes, Pools: pools, RoutesName: d.RoutesPath(), PoolsName: d.PoolsPath()}, nil
}

func (d Dir) readState() (*state, error) {
	const remedy = "run 'tables get' into another directory and copy your tables there, so that your edit starts from a known version"
	text, err := os.ReadFile(d.statePath())
	if err != nil {
		return nil, invalidError("the state file cannot be read", err, remedy)
	}
	var s state
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, invalidError("the state file "+d.statePath()+" is damaged", err, remedy)
	}
	return &s, nil
}

func (d Dir) writeState(s state) error {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode the state file")
	}
	return replaceFiles([]fileContent{{d.statePath(), append(text, '\n')}})
}

// checkNoLocalEdits returns an error if a table differs both from the text that
// was written last and from the text that Get is about to write.
func (d Dir) checkNoLocalEdits(routes, pools []byte) error {
	lastState, err := d.readState()
	if err != nil {
		lastState = &state{}
	}
	for _, f := range []struct {
		path, lastDigest string
		newText          []byte
	}{{d.RoutesPath(), lastState.Routes, routes}, {d.PoolsPath(), lastState.Pools, pools}} {
		text, err := os.ReadFile(f.path)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return failedError("a table cannot be read", err, "make it readable, or name another directory with --dir")
		}
		if contentDigest(text) != f.lastDigest && !bytes.Equal(text, f.newText) {
			return invalidError(f.path+" has local edits that would be lost", nil, "name another directory with --dir, or discard them with --force")
		}
	}
	return nil
}

// contentDigest returns the digest of a table for the state file. It is only
// compared for equality, so the hash function of API keys is sufficient.
func contentDigest(text []byte) string { return tables.FormatDigest(tables.HashKey(string(text))) }

type fileContent struct {
	path string
	text []byte
}

// replaceFiles writes all temporary files before it renames the first, so that a
// full or read-only disk changes none of the files.
func replaceFiles(files []fileContent) error {
	for _, f := range files {
		if err := os.WriteFile(f.path+".new", f.text, tableFileMode); err != nil {
			removeTemporary(files)
			return eris.Wrapf(err, "write %s", f.path)
		}
	}
	for _, f := range files {
		if err := os.Rename(f.path+".new", f.path); err != nil {
			removeTemporary(files)
			return eris.Wrapf(err, "replace %s", f.path)
		}
	}
	return nil
}

func removeTemporary(files []fileContent) {
	for _, f := range files {
		_ = os.Remove(f.path + ".new")
	}
}
