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

// StateFile records, beside the tables, which version they were read at.
const StateFile = "tables.state"

// tableMode keeps tables from other users, because they name organisations and
// hold key digests.
const tableMode = 0o600

// Dir is a directory with both tables and the state file.
type Dir string

// state is the content of the state file. The texts are kept to notice local
// edits before they are overwritten.
type state struct {
	Version    uint64 `json:"version"`    // of the accepted object; 0 when there was none
	Generation uint64 `json:"generation"` // of the accepted object
	Routes     string `json:"routes_digest"`
	Pools      string `json:"pools_digest"`
}

// RoutesPath returns the path of the routes table.
func (d Dir) RoutesPath() string { return filepath.Join(string(d), tables.RoutesFile) }

// PoolsPath returns the path of the pools table.
func (d Dir) PoolsPath() string { return filepath.Join(string(d), tables.PoolsFile) }

func (d Dir) statePath() string { return filepath.Join(string(d), StateFile) }

// Source reads both tables.
func (d Dir) Source() (tables.Source, error) {
	routes, err := os.ReadFile(d.RoutesPath())
	if err != nil {
		return tables.Source{}, invalid("the routes table cannot be read", err, "run 'tables get' first, or name the directory with --dir")
	}
	pools, err := os.ReadFile(d.PoolsPath())
	if err != nil {
		return tables.Source{}, invalid("the pools table cannot be read", err, "run 'tables get' first, or name the directory with --dir")
	}
	return tables.Source{Routes: routes, Pools: pools, RoutesName: d.RoutesPath(), PoolsName: d.PoolsPath()}, nil
}

func (d Dir) readState() (*state, error) {
	const remedy = "run 'tables get' into another directory and copy your tables there, so that your edit starts from a known version"
	text, err := os.ReadFile(d.statePath())
	if err != nil {
		return nil, invalid("the state file cannot be read", err, remedy)
	}
	var s state
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, invalid("the state file "+d.statePath()+" is damaged", err, remedy)
	}
	return &s, nil
}

func (d Dir) writeState(s state) error {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode the state file")
	}
	return writeFiles([]file{{d.statePath(), append(text, '\n')}})
}

// checkNoLocalEdits refuses to overwrite tables that differ both from what get
// wrote last and from what it is about to write.
func (d Dir) checkNoLocalEdits(routes, pools []byte) error {
	known, err := d.readState()
	if err != nil {
		known = &state{}
	}
	for _, f := range []struct {
		path, digest string
		next         []byte
	}{{d.RoutesPath(), known.Routes, routes}, {d.PoolsPath(), known.Pools, pools}} {
		text, err := os.ReadFile(f.path)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return failed("a table cannot be read", err, "make it readable, or name another directory with --dir")
		}
		if digestOf(text) != f.digest && !bytes.Equal(text, f.next) {
			return invalid(f.path+" has edits that were not put", nil, "name another directory with --dir, or give them up with --force")
		}
	}
	return nil
}

// digestOf is only compared for equality, so the key digest serves.
func digestOf(text []byte) string { return tables.FormatDigest(tables.HashKey(string(text))) }

type file struct {
	path string
	text []byte
}

// writeFiles writes all files beside their final names before it renames the
// first, so that a full or read-only disk changes none of them.
func writeFiles(files []file) error {
	for _, f := range files {
		if err := os.WriteFile(f.path+".new", f.text, tableMode); err != nil {
			removeNew(files)
			return eris.Wrapf(err, "write %s", f.path)
		}
	}
	for _, f := range files {
		if err := os.Rename(f.path+".new", f.path); err != nil {
			removeNew(files)
			return eris.Wrapf(err, "replace %s", f.path)
		}
	}
	return nil
}

func removeNew(files []file) {
	for _, f := range files {
		_ = os.Remove(f.path + ".new")
	}
}
