package tablestore

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/control"
	"lacewingwheel.example/lacewingwheel/pkg/inifile"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore"
	"lacewingwheel.example/lacewingwheel/pkg/objectstore/httpapi"
	"lacewingwheel.example/lacewingwheel/pkg/standin"
)

const (
	testRoutes = "[route chat]\npath = /chat\npool = demo\n"
	testPools  = "[pool demo]\ntargets = app=engine\nmodel = demo\n"
)

// fixture is a stand-in of the platform, served over HTTP, and a client of it.
type fixture struct {
	t        *testing.T
	platform *standin.Platform
	store    *httpapi.Client
}

func newFixture(t *testing.T) *fixture {
	p := standin.NewPlatform()
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return &fixture{t, p, httpapi.New(server.URL)}
}

func (f *fixture) editor(name string) *Editor {
	return &Editor{Store: f.store, OperatorName: name, Log: hclog.NewNullLogger(), InitialReadBackDelay: time.Millisecond}
}

// getIntoNewDir returns a new directory with the accepted tables.
func (f *fixture) getIntoNewDir(e *Editor) Dir {
	f.t.Helper()
	dir := Dir(f.t.TempDir())
	_, err := e.Get(f.t.Context(), dir, GetOptions{})
	assert.NilError(f.t, err)
	return dir
}

// writeTables writes tables to dir whose route has a deadline in seconds.
func (f *fixture) writeTables(dir Dir, seconds int) {
	f.t.Helper()
	routes := fmt.Sprintf("%sdeadline = %ds\n", testRoutes, seconds)
	assert.NilError(f.t, os.WriteFile(dir.RoutesPath(), []byte(routes), tableFileMode))
	assert.NilError(f.t, os.WriteFile(dir.PoolsPath(), []byte(testPools), tableFileMode))
}

func (f *fixture) accepted() *control.AcceptedConfiguration {
	f.t.Helper()
	object, err := f.platform.Store.Get(f.t.Context(), control.KindConfiguration, control.NameAccepted)
	assert.NilError(f.t, err)
	a, err := control.DecodeAcceptedConfiguration(object.Value)
	assert.NilError(f.t, err)
	return a
}

// readFiles returns the content of every file in dir by path.
func (f *fixture) readFiles(dir Dir) map[string]string {
	f.t.Helper()
	paths, err := filepath.Glob(filepath.Join(string(dir), "*"))
	assert.NilError(f.t, err)
	content := make(map[string]string)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		assert.NilError(f.t, err)
		content[path] = string(text)
	}
	return content
}

// If several operators put edits of the same version, exactly one must be
// accepted, or edits overwrite each other. The other operators must get an error
// that names the accepted edit, and their files must not change.
func TestConcurrentPutsAcceptOne(t *testing.T) {
	f := newFixture(t)
	const operators = 8
	for round := range 3 {
		errs := make([]error, operators)
		dirs := make([]Dir, operators)
		for i := range operators {
			dirs[i] = f.getIntoNewDir(f.editor("any"))
			f.writeTables(dirs[i], 100*round+i+1)
		}
		before := f.readFiles(dirs[0])
		var group sync.WaitGroup
		for i := range operators {
			group.Go(func() { _, errs[i] = f.editor(fmt.Sprint("op", i)).Put(t.Context(), dirs[i]) })
		}
		group.Wait()
		now := f.accepted()
		assert.Equal(t, now.Generation, uint64(round+1))
		accepted := 0
		for i, err := range errs {
			if err == nil {
				accepted++
				assert.Equal(t, now.Editor, fmt.Sprint("op", i))
				continue
			}
			var putError *Error
			assert.Assert(t, errors.As(err, &putError) && putError.Kind == KindConflict, "%v", err)
			assert.ErrorContains(t, err, fmt.Sprintf("generation %d by %s", now.Generation, now.Editor))
			if i == 0 {
				assert.DeepEqual(t, f.readFiles(dirs[0]), before)
			}
		}
		assert.Equal(t, accepted, 1)
	}
}

// If the answer to a write is lost, Put must find out that the write took effect.
// Otherwise the operator sees a failure and puts the same edit a second time.
func TestPutAfterLostAnswer(t *testing.T) {
	f := newFixture(t)
	e := f.editor("anna")
	dir := f.getIntoNewDir(e)
	for generation := uint64(1); generation <= 2; generation++ { // first a create, then an update
		f.writeTables(dir, int(generation))
		f.platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1})
		a, err := e.Put(t.Context(), dir)
		assert.NilError(t, err)
		assert.Equal(t, a.Generation, generation)
		assert.Equal(t, f.accepted().Nonce, a.Nonce)
	}
	f.writeTables(dir, 3)
	_, err := e.Put(t.Context(), dir)
	assert.NilError(t, err, "the state file must hold the version that was read back")
}

// updateHookStore is a store that calls update, if set, in place of Update.
type updateHookStore struct {
	objectstore.Store
	update func(value []byte, version uint64) error
}

func (s *updateHookStore) Update(ctx context.Context, kind, name string, value []byte, version uint64) (objectstore.Object, error) {
	if s.update == nil {
		return s.Store.Update(ctx, kind, name, value, version)
	}
	return objectstore.Object{}, s.update(value, version)
}

// If the answer to a write is lost and another operator's edits are accepted
// before or after it, Put must report a conflict only if the write cannot have
// taken effect, and otherwise that the outcome is unknown.
func TestLostAnswerWithOtherEdits(t *testing.T) {
	lost := &objectstore.Error{Kind: objectstore.KindUnknown, Call: "update", Cause: errors.New("connection reset")}
	tests := []struct {
		name        string
		takesEffect bool // whether the write takes effect
		otherEdits  int  // edits by another operator afterwards
		want        ErrorKind
	}{
		{"no effect, no other edit", false, 0, KindUnknown},
		{"no effect, one other edit", false, 1, KindConflict},
		{"no effect, two other edits", false, 2, KindConflict},
		{"took effect, then replaced, not in the history", true, 1, KindUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			e, other := f.editor("anna"), f.editor("bea")
			dir := f.getIntoNewDir(e)
			f.writeTables(dir, 1)
			_, err := e.Put(t.Context(), dir)
			assert.NilError(t, err)
			f.writeTables(dir, 2)
			before := f.readFiles(dir)
			e.Store = &updateHookStore{Store: f.store, update: func(value []byte, version uint64) error {
				if tt.takesEffect {
					_, err := f.store.Update(t.Context(), control.KindConfiguration, control.NameAccepted, value, version)
					assert.NilError(t, err)
				}
				for i := range tt.otherEdits {
					otherDir := f.getIntoNewDir(other)
					f.writeTables(otherDir, 50+i)
					_, err := other.Put(t.Context(), otherDir)
					assert.NilError(t, err)
				}
				return lost
			}}
			_, err = e.Put(t.Context(), dir)
			assert.Equal(t, KindOf(err), tt.want, "%v", err)
			assert.DeepEqual(t, f.readFiles(dir), before)
		})
	}
}

// While the platform is down, Put and Get must fail without changing local files,
// and the edit must not be accepted.
func TestPutAndGetWhilePlatformIsDown(t *testing.T) {
	f := newFixture(t)
	e := f.editor("anna")
	dir := f.getIntoNewDir(e)
	f.writeTables(dir, 1)
	_, err := e.Put(t.Context(), dir)
	assert.NilError(t, err)
	f.writeTables(dir, 2)
	before := f.readFiles(dir)
	f.platform.SetFaults(standin.PlatformFaults{Down: true})
	_, err = e.Put(t.Context(), dir)
	assert.Equal(t, KindOf(err), KindUnavailable, "%v", err)
	_, err = e.Get(t.Context(), dir, GetOptions{Force: true})
	assert.Equal(t, KindOf(err), KindUnavailable, "%v", err)
	assert.DeepEqual(t, f.readFiles(dir), before)
	f.platform.SetFaults(standin.PlatformFaults{})
	assert.Equal(t, f.accepted().Generation, uint64(1))
}

// Put must not write tables with mistakes, which all instances would start to
// use, or tables without a state file, which could overwrite another edit.
func TestPutRefusesInvalidInput(t *testing.T) {
	f := newFixture(t)
	e := f.editor("anna")
	dir := f.getIntoNewDir(e)
	_, err := e.Put(t.Context(), dir)
	assert.ErrorContains(t, err, "the table has no route")
	f.writeTables(dir, 0)
	_, err = e.Put(t.Context(), dir)
	assert.ErrorContains(t, err, "the tables have mistakes:\n"+dir.RoutesPath()+":4: [route chat] deadline: 0s is out of range")
	var mistakes *inifile.Error
	assert.Assert(t, errors.As(err, &mistakes) && len(mistakes.Issues) == 1)
	f.writeTables(dir, 1)
	assert.NilError(t, os.Remove(dir.statePath()))
	_, err = e.Put(t.Context(), dir)
	assert.Equal(t, KindOf(err), KindInvalid)
	assert.ErrorContains(t, err, "the state file cannot be read")
	assert.Equal(t, f.platform.Counts().Writes, int64(0))
}

// Get must not overwrite edits that the operator has not put yet, unless forced.
func TestGetKeepsLocalEdits(t *testing.T) {
	f := newFixture(t)
	e := f.editor("anna")
	dir := f.getIntoNewDir(e)
	f.writeTables(dir, 1)
	before := f.readFiles(dir)
	_, err := e.Get(t.Context(), dir, GetOptions{})
	assert.ErrorContains(t, err, "has local edits that would be lost")
	assert.DeepEqual(t, f.readFiles(dir), before)
	_, err = e.Get(t.Context(), dir, GetOptions{Force: true})
	assert.NilError(t, err)
}

// The history must not grow without bound, and an operator must be able to put
// back an old generation from it.
func TestHistoryIsBoundedAndRestorable(t *testing.T) {
	f := newFixture(t)
	e := f.editor("anna")
	dir := f.getIntoNewDir(e)
	for i := range HistoryLength + 3 {
		f.writeTables(dir, i+1)
		_, err := e.Put(t.Context(), dir)
		assert.NilError(t, err)
	}
	entries, err := e.History(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(entries), HistoryLength)
	assert.Equal(t, entries[0].Generation, uint64(HistoryLength+3))
	_, err = e.Get(t.Context(), dir, GetOptions{Generation: 3})
	assert.Equal(t, KindOf(err), KindInvalid, "%v", err)

	_, err = e.Get(t.Context(), dir, GetOptions{Generation: 5})
	assert.NilError(t, err)
	changes, from, err := e.Diff(t.Context(), dir, 0)
	assert.NilError(t, err)
	assert.Equal(t, from, uint64(HistoryLength+3))
	assert.Equal(t, len(changes), 1)
	a, err := e.Put(t.Context(), dir)
	assert.NilError(t, err)
	assert.Equal(t, a.Generation, uint64(HistoryLength+4))
	assert.Assert(t, strings.Contains(f.accepted().Routes, "deadline = 5s"))
}
